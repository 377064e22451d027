"""Events that the reducer of a dispatch host handles."""

import datetime

import msgspec

from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows


class Ticked(msgspec.Struct):
    """Time passed."""


class JobSubmitted(msgspec.Struct):
    """A caller submitted a job here, which has been validated."""

    job: model.Job


class JobAbandoned(msgspec.Struct):
    """The caller of a job left or cancelled it."""

    job_id: str


class CatalogRead(msgspec.Struct):
    """A version of the catalog was read, from the store or from a host."""

    catalog: model.Catalog
    document: str


class CatalogRejected(msgspec.Struct):
    """A document of the catalog is malformed."""

    document: str


class EvacuationsListed(msgspec.Struct):
    """All rows that evacuate zones were listed.

    ``zones`` has the versions of the rows, ``version`` is that of the store.
    """

    zones: dict[str, int]
    version: int


class BackendsListed(msgspec.Struct):
    """All registered backend servers were listed.

    ``version`` is that of the store, 0 if it is not known.
    """

    reports: tuple[model.BackendReport, ...]
    version: int = 0


class HostsListed(msgspec.Struct):
    """All registered dispatch hosts were listed."""

    hosts: tuple[model.HostRecord, ...]


class PoolsListed(msgspec.Struct):
    """The rows of all pools were listed, each with its version.

    Malformed rows are None.
    """

    rows: dict[str, tuple[int, pool_rows.PoolRow | None]]


class PoolWritten(msgspec.Struct):
    """The write of a pool's row ended.

    ``version`` and ``row`` are those in the store now; the version is 0 if
    there is no row, and the row is None if it is malformed. Both are None if
    the store did not answer.
    """

    pool: str
    version: int | None
    row: pool_rows.PoolRow | None


class BackendsProbed(msgspec.Struct):
    """The backend servers of a pool were probed.

    ``is_reachable`` is whether any of them accepts connections.
    """

    pool: str
    is_reachable: bool


class LinkOpened(msgspec.Struct):
    """A link between this host and another one was opened.

    ``is_outbound`` is whether this host opened it.
    """

    link: int
    host: model.HostRecord
    is_outbound: bool


class LinkFailed(msgspec.Struct):
    """A link to a host could not be opened.

    ``refused`` is whether the connection was refused, as nothing listens.
    """

    address: str
    refused: bool


class LinkClosed(msgspec.Struct):
    """A link was closed."""

    link: int


class MessageReceived(msgspec.Struct):
    """A message was received over a link."""

    link: int
    message: messages.Message


class RunStarted(msgspec.Struct):
    """An order to start a run was answered, or got no answer."""

    incarnation: model.BackendIncarnation
    run: model.RunKey
    outcome: model.CallOutcome
    server_clock_ms: int | None


class RunStopped(msgspec.Struct):
    """An order to stop a run was answered, or got no answer.

    ``fence`` is that of the order.
    """

    incarnation: model.BackendIncarnation
    run: model.RunKey
    outcome: model.CallOutcome
    fence: int | None = None


class BackendPolled(msgspec.Struct):
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


class ConnectionsRead(msgspec.Struct):
    """What callers' connections received until the end of a pause was read.

    ``pause`` is the number of the pause.
    """

    pause: int


class DrainRequested(msgspec.Struct):
    """The process was asked to shut down within ``limit``."""

    limit: datetime.timedelta


Event = (
    Ticked
    | JobSubmitted
    | JobAbandoned
    | CatalogRead
    | CatalogRejected
    | EvacuationsListed
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
