"""Messages between dispatch hosts.

They are sent as JSON over a WebSocket that the requesting host opened to the
host that schedules a pool. When the link is gone, everything that was
requested over it ends, whichever side notices first.
"""

import dataclasses
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from waxwingwalk.dispatch import model


@dataclasses.dataclass(slots=True)
class SubmitJob:
    """Asks the receiver to schedule a job; JobEnded follows.

    Clocks differ between hosts, so times are in milliseconds from now. A
    caller may ask for its job again: ``request`` is the number of the request
    on the sending host, 0 if that host does not number them.
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
    request: int = 0
    kind: Literal["submit_job"] = "submit_job"


@dataclasses.dataclass(slots=True)
class AbandonJob:
    """Stops a job whose answer is no longer awaited."""

    job_id: str
    request: int = 0
    kind: Literal["abandon_job"] = "abandon_job"


@dataclasses.dataclass(slots=True)
class JobEnded:
    """The answer to a request for a job."""

    job_id: str
    outcome: model.JobOutcome
    reason: str
    return_in_ms: float | None
    request: int = 0
    kind: Literal["job_ended"] = "job_ended"


@dataclasses.dataclass(slots=True)
class OfferTask:
    """Asks the receiver to run one task at once; TaskEnded follows.

    A task that ``must_run_alone`` may crash its server.
    """

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
    must_run_alone: bool = False
    kind: Literal["offer_task"] = "offer_task"


@dataclasses.dataclass(slots=True)
class StopTask:
    """Stops a task that was offered."""

    job_id: str
    step: int
    index: int
    run: int
    kind: Literal["stop_task"] = "stop_task"


@dataclasses.dataclass(slots=True)
class TaskEnded:
    """How an offered task ended, NOT_RUN if the offer was declined."""

    job_id: str
    step: int
    index: int
    run: int
    end: model.TaskEnd
    kind: Literal["task_ended"] = "task_ended"


@dataclasses.dataclass(slots=True)
class FreeRoom:
    """Free capacity of a backend server, and how slow the server is."""

    room: model.Resources
    slowness: float


@dataclasses.dataclass(slots=True)
class PoolBalance:
    """What fronts need to balance the load between zones.

    ``free`` and ``capacity`` are the processors of all usable servers, in
    thousandths of a core; ``demand`` is the work that arrives, as a share of
    what they can process.
    """

    free: int
    capacity: int
    demand: float


@dataclasses.dataclass(slots=True)
class PoolLoad:
    """The load of a pool's backend servers of one service.

    ``free`` is the free capacity of the fastest of these, sent only to hosts
    that schedule a pool. ``backlog_ms`` is how long the queued work of the
    sender will keep its servers busy, which is how long a new task waits.
    """

    pool: str
    fence: int
    service: str
    free: list[FreeRoom]
    backlog_ms: float
    # None if the sender does not balance the load between zones.
    balance: PoolBalance | None = None


@dataclasses.dataclass(slots=True)
class HostStatus:
    """The status and keep-alive of the host that accepted the link.

    ``releasing`` are the pools that the sender no longer schedules, but of
    which it still has backend servers; None if its version does not tell.
    """

    loads: list[PoolLoad]
    is_leaving: bool
    catalog_version: int
    releasing: list[str] | None = None
    kind: Literal["host_status"] = "host_status"


@dataclasses.dataclass(slots=True)
class KeepAlive:
    """The keep-alive of the host that opened the link."""

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
    """The sender no longer schedules a backend server; the receiver may."""

    pool: str
    backend_id: str
    started_ms: int
    kind: Literal["release_backend"] = "release_backend"


@dataclasses.dataclass(slots=True)
class ReportCrashes:
    """What the sender knows of servers that did not list the end of runs."""

    evidence: list[model.CrashEvidence]
    kind: Literal["report_crashes"] = "report_crashes"


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
    | ReportCrashes
)


def deduct_delay(message: Message, delay_ms: float) -> None:
    """Make times that were relative to the sending relative to now."""
    if isinstance(message, SubmitJob):
        message.due_in_ms -= delay_ms
        message.expires_in_ms -= delay_ms
    elif isinstance(message, OfferTask):
        message.due_in_ms -= delay_ms


@dataclasses.dataclass(slots=True)
class Frame:
    """Messages that were sent together.

    ``sent_ms`` is the time of sending, in milliseconds since the sender's end
    of the link was opened.
    """

    sent_ms: float
    messages: list[Annotated[Message, pydantic.Field(discriminator="kind")]]


@dataclasses.dataclass(slots=True)
class _RawFrame:
    """A frame whose messages are not decoded."""

    sent_ms: float
    messages: list[Any]


decoder: pydantic.TypeAdapter[Frame] = pydantic.TypeAdapter(Frame)

_frame_decoder: pydantic.TypeAdapter[_RawFrame] = pydantic.TypeAdapter(
    _RawFrame
)
_message_decoder: pydantic.TypeAdapter[Message] = pydantic.TypeAdapter(
    Annotated[Message, pydantic.Field(discriminator="kind")]
)


def decode_separately(content: str) -> tuple[Frame, list[str]]:
    """Return a frame without the messages that are malformed, and the errors.

    Raise ``pydantic.ValidationError`` if the content is not a frame. This is
    for frames that ``decoder`` does not take, as it is much slower.
    """
    raw = _frame_decoder.validate_json(content)
    frame = Frame(raw.sent_ms, [])
    errors = []
    for each in raw.messages:
        try:
            frame.messages.append(_message_decoder.validate_python(each))
        except pydantic.ValidationError as error:
            errors.append(str(error))
    return frame, errors
