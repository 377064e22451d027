"""Placement policies."""

import bisect
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import random

from waxwingwalk.core import model
from waxwingwalk.routing import backends
from waxwingwalk.routing import base
from waxwingwalk.routing import estimates

# A faster backend server is waited for only if the task is then expected to
# end within this share of its time on the idle one.
PATIENCE = 0.8
# A backend server whose slots are all in use is thought to be slower by this
# share, since the estimate of its occupancy may be too low.
CROWDING = 1.0
# Only servers that are faster by this factor are worth waiting for.
MUCH_FASTER = 1.3


def _fitting(
    task: model.TaskSpec, idle: Sequence[backends.Backend]
) -> Sequence[backends.Backend]:
    if not (task.processors or task.memory or task.accelerators):
        return idle
    return [backend for backend in idle if backend.spec.fits(task)]


class LearnedPlacement:
    """Places a task where it is expected to end first.

    Among idle backend servers that is the one with the least learned
    slowness, made worse by crowding. If faster ones are busy, the task waits
    for a slot of theirs as long as it is then expected to end sooner than on
    the idle one. With a long queue it is not, and slow servers fill up.
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
        self._tiers: dict[str, FasterTiers] = {}

    def choose(
        self,
        request: base.PlacementRequest,
        idle: Sequence[backends.Backend],
    ) -> base.Choice | None:
        service = request.service
        slowness_of = self._estimator.slowness
        best = None
        runner_up = None
        best_cost = next_cost = float("inf")
        for backend in _fitting(request.task, idle):
            cost = slowness_of(service, backend.spec.backend_id)
            cost *= 1.0 + CROWDING * backend.occupancy**2
            if cost < best_cost:
                runner_up, next_cost = best, best_cost
                best, best_cost = backend, cost
            elif cost < next_cost:
                runner_up, next_cost = backend, cost
        if best is None:
            return None
        slowness = slowness_of(service, best.spec.backend_id)
        if self._is_worth_waiting(request, slowness):
            return None
        estimate = request.base_estimate * slowness
        return base.Choice(best, runner_up, "earliest finish", estimate)

    def _is_worth_waiting(
        self, request: base.PlacementRequest, slowness: float
    ) -> bool:
        """Whether a faster backend server would end the task sooner."""
        tiers = self._tiers.get(request.service)
        if tiers is None:
            return False
        rate, faster = tiers.faster_than(slowness)
        if rate == 0.0:
            return False
        wait = request.waiting / rate
        waited_finish = wait + request.base_estimate * faster
        return waited_finish < PATIENCE * request.base_estimate * slowness

    def refresh(self, service: str) -> None:
        """Recompute how often faster backend servers have a free slot."""
        processes = max(1, len(self._members()))
        mean = self._estimator.mean_work(service)
        entries = []
        for backend in self._registry.offering(service):
            if backend.spec.state is not model.BackendState.LIVE:
                continue
            if backend.set_aside_until is not None:
                continue
            slowness = self._estimator.slowness(
                service, backend.spec.backend_id
            )
            rate = backend.spec.slots / (mean * slowness * processes)
            entries.append((slowness, rate))
        self._tiers[service] = FasterTiers(entries)


class FasterTiers:
    """Backend servers by slowness, with the rate at which slots free up.

    ``entries`` are pairs of slowness and slots a second for this process.
    """

    def __init__(self, entries: list[tuple[float, float]]) -> None:
        entries.sort()
        self._slownesses = [slowness for slowness, _ in entries]
        self._rates = list(
            itertools.accumulate((rate for _, rate in entries), initial=0.0)
        )
        self._products = list(
            itertools.accumulate(
                (slowness * rate for slowness, rate in entries), initial=0.0
            )
        )

    def faster_than(self, slowness: float) -> tuple[float, float]:
        """Return the rate and the mean slowness of much faster servers."""
        index = bisect.bisect_left(self._slownesses, slowness / MUCH_FASTER)
        rate = self._rates[index]
        if rate == 0.0:
            return 0.0, 1.0
        return rate, self._products[index] / rate


class RandomPlacement:
    """Places a task on any idle backend server."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def choose(
        self,
        request: base.PlacementRequest,
        idle: Sequence[backends.Backend],
    ) -> base.Choice | None:
        fitting = _fitting(request.task, idle)
        if not fitting:
            return None
        backend = self._random.choice(fitting)
        return base.Choice(backend, None, "random", request.base_estimate)

    def refresh(self, service: str) -> None:
        return


class RoundRobinPlacement:
    """Places tasks on the idle backend servers in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self,
        request: base.PlacementRequest,
        idle: Sequence[backends.Backend],
    ) -> base.Choice | None:
        fitting = _fitting(request.task, idle)
        if not fitting:
            return None
        self._turn += 1
        backend = fitting[self._turn % len(fitting)]
        return base.Choice(backend, None, "in turn", request.base_estimate)

    def refresh(self, service: str) -> None:
        return


class LeastOutstandingPlacement:
    """Places a task where this process runs the fewest tasks."""

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def choose(
        self,
        request: base.PlacementRequest,
        idle: Sequence[backends.Backend],
    ) -> base.Choice | None:
        fitting = _fitting(request.task, idle)
        if not fitting:
            return None
        fewest = min(backend.running for backend in fitting)
        backend = self._random.choice(
            [each for each in fitting if each.running == fewest]
        )
        return base.Choice(
            backend, None, "fewest outstanding", request.base_estimate
        )

    def refresh(self, service: str) -> None:
        return
