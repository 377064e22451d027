"""Placement policies."""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import random

from waxwingwalk.core import model
from waxwingwalk.routing import backends
from waxwingwalk.routing import base
from waxwingwalk.routing import estimates

# A task waits for a faster backend server only if its expected time to finish,
# including the wait, is below this share of its run time on the idle one.
MAX_WAIT_FINISH_RATIO = 0.8
# The expected slowness of a fully occupied backend server is raised by this
# share, because the estimate of its occupancy may be too low.
OCCUPANCY_PENALTY = 1.0
# The factor applied to the expected slowness of a suspect backend server.
SUSPECT_PENALTY = 8.0
# Only servers that are faster by more than this factor are worth waiting for.
MIN_SPEED_UP = 1.3


def _has_resource_needs(task: model.TaskSpec) -> bool:
    """Return whether a task might not fit every backend server."""
    return bool(task.processors or task.memory or task.accelerators)


class LearnedPlacement:
    """Places a task where it is expected to finish first.

    Among the idle backend servers, that is the one with the lowest learned
    slowness, adjusted for its occupancy. If faster servers are busy, the task
    waits for one of their slots if it is then expected to finish sooner than
    on the idle server. With a long queue it is not, and the slow servers are
    used as well.
    """

    def __init__(
        self,
        estimator: estimates.RunTimeEstimator,
        registry: backends.BackendRegistry,
        members: Callable[[], list[str]],
    ) -> None:
        self._estimator = estimator
        self._registry = registry
        self._members = members
        self._free_slot_rates: dict[str, FreeSlotRates] = {}

    def round(
        self, service: str, idle: Sequence[backends.Backend]
    ) -> base.PlacementRound:
        return _LearnedRound(self, service, idle)

    def cost(self, service: str, backend: backends.Backend) -> float:
        """Return the expected slowness, adjusted for occupancy."""
        slowness = self._estimator.rounded_slowness(
            service, backend.spec.backend_id
        )
        if backend.suspect_until is not None:
            slowness *= SUSPECT_PENALTY
        return slowness * (1.0 + OCCUPANCY_PENALTY * backend.occupancy**2)

    def choice(
        self,
        request: base.PlacementRequest,
        best: backends.Backend,
        runner_up: backends.Backend | None,
    ) -> base.Choice | None:
        """Return the choice, or None if the task should wait."""
        slowness = self._estimator.slowness(
            request.service, best.spec.backend_id
        )
        if self._is_worth_waiting(request, slowness):
            return None
        estimate = request.base_estimate * slowness
        return base.Choice(best, runner_up, "earliest finish", estimate)

    def _is_worth_waiting(
        self, request: base.PlacementRequest, slowness: float
    ) -> bool:
        """Return whether waiting for a faster server finishes sooner."""
        rates = self._free_slot_rates.get(request.service)
        if rates is None:
            return False
        rate, faster = rates.faster_than(slowness)
        if rate == 0.0:
            return False
        wait = request.waiting / rate
        finish_after_wait = wait + request.base_estimate * faster
        return (
            finish_after_wait
            < MAX_WAIT_FINISH_RATIO * request.base_estimate * slowness
        )

    def refresh(self, service: str) -> None:
        """Recompute the rates at which slots become free."""
        processes = max(1, len(self._members()))
        mean = self._estimator.mean_work(service)
        entries = []
        for backend in self._registry.offering(service):
            if backend.spec.state is not model.BackendState.LIVE:
                continue
            if backend.ejected_until is not None:
                continue
            slowness = self._estimator.slowness(
                service, backend.spec.backend_id
            )
            rate = backend.spec.slots / (mean * slowness * processes)
            entries.append((slowness, rate))
        self._free_slot_rates[service] = FreeSlotRates(entries)


class _LearnedRound:
    """A heap of the idle backend servers by cost."""

    def __init__(
        self,
        placement: LearnedPlacement,
        service: str,
        idle: Sequence[backends.Backend],
    ) -> None:
        self._placement = placement
        self._service = service
        self._heap = [
            (placement.cost(service, backend), serial, backend)
            for serial, backend in enumerate(idle)
        ]
        heapq.heapify(self._heap)

    def choose(self, request: base.PlacementRequest) -> base.Choice | None:
        if _has_resource_needs(request.task):
            return self._choose_fitting(request)
        if not self._heap:
            return None
        runner_up = None
        if len(self._heap) > 1:
            runner_up = min(self._heap[1:3])[2]
        return self._placement.choice(request, self._heap[0][2], runner_up)

    def _choose_fitting(
        self, request: base.PlacementRequest
    ) -> base.Choice | None:
        fitting = heapq.nsmallest(
            2,
            (each for each in self._heap if each[2].spec.fits(request.task)),
        )
        if not fitting:
            return None
        runner_up = fitting[1][2] if len(fitting) > 1 else None
        return self._placement.choice(request, fitting[0][2], runner_up)

    def record_placement(
        self, backend: backends.Backend, *, is_idle: bool
    ) -> None:
        if self._heap[0][2] is not backend:
            self._rebuild(backend, is_idle=is_idle)
            return
        if not is_idle:
            heapq.heappop(self._heap)
            return
        cost = self._placement.cost(self._service, backend)
        entry = (cost, self._heap[0][1], backend)
        heapq.heapreplace(self._heap, entry)

    def _rebuild(self, backend: backends.Backend, *, is_idle: bool) -> None:
        """Update an entry that is not the first of the heap."""
        kept = []
        for entry in self._heap:
            _, serial, other = entry
            if other is not backend:
                kept.append(entry)
            elif is_idle:
                # Serials stay unique, so that equal costs are no problem.
                cost = self._placement.cost(self._service, backend)
                kept.append((cost, serial, backend))
        heapq.heapify(kept)
        self._heap = kept


class FreeSlotRates:
    """The rates at which slots become free, by the slowness of the servers.

    ``entries`` are pairs of a server's slowness and of this process's share
    of the slots that become free there per second.
    """

    def __init__(self, entries: list[tuple[float, float]]) -> None:
        entries.sort()
        self._slownesses = [slowness for slowness, _ in entries]
        self._cumulative_rates = list(
            itertools.accumulate((rate for _, rate in entries), initial=0.0)
        )
        self._cumulative_products = list(
            itertools.accumulate(
                (slowness * rate for slowness, rate in entries), initial=0.0
            )
        )

    def faster_than(self, slowness: float) -> tuple[float, float]:
        """Return the total rate and mean slowness of faster servers.

        Only servers that are faster by more than MIN_SPEED_UP count.
        """
        index = bisect.bisect_left(self._slownesses, slowness / MIN_SPEED_UP)
        rate = self._cumulative_rates[index]
        if rate == 0.0:
            return 0.0, 1.0
        return rate, self._cumulative_products[index] / rate


Chooser = Callable[[Sequence[backends.Backend]], backends.Backend]


class _ListRound:
    """A round of a policy that uses no estimates."""

    def __init__(
        self, idle: Sequence[backends.Backend], chooser: Chooser, reason: str
    ) -> None:
        self._idle = list(idle)
        self._chooser = chooser
        self._reason = reason

    def choose(self, request: base.PlacementRequest) -> base.Choice | None:
        fitting: Sequence[backends.Backend] = self._idle
        if _has_resource_needs(request.task):
            fitting = [
                each for each in fitting if each.spec.fits(request.task)
            ]
        if not fitting:
            return None
        backend = self._chooser(fitting)
        return base.Choice(backend, None, self._reason, request.base_estimate)

    def record_placement(
        self, backend: backends.Backend, *, is_idle: bool
    ) -> None:
        if not is_idle:
            self._idle.remove(backend)


class RandomPlacement:
    """Places a task on an idle backend server chosen at random."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def round(
        self, service: str, idle: Sequence[backends.Backend]
    ) -> base.PlacementRound:
        return _ListRound(idle, self._random.choice, "random")

    def refresh(self, service: str) -> None:
        return


class RoundRobinPlacement:
    """Places tasks on the idle backend servers in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def round(
        self, service: str, idle: Sequence[backends.Backend]
    ) -> base.PlacementRound:
        return _ListRound(idle, self._next_in_turn, "in turn")

    def _next_in_turn(
        self, idle: Sequence[backends.Backend]
    ) -> backends.Backend:
        self._turn += 1
        return idle[self._turn % len(idle)]

    def refresh(self, service: str) -> None:
        return


class LeastOutstandingPlacement:
    """Places a task where this process has the fewest outstanding tasks."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def round(
        self, service: str, idle: Sequence[backends.Backend]
    ) -> base.PlacementRound:
        return _ListRound(idle, self._fewest, "fewest outstanding")

    def _fewest(self, idle: Sequence[backends.Backend]) -> backends.Backend:
        fewest = min(backend.running for backend in idle)
        return self._random.choice(
            [each for each in idle if each.running == fewest]
        )

    def refresh(self, service: str) -> None:
        return
