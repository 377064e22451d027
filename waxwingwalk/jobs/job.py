"""The state of a job and of the attempts at its tasks."""

import dataclasses
import datetime
import enum
from typing import Any

from waxwingwalk.core import identity
from waxwingwalk.core import model


class JobPhase(enum.Enum):
    """The phase of a job's lifecycle."""

    CLAIMING = "claiming"
    ACTIVE = "active"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a task, with the reason for its placement.

    ``incarnation`` and ``address`` are those of the backend server to which
    the task was sent; it may have restarted since under its id, at another
    address. ``estimate`` is in seconds. ``status_queried_at`` is the time of
    the last status query; ``silent_since`` is the end of the first of the
    successive status queries that got no reply, None if the last one got a
    reply.
    """

    number: int
    index: int
    backend_id: str
    incarnation: str
    address: str
    sent_at: datetime.datetime
    estimate: float
    reason: str
    runner_up: str | None
    lease_until: datetime.datetime
    status_queried_at: datetime.datetime | None = None
    silent_since: datetime.datetime | None = None

    def is_at(self, spec: model.BackendSpec) -> bool:
        """Return whether it was sent to this incarnation of its server."""
        return self.incarnation == spec.incarnation


@dataclasses.dataclass(slots=True)
class Job:
    """A job, its unsent tasks, and the results received so far.

    ``pending`` holds the indexes of unsent tasks, the longest last but for
    requeued tasks, which are added at the end whatever their length.
    ``started`` counts the tasks that were sent, without those proven not to
    have started. ``refused`` holds the indexes of tasks that a backend server
    has answered as not run. ``remaining_work`` is the estimate for the unsent
    tasks in seconds. ``key_holder`` is the process that had claimed the job's
    key before.
    """

    spec: model.JobSpec
    phase: JobPhase
    pending: list[int]
    estimates: list[float]
    results: list[Any]
    remaining_work: float
    running: set[int] = dataclasses.field(default_factory=set)
    refused: set[int] = dataclasses.field(default_factory=set)
    done: int = 0
    started: int = 0
    attempts: int = 0
    order_key: float = 0.0
    ended_at: datetime.datetime | None = None
    answer: model.Answer | None = None
    key_holder: identity.ProcessId | None = None
    placements: list[Attempt] = dataclasses.field(default_factory=list)

    @property
    def is_ended(self) -> bool:
        """Whether the answer is final."""
        return self.phase is JobPhase.ENDED

    def pop_task(self, position: int) -> int:
        """Remove the unsent task at a position and return its index."""
        index = self.pending.pop(position)
        self.remaining_work -= self.estimates[index]
        return index

    def requeue(self, index: int) -> None:
        """Add a task back that has been proven not to have started."""
        self.pending.append(index)
        self.remaining_work += self.estimates[index]


def new_job(
    spec: model.JobSpec, phase: JobPhase, estimates: list[float]
) -> Job:
    """Return a job with every task unsent.

    ``estimates`` gives the run time of each task in seconds, on a backend
    server of ordinary speed.
    """
    longest_last = sorted(range(len(spec.tasks)), key=estimates.__getitem__)
    return Job(
        spec=spec,
        phase=phase,
        pending=longest_last,
        estimates=estimates,
        results=[None] * len(spec.tasks),
        remaining_work=sum(estimates),
    )
