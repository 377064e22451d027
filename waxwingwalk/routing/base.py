"""Protocols of the routing policies.

Each policy is selected by a setting of the same name, resolved in
:mod:`waxwingwalk.wiring` and called by the reducer. Policies perform no I/O.
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
        """Return the key, which must not rise as the job's tasks are sent."""
        ...


class PlacementRound(Protocol):
    """Places a batch of tasks on the backend servers that are idle now."""

    def choose(self, request: "PlacementRequest") -> "Choice | None":
        """Return the choice, or None to keep the task waiting."""
        ...

    def record_placement(
        self, backend: backends.Backend, *, is_idle: bool
    ) -> None:
        """Record a placement, and whether the server is still idle."""
        ...


class Placement(Protocol):
    """Chooses the backend server for each task."""

    def round(
        self, service: str, idle: Sequence[backends.Backend]
    ) -> PlacementRound:
        """Start a placement round over the given idle backend servers."""
        ...

    def refresh(self, service: str) -> None:
        """Recompute the values that are derived from estimates."""
        ...


class SlotSharing(Protocol):
    """Decides which slots of backend servers this process may use."""

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        """Return the backend servers that have an idle slot.

        ``only`` restricts the check to one server, whose load has changed.
        """
        ...

    def acquire(self, backend: backends.Backend) -> bool:
        """Occupy a slot, idle or not; return whether one more is idle."""
        ...

    def release(
        self, backend_id: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Free a slot that was acquired."""
        ...

    def demand(
        self,
        service: str,
        waiting: int,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        """Update how many tasks of a service are waiting for a slot.

        ``teams`` returns the teams with waiting tasks and their weights.
        """
        ...

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        """Perform periodic work that is due."""
        ...

    def topology_changed(self, now: datetime.datetime) -> list[effects.Effect]:
        """Handle a change of the members or the backend servers."""
        ...

    def peer_connected(
        self, address: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Handle a new link; earlier messages may have been lost."""
        ...

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Handle a message from a peer."""
        ...

    def free_hints(self) -> dict[str, int]:
        """Return the free slots that peers may request, by server."""
        ...

    def record_usage(
        self, backend_id: str, running: int, now: datetime.datetime
    ) -> None:
        """Record the number of running tasks that a server reports.

        Called for a reply to a task, before the slot of that task is
        released. The reported number no longer includes that task.
        """
        ...

    def advertised_load(self) -> dict[str, float]:
        """Return the mean number of running tasks to advertise to peers."""
        ...

    def pop_changed_services(self) -> Collection[str]:
        """Return and clear the services whose idle slots may have changed."""
        ...


class Admission(Protocol):
    """Decides whether a job is accepted into the queue."""

    def refusal(
        self, request: "AdmissionRequest"
    ) -> datetime.timedelta | None:
        """Return None to admit the job, else the delay before a retry."""
        ...


class OutlierDetector(Protocol):
    """Distinguishes a faulty backend server from a faulty job."""

    def task_done(self, backend_id: str, task_class: str) -> None:
        """Count a completed task."""
        ...

    def task_failed(self, backend_id: str, task_class: str) -> bool:
        """Count a failed task; return whether the server is faulty."""
        ...

    def forget(self, backend_id: str) -> None:
        """Discard the evidence against a backend server."""
        ...


class PlacementRequest:
    """A task to place, and the length of its queue."""

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
        # Expected seconds on a backend server of ordinary speed.
        self.base_estimate = base_estimate
        # Waiting tasks of the service, including this one.
        self.waiting = waiting


class Choice:
    """The chosen backend server, the next best one, and the reason."""

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
        # Expected seconds on the chosen backend server; on one of ordinary
        # speed if the policy uses no estimates.
        self.estimate = estimate


class AdmissionRequest:
    """A submitted job; work is in seconds on an ordinary slot."""

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
