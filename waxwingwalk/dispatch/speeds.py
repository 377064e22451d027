"""How fast backend servers are, learned from the runs that ended there."""

import datetime
import math

# Weight of the newest run in the mean of the logarithm; ten runs, about two
# seconds of a busy server, follow a change of speed.
WEIGHT = 0.2
# Estimates are off by a factor of up to about 2; a run counts as overdue,
# and shows a slow server before it ends, beyond this factor.
OVERDUE_FACTOR = 2.5
# Slowness is kept within these bounds, whatever single runs say.
SLOWNESS_MIN = 0.1
SLOWNESS_MAX = 50.0
# Shorter times are dominated by the network.
TIME_MIN = datetime.timedelta(milliseconds=1)


class LearnedSlowness:
    """The learned slowness of a backend server: actual over estimated."""

    def __init__(self) -> None:
        self._logarithm = 0.0
        self._runs = 0

    @property
    def slowness(self) -> float:
        """How many times as long as estimated a task is expected to take."""
        return math.exp(self._logarithm)

    def learn(
        self, actual: datetime.timedelta, estimate: datetime.timedelta
    ) -> None:
        """Take in the duration of a run that ended well."""
        ratio = max(actual, TIME_MIN) / max(estimate, TIME_MIN)
        bounded = min(max(ratio, SLOWNESS_MIN), SLOWNESS_MAX)
        self._runs += 1
        weight = max(WEIGHT, 1 / (self._runs + 1))
        self._logarithm += weight * (math.log(bounded) - self._logarithm)


def overdue(
    elapsed: datetime.timedelta, estimate: datetime.timedelta
) -> float:
    """Return the slowness that a run still under way proves, else 0."""
    ratio = elapsed / max(estimate, TIME_MIN)
    return ratio if ratio > OVERDUE_FACTOR else 0.0
