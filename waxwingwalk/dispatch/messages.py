"""Messages between dispatch hosts.

They are sent as JSON over a WebSocket that the requesting host opened to the
host that schedules a pool. When the link is gone, everything that was
requested over it ends, whichever side notices first.
"""

import msgspec

from waxwingwalk.core import decoding
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import model


class _Tagged(msgspec.Struct, tag_field="kind"):
    """A message, which has its ``kind`` in a field of that name."""

    @property
    def kind(self) -> str:
        """The name of the type of the message."""
        return str(self.__struct_config__.tag)


class SubmitJob(_Tagged, tag="submit_job"):
    """Asks the receiver to schedule a job; JobEnded follows.

    Clocks differ between hosts, so times are in milliseconds from now. A
    caller may ask for its job again: ``request`` is the number of the request
    on the sending host, 0 if that host does not number them.
    """

    job_id: str
    queue: str
    service: str
    priority: decoding.Integer
    attempts: decoding.Integer
    spec: str
    stretch: decoding.Factor
    steps: tuple[model.Step, ...]
    due_in_ms: decoding.LongDifference
    expires_in_ms: decoding.LongDifference
    request: decoding.Count = 0


class AbandonJob(_Tagged, tag="abandon_job"):
    """Stops a job whose answer is no longer awaited."""

    job_id: str
    request: decoding.Count = 0


class LimitJob(_Tagged, tag="limit_job"):
    """Moves the time at which a job expires, as its caller's host shuts down.

    The time is in milliseconds from now, and is never later than before.
    """

    job_id: str
    expires_in_ms: decoding.LongDifference
    request: decoding.Count = 0


class JobEnded(_Tagged, tag="job_ended"):
    """The answer to a request for a job."""

    job_id: str
    outcome: model.JobOutcome
    reason: str
    return_in_ms: decoding.LongMilliseconds | None
    request: decoding.Count = 0


class OfferTask(_Tagged, tag="offer_task"):
    """Asks the receiver to run one task at once; TaskEnded follows.

    A task that ``must_run_alone`` may crash its server.
    """

    job_id: str
    step: decoding.Count
    index: decoding.Count
    run: decoding.Count
    queue: str
    service: str
    spec: str
    room: model.Resources
    estimate_ms: decoding.LongMilliseconds
    due_in_ms: decoding.LongDifference
    label: str | None
    max_per_backend: decoding.Integer | None
    must_run_alone: bool = False


class StopTask(_Tagged, tag="stop_task"):
    """Stops a task that was offered."""

    job_id: str
    step: decoding.Count
    index: decoding.Count
    run: decoding.Count


class TaskEnded(_Tagged, tag="task_ended"):
    """How an offered task ended, NOT_RUN if the offer was declined."""

    job_id: str
    step: decoding.Count
    index: decoding.Count
    run: decoding.Count
    end: model.TaskEnd


class FreeRoom(msgspec.Struct):
    """Free capacity of a backend server, and how slow the server is."""

    room: model.Resources
    slowness: decoding.Factor


class PoolBalance(msgspec.Struct):
    """What fronts need to balance the load between zones.

    ``free`` and ``capacity`` are the processors of all usable servers, in
    thousandths of a core; ``demand`` is the work that arrives, as a share of
    what they can process.
    """

    free: decoding.Integer
    capacity: decoding.Integer
    demand: decoding.Factor


class PoolLoad(msgspec.Struct):
    """The load of a pool's backend servers of one service.

    ``free`` is the free capacity of the fastest of these, sent only to hosts
    that schedule a pool. ``backlog_ms`` is how long the queued work of the
    sender will keep its servers busy, which is how long a new task waits.
    """

    pool: str
    fence: decoding.Count
    service: str
    free: list[FreeRoom]
    backlog_ms: decoding.LongMilliseconds
    # None if the sender does not balance the load between zones.
    balance: PoolBalance | None = None


class HostStatus(_Tagged, tag="host_status"):
    """The status and keep-alive of the host that accepted the link.

    ``releasing`` are the pools that the sender no longer schedules, but of
    which it still has backend servers; None if its version does not tell.
    ``evacuated`` is as in ``KeepAlive``.
    """

    loads: list[PoolLoad]
    is_leaving: bool
    catalog_version: decoding.Count
    releasing: list[str] | None = None
    evacuated: list[evacuation.Notice] | None = None


class KeepAlive(_Tagged, tag="keep_alive"):
    """The keep-alive of the host that opened the link.

    ``evacuated`` is what the sender knows of the evacuation of zones; None if
    it has just started, or if its version does not tell.
    """

    catalog_version: decoding.Count
    evacuated: list[evacuation.Notice] | None = None


class RequestCatalog(_Tagged, tag="request_catalog"):
    """Asks for a part of the operators' document; CatalogPart follows.

    ``offset`` counts characters.
    """

    version: decoding.Count
    offset: decoding.Count


class CatalogPart(_Tagged, tag="catalog_part"):
    """A part of a version of the operators' document.

    ``offset`` and ``total``, the length of the document, count characters. A
    ``total`` of 0 means that the sender does not send the document now.
    """

    version: decoding.Count
    offset: decoding.Count
    total: decoding.Count
    content: str


class ShareCatalog(_Tagged, tag="share_catalog"):
    """A version of the catalog, as the operators' document.

    Only hosts of the previous version send it.
    """

    version: decoding.Count
    document: str


class ReleaseBackend(_Tagged, tag="release_backend"):
    """The sender no longer schedules a backend server; the receiver may."""

    pool: str
    backend_id: str
    started_ms: decoding.ClockMs


class RequestBackends(_Tagged, tag="request_backends"):
    """Asks for the list of the backend servers of pools.

    ShareBackends follows if the receiver has a newer list than ``version``,
    which is a version of the store, and whenever it gets one within 2 s.
    """

    pools: list[str]
    version: decoding.Count


class ShareBackends(_Tagged, tag="share_backends"):
    """All backend servers of pools at a version of the store."""

    version: decoding.Count
    pools: list[str]
    reports: list[model.BackendReport]


class ReportCrashes(_Tagged, tag="report_crashes"):
    """What the sender knows of servers that did not list the end of runs."""

    evidence: list[model.CrashEvidence]


Message = (
    SubmitJob
    | AbandonJob
    | LimitJob
    | JobEnded
    | OfferTask
    | StopTask
    | TaskEnded
    | HostStatus
    | KeepAlive
    | RequestCatalog
    | CatalogPart
    | ShareCatalog
    | ReleaseBackend
    | RequestBackends
    | ShareBackends
    | ReportCrashes
)


# Messages that are sent after all others that wait for a link.
BULK_MESSAGES = (RequestCatalog, CatalogPart)


def deduct_delay(message: Message, delay_ms: float) -> None:
    """Make times that were relative to the sending relative to now."""
    if isinstance(message, SubmitJob):
        message.due_in_ms -= delay_ms
        message.expires_in_ms -= delay_ms
    elif isinstance(message, LimitJob):
        message.expires_in_ms -= delay_ms
    elif isinstance(message, OfferTask):
        message.due_in_ms -= delay_ms


class Frame(msgspec.Struct):
    """Messages that were sent together.

    ``sent_ms`` is the time of sending, in milliseconds since the sender's end
    of the link was opened.
    """

    sent_ms: decoding.LongMilliseconds
    messages: list[Message]


class _RawFrame(msgspec.Struct):
    """A frame whose messages are not decoded."""

    sent_ms: decoding.LongMilliseconds
    messages: list[msgspec.Raw]


class _FrameCodec:
    """Converts frames to JSON and back."""

    def __init__(self) -> None:
        self._decoder: decoding.Decoder[Frame] = decoding.Decoder(Frame)
        self._encoder = msgspec.json.Encoder()

    def dump_json(self, frame: Frame) -> bytes:
        """Return a frame as JSON."""
        return self._encoder.encode(frame)

    def validate_json(self, content: bytes | str) -> Frame:
        """Return the frame; raise ``decoding.MalformedError``."""
        return self._decoder.decode(content)


decoder = _FrameCodec()

_encoder = msgspec.json.Encoder()
_frame_decoder: decoding.Decoder[_RawFrame] = decoding.Decoder(_RawFrame)
_message_decoder: decoding.Decoder[Message] = decoding.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as JSON."""
    return _encoder.encode(message)


def encode_frame(sent_ms: float, contents: list[bytes]) -> bytes:
    """Return the frame of messages that are encoded already."""
    head = f'{{"sent_ms":{sent_ms!r},"messages":['.encode()
    return b"%b%b]}" % (head, b",".join(contents))


def decode_separately(content: str) -> tuple[Frame, list[str]]:
    """Return a frame without the messages that are malformed, and the errors.

    Raise ``decoding.MalformedError`` if the content is not a frame. This is
    for frames that ``decoder`` does not take, as it is much slower.
    """
    raw = _frame_decoder.decode(content)
    frame = Frame(raw.sent_ms, [])
    errors = []
    for each in raw.messages:
        try:
            frame.messages.append(_message_decoder.decode(bytes(each)))
        except decoding.MalformedError as error:
            errors.append(str(error))
    return frame, errors
