"""Effects: the actions that the reducer requests."""

import dataclasses
import datetime
from typing import Any

from waxwingwalk.core import messages
from waxwingwalk.core import model


@dataclasses.dataclass(slots=True)
class SendTask:
    """Run a task on a backend server; exactly one TaskReplied follows.

    ``reason``, ``runner_up``, ``occupancy`` (the estimated share of slots in
    use) and ``estimate`` (in seconds) explain the placement in the decision
    log. A task that a backend server has refused before needs a new
    connection, as a repetition of the refusal may still arrive on the old one.
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
    use_new_connection: bool = False


@dataclasses.dataclass(slots=True)
class StopTask:
    """Stop a task whose result is no longer needed."""

    job_id: str
    index: int
    backend_id: str
    address: str


@dataclasses.dataclass(slots=True)
class ReadTaskStatus:
    """Query a backend server for the status of an overdue task."""

    job_id: str
    index: int
    attempt: int
    address: str


@dataclasses.dataclass(slots=True)
class RenewLeases:
    """Extend the leases of tasks running on a backend server."""

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
    """Deliver a job's answer to the callers that wait for it."""

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
    """Exit the process: the drain is finished."""


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
