"""Which waiting job goes next, and which leaves the room to others.

Answers a load above the capacity for some seconds: bursts, slow or lost
backend servers.
"""

import datetime
from typing import Protocol

from waxwingwalk.dispatch import job_record

# A job that is late before its first task waits until this share of the
# processors is free. Measured with waxwingwalk/emulator/experiment.py at 1.6
# times the usual load: 0.1 earned 0.743 of the worth, 0.3 0.755, 0.5 0.765.
LATE_ROOM_SHARE = 0.5
URGENT_PRIORITY = 0


class JobOrder(Protocol):
    """Ranks waiting jobs; the least goes first."""

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]: ...

    def is_deferred(
        self,
        record: job_record.JobRecord,
        free_share: float,
        now: datetime.datetime,
    ) -> bool:
        """Tell whether a job waits although there may be room for it."""
        ...


class LeastSlack:
    """Jobs that can still be on time first, the most urgent before others.

    A job that is late already yields: it would only make others late too.
    Late jobs follow by what they still need, the shortest first.
    """

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]:
        left = record.work_left()
        slack = record.slack(now).total_seconds()
        if slack >= 0:
            return (0.0, slack)
        return (1.0, left.total_seconds())

    def is_deferred(
        self,
        record: job_record.JobRecord,
        free_share: float,
        now: datetime.datetime,
    ) -> bool:
        return False


class PriorityThenSlack:
    """The urgent queue first, then the job with the least slack.

    Least slack alone makes every queue late at once when the load exceeds
    the room, the short jobs first of all. With priority the queue that
    matters least waits. Jobs that are late before their first task started
    wait until the peak is over, so that others are on time.
    """

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]:
        left = record.work_left()
        slack = record.slack(now).total_seconds()
        rank = 0.0 if record.job.priority == URGENT_PRIORITY else 1.0
        if slack >= 0:
            return (rank, slack)
        return (2.0 + rank, left.total_seconds())

    def is_deferred(
        self,
        record: job_record.JobRecord,
        free_share: float,
        now: datetime.datetime,
    ) -> bool:
        if record.has_started or free_share >= LATE_ROOM_SHARE:
            return False
        return record.slack(now) < datetime.timedelta()
