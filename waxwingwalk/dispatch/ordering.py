"""Orders in which waiting jobs are started, and which of them are deferred.

They matter while the load exceeds the capacity for some seconds, because of
bursts or of slow or lost backend servers.
"""

import datetime
from typing import Protocol

from waxwingwalk.dispatch import job_record

# A job that is late before its first task has started waits until this share
# of the processors is free. In the load experiment (emulator/experiment.py),
# smaller shares (0.1, 0.3) earn less of the worth of all jobs at 1.6 times the
# usual load.
MIN_FREE_SHARE_FOR_LATE_JOBS = 0.5
URGENT_PRIORITY = 0


class JobOrder(Protocol):
    """Ranks waiting jobs; the lowest key is started first."""

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]: ...

    def is_deferred(
        self,
        record: job_record.JobRecord,
        free_share: float,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a job waits even if there is capacity for it."""
        ...


class LeastSlack:
    """Jobs that can still be on time, by least slack first; then late jobs.

    Late jobs come last because they would only make others late too. Among
    them, the shortest remaining critical path is first.
    """

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]:
        remaining = record.remaining_critical_path()
        slack = record.slack(now).total_seconds()
        if slack >= 0:
            return (0.0, slack)
        return (1.0, remaining.total_seconds())

    def is_deferred(
        self,
        record: job_record.JobRecord,
        free_share: float,
        now: datetime.datetime,
    ) -> bool:
        return False


class PriorityThenSlack:
    """Jobs that can still be on time, then late jobs; urgent queues first.

    Urgent queues precede the others within each of the two groups. After that,
    jobs that can be on time are ordered by least slack, late jobs by the
    shortest remaining critical path.

    If the load exceeds the capacity, least slack alone makes the jobs of all
    queues late at once, short jobs first. With priority, jobs of less urgent
    queues wait instead. Jobs that are late before their first task has
    started are deferred until the peak is over, so that others are on time.
    """

    def key(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> tuple[float, float]:
        remaining = record.remaining_critical_path()
        slack = record.slack(now).total_seconds()
        rank = 0.0 if record.job.priority == URGENT_PRIORITY else 1.0
        if slack >= 0:
            return (rank, slack)
        return (2.0 + rank, remaining.total_seconds())

    def is_deferred(
        self,
        record: job_record.JobRecord,
        free_share: float,
        now: datetime.datetime,
    ) -> bool:
        if record.has_started or free_share >= MIN_FREE_SHARE_FOR_LATE_JOBS:
            return False
        return record.slack(now) < datetime.timedelta()
