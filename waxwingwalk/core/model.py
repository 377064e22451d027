"""Jobs, tasks and backend servers as the reducer represents them."""

import dataclasses
import datetime
import enum
from typing import Any

from waxwingwalk.core import results


@dataclasses.dataclass(slots=True)
class TaskSpec:
    """One task as submitted; ``memory`` is in bytes."""

    payload: Any
    declared_run_time: datetime.timedelta
    processors: float = 0.0
    memory: int = 0
    accelerators: int = 0


@dataclasses.dataclass(slots=True)
class JobSpec:
    """A job as submitted, validated.

    ``key`` is an idempotency key: submissions with the same key share one
    run. An issued key needs no claim in the table service and expires. The
    ``fingerprint`` shows whether two submissions with one key are the same
    job.
    """

    job_id: str
    service: str
    team: str
    tasks: list[TaskSpec]
    submitted_at: datetime.datetime
    deadline: datetime.datetime
    idempotent: bool = True
    key: str | None = None
    key_expires_at: datetime.datetime | None = None
    is_key_issued: bool = False
    fingerprint: str = ""


class TaskOutcome(enum.Enum):
    """How one attempt to run a task ended.

    NOT_SENT and NOT_RUN prove that the task did not start. After LOST it is
    unknown whether the task started.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    NOT_SENT = "not_sent"
    LOST = "lost"


class BackendState(enum.Enum):
    """Whether a backend server accepts tasks, as far as is known."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class BackendSpec:
    """A backend server as the host list describes it."""

    backend_id: str
    address: str
    zone: str
    rack: str
    incarnation: str
    services: frozenset[str]
    slots: int = 8
    connections: int = 64
    processors: float = 16.0
    memory: int = 64 * 2**30
    accelerators: int = 0
    state: BackendState = BackendState.LIVE

    def fits(self, task: TaskSpec) -> bool:
        """Return whether the task could ever run on this backend server."""
        return (
            task.processors <= self.processors
            and task.memory <= self.memory
            and task.accelerators <= self.accelerators
        )


@dataclasses.dataclass(slots=True)
class Answer:
    """The final answer to a job: all results, or a code for their absence.

    ``results`` is in task order, and empty unless the code is COMPLETE.
    """

    job_id: str
    code: results.ResultCode
    detail: str = ""
    results: list[Any] = dataclasses.field(default_factory=list)
    retry_after: datetime.timedelta | None = None
    started: int = 0
