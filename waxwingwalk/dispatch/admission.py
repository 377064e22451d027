"""Admission of jobs: how much queued work delays a job that arrives.

A job is refused at once if its answer would come too late to be of use. That
follows from the work that is started before it, which is less than all queued
work: urgent queues precede others, and late jobs come last.
"""

import dataclasses
import datetime
from typing import Protocol

from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering

# A caller is asked to return after the backlog times a factor from 1 to 1 plus
# this spread, by a hash of the job's id, so that refused callers do not return
# at the same time.
RETRY_SPREAD = 0.5


@dataclasses.dataclass(slots=True)
class QueuedWork:
    """The work of waiting tasks, in core-microseconds.

    ``urgent`` and ``others`` is that of jobs that can still be on time, of
    urgent queues and of all others. ``late`` is that of all late jobs.
    """

    urgent: float = 0.0
    others: float = 0.0
    late: float = 0.0

    @property
    def total(self) -> float:
        """The work of all waiting tasks."""
        return self.urgent + self.others + self.late

    def add(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> None:
        """Add the waiting tasks of a job."""
        work = record.queued_work()
        if record.slack(now) < model.ZERO:
            self.late += work
        elif record.job.priority == ordering.URGENT_PRIORITY:
            self.urgent += work
        else:
            self.others += work


class Admission(Protocol):
    """Determines the queued work that is started before a new job."""

    def preceding_work(
        self, queued: QueuedWork, record: job_record.JobRecord
    ) -> float: ...


class AllQueuedWork:
    """Assumes that all queued work is started first."""

    def preceding_work(
        self, queued: QueuedWork, record: job_record.JobRecord
    ) -> float:
        return queued.total


class PrecedingWork:
    """Counts the work that the job order starts first.

    Load pattern: a burst of long jobs of a less urgent queue fills the queue
    for a second. Short urgent jobs, which precede them, would be refused for
    a backlog that does not delay them.
    """

    def preceding_work(
        self, queued: QueuedWork, record: job_record.JobRecord
    ) -> float:
        if record.job.priority == ordering.URGENT_PRIORITY:
            return queued.urgent
        return queued.urgent + queued.others
