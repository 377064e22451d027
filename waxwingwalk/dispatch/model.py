"""Jobs, queues, pools and backend servers as dispatch hosts see them."""

from collections.abc import Sequence
import dataclasses
import datetime
import enum

MILLISECOND = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()


def milliseconds(duration: datetime.timedelta) -> float:
    """Return a duration in milliseconds, to a tenth, for logs and messages."""
    return round(duration / MILLISECOND, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Resources:
    """Capacity of a backend server, or what a task asks of it.

    ``processors`` counts thousandths of a core, ``memory`` mebibytes.
    """

    processors: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def holds(self, other: "Resources") -> bool:
        """Tell whether ``other`` fits into this room."""
        return (
            other.processors <= self.processors
            and other.memory <= self.memory
            and other.accelerators <= self.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the catalog: which jobs it takes and what they are promised.

    ``stretch`` times a job's longest chain of work plus ``objective`` is the
    response time that is aimed at. ``priority`` 0 comes first.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    objective: datetime.timedelta
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """What the catalog allows callers to send."""

    body_bytes: int = 262144
    header_bytes: int = 16384
    idle: datetime.timedelta = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operators' configuration: queues and services."""

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str]
    limits: RequestLimits = RequestLimits()

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``, if any."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best


class AdvertisedState(enum.Enum):
    """Whether a backend server takes new work, by its own word."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendIncarnation:
    """One life of a backend server: its id and when it was started.

    A server that starts again under its id remembers nothing of before, so
    everything known of it is kept by life. ``started_ms`` is Unix time.
    """

    backend_id: str
    started_ms: int

    def __str__(self) -> str:
        return f"{self.backend_id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendReport:
    """What a backend server has registered about itself."""

    incarnation: BackendIncarnation
    service: str
    address: str
    zone: str
    advertised_state: AdvertisedState
    capacity: Resources
    labels: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Tasks of a job that are alike and may start together."""

    count: int
    room: Resources
    estimate: datetime.timedelta
    after: tuple[int, ...] = ()
    label: str | None = None
    preferred_rack: str | None = None
    max_per_backend: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as a caller submitted it, with what its queue promises.

    The two times are set by the host that took the job in: ``due`` is when
    the objective ends, ``expires`` when the caller stops waiting. The
    objective grows by ``stretch`` times what the job's longest chain of work
    takes longer than declared.
    """

    job_id: str
    queue: str
    service: str
    priority: int
    attempts: int
    spec: str
    stretch: float
    steps: tuple[Step, ...]
    due: datetime.datetime
    expires: datetime.datetime


def longest_chain(
    steps: Sequence[Step], times: Sequence[datetime.timedelta]
) -> datetime.timedelta:
    """Return how long the longest chain of steps takes."""
    ends: list[datetime.timedelta] = []
    for step, time in zip(steps, times, strict=True):
        before = max((ends[each] for each in step.after), default=ZERO)
        ends.append(before + time)
    return max(ends)


class JobOutcome(enum.Enum):
    """How a job ended.

    NOT_RUN promises that no task of it was ever started. LOST says nothing
    about what ran: whoever asks again may have it run from the start.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    LOST = "lost"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskRef:
    """A task of a job: its step, and its number within the step."""

    job_id: str
    step: int
    index: int

    @property
    def name(self) -> str:
        """The name by which backend servers know the task."""
        return f"{self.job_id}.0.{self.step}.{self.index}"


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """A dispatch host: where it is, and which of its lives this is.

    ``processors`` is its share of a core, which decides who schedules.
    """

    address: str
    incarnation: str
    zone: str
    processors: float = 1.0


class RunEnd(enum.Enum):
    """How a backend server says that a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """An entry of a backend server's list of ended runs."""

    serial: int
    task: str
    run: int
    end: RunEnd


@dataclasses.dataclass(frozen=True, slots=True)
class RunKey:
    """One run of a task, as backend servers name it."""

    task: str
    run: int


class CallOutcome(enum.Enum):
    """How an order to a backend server was answered.

    UNKNOWN may have been carried out, or may yet be. NOT_SENT never left
    this host.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_RUN = "old_run"
    EXPIRED = "expired"
    NO_ROOM = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    OTHER_INCARNATION = "other_life"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
