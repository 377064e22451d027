"""The speed of backend servers, learned from the runs completed there."""

import datetime
import math

# The weight of the newest run in the moving mean of the logarithm. The mean
# follows a change of speed within ten runs; a busy server completes as many in
# about two seconds. The first runs have a larger weight, with the initial
# assumption of ordinary speed counted as one run.
NEWEST_RUN_WEIGHT = 0.2
# A run that takes longer than this many times its estimate is overdue, which
# shows that the server is slow even before the run ends. The factor exceeds
# the error of estimates, which are off by a factor of up to about 2.
OVERDUE_FACTOR = 2.5
# Bounds of the slowness that a single completed run can indicate.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 50.0
# How much slower than usual a server that is still cold is assumed to be until
# runs on cold servers have been observed.
COLD_SLOWNESS = 2.0
# Lower bound of actual and estimated run times; shorter ones are dominated by
# the network.
MIN_RUN_TIME = datetime.timedelta(milliseconds=1)


class LearnedSlowness:
    """The learned ratio of actual to estimated run time on a server."""

    def __init__(self, initial: float = 1.0) -> None:
        self._log_slowness = math.log(initial)
        self._run_count = 0

    @property
    def slowness(self) -> float:
        """The expected ratio of actual to estimated run time."""
        return math.exp(self._log_slowness)

    def learn(
        self, actual: datetime.timedelta, estimate: datetime.timedelta
    ) -> None:
        """Learn from the duration of a completed run."""
        ratio = max(actual, MIN_RUN_TIME) / max(estimate, MIN_RUN_TIME)
        bounded = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        self._run_count += 1
        weight = max(NEWEST_RUN_WEIGHT, 1 / (self._run_count + 1))
        self._log_slowness += weight * (math.log(bounded) - self._log_slowness)


def overdue_after(estimate: datetime.timedelta) -> datetime.timedelta:
    """Return the elapsed time from which a run may be overdue."""
    return OVERDUE_FACTOR * max(estimate, MIN_RUN_TIME)


def overdue_slowness(
    elapsed: datetime.timedelta, estimate: datetime.timedelta
) -> float:
    """Return the slowness that an unfinished run shows, 0 if not overdue."""
    ratio = elapsed / max(estimate, MIN_RUN_TIME)
    return ratio if ratio > OVERDUE_FACTOR else 0.0
