"""Slot sharing by estimated occupancy, without messages about slots.

Each process estimates how many tasks the other processes run on a backend
server, and sends tasks only if that number and its own leave a slot free. The
estimate has two sources, neither of which needs extra messages: the number of
running tasks that a backend server reports in its replies, and the mean load
that peers advertise in their membership probes. The weight of a report decays
over about one mean run time, in favour of the advertised load.

The estimate can be wrong in both directions. If it is too low, tasks share a
slot for a while; if it is too high, a task waits although a slot is free.
Neither breaks a guarantee: the coordinator, not slot sharing, ensures that a
task runs only once.
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

# If a service has more backend servers than this, a random sample of this size
# is compared.
SAMPLE_SIZE = 24
# The weight of a new report against the advertised load. Other processes get
# similar reports: with full weight, all of them would choose the same server.
REPORT_WEIGHT = 0.3
# The share of a new observation in the moving mean of running tasks.
MEAN_STEP = 0.05
# How long the load that a peer advertised is used without an update.
ADVERTISED_LOAD_RETENTION = datetime.timedelta(seconds=60)


class _BackendLoad:
    """The known load of one backend server."""

    __slots__ = ("own_running", "other_running", "reported_at")

    def __init__(self) -> None:
        self.own_running = 0
        # Running tasks of other processes at the last report.
        self.other_running = 0.0
        self.reported_at: float | None = None


class _AdvertisedLoad:
    """The mean running tasks that a peer advertised, by service."""

    __slots__ = ("running", "received_at")

    def __init__(
        self, running: dict[str, float], received_at: datetime.datetime
    ) -> None:
        self.running = running
        self.received_at = received_at


class OccupancySlots(simple.MessagelessSlots):
    """Sends tasks to servers that probably have a free slot."""

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
        self._loads: dict[str, _BackendLoad] = {}
        self._advertised: dict[str, _AdvertisedLoad] = {}
        self._running: dict[str, int] = {}
        self._mean_running: dict[str, float] = {}
        self._other_occupancy: dict[str, float] = {}
        self._slot_totals: dict[str, int] = {}
        self._now = 0.0

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        offering = [only] if only else self._registry.offering(service)
        if len(offering) > SAMPLE_SIZE:
            offering = self._random.sample(offering, SAMPLE_SIZE)
        other_occupancy = self._other_occupancy.get(service, 0.0)
        decay = 1.0 / self._mean_run_time(service)
        free = []
        least_occupied = None
        for backend in offering:
            running = self._estimated_running(backend, other_occupancy, decay)
            backend.occupancy = running / backend.spec.slots
            if running + 1.0 <= backend.spec.slots:
                free.append(backend)
            elif (
                least_occupied is None
                or backend.occupancy < least_occupied.occupancy
            ):
                least_occupied = backend
        if (
            not free
            and least_occupied is not None
            and self._is_below_share(service)
        ):
            return [least_occupied]
        return free

    def _estimated_running(
        self, backend: backends.Backend, other_occupancy: float, decay: float
    ) -> float:
        """Return the estimated number of tasks running on the server."""
        expected = other_occupancy * backend.spec.slots
        load = self._loads.get(backend.spec.backend_id)
        if load is None:
            return expected
        if load.reported_at is None:
            return load.own_running + expected
        age = self._now - load.reported_at
        weight = REPORT_WEIGHT * math.exp(-age * decay)
        return (
            load.own_running
            + expected
            + weight * (load.other_running - expected)
        )

    def _is_below_share(self, service: str) -> bool:
        """Return whether this process uses less than an equal share of slots.

        Such a process may send despite a full estimate, so that an estimate
        that is too high cannot starve it.
        """
        processes = max(1, len(self._members()))
        share = self._slot_totals.get(service, 0) / processes
        return self._running.get(service, 0) < share

    def acquire(self, backend: backends.Backend) -> bool:
        self._load_of(backend.backend_id).own_running += 1
        self._count(backend.backend_id, 1)
        slots = backend.spec.slots
        backend.occupancy += 1.0 / slots
        return backend.occupancy * slots + 1.0 <= slots

    def release(
        self, backend_id: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        self._load_of(backend_id).own_running -= 1
        self._count(backend_id, -1)
        return []

    def _count(self, backend_id: str, change: int) -> None:
        """Count a task under every service that its server offers."""
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
        load = self._load_of(backend_id)
        # The server no longer counts the task of this reply, while its slot
        # has not been released here yet.
        load.other_running = max(0.0, running - (load.own_running - 1))
        load.reported_at = self._now

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        self._now = now.timestamp()
        for service in self._registry.services():
            running = self._running.get(service, 0)
            mean = self._mean_running.get(service, 0.0)
            self._mean_running[service] = mean + MEAN_STEP * (running - mean)
            self._other_occupancy[service] = self._occupancy_by_others(
                service, now
            )
        self._changed_services.update(self._registry.services())
        return []

    def _occupancy_by_others(
        self, service: str, now: datetime.datetime
    ) -> float:
        """Return the share of all slots that other processes occupy.

        A peer without a current advertised load is assumed to run as many
        tasks as this process.
        """
        total = self._slot_totals.get(service, 0)
        if total == 0:
            return 0.0
        own = self._mean_running.get(service, 0.0)
        running = 0.0
        for address in self._members():
            if address == self._self_address:
                continue
            advertised = self._advertised.get(address)
            if (
                advertised is None
                or now - advertised.received_at > ADVERTISED_LOAD_RETENTION
            ):
                running += own
            else:
                running += advertised.running.get(service, 0.0)
        return running / total

    def topology_changed(self, now: datetime.datetime) -> list[effects.Effect]:
        self._now = now.timestamp()
        self._slot_totals = {
            service: sum(
                backend.spec.slots
                for backend in self._registry.offering(service)
            )
            for service in self._registry.services()
        }
        members = set(self._members())
        for address in self._advertised.keys() - members:
            del self._advertised[address]
        self._changed_services.update(self._registry.services())
        return []

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> list[effects.Effect]:
        if isinstance(message, messages.Probe):
            self._advertised[address] = _AdvertisedLoad(message.running, now)
        return []

    def advertised_load(self) -> dict[str, float]:
        return {
            name: round(mean, 1) for name, mean in self._mean_running.items()
        }

    def _load_of(self, backend_id: str) -> _BackendLoad:
        load = self._loads.get(backend_id)
        if load is None:
            load = _BackendLoad()
            self._loads[backend_id] = load
        return load
