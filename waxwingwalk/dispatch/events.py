"""Everything that can happen to a dispatch host."""

import dataclasses
import datetime

from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows


@dataclasses.dataclass(slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(slots=True)
class JobSubmitted:
    """A caller submitted a job here, already validated."""

    job: model.Job


@dataclasses.dataclass(slots=True)
class JobAbandoned:
    """The caller of a job left or cancelled it."""

    job_id: str


@dataclasses.dataclass(slots=True)
class CatalogRead:
    """A version of the catalog was read, from the store or from a host."""

    catalog: model.Catalog
    document: str


@dataclasses.dataclass(slots=True)
class BackendsListed:
    """The registered backend servers, all of them."""

    reports: tuple[model.BackendReport, ...]


@dataclasses.dataclass(slots=True)
class HostsListed:
    """The registered dispatch hosts, all of them."""

    hosts: tuple[model.HostRecord, ...]


@dataclasses.dataclass(slots=True)
class PoolsListed:
    """The rows of pools by pool, each with its version."""

    rows: dict[str, tuple[int, pool_rows.PoolRow]]


@dataclasses.dataclass(slots=True)
class PoolWritten:
    """The write of a pool's row was settled.

    ``version`` and ``row`` say what stands in the store now; the version is
    0 where there is no row. Both are None where the store gave no answer.
    """

    pool: str
    version: int | None
    row: pool_rows.PoolRow | None


@dataclasses.dataclass(slots=True)
class BackendsProbed:
    """Whether any backend server of a pool accepts connections."""

    pool: str
    is_reachable: bool


@dataclasses.dataclass(slots=True)
class LinkOpened:
    """A link to a host was opened by this one, or by that one."""

    link: int
    host: model.HostRecord
    is_ours: bool


@dataclasses.dataclass(slots=True)
class LinkFailed:
    """No link to a host could be opened; ``refused`` if nothing listens."""

    address: str
    refused: bool


@dataclasses.dataclass(slots=True)
class LinkClosed:
    """A link is gone."""

    link: int


@dataclasses.dataclass(slots=True)
class MessageReceived:
    """A message came over a link."""

    link: int
    message: messages.Message


@dataclasses.dataclass(slots=True)
class RunStarted:
    """An order to start a run was answered, or not."""

    incarnation: model.BackendIncarnation
    run: model.RunKey
    outcome: model.CallOutcome
    server_clock_ms: int | None


@dataclasses.dataclass(slots=True)
class RunStopped:
    """An order to stop a run was answered, or not."""

    incarnation: model.BackendIncarnation
    run: model.RunKey
    outcome: model.CallOutcome


@dataclasses.dataclass(slots=True)
class BackendPolled:
    """A backend server's lists arrived, or did not.

    ``server_clock_ms`` was its clock when it answered.
    """

    incarnation: model.BackendIncarnation
    outcome: model.CallOutcome
    server_clock_ms: int | None = None
    running: tuple[model.RunKey, ...] = ()
    ended: tuple[model.EndedRun, ...] = ()


@dataclasses.dataclass(slots=True)
class DrainRequested:
    """The process was asked to shut down within ``limit``."""

    limit: datetime.timedelta


Event = (
    Ticked
    | JobSubmitted
    | JobAbandoned
    | CatalogRead
    | BackendsListed
    | HostsListed
    | PoolsListed
    | PoolWritten
    | BackendsProbed
    | LinkOpened
    | LinkFailed
    | LinkClosed
    | MessageReceived
    | RunStarted
    | RunStopped
    | BackendPolled
    | DrainRequested
)
