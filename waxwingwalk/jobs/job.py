"""A job in progress."""

import dataclasses
import datetime
import enum
from typing import Any

from waxwingwalk.core import identity
from waxwingwalk.core import model


class JobPhase(enum.Enum):
    """Where a job stands."""

    CLAIMING = "claiming"
    ACTIVE = "active"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One sending of a task: where it went, when, and why.

    ``estimate`` is in seconds.
    """

    number: int
    index: int
    backend_id: str
    sent_at: datetime.datetime
    estimate: float
    reason: str
    runner_up: str | None
    lease_until: datetime.datetime
    look_up_at: datetime.datetime | None = None
    silent_look_ups: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """A job, its unsent tasks, and what came back so far.

    ``pending`` holds the indexes of unsent tasks, the longest last.
    ``started`` counts the tasks that were sent and are not known to have
    stayed unstarted. ``remaining_work`` is in estimated seconds.
    ``key_holder`` is the process that had claimed the job's key before.
    """

    spec: model.JobSpec
    phase: JobPhase
    pending: list[int]
    estimates: list[float]
    results: list[Any]
    remaining_work: float
    running: set[int] = dataclasses.field(default_factory=set)
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

    def take(self, position: int) -> int:
        """Remove the unsent task at a position; return its index."""
        index = self.pending.pop(position)
        self.remaining_work -= self.estimates[index]
        return index

    def put_back(self, index: int) -> None:
        """Return a task that provably did not start."""
        self.pending.append(index)
        self.remaining_work += self.estimates[index]


def new_job(
    spec: model.JobSpec, phase: JobPhase, estimates: list[float]
) -> Job:
    """Return a job with every task unsent.

    ``estimates`` are seconds on an ordinary backend server, by task.
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
