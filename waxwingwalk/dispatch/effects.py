"""Effects that the reducer of a dispatch host requests."""

import dataclasses
import datetime
from typing import Any

from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows


@dataclasses.dataclass(slots=True)
class StartRun:
    """Order a backend server to run a task; RunStarted follows.

    ``lease_ends_ms`` is a time on the backend server's own clock.
    """

    incarnation: model.BackendIncarnation
    address: str
    fence: int
    run: model.RunKey
    spec: str
    lease_ends_ms: int


@dataclasses.dataclass(slots=True)
class StopRun:
    """Order a backend server to stop a run; RunStopped follows."""

    incarnation: model.BackendIncarnation
    address: str
    fence: int
    run: model.RunKey


@dataclasses.dataclass(slots=True)
class PollBackend:
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


@dataclasses.dataclass(slots=True)
class Send:
    """Send a message over a link; it is dropped if the link is gone."""

    link: int
    message: messages.Message


@dataclasses.dataclass(slots=True)
class LinkHosts:
    """Keep links to exactly these hosts."""

    hosts: frozenset[str]


@dataclasses.dataclass(slots=True)
class CloseLink:
    """Close a link over which nothing has been received for too long."""

    link: int
    reason: str


@dataclasses.dataclass(slots=True)
class AnswerJob:
    """Send the answer of a job to the caller that waits for it here.

    ``reason`` is a short text for the caller, logs and metrics.
    """

    job_id: str
    outcome: model.JobOutcome
    reason: str
    retry_after: datetime.timedelta | None


@dataclasses.dataclass(slots=True)
class WritePool:
    """Write the row of a pool if its version is still ``if_version``."""

    pool: str
    row: pool_rows.PoolRow
    if_version: int


@dataclasses.dataclass(slots=True)
class ProbeBackends:
    """Check whether any of these addresses accepts connections."""

    pool: str
    addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class DecodeCatalog:
    """Decode the operators' document; CatalogRead follows if it is valid."""

    document: str


@dataclasses.dataclass(slots=True)
class Log:
    """Write a log line."""

    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True)
class ReadConnections:
    """Read what callers' connections have received; ConnectionsRead follows.

    ``pause`` is the number of the pause after which this is requested.
    """

    pause: int


@dataclasses.dataclass(slots=True)
class Exit:
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
    | Exit
)
Effects = list[Effect]
