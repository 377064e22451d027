"""The operators' configuration, and the rows of backend servers."""

import asyncio
from collections.abc import Iterator
import datetime
import functools
import math
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
from returns import result
import yarl

from waxwingwalk.connections import limits
from waxwingwalk.core import decoding
from waxwingwalk.dispatch import model
from waxwingwalk.store import follower
from waxwingwalk.store import rows as store_rows

# Tables of the store that the platform writes.
OPERATORS_TABLE = "op"
BACKENDS_TABLE = "servers"
# Key of the operators' row that holds the newest configuration in full.
CONFIG_KEY = "config"
# Prefix of the keys of operators' rows that each evacuate a zone; the zone's
# name follows. The evacuation ends when the row is removed.
EVACUATION_PREFIX = "evacuate/"
# Minimum time between reads of the backend servers' table. Servers write their
# rows about every 1.5 s. A draining server may be given work for two more
# seconds, and this interval leaves most of that time.
BACKENDS_INTERVAL = datetime.timedelta(milliseconds=500)
# The same for a host that neither schedules a pool nor may create the row of
# one. It needs the servers to find pools without a scheduler, and to know some
# servers if it takes over a pool while the store is down.
BACKENDS_INTERVAL_IDLE = datetime.timedelta(seconds=5)
# Maximum length of a validation error in a log line, in characters.
ERROR_MAX = 300
# Maximum length of the names of servers and zones, in characters.
NAME_MAX = 200
# The product of this and the longest estimate of a job, eleven days, can be
# added to a time.
STRETCH_MAX = 1000
# Addresses whose check is kept. Each server repeats its row every 1.5 s.
ADDRESSES_CACHED = 4096
# Queues that are decoded before the event loop runs again.
QUEUES_PER_STEP = 100


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # The service whose backend servers run the queue's tasks.
    backend: str
    priority: decoding.Integer = 1
    attempts: Annotated[int, msgspec.Meta(ge=1, le=decoding.COUNT_MAX)] = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=STRETCH_MAX)] = 1.6
    # A job's target response time is ``stretch`` times the duration of its
    # critical path, plus this time.
    slo_ms: decoding.Milliseconds = 60.0
    timeout_ms: decoding.Milliseconds = 1500.0


class _Service(msgspec.Struct):
    name: str


class _RequestLimits(msgspec.Struct):
    max_header_bytes: decoding.Count = 16384
    max_body_bytes: decoding.Count = 262144
    idle_timeout_ms: decoding.Milliseconds = 15000.0


class _Config(msgspec.Struct):
    version: decoding.Count
    routes: list[_Route] = []
    backends: list[_Service] = []
    limits: _RequestLimits = msgspec.field(default_factory=_RequestLimits)


# The operators' document, with its members not decoded.
_RAW_DOCUMENT = dict[str, msgspec.Raw]


class _Room(msgspec.Struct):
    # Thousandths of a core.
    cpu: decoding.Amount = 0
    mem_mb: decoding.Amount = 0
    gpu: decoding.Amount = 0


class _Worker(msgspec.Struct):
    backend: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    room: _Room
    labels: list[str] = []
    # Start of this incarnation, in Unix milliseconds.
    born: decoding.ClockMs = 0
    # The worker's clock when it wrote the row, and how much longer it is slow.
    # A worker is usable whatever is written there.
    clock_ms: Any = 0
    cold_left_ms: Any = 0


_config_decoder: decoding.Decoder[_Config] = decoding.Decoder(_Config)
_route_decoder: decoding.Decoder[_Route] = decoding.Decoder(_Route)
_worker_decoder: decoding.Decoder[_Worker] = decoding.Decoder(
    _Worker, strict=True
)


class _Decoding:
    """The decoding of one document, in steps of a bounded number of queues.

    ``known`` are queues by their JSON, which are not decoded again. ``queues``
    are those of this document; ``catalog`` is set after the last step.
    """

    def __init__(
        self, document: bytes | str, known: dict[bytes, model.Queue]
    ) -> None:
        self._document = document
        self._known = known
        self.queues: dict[bytes, model.Queue] = {}
        self.catalog: model.Catalog | None = None

    def run(self) -> Iterator[None]:
        """Decode the document; each item that is produced ends a step.

        Raise ``ValueError`` or ``RecursionError`` if it is malformed.
        """
        content = msgspec.json.decode(self._document, type=_RAW_DOCUMENT)
        routes = content.pop("routes", msgspec.Raw(b"[]"))
        yield
        raw_queues = msgspec.json.decode(routes, type=list[msgspec.Raw])
        head = _config_decoder.decode(msgspec.json.encode(content))
        yield
        found = []
        index = model.QueueIndex()
        for number, raw_queue in enumerate(raw_queues, start=1):
            queue = self._decode_queue(bytes(raw_queue))
            found.append(queue)
            index.add(queue)
            if not number % QUEUES_PER_STEP:
                yield
        self.catalog = model.Catalog(
            version=head.version,
            queues=tuple(found),
            services=frozenset(each.name for each in head.backends),
            limits=limits.RequestLimits(
                body_bytes=head.limits.max_body_bytes,
                header_bytes=head.limits.max_header_bytes,
                idle=_milliseconds(head.limits.idle_timeout_ms),
            ),
            index=index,
        )

    def _decode_queue(self, content: bytes) -> model.Queue:
        queue = self._known.get(content)
        if queue is None:
            queue = _to_queue(_route_decoder.decode(content))
        self.queues[content] = queue
        return queue


def decode_catalog(document: bytes | str) -> result.Result[model.Catalog, str]:
    """Return the catalog in the operators' document, or an error message."""
    steps = _Decoding(document, {})
    try:
        for _ in steps.run():
            pass
    except (ValueError, RecursionError) as error:
        return result.Failure(str(error))
    assert steps.catalog is not None
    return result.Success(steps.catalog)


def _to_queue(route: _Route) -> model.Queue:
    return model.Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        service=route.backend,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        objective=_milliseconds(route.slo_ms),
        timeout=_milliseconds(route.timeout_ms),
    )


def decode_backend(
    key: str, value: bytes
) -> result.Result[model.BackendReport, str]:
    """Return the report in a backend server's row, or an error message.

    The server's id, which is the key, is sent in a header of each call.
    """
    try:
        worker = _worker_decoder.decode(value)
    except decoding.MalformedError as error:
        return result.Failure(str(error))
    if not _is_name(key):
        return result.Failure("the key is not a printable name")
    if not _is_name(worker.zone):
        return result.Failure("zone: not a printable name")
    if not _is_address(worker.address):
        return result.Failure("address: not a host and a port")
    room = worker.room
    return result.Success(
        model.BackendReport(
            incarnation=model.BackendIncarnation(key, worker.born),
            service=worker.backend,
            address=worker.address,
            zone=worker.zone,
            advertised_state=model.AdvertisedState(worker.state),
            capacity=model.Resources(room.cpu, room.mem_mb, room.gpu),
            labels=frozenset(worker.labels),
            warm_at_ms=_warm_at_ms(worker),
        )
    )


def _is_name(text: str) -> bool:
    return 0 < len(text) <= NAME_MAX and text.isprintable()


@functools.lru_cache(maxsize=ADDRESSES_CACHED)
def _is_address(text: str) -> bool:
    """Return whether a URL can be formed from a server's address."""
    host, _, port = text.rpartition(":")
    try:
        url = yarl.URL(f"http://{text}/")
    except ValueError:
        return False
    return (
        bool(host)
        and port.isascii()
        and port.isdigit()
        and url.explicit_port == int(port)
        and int(port) > 0
        and url.host == host.strip("[]").lower()
        and url.user is None
    )


def _warm_at_ms(worker: _Worker) -> int:
    """Return when a worker is warm on its own clock, 0 if it is now.

    The time is the same in all of its rows, whenever they are read. A worker
    with malformed times counts as warm.
    """
    total = 0.0
    for time in (worker.clock_ms, worker.cold_left_ms):
        if (
            not isinstance(time, int | float)
            or not 0 <= time <= decoding.CLOCK_MS_MAX
        ):
            return 0
        total += time
    return math.ceil(total) if worker.cold_left_ms else 0


def evacuated_zones(rows: follower.TableRows) -> dict[str, int]:
    """Return the zones that operators' rows evacuate, with the versions.

    The key says all; the content of a row does not matter, so that a mistake
    there does not start tasks in the zone.
    """
    return {
        key.removeprefix(EVACUATION_PREFIX): row.version
        for key, row in rows.items()
        if key.startswith(EVACUATION_PREFIX) and key != EVACUATION_PREFIX
    }


class BackendRowDecoder:
    """Decodes the rows of backend servers, each version of a row once."""

    def __init__(self, log: follower.FollowerLog) -> None:
        self._log = log
        self._reports: dict[str, tuple[int, model.BackendReport | None]] = {}

    def decode(
        self, rows: follower.TableRows
    ) -> tuple[model.BackendReport, ...]:
        """Return the reports; malformed rows are logged and left out."""
        for key in self._reports.keys() - rows.keys():
            del self._reports[key]
        for key, row in rows.items():
            known = self._reports.get(key)
            if known is None or known[0] != row.version:
                self._reports[key] = (row.version, self._decode(row))
        return tuple(
            report
            for _, report in self._reports.values()
            if report is not None
        )

    def _decode(self, row: store_rows.StoredRow) -> model.BackendReport | None:
        try:
            decoded = decode_backend(row.key, row.value or b"")
        except Exception as error:
            # Other rows are not affected.
            decoded = result.Failure(f"{type(error).__name__}: {error}")
        report = decoded.value_or(None)
        if report is None:
            self._log.info(
                "row.malformed",
                table=BACKENDS_TABLE,
                key=row.key,
                error=decoded.failure()[:ERROR_MAX],
            )
        return report


class CatalogDecoder:
    """Decodes catalogs one after the other, and logs malformed ones.

    The event loop runs between the steps. Queues that have not changed since
    the last catalog are used again.
    """

    def __init__(self, log: follower.FollowerLog) -> None:
        self._log = log
        self._queues: dict[bytes, model.Queue] = {}
        self._lock = asyncio.Lock()

    async def decode(self, document: str) -> model.Catalog | None:
        """Return the catalog, None if the document is malformed."""
        async with self._lock:
            steps = _Decoding(document, self._queues)
            try:
                for _ in steps.run():
                    await asyncio.sleep(0)
            except (ValueError, RecursionError) as error:
                self._log.info(
                    "catalog.malformed", error=str(error)[:ERROR_MAX]
                )
                return None
            self._queues = steps.queues
            # The catalog takes effect in a turn of the event loop of its own.
            await asyncio.sleep(0)
            return steps.catalog


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)
