"""How long tasks really take, learned by queue.

A declared run time may be off by a factor of two. Where the declarations of
a queue have been noisy, a new one is drawn towards what its tasks usually
take: the best guess lies between the two, by their variances. Everything is
kept in logarithms, since the errors are factors.
"""

import dataclasses
import datetime
import math

# The first tasks count in full, later ones with at least this weight, so
# that the mean follows a change of the load within some hundred tasks.
WEIGHT_MIN = 0.01
# Until this many tasks of a queue have ended, declarations are believed.
TASKS_MIN = 20
TIME_MIN = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class _Moments:
    """A running mean and variance."""

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(1 / self.count, WEIGHT_MIN)
        delta = value - self.mean
        self.mean += weight * delta
        self.variance += weight * (delta * delta - self.variance)


@dataclasses.dataclass(slots=True)
class _History:
    declared: _Moments = dataclasses.field(default_factory=_Moments)
    observed: _Moments = dataclasses.field(default_factory=_Moments)
    error: _Moments = dataclasses.field(default_factory=_Moments)


class RunTimes:
    """Corrects declared run times by what a queue's tasks have taken.

    ::

        run_times.learn("refunds", declared, observed)
        run_times.expected("refunds", declared)
    """

    def __init__(self) -> None:
        self._histories: dict[str, _History] = {}

    def learn(
        self,
        queue: str,
        declared: datetime.timedelta,
        observed: datetime.timedelta,
    ) -> None:
        """Take in a task that ended well, on a server of ordinary speed."""
        history = self._histories.setdefault(queue, _History())
        said, was = _logarithm(declared), _logarithm(observed)
        history.declared.add(said)
        history.observed.add(was)
        history.error.add(was - said)

    def expected(
        self, queue: str, declared: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long a task is expected to take."""
        history = self._histories.get(queue)
        if history is None or history.observed.count < TASKS_MIN:
            return declared
        spread = history.declared.variance
        if spread <= 0:
            return declared
        error = history.error.variance
        trust = min(max(1 - error / spread, 0.0), 1.0)
        offset = _logarithm(declared) - history.declared.mean
        logarithm = history.observed.mean + trust * offset
        return datetime.timedelta(seconds=math.exp(logarithm))


def _logarithm(duration: datetime.timedelta) -> float:
    return math.log(max(duration, TIME_MIN).total_seconds())
