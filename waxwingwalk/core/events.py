"""Everything that can happen to an entry process."""

import dataclasses
import datetime
from typing import Any

from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.core import results


@dataclasses.dataclass(slots=True)
class JobSubmitted:
    """A caller submitted a job, already validated."""

    spec: model.JobSpec


@dataclasses.dataclass(slots=True)
class ClaimSettled:
    """The claim of a job's key ended; ``code`` is None when it is ours.

    ``holder`` is the other process whose claim came first, if any.
    """

    job_id: str
    code: results.ResultCode | None
    holder: identity.ProcessId | None = None


@dataclasses.dataclass(slots=True)
class JobCancelled:
    """A caller asked for a job to be cancelled."""

    job_id: str


@dataclasses.dataclass(slots=True)
class TaskReplied:
    """An attempt to run a task ended.

    ``running`` is how many tasks the backend server says that it runs, if it
    says so. ``reply_task`` and ``reply_incarnation`` are what the reply
    itself said it answers, None where there was no reply.
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
    """An overdue task was looked up; ``is_known`` is None with no reply."""

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
    """Addresses at which entry processes are expected."""

    addresses: list[str]


@dataclasses.dataclass(slots=True)
class PeerLinkOpened:
    """A link to a peer was opened, by either side."""

    address: str
    incarnation: str


@dataclasses.dataclass(slots=True)
class PeerLinkClosed:
    """A link to a peer was lost; ``refused`` if nothing listens there."""

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

    ``is_new`` is set by the process that has just had it accepted, and makes
    it tell its peers.
    """

    document: str
    is_new: bool = False


@dataclasses.dataclass(slots=True)
class Ticked:
    """Time passed."""


@dataclasses.dataclass(slots=True)
class DrainRequested:
    """The process was asked to shut down."""

    deadline: datetime.timedelta


@dataclasses.dataclass(slots=True)
class DrainForced:
    """The shutdown must end now."""


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
