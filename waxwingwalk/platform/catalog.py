"""The operators' configuration, and the rows of backend servers."""

import asyncio
from collections.abc import Iterator
import datetime
from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
import orjson
import pydantic
from returns import result

from waxwingwalk.dispatch import model
from waxwingwalk.store import follower
from waxwingwalk.store import rows as store_rows

# Tables of the store that the platform writes.
OPERATORS_TABLE = "op"
BACKENDS_TABLE = "servers"
# Key of the operators' row that holds the newest configuration in full.
CONFIG_KEY = "config"
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
# Queues that are decoded before the event loop runs again.
QUEUES_PER_STEP = 100


# Bound of durations in milliseconds, eleven days. Far longer ones do not fit
# into the types of the standard library.
MILLISECONDS_MAX = 10**9
Milliseconds = Annotated[
    float, pydantic.Field(ge=-MILLISECONDS_MAX, le=MILLISECONDS_MAX)
]


class _Route(pydantic.BaseModel):
    name: str
    host: str
    prefix: str
    # The service whose backend servers run the queue's tasks.
    backend: str
    priority: int = 1
    attempts: int = pydantic.Field(1, ge=1)
    stretch: float = 1.6
    # A job's target response time is ``stretch`` times the duration of its
    # critical path, plus this time.
    slo_ms: Milliseconds = 60.0
    timeout_ms: Milliseconds = 1500.0


class _Service(pydantic.BaseModel):
    name: str


class _RequestLimits(pydantic.BaseModel):
    max_header_bytes: int = 16384
    max_body_bytes: int = 262144
    idle_timeout_ms: Milliseconds = 15000.0


class _Config(pydantic.BaseModel):
    version: int
    routes: list[_Route] = []
    backends: list[_Service] = []
    limits: _RequestLimits = _RequestLimits()


# The operators' document, with its members not decoded.
_RAW_DOCUMENT = dict[str, msgspec.Raw]


class _Room(pydantic.BaseModel):
    # Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Worker(pydantic.BaseModel):
    backend: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    room: _Room
    labels: list[str] = []
    # Start of this incarnation, in Unix milliseconds.
    born: int = 0


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
        head = _Config.model_validate_json(msgspec.json.encode(content))
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
            limits=model.RequestLimits(
                body_bytes=head.limits.max_body_bytes,
                header_bytes=head.limits.max_header_bytes,
                idle=_milliseconds(head.limits.idle_timeout_ms),
            ),
            index=index,
        )

    def _decode_queue(self, content: bytes) -> model.Queue:
        queue = self._known.get(content)
        if queue is None:
            queue = _to_queue(_Route.model_validate_json(content))
        self.queues[content] = queue
        return queue


def decode_catalog(document: bytes | str) -> result.Result[model.Catalog, str]:
    """Return the catalog in the operators' document, or an error message."""
    decoding = _Decoding(document, {})
    try:
        for _ in decoding.run():
            pass
    except (ValueError, RecursionError) as error:
        return result.Failure(str(error))
    assert decoding.catalog is not None
    return result.Success(decoding.catalog)


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
    """Return the report in a backend server's row, or an error message."""
    try:
        content: Any = orjson.loads(value)
        worker = _Worker.model_validate(content, strict=True)
    except (orjson.JSONDecodeError, pydantic.ValidationError) as error:
        return result.Failure(str(error))
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
        )
    )


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
        decoded = decode_backend(row.key, row.value or b"")
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
            decoding = _Decoding(document, self._queues)
            try:
                for _ in decoding.run():
                    await asyncio.sleep(0)
            except (ValueError, RecursionError) as error:
                self._log.info(
                    "catalog.malformed", error=str(error)[:ERROR_MAX]
                )
                return None
            self._queues = decoding.queues
            # The catalog takes effect in a turn of the event loop of its own.
            await asyncio.sleep(0)
            return decoding.catalog


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)
