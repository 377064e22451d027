"""Data model of dispatch: jobs, queues, hosts and backend servers."""

import bisect
from collections.abc import Sequence
import dataclasses
import datetime
import enum
import operator
from typing import Annotated

import msgspec

from waxwingwalk.connections import limits as connection_limits
from waxwingwalk.core import decoding

MILLISECOND = datetime.timedelta(milliseconds=1)
ZERO = datetime.timedelta()
# Maximum number of tasks of a job. The largest expected ones have 570.
TASKS_MAX = 5000


def milliseconds(duration: datetime.timedelta) -> float:
    """Return a duration in ms, rounded to 0.1 ms, for logs and messages."""
    return round(duration / MILLISECOND, 1)


class Resources(msgspec.Struct, frozen=True):
    """The capacity of a backend server, or what a task needs of it.

    ``processors`` counts thousandths of a core, ``memory`` mebibytes.
    """

    processors: decoding.Integer = 0
    memory: decoding.Integer = 0
    accelerators: decoding.Integer = 0

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
        """Return whether ``other`` fits into these resources."""
        return (
            other.processors <= self.processors
            and other.memory <= self.memory
            and other.accelerators <= self.accelerators
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the catalog: which jobs belong to it and their targets.

    A job belongs to the queue whose ``host`` is the host name in the caller's
    request and whose ``prefix`` is the longest that the path begins with. Its
    target response time is ``stretch`` times the duration of its critical
    path, plus ``objective``. ``priority`` 0 comes first.
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


class QueueIndex:
    """Queues by host name and prefix.

    ::

        index = QueueIndex()
        index.add(queue)
        index.find("shop.example", "/refund/17")
    """

    def __init__(self) -> None:
        self._by_prefix: dict[str, dict[str, Queue]] = {}
        # The lengths of the prefixes of each host name, longest first.
        self._lengths: dict[str, list[int]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no queue was added."""
        return not self._by_prefix

    def add(self, queue: Queue) -> None:
        """Add a queue; the first one of a host name and prefix prevails."""
        prefixes = self._by_prefix.setdefault(queue.host, {})
        if prefixes.setdefault(queue.prefix, queue) is not queue:
            return
        lengths = self._lengths.setdefault(queue.host, [])
        length = len(queue.prefix)
        if length not in lengths:
            bisect.insort(lengths, length, key=operator.neg)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path, if any."""
        prefixes = self._by_prefix.get(host)
        if prefixes is None:
            return None
        for length in self._lengths[host]:
            if length <= len(path):
                queue = prefixes.get(path[:length])
                if queue is not None:
                    return queue
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the operators' configuration: queues and services.

    ``index`` holds the queues; it is built from them if it is not given.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str]
    limits: connection_limits.RequestLimits = connection_limits.RequestLimits()
    index: QueueIndex = dataclasses.field(
        default_factory=QueueIndex, compare=False, repr=False
    )

    def __post_init__(self) -> None:
        if not self.index.is_empty:
            return
        for queue in self.queues:
            self.index.add(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue for a caller's request, if any.

        ``host`` is the host name in the request.
        """
        return self.index.find(host, path)


class AdvertisedState(enum.Enum):
    """Whether a backend server accepts new work, as it reports itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendIncarnation(msgspec.Struct, frozen=True):
    """An incarnation of a backend server: its id and when it was started.

    A server that restarts under its id has lost its state, so everything known
    about a server is kept per incarnation. ``started_ms`` is Unix time.
    """

    backend_id: str
    started_ms: decoding.ClockMs

    def __str__(self) -> str:
        return f"{self.backend_id}@{self.started_ms}"


@dataclasses.dataclass(frozen=True, slots=True)
class BackendReport:
    """What a backend server has registered about itself.

    ``warm_at_ms`` is when it is no longer slow after its start, on its own
    clock; 0 if it is not slow.
    """

    incarnation: BackendIncarnation
    service: str
    address: str
    zone: str
    advertised_state: AdvertisedState
    capacity: Resources
    labels: frozenset[str]
    warm_at_ms: decoding.Count = 0


class Step(msgspec.Struct, frozen=True):
    """Tasks of a job with the same properties, which may start together.

    ``after`` holds the numbers of the steps that have to be complete first;
    they are lower than the number of this step.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=TASKS_MAX)]
    room: Resources
    estimate: datetime.timedelta
    after: tuple[decoding.Count, ...] = ()
    label: str | None = None
    preferred_rack: str | None = None
    max_per_backend: decoding.Integer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job as a caller submitted it, with the properties of its queue.

    The two times are set by the host that accepted the job: ``due`` is the
    target time of its end, ``expires`` is when the caller stops waiting. The
    scheduler moves ``due`` by ``stretch`` times the difference between the
    expected and the declared duration of the job's critical path.
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


def critical_path_time(
    steps: Sequence[Step], times: Sequence[datetime.timedelta]
) -> datetime.timedelta:
    """Return the duration of the longest chain of dependent steps."""
    ends: list[datetime.timedelta] = []
    for step, time in zip(steps, times, strict=True):
        before = max((ends[each] for each in step.after), default=ZERO)
        ends.append(before + time)
    return max(ends)


class JobOutcome(enum.Enum):
    """How a job ended.

    NOT_RUN guarantees that no task of the job was ever started. LOST says
    nothing about what ran: if the caller submits the job again, all of it may
    run again.
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
    # The name of the task at backend servers. It is looked up far more often
    # than a task is created.
    name: str = dataclasses.field(init=False, compare=False, repr=False)

    def __post_init__(self) -> None:
        name = f"{self.job_id}.0.{self.step}.{self.index}"
        object.__setattr__(self, "name", name)


class HostRecord(msgspec.Struct, frozen=True):
    """An incarnation of a dispatch host.

    ``processors`` is its share of a core. Hosts with a larger share are
    preferred as schedulers.
    """

    address: str
    incarnation: str
    zone: str
    processors: decoding.Factor = 1.0


class RunEnd(enum.Enum):
    """How a run ended, as reported by its backend server.

    LAPSED was ended by the server because its lease had expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


class TaskEnd(enum.Enum):
    """How a run ended, as reported to the scheduler that ordered it.

    NOT_RUN was never started. GONE may have been started, but is over. After
    either of them the task may run again. LOST may still be running under
    another scheduler.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    GONE = "gone"
    LOST = "lost"


class ServerFate(enum.Enum):
    """What became of a backend server that did not list the end of a run.

    SILENT has not answered until the run's lease was over, and may have
    crashed. CRASHED has started again. ALIVE has answered since, and lost
    nothing.
    """

    SILENT = "silent"
    CRASHED = "crashed"
    ALIVE = "alive"


class CrashEvidence(msgspec.Struct, frozen=True):
    """What is known of a server that did not list the end of a task's run."""

    task: str
    incarnation: BackendIncarnation
    fate: ServerFate


class EndedRun(msgspec.Struct, frozen=True):
    """An entry of a backend server's list of ended runs."""

    serial: int
    task: str
    run: int
    end: RunEnd


class RunKey(msgspec.Struct, frozen=True):
    """A run of a task, as named by backend servers."""

    task: str
    run: int


class CallOutcome(enum.Enum):
    """The outcome of a request to a backend server.

    OLD_RUN refuses a start because that run of the task, or a later one, has
    ended there. EXPIRED refuses a start whose lease is over. UNKNOWN may have
    been carried out, or may still be. NOT_SENT never left this host. DROPPED
    did not either, as this host was behind and the order was out of date.
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
    DROPPED = "dropped"
    UNKNOWN = "unknown"
