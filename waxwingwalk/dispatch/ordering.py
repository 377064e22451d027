"""Which waiting job goes next, and which is not worth starting.

Answers a load above the capacity for some seconds: bursts, slow or lost
backend servers.
"""

import datetime
from typing import Protocol

from waxwingwalk.dispatch import job_record


class JobOrder(Protocol):
    """Ranks waiting jobs; the least goes first."""

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]: ...


class LeastSlack:
    """Jobs that can still be on time first, the most urgent before others.

    A job that is late already yields: it would only make others late too.
    Late jobs follow by what they still need, the shortest first.
    """

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]:
        left = record.work_left()
        slack = (record.job.due - now - left).total_seconds()
        if slack >= 0:
            return (0.0, slack)
        return (1.0, left.total_seconds())
