"""Run-time estimates, learned for each queue.

A declared run time may be off by a factor of two. If the declarations of a
queue have been noisy, a new one is shrunk towards the mean observed run time
of the queue; the variances determine the weight of each. All statistics are
of logarithms, because the errors are factors.
"""

import dataclasses
import datetime
import math

# The statistics are plain averages over the first tasks. Later tasks have at
# least this weight, so that the mean follows a change of the load within about
# a hundred tasks.
MIN_WEIGHT = 0.01
# Declared run times of a queue are used unchanged until this many of its
# tasks have completed.
MIN_COMPLETED_TASKS = 20
# Lower bound of declared and observed run times, which keeps their logarithms
# finite.
MIN_RUN_TIME = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class _Moments:
    """A moving mean and variance."""

    count: int = 0
    mean: float = 0.0
    variance: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(1 / self.count, MIN_WEIGHT)
        delta = value - self.mean
        self.mean += weight * delta
        self.variance += weight * (delta * delta - self.variance)


@dataclasses.dataclass(slots=True)
class _QueueStatistics:
    """Moments of the logarithms; ``error`` is observed minus declared."""

    declared: _Moments = dataclasses.field(default_factory=_Moments)
    observed: _Moments = dataclasses.field(default_factory=_Moments)
    error: _Moments = dataclasses.field(default_factory=_Moments)


class RunTimeEstimator:
    """Corrects declared run times by the observed ones of the same queue.

    ::

        estimator.learn("refunds", declared, observed)
        estimator.expected("refunds", declared)
    """

    def __init__(self) -> None:
        self._statistics: dict[str, _QueueStatistics] = {}

    def learn(
        self,
        queue: str,
        declared: datetime.timedelta,
        observed: datetime.timedelta,
    ) -> None:
        """Learn from a completed task.

        ``observed`` is scaled to a backend server of ordinary speed.
        """
        statistics = self._statistics.setdefault(queue, _QueueStatistics())
        log_declared, log_observed = (
            _log_seconds(declared),
            _log_seconds(observed),
        )
        statistics.declared.add(log_declared)
        statistics.observed.add(log_observed)
        statistics.error.add(log_observed - log_declared)

    def expected(
        self, queue: str, declared: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the expected run time on a server of ordinary speed."""
        statistics = self._statistics.get(queue)
        if (
            statistics is None
            or statistics.observed.count < MIN_COMPLETED_TASKS
        ):
            return declared
        declared_variance = statistics.declared.variance
        if declared_variance <= 0:
            return declared
        error_variance = statistics.error.variance
        # The share of the variance of the declarations that is not error.
        declaration_weight = min(
            max(1 - error_variance / declared_variance, 0.0), 1.0
        )
        offset = _log_seconds(declared) - statistics.declared.mean
        log_expected = statistics.observed.mean + declaration_weight * offset
        return datetime.timedelta(seconds=math.exp(log_expected))


def _log_seconds(duration: datetime.timedelta) -> float:
    return math.log(max(duration, MIN_RUN_TIME).total_seconds())
