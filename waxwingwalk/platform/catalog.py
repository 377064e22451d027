"""The operators' configuration, and the rows of backend servers."""

import datetime
import math
from typing import Annotated
from typing import Any
from typing import Literal

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


# Bound of durations in milliseconds, eleven days. Far longer ones do not fit
# into the types of the standard library.
MILLISECONDS_MAX = 10**9
# Bound of readings of a clock in milliseconds, three centuries.
CLOCK_MS_MAX = 10**13
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
    # The worker's clock when it wrote the row, and how much longer it is slow.
    # A worker is usable whatever is written there.
    clock_ms: Any = 0
    cold_left_ms: Any = 0


def decode_catalog(document: bytes | str) -> result.Result[model.Catalog, str]:
    """Return the catalog in the operators' document, or an error message."""
    try:
        content = _Config.model_validate_json(document)
    except pydantic.ValidationError as error:
        return result.Failure(str(error))
    return result.Success(
        model.Catalog(
            version=content.version,
            queues=tuple(_to_queue(route) for route in content.routes),
            services=frozenset(each.name for each in content.backends),
            limits=model.RequestLimits(
                body_bytes=content.limits.max_body_bytes,
                header_bytes=content.limits.max_header_bytes,
                idle=_milliseconds(content.limits.idle_timeout_ms),
            ),
        )
    )


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
            warm_at_ms=_warm_at_ms(worker),
        )
    )


def _warm_at_ms(worker: _Worker) -> int:
    """Return when a worker is warm on its own clock, 0 if it is now.

    The time is the same in all of its rows, whenever they are read. A worker
    with malformed times counts as warm.
    """
    total = 0.0
    for time in (worker.clock_ms, worker.cold_left_ms):
        if not isinstance(time, int | float) or not 0 <= time <= CLOCK_MS_MAX:
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
    """Decodes catalogs, and logs malformed ones."""

    def __init__(self, log: follower.FollowerLog) -> None:
        self._log = log

    def decode(self, document: str) -> model.Catalog | None:
        """Return the catalog, None if the document is malformed."""
        decoded = decode_catalog(document)
        catalog = decoded.value_or(None)
        if catalog is None:
            self._log.info(
                "catalog.malformed", error=decoded.failure()[:ERROR_MAX]
            )
        return catalog


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)
