"""Protocols of the routing policies.

Each is chosen by a setting of the same name, resolved in
:mod:`waxwingwalk.wiring`, and called by the reducer. None performs I/O.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import datetime
from typing import Protocol

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.jobs import job as jobs
from waxwingwalk.routing import backends


class JobOrder(Protocol):
    """Orders the jobs of one team; the smallest key goes first."""

    def key(self, job: jobs.Job) -> float:
        """Return the job's key. It may only fall while the job runs."""
        ...


class PlacementRound(Protocol):
    """Places several tasks in a row on the backend servers idle now."""

    def choose(self, request: "PlacementRequest") -> "Choice | None":
        """Return the choice, or None to keep the task waiting."""
        ...

    def placed(self, backend: backends.Backend, *, is_idle: bool) -> None:
        """Note that a task went there, and whether more may."""
        ...


class Placement(Protocol):
    """Chooses backend servers for tasks."""

    def round(
        self, service: str, idle: Sequence[backends.Backend]
    ) -> PlacementRound:
        """Return a round over the backend servers that are idle."""
        ...

    def refresh(self, service: str) -> None:
        """Bring what is derived from estimates up to date."""
        ...


class SlotSharing(Protocol):
    """Decides which slots this process may use now."""

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        """Return the backend servers with a slot to use right now.

        ``only`` asks about a single one, whose load has just changed.
        """
        ...

    def take(self, backend: backends.Backend) -> bool:
        """Occupy a slot, also where none is idle; True if one more is."""
        ...

    def release(
        self, backend_id: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Free a slot that was taken."""
        ...

    def demand(
        self,
        service: str,
        waiting: int,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        """State how many tasks of a service wait for a slot.

        ``teams`` gives the waiting teams with their weights.
        """
        ...

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        """Do what has become due."""
        ...

    def topology_changed(self, now: datetime.datetime) -> list[effects.Effect]:
        """Take in a change of members or backend servers."""
        ...

    def peer_connected(
        self, address: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Take in a new link to a peer: earlier messages may be lost."""
        ...

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Take in a slot message from a peer."""
        ...

    def free_hints(self) -> dict[str, int]:
        """Return the free slots that peers may ask this process for."""
        ...

    def note_usage(
        self, backend_id: str, running: int, now: datetime.datetime
    ) -> None:
        """Take in how many tasks a backend server says that it runs.

        Called before the slot of the replied task is released; the count
        leaves that task out.
        """
        ...

    def stated_load(self) -> dict[str, float]:
        """Return the load to state to peers: mean running tasks."""
        ...

    def served_services(self) -> Collection[str]:
        """Return services whose idle slots changed since the last call."""
        ...


class Admission(Protocol):
    """Decides whether a job is queued at all."""

    def refusal(
        self, request: "AdmissionRequest"
    ) -> datetime.timedelta | None:
        """Return None to admit, or how long to wait before coming back."""
        ...


class OutlierDetector(Protocol):
    """Tells a bad backend server from a bad job."""

    def task_done(self, backend_id: str, task_class: str) -> None:
        """Count a task that ran well."""
        ...

    def task_failed(self, backend_id: str, task_class: str) -> bool:
        """Count a failed task; True if the backend server is now bad."""
        ...

    def forget(self, backend_id: str) -> None:
        """Drop all evidence against a backend server."""
        ...


class PlacementRequest:
    """The task to place: what it needs and what waits behind it."""

    __slots__ = ("task", "service", "base_estimate", "waiting")

    def __init__(
        self,
        task: model.TaskSpec,
        service: str,
        base_estimate: float,
        waiting: int,
    ) -> None:
        self.task = task
        self.service = service
        # Seconds on a backend server of ordinary speed.
        self.base_estimate = base_estimate
        # Tasks of the service that wait, this one included.
        self.waiting = waiting


class Choice:
    """A backend server, the next best one, and why."""

    __slots__ = ("backend", "runner_up", "reason", "estimate")

    def __init__(
        self,
        backend: backends.Backend,
        runner_up: backends.Backend | None,
        reason: str,
        estimate: float,
    ) -> None:
        self.backend = backend
        self.runner_up = runner_up
        self.reason = reason
        # Seconds.
        self.estimate = estimate


class AdmissionRequest:
    """A job at the door, in seconds of work on an ordinary slot."""

    __slots__ = ("work", "queued_work", "slots", "budget")

    def __init__(
        self,
        work: float,
        queued_work: float,
        slots: int,
        budget: float,
    ) -> None:
        self.work = work
        self.queued_work = queued_work
        # Slots of live backend servers that offer the service.
        self.slots = slots
        # Seconds until the deadline.
        self.budget = budget
