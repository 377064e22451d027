"""Placement policies."""

from collections.abc import Sequence
import random

from waxwingwalk.core import model
from waxwingwalk.routing import backends
from waxwingwalk.routing import base
from waxwingwalk.routing import estimates

# A faster backend server is waited for only if the task is then expected to
# end within this share of its time on the idle one.
PATIENCE = 0.8


def _fitting(
    task: model.TaskSpec, idle: Sequence[backends.Backend]
) -> Sequence[backends.Backend]:
    if not (task.processors or task.memory or task.accelerators):
        return idle
    return [backend for backend in idle if backend.spec.fits(task)]


class LearnedPlacement:
    """Places a task where it is expected to end first.

    The task waits if a faster backend server that runs this process's tasks
    is expected to be free early enough to end it sooner.
    """

    def __init__(self, estimator: estimates.RunTimeEstimator) -> None:
        self._estimator = estimator

    def choose(
        self,
        request: base.PlacementRequest,
        idle: Sequence[backends.Backend],
    ) -> base.Choice | None:
        best = None
        runner_up = None
        best_slowness = next_slowness = float("inf")
        for backend in _fitting(request.task, idle):
            slowness = self._estimator.slowness(
                request.service, backend.backend_id
            )
            if slowness < best_slowness:
                runner_up, next_slowness = best, best_slowness
                best, best_slowness = backend, slowness
            elif slowness < next_slowness:
                runner_up, next_slowness = backend, slowness
        if best is None:
            return None
        estimate = request.base_estimate * best_slowness
        return base.Choice(best, runner_up, "earliest finish", estimate)


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
