"""Events that the reducer of an entry process handles."""

import dataclasses
import datetime
from typing import Any

from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.core import results


@dataclasses.dataclass(slots=True)
class JobSubmitted:
    """A caller submitted a job, which has been validated."""

    spec: model.JobSpec


@dataclasses.dataclass(slots=True)
class ClaimSettled:
    """The claim of a job's key was settled.

    ``code`` is None if this process holds the claim. ``holder`` is the other
    process that had claimed the key before, if any.
    """

    job_id: str
    code: results.ResultCode | None
    holder: identity.ProcessId | None = None


@dataclasses.dataclass(slots=True)
class JobCancelled:
    """A caller requested the cancellation of a job."""

    job_id: str


@dataclasses.dataclass(slots=True)
class TaskReplied:
    """An attempt to run a task ended.

    ``running`` is the number of running tasks that the backend server
    reported, None if it reported none; ``leaving`` means that it reported
    that it is leaving. ``reply_task`` is the task that the reply names, and
    ``reply_incarnation`` the incarnation of the entry process that it names
    as the sender of the task; both are None if there was no reply.
    """

    job_id: str
    index: int
    attempt: int
    backend_id: str
    outcome: model.TaskOutcome
    result: Any = None
    detail: str = ""
    leaving: bool = False
    running: int | None = None
    reply_task: str | None = None
    reply_incarnation: str | None = None


@dataclasses.dataclass(slots=True)
class TaskStatusRead:
    """The status query for an overdue task ended.

    ``is_known`` is None if the query got no reply.
    """

    job_id: str
    index: int
    attempt: int
    is_known: bool | None


@dataclasses.dataclass(slots=True)
class BackendsListed:
    """The platform's host list was read."""

    backends: list[model.BackendSpec]


@dataclasses.dataclass(slots=True)
class PeersListed:
    """The addresses at which entry processes are expected were read."""

    addresses: list[str]


@dataclasses.dataclass(slots=True)
class PeerLinkOpened:
    """A link to a peer was opened, by either side."""

    address: str
    incarnation: str


@dataclasses.dataclass(slots=True)
class PeerLinkClosed:
    """A link to a peer was lost.

    ``refused`` means that a connection was refused, as nothing listens at
    the address.
    """

    address: str
    incarnation: str | None
    refused: bool = False


@dataclasses.dataclass(slots=True)
class PeerMessageReceived:
    """A peer sent a message."""

    address: str
    incarnation: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class SettingsRead:
    """A settings revision arrived, from the store or a peer.

    ``is_new`` is set in the process whose change created the revision, and
    makes it announce the revision to its peers.
    """

    document: str
    is_new: bool = False


@dataclasses.dataclass(slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(slots=True)
class DrainRequested:
    """A graceful shutdown of the process was requested."""

    deadline: datetime.timedelta


@dataclasses.dataclass(slots=True)
class DrainForced:
    """An immediate end of the shutdown was requested."""


Event = (
    JobSubmitted
    | ClaimSettled
    | JobCancelled
    | TaskReplied
    | TaskStatusRead
    | BackendsListed
    | PeersListed
    | PeerLinkOpened
    | PeerLinkClosed
    | PeerMessageReceived
    | SettingsRead
    | Ticked
    | DrainRequested
    | DrainForced
)
