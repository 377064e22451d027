"""Slot sharing by estimated occupancy: no message is sent for a slot.

Each process estimates how many tasks the others run on a backend server, and
sends only where its own tasks and theirs leave a slot. Two sources feed the
estimate, both at no cost in messages: the number of running tasks that a
backend server reports in its replies, which counts for about as long as a
task takes, and the mean load that peers state in their membership probes,
which stands in for it as the report ages.

The estimate can be wrong either way. Too low, and tasks share a slot for a
while; too high, and a task waits although a slot is free. Neither touches a
promise: what runs once is decided by the coordinator, not by slots.
"""

from collections.abc import Callable
from collections.abc import Collection
import datetime
import math
import random

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing import backends
from waxwingwalk.routing.slots import simple

# Among more backend servers than this, so many are drawn and compared.
SAMPLE_SIZE = 24
# How much a fresh report counts against the mean load. All processes see the
# same report: trusted in full, it sends them all to the same server.
REPORT_TRUST = 0.3
# The share of a new observation in the moving mean of running tasks.
MEAN_STEP = 0.05
# A peer's stated load is dropped after this long without news.
STATED_LOAD_RETENTION = datetime.timedelta(seconds=60)


class _View:
    """What is known of the load of one backend server."""

    __slots__ = ("busy", "others", "seen_at")

    def __init__(self) -> None:
        self.busy = 0
        # Tasks of other processes at the last report.
        self.others = 0.0
        self.seen_at: float | None = None


class _StatedLoad:
    """A peer's mean running tasks, by service."""

    __slots__ = ("running", "stated_at")

    def __init__(
        self, running: dict[str, float], stated_at: datetime.datetime
    ) -> None:
        self.running = running
        self.stated_at = stated_at


class OccupancySlots(simple.MessagelessSlots):
    """Sends where a slot is probably free."""

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        *,
        members: Callable[[], list[str]],
        mean_run_time: Callable[[str], float],
        generator: random.Random,
    ) -> None:
        super().__init__(registry, self_address, members)
        self._mean_run_time = mean_run_time
        self._random = generator
        self._views: dict[str, _View] = {}
        self._stated: dict[str, _StatedLoad] = {}
        self._running: dict[str, int] = {}
        self._means: dict[str, float] = {}
        self._mean_others: dict[str, float] = {}
        self._slots: dict[str, int] = {}
        self._now = 0.0

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        offering = [only] if only else self._registry.offering(service)
        if len(offering) > SAMPLE_SIZE:
            offering = self._random.sample(offering, SAMPLE_SIZE)
        mean_others = self._mean_others.get(service, 0.0)
        decay = 1.0 / self._mean_run_time(service)
        free = []
        least = None
        for backend in offering:
            occupancy = self._occupancy(backend, mean_others, decay)
            backend.occupancy = occupancy / backend.spec.slots
            if occupancy + 1.0 <= backend.spec.slots:
                free.append(backend)
            elif least is None or backend.occupancy < least.occupancy:
                least = backend
        if not free and least is not None and self._is_below_share(service):
            return [least]
        return free

    def _occupancy(
        self, backend: backends.Backend, mean_others: float, decay: float
    ) -> float:
        """Return the estimated number of tasks that run there now."""
        expected = mean_others * backend.spec.slots
        view = self._views.get(backend.spec.backend_id)
        if view is None:
            return expected
        if view.seen_at is None:
            return view.busy + expected
        age = self._now - view.seen_at
        trust = REPORT_TRUST * math.exp(-age * decay)
        return view.busy + expected + trust * (view.others - expected)

    def _is_below_share(self, service: str) -> bool:
        """Whether this process runs less than an even share of all slots.

        An estimate that is too high must not starve a process.
        """
        processes = max(1, len(self._members()))
        share = self._slots.get(service, 0) / processes
        return self._running.get(service, 0) < share

    def acquire(self, backend: backends.Backend) -> bool:
        self._view(backend.backend_id).busy += 1
        self._count(backend.backend_id, 1)
        slots = backend.spec.slots
        backend.occupancy += 1.0 / slots
        return backend.occupancy * slots + 1.0 <= slots

    def release(
        self, backend_id: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        self._view(backend_id).busy -= 1
        self._count(backend_id, -1)
        return []

    def _count(self, backend_id: str, change: int) -> None:
        backend = self._registry.get(backend_id)
        if backend is None:
            return
        for service in backend.spec.services:
            running = self._running.get(service, 0) + change
            self._running[service] = running

    def record_usage(
        self, backend_id: str, running: int, now: datetime.datetime
    ) -> None:
        self._now = now.timestamp()
        view = self._view(backend_id)
        # The reply's own task is over there, and not yet released here.
        view.others = max(0.0, running - (view.busy - 1))
        view.seen_at = self._now

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        self._now = now.timestamp()
        for service in self._registry.services():
            running = self._running.get(service, 0)
            mean = self._means.get(service, 0.0)
            self._means[service] = mean + MEAN_STEP * (running - mean)
            self._mean_others[service] = self._expected_share(service, now)
        self._changed.update(self._registry.services())
        return []

    def _expected_share(self, service: str, now: datetime.datetime) -> float:
        """Return the share of all slots that other processes fill.

        A peer that has stated nothing is taken to run as much as this one.
        """
        total = self._slots.get(service, 0)
        if total == 0:
            return 0.0
        own = self._means.get(service, 0.0)
        running = 0.0
        for address in self._members():
            if address == self._self_address:
                continue
            stated = self._stated.get(address)
            if (
                stated is None
                or now - stated.stated_at > STATED_LOAD_RETENTION
            ):
                running += own
            else:
                running += stated.running.get(service, 0.0)
        return running / total

    def topology_changed(self, now: datetime.datetime) -> list[effects.Effect]:
        self._now = now.timestamp()
        self._slots = {
            service: sum(
                backend.spec.slots
                for backend in self._registry.offering(service)
            )
            for service in self._registry.services()
        }
        members = set(self._members())
        for address in self._stated.keys() - members:
            del self._stated[address]
        self._changed.update(self._registry.services())
        return []

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> list[effects.Effect]:
        if isinstance(message, messages.Probe):
            self._stated[address] = _StatedLoad(message.running, now)
        return []

    def advertised_load(self) -> dict[str, float]:
        return {name: round(mean, 1) for name, mean in self._means.items()}

    def _view(self, backend_id: str) -> _View:
        view = self._views.get(backend_id)
        if view is None:
            view = _View()
            self._views[backend_id] = view
        return view
