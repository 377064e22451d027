"""Decides what connections may hold, and which one is closed first.

A process has one :class:`Ledger` for the connections of all its listeners.
Connections report what they hold; the ledger answers with those that have to
be closed, so that all of them stay within the memory and the descriptors of
the process. Nothing here does input or output.

The limits answer clients that send requests without end, that stop just short
of an end, that read no answers, or that only keep connections open. The first
to be closed are those that hold most without having sent a complete request;
requests that are being served are never given up for others.
"""

import dataclasses
import datetime
import enum
import operator

from waxwingwalk.core import results

# The part of a process's memory that connections of clients may hold.
MEMORY_PART = 4
# The part of that which requests that are being served may hold, and the part
# that they leave, with the connections themselves, for requests that arrive.
SERVED_PART = 2
ARRIVING_PART = 8
# The size of the system's buffer for what a connection has received. It is
# set on the listening socket; the system allocates up to twice as much.
RECEIVE_BUFFER = 16 * 2**10
# Bytes of answers that wait for their client until no more are written.
WRITE_BUFFER = 8 * 2**10
# What the head of an answered request may take while its connection stays
# open: the HTTP library keeps it until the next one.
KEPT_HEAD_BYTES = 16 * 2**10
# The size of the system's buffer for what is sent on a connection.
SEND_BUFFER = 64 * 2**10
# What an open connection holds without any request, in bytes: its objects,
# its last head, and the buffers above.
CONNECTION_BYTES = (
    8 * 2**10 + KEPT_HEAD_BYTES + 2 * RECEIVE_BUFFER + WRITE_BUFFER
)
# What a line of a head takes beside its bytes: the name and the value, both
# raw and decoded, and their places in the collections of fields.
LINE_BYTES = 400
# The raw and the decoded form of a head.
HEAD_FACTOR = 2
# A chunk of one byte has a size, two line ends and the byte.
CHUNK_BYTES = 6
# What a step of a job takes until the job is answered, in bytes, and the job
# itself.
STEP_BYTES = 1024
JOB_BYTES = 8192
# The part of a process's memory for unanswered starts, and for the tasks that
# a scheduler keeps.
WORK_PART = 8
# What the call that starts a task takes until it is answered, in bytes.
START_BYTES = 48 * 2**10
# What a scheduler keeps of a task until its job has ended, in bytes.
SCHEDULED_TASK_BYTES = 2048
# Descriptors that are reserved for files.
FILE_DESCRIPTORS = 200
# Connections that wait to be accepted, at most.
BACKLOG_MAX = 1024
# The fewest connections that a listener accepts, whatever the settings say.
CONNECTIONS_MIN = 8


class Listener(enum.Enum):
    """Who connects; each kind has a share of the connections."""

    CALLERS = "callers"
    READINESS = "readiness"
    PEERS = "peers"
    METRICS = "metrics"
    OPERATORS = "operators"


class Phase(enum.Enum):
    """What a connection does."""

    IDLE = "idle"
    # A request has arrived in part, and none is being served.
    ARRIVING = "arriving"
    # A request is being served.
    SERVED = "served"
    # The connection is a link between hosts.
    LINK = "link"


class Reason(enum.Enum):
    """Why a request is refused, or a connection closed."""

    CONNECTIONS = "too many connections"
    MEMORY = "too much memory"
    HEAD = "head too large"
    BODY = "body too large"
    FRAMING = "more framing than content"
    MALFORMED = "malformed"
    IDLE = "no progress"
    UNREAD = "answers are not read"


# The result codes of requests that are refused, by the reason. Without one,
# the connection is closed without an answer.
CODES = {
    Reason.MEMORY: results.ResultCode.QUEUE_FULL,
    Reason.HEAD: results.ResultCode.INVALID_REQUEST,
    Reason.BODY: results.ResultCode.BODY_TOO_LARGE,
    Reason.FRAMING: results.ResultCode.BODY_TOO_LARGE,
    Reason.MALFORMED: results.ResultCode.INVALID_REQUEST,
    Reason.IDLE: results.ResultCode.INVALID_REQUEST,
}
# HTTP statuses that are more exact than those of the result codes.
STATUSES = {Reason.HEAD: 431, Reason.IDLE: 408}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on one request; sizes are in bytes.

    ``idle`` is how long a request may arrive, or an answer wait to be read,
    without progress.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    idle: datetime.timedelta = datetime.timedelta(seconds=15)

    def body_wire_bytes(self, content: int) -> int:
        """Return how many bytes may be sent for a body of some size.

        Chunks, their extensions and trailing fields take the rest.
        """
        return content * CHUNK_BYTES + self.header_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What connections of all clients may use together.

    ``memory`` is in bytes; ``connections`` are by the kind of listener;
    ``backlog`` is the number of connections that wait to be accepted,
    ``starts`` that of unanswered starts of tasks, and ``tasks`` that of the
    tasks that a scheduler keeps.

    ::

        limits = ProcessLimits.derive(memory=300 * 2**20, descriptors=4100)
        limits.connections[Listener.CALLERS]
    """

    memory: int
    connections: dict[Listener, int]
    backlog: int
    starts: int
    tasks: int

    @classmethod
    def derive(cls, memory: int, descriptors: int) -> "ProcessLimits":
        """Return the limits of a process with some memory and descriptors.

        Callers get half of the sockets, links a quarter; the rest is for
        connections to backend servers, to other hosts and to the store.
        """
        shared = memory // MEMORY_PART
        sockets = max(descriptors - FILE_DESCRIPTORS, 0)
        affordable = shared // 2 // CONNECTION_BYTES
        numbers = {
            Listener.CALLERS: min(sockets // 2, affordable),
            Listener.READINESS: min(sockets // 16, 64),
            Listener.PEERS: sockets // 4,
            Listener.METRICS: min(sockets // 32, 16),
            Listener.OPERATORS: min(sockets // 32, 32),
        }
        return cls(
            memory=shared,
            connections={
                listener: max(number, CONNECTIONS_MIN)
                for listener, number in numbers.items()
            },
            backlog=min(max(sockets // 4, CONNECTIONS_MIN), BACKLOG_MAX),
            starts=max(memory // WORK_PART // START_BYTES, 1),
            tasks=max(memory // WORK_PART // SCHEDULED_TASK_BYTES, 1),
        )


@dataclasses.dataclass(eq=False, slots=True)
class Connection:
    """An open connection, as the ledger knows it.

    ``arriving`` and ``served`` are the bytes that it holds, beside
    ``CONNECTION_BYTES``, for what has arrived of the next request, and for
    the request that is being served. ``active_at`` is when the connection was
    opened, or a request on it progressed last; ``blocked_at`` is since when
    its client reads no answers.
    """

    listener: Listener
    active_at: datetime.datetime
    phase: Phase = Phase.IDLE
    arriving: int = 0
    served: int = 0
    was_served: bool = False
    blocked_at: datetime.datetime | None = None


class Ledger:
    """What the connections of a process hold.

    ::

        ledger = Ledger(ProcessLimits.derive(300 * 2**20, 4100))
        connection = Connection(Listener.CALLERS, now)
        for each in ledger.open(connection):
            ...  # close it
        for each in ledger.hold(connection, 262144, now):
            ...  # refuse its request
    """

    def __init__(self, limits: ProcessLimits) -> None:
        self._limits = limits
        self._connections: dict[Listener, dict[Connection, None]] = {
            listener: {} for listener in Listener
        }
        self._held = 0
        # Of that, for requests that arrive, and that are served.
        self._arriving = 0
        self._served = 0

    @property
    def limits(self) -> ProcessLimits:
        """The limits of the process."""
        return self._limits

    @property
    def held(self) -> int:
        """The bytes that all connections hold."""
        return self._held

    def count(self, listener: Listener) -> int:
        """Return how many connections a listener has."""
        return len(self._connections[listener])

    def open(self, connection: Connection) -> list[Connection]:
        """Add a connection; return those to close, perhaps itself."""
        known = self._connections[connection.listener]
        refused = []
        if len(known) >= self._limits.connections[connection.listener]:
            dispensable = [
                each
                for each in known
                if each.phase in (Phase.IDLE, Phase.ARRIVING)
            ]
            if not dispensable:
                return [connection]
            # Clients that have been served may well come again.
            oldest = min(
                dispensable,
                key=lambda each: (each.was_served, each.active_at),
            )
            self.close(oldest)
            refused.append(oldest)
        known[connection] = None
        self._held += CONNECTION_BYTES
        return refused

    def close(self, connection: Connection) -> None:
        """Remove a connection, if it is known."""
        known = self._connections[connection.listener]
        if connection not in known:
            return
        self._set_arriving(connection, 0)
        self.end(connection)
        del known[connection]
        self._held -= CONNECTION_BYTES

    def hold(
        self, connection: Connection, arriving: int, now: datetime.datetime
    ) -> list[Connection]:
        """Record what has arrived of a request that is not served yet.

        Return the connections whose requests have to be refused, the largest
        ones first.
        """
        if connection not in self._connections[connection.listener]:
            return []
        connection.active_at = now
        self._set_arriving(connection, arriving)
        return self._excess() if self._held > self._limits.memory else []

    def serve(self, connection: Connection, size: int) -> bool:
        """Record that a request is served from now on, and what it holds.

        Return whether there is room for that. If no other request is served,
        there is room for any one.
        """
        if connection not in self._connections[connection.listener]:
            return True
        memory = self._limits.memory
        kept = self._held - self._arriving
        if self._served and (
            self._served + size > memory // SERVED_PART
            or kept + size > memory - memory // ARRIVING_PART
        ):
            return False
        self._set_arriving(connection, 0)
        connection.phase = Phase.SERVED
        connection.served = size
        self._held += size
        self._served += size
        return True

    def end(self, connection: Connection) -> None:
        """Record that a request was answered."""
        if connection.phase is not Phase.SERVED:
            return
        self._held -= connection.served
        self._served -= connection.served
        connection.served = 0
        connection.was_served = True
        connection.phase = (
            Phase.ARRIVING if connection.arriving else Phase.IDLE
        )

    def link(self, connection: Connection) -> None:
        """Record that a connection is a link from now on."""
        self._set_arriving(connection, 0)
        connection.phase = Phase.LINK

    def stalled(
        self, idle: datetime.timedelta, now: datetime.datetime
    ) -> list[tuple[Connection, Reason]]:
        """Return the connections that have made no progress for a time."""
        found = []
        for known in self._connections.values():
            for each in known:
                blocked_at = each.blocked_at
                if blocked_at is not None and now - blocked_at > idle:
                    found.append((each, Reason.UNREAD))
                elif (
                    each.phase is Phase.ARRIVING
                    and now - each.active_at > idle
                ):
                    found.append((each, Reason.IDLE))
        return found

    def _set_arriving(self, connection: Connection, size: int) -> None:
        self._held += size - connection.arriving
        self._arriving += size - connection.arriving
        connection.arriving = size
        if connection.phase is Phase.IDLE and size:
            connection.phase = Phase.ARRIVING
        elif connection.phase is Phase.ARRIVING and not size:
            connection.phase = Phase.IDLE

    def _excess(self) -> list[Connection]:
        """Forget the largest arriving requests until the rest fits."""
        arriving = [
            each
            for known in self._connections.values()
            for each in known
            if each.arriving
        ]
        # Of several that hold the same, the oldest connection is first.
        arriving.sort(key=operator.attrgetter("arriving"), reverse=True)
        refused = []
        for each in arriving:
            if self._held <= self._limits.memory:
                break
            refused.append(each)
            self._set_arriving(each, 0)
        return refused
