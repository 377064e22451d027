"""Events that the reducer of a dispatch host handles."""

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
    """A caller submitted a job here, which has been validated."""

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
    """All registered backend servers were listed."""

    reports: tuple[model.BackendReport, ...]


@dataclasses.dataclass(slots=True)
class HostsListed:
    """All registered dispatch hosts were listed."""

    hosts: tuple[model.HostRecord, ...]


@dataclasses.dataclass(slots=True)
class PoolsListed:
    """The rows of all pools were listed, each with its version."""

    rows: dict[str, tuple[int, pool_rows.PoolRow]]


@dataclasses.dataclass(slots=True)
class PoolWritten:
    """The write of a pool's row ended.

    ``version`` and ``row`` are those in the store now; the version is 0 if
    there is no row. Both are None if the store did not answer.
    """

    pool: str
    version: int | None
    row: pool_rows.PoolRow | None


@dataclasses.dataclass(slots=True)
class BackendsProbed:
    """The backend servers of a pool were probed.

    ``is_reachable`` is whether any of them accepts connections.
    """

    pool: str
    is_reachable: bool


@dataclasses.dataclass(slots=True)
class LinkOpened:
    """A link between this host and another one was opened.

    ``is_outbound`` is whether this host opened it.
    """

    link: int
    host: model.HostRecord
    is_outbound: bool


@dataclasses.dataclass(slots=True)
class LinkFailed:
    """A link to a host could not be opened.

    ``refused`` is whether the connection was refused, as nothing listens.
    """

    address: str
    refused: bool


@dataclasses.dataclass(slots=True)
class LinkClosed:
    """A link was closed."""

    link: int


@dataclasses.dataclass(slots=True)
class MessageReceived:
    """A message was received over a link."""

    link: int
    message: messages.Message


@dataclasses.dataclass(slots=True)
class RunStarted:
    """An order to start a run was answered, or got no answer."""

    incarnation: model.BackendIncarnation
    run: model.RunKey
    outcome: model.CallOutcome
    server_clock_ms: int | None


@dataclasses.dataclass(slots=True)
class RunStopped:
    """An order to stop a run was answered, or got no answer.

    ``fence`` is that of the order.
    """

    incarnation: model.BackendIncarnation
    run: model.RunKey
    outcome: model.CallOutcome
    fence: int | None = None


@dataclasses.dataclass(slots=True)
class BackendPolled:
    """A poll of a backend server was answered, or got no answer.

    ``server_clock_ms`` is what the server's clock showed when it answered,
    ``fence`` the fence of the poll. ``successor`` is the incarnation that
    answered, if the server has restarted under its id. ``number`` is that of
    the poll. ``percents`` is the progress of each run in ``running`` as the
    server reports it, empty if it reports none.
    """

    incarnation: model.BackendIncarnation
    outcome: model.CallOutcome
    server_clock_ms: int | None = None
    running: tuple[model.RunKey, ...] = ()
    ended: tuple[model.EndedRun, ...] = ()
    fence: int | None = None
    successor: model.BackendIncarnation | None = None
    number: int | None = None
    percents: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True)
class ConnectionsRead:
    """What callers' connections received until the end of a pause was read.

    ``pause`` is the number of the pause.
    """

    pause: int


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
    | ConnectionsRead
    | DrainRequested
)
