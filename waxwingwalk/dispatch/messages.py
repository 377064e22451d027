"""Messages between dispatch hosts.

They travel as JSON over a WebSocket that the host in need of work opened to
the host that schedules a pool. All that the former asked for ends with the
link, whichever side notices first.
"""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

from waxwingwalk.dispatch import model


@dataclasses.dataclass(slots=True)
class SubmitJob:
    """Have a job scheduled by the receiver; JobEnded follows.

    Clocks differ between hosts, so times are milliseconds from now.
    """

    job_id: str
    queue: str
    service: str
    priority: int
    attempts: int
    spec: str
    stretch: float
    steps: tuple[model.Step, ...]
    due_in_ms: float
    expires_in_ms: float
    kind: Literal["submit_job"] = "submit_job"


@dataclasses.dataclass(slots=True)
class AbandonJob:
    """Stop a job: nobody waits for its answer any more."""

    job_id: str
    kind: Literal["abandon_job"] = "abandon_job"


@dataclasses.dataclass(slots=True)
class JobEnded:
    """The answer to a job."""

    job_id: str
    outcome: model.JobOutcome
    reason: str
    return_in_ms: float | None
    kind: Literal["job_ended"] = "job_ended"


@dataclasses.dataclass(slots=True)
class OfferTask:
    """Have one task run by the receiver at once; TaskEnded follows."""

    job_id: str
    step: int
    index: int
    run: int
    queue: str
    service: str
    spec: str
    room: model.Resources
    estimate_ms: float
    due_in_ms: float
    label: str | None
    max_per_backend: int | None
    kind: Literal["offer_task"] = "offer_task"


@dataclasses.dataclass(slots=True)
class StopTask:
    """Stop a task that was offered."""

    job_id: str
    step: int
    index: int
    run: int
    kind: Literal["stop_task"] = "stop_task"


@dataclasses.dataclass(slots=True)
class TaskEnded:
    """How an offered task ended; ``end`` is a value of TaskEnd."""

    job_id: str
    step: int
    index: int
    run: int
    end: str
    kind: Literal["task_ended"] = "task_ended"


@dataclasses.dataclass(slots=True)
class FreeRoom:
    """Free room on a backend server, and how slow that server is."""

    room: model.Resources
    slowness: float


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """What a pool could start now.

    ``free`` gives the free room of its fastest backend servers.
    ``backlog_ms`` is how long its queue is, in time to start a new task.
    """

    pool: str
    fence: int
    service: str
    free: list[FreeRoom]
    backlog_ms: float


@dataclasses.dataclass(slots=True)
class HostStatus:
    """What the far end of a link says of itself, as a sign of life too."""

    loads: list[PoolLoad]
    is_leaving: bool
    catalog_version: int
    kind: Literal["host_status"] = "host_status"


@dataclasses.dataclass(slots=True)
class KeepAlive:
    """A sign of life of the host that opened the link."""

    catalog_version: int
    kind: Literal["keep_alive"] = "keep_alive"


@dataclasses.dataclass(slots=True)
class ShareCatalog:
    """A version of the catalog, as the operators' document."""

    version: int
    document: str
    kind: Literal["share_catalog"] = "share_catalog"


@dataclasses.dataclass(slots=True)
class ReleaseBackend:
    """The sender orders this backend server no more; the receiver may."""

    pool: str
    backend_id: str
    started_ms: int
    kind: Literal["release_backend"] = "release_backend"


Message = (
    SubmitJob
    | AbandonJob
    | JobEnded
    | OfferTask
    | StopTask
    | TaskEnded
    | HostStatus
    | KeepAlive
    | ShareCatalog
    | ReleaseBackend
)


@dataclasses.dataclass(slots=True)
class Frame:
    """Messages that were sent together.

    ``sent_ms`` is when that was, in milliseconds since the sender's end of
    the link was opened.
    """

    sent_ms: float
    messages: list[Annotated[Message, pydantic.Field(discriminator="kind")]]


decoder: pydantic.TypeAdapter[Frame] = pydantic.TypeAdapter(Frame)
