"""Everything that the reducer can ask for."""

import dataclasses
import datetime
from typing import Any

from waxwingwalk.core import messages
from waxwingwalk.core import model


@dataclasses.dataclass(slots=True)
class SendTask:
    """Run a task on a backend server; exactly one TaskReplied follows.

    ``reason``, ``runner_up``, ``occupancy`` (the share of slots thought to
    be in use) and ``estimate`` (seconds) explain the placement in the
    decision log.
    """

    job_id: str
    index: int
    attempt: int
    backend_id: str
    address: str
    service: str
    payload: Any
    lease: datetime.timedelta
    timeout: datetime.timedelta
    reason: str
    runner_up: str | None
    occupancy: float
    estimate: float


@dataclasses.dataclass(slots=True)
class StopTask:
    """Stop a task that no answer needs any more."""

    job_id: str
    index: int
    backend_id: str
    address: str


@dataclasses.dataclass(slots=True)
class ReadTaskStatus:
    """Ask a backend server about an overdue task."""

    job_id: str
    index: int
    attempt: int
    address: str


@dataclasses.dataclass(slots=True)
class RenewLeases:
    """Extend the leases of tasks that are still running there."""

    backend_id: str
    address: str
    tasks: list[tuple[str, int]]
    lease: datetime.timedelta


@dataclasses.dataclass(slots=True)
class ClaimKey:
    """Claim a job's key in the table service; ClaimSettled follows."""

    job_id: str
    team: str
    key: str


@dataclasses.dataclass(slots=True)
class DeliverAnswer:
    """Release a job's answer to whoever waits for it."""

    answer: model.Answer


@dataclasses.dataclass(slots=True)
class SendToPeer:
    """Send a message to a peer."""

    address: str
    message: messages.Message


@dataclasses.dataclass(slots=True)
class FetchSettings:
    """Fetch the newest settings revision from a peer."""

    address: str


@dataclasses.dataclass(slots=True)
class Log:
    """Write a log line."""

    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True)
class Exit:
    """The drain is over; the process may end."""


Effect = (
    SendTask
    | StopTask
    | ReadTaskStatus
    | RenewLeases
    | ClaimKey
    | DeliverAnswer
    | SendToPeer
    | FetchSettings
    | Log
    | Exit
)
