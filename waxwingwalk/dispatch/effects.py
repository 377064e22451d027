"""Effects that the reducer of a dispatch host requests."""

import datetime
from typing import Any

import msgspec

from waxwingwalk.core import clock
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows


class StartRun(msgspec.Struct):
    """Order a backend server to run a task; RunStarted follows.

    ``lease_ends_ms`` is a time on the backend server's own clock. The order
    must not leave this host later than ``send_by``, on this host's clock.
    """

    incarnation: model.BackendIncarnation
    address: str
    fence: int
    run: model.RunKey
    spec: str
    lease_ends_ms: int
    send_by: datetime.datetime = clock.DISTANT_FUTURE


class StopRun(msgspec.Struct):
    """Order a backend server to stop a run; RunStopped follows."""

    incarnation: model.BackendIncarnation
    address: str
    fence: int
    run: model.RunKey


class PollBackend(msgspec.Struct):
    """Fetch a backend server's lists of runs, and renew its lease.

    BackendPolled follows. The lease is left as it is if ``lease_ends_ms`` is
    None. The server may delay the reply for up to ``wait``, until a run ends.
    It no longer lists ends up to the serial number ``acknowledged``.
    ``number`` counts the polls of a server by this host; the event repeats it.
    """

    incarnation: model.BackendIncarnation
    address: str
    fence: int
    acknowledged: int
    lease_ends_ms: int | None
    wait: datetime.timedelta
    number: int | None = None


class Send(msgspec.Struct):
    """Send a message over a link; it is dropped if the link is gone."""

    link: int
    message: messages.Message


class LinkHosts(msgspec.Struct):
    """Keep links to exactly these hosts."""

    hosts: frozenset[str]


class CloseLink(msgspec.Struct):
    """Close a link over which nothing has been received for too long."""

    link: int
    reason: str


class AnswerJob(msgspec.Struct):
    """Send the answer of a job to the caller that waits for it here.

    ``reason`` is a short text for the caller, logs and metrics.
    """

    job_id: str
    outcome: model.JobOutcome
    reason: str
    retry_after: datetime.timedelta | None


class WritePool(msgspec.Struct):
    """Write the row of a pool if its version is still ``if_version``."""

    pool: str
    row: pool_rows.PoolRow
    if_version: int


class ProbeBackends(msgspec.Struct):
    """Check whether any of these addresses accepts connections."""

    pool: str
    addresses: tuple[str, ...]


class DecodeCatalog(msgspec.Struct):
    """Decode the operators' document.

    CatalogRead follows, or CatalogRejected if it is malformed.
    """

    document: str


class Log(msgspec.Struct):
    """Write a log line."""

    event: str
    fields: dict[str, Any]


class ReadConnections(msgspec.Struct):
    """Read what callers' connections have received; ConnectionsRead follows.

    ``pause`` is the number of the pause after which this is requested.
    """

    pause: int


class ReportFailure(msgspec.Struct):
    """Report an unexpected error, which cost only the step named."""

    where: str
    error: Any


class Exit(msgspec.Struct):
    """End the process: the drain has ended, or its time is over."""


Effect = (
    StartRun
    | StopRun
    | PollBackend
    | Send
    | LinkHosts
    | CloseLink
    | AnswerJob
    | WritePool
    | ProbeBackends
    | DecodeCatalog
    | Log
    | ReadConnections
    | ReportFailure
    | Exit
)
Effects = list[Effect]
