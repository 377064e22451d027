"""Run-time estimates learned from observed run times.

A declared run time is only a prior. The logarithm of observed over declared
is modelled as the sum of two learned terms: how far a class of tasks (service
and team) is off, and how slow a backend server is for a service. Both follow
the residual with a step that shrinks from one towards MIN_STEP.
"""

import dataclasses
import functools
import math

MIN_STEP = 0.03
# The logarithm of the ratio between two neighbouring speed levels.
LEVEL_STEP = 0.25
# Seconds; a declared or observed time below this counts as this.
MIN_RUN_TIME = 0.001


@functools.cache
def _level(steps: int) -> float:
    return math.exp(steps * LEVEL_STEP)


@dataclasses.dataclass(slots=True)
class _Term:
    log: float = 0.0
    factor: float = 1.0
    count: int = 0

    def follow(self, residual: float, share: float) -> None:
        self.count += 1
        step = max(MIN_STEP, 1.0 / (self.count + 1))
        self.log += step * share * residual
        self.factor = math.exp(self.log)


class RunTimeEstimator:
    """Learns the speed of backend servers and the bias of declarations.

    ::

        estimator.observe("refunds", "shops", "b1", declared=0.2, seen=0.4)
        estimator.base("refunds", "shops", 0.2)  # on an ordinary server
        estimator.slowness("refunds", "b1")      # 1.0 is ordinary
    """

    def __init__(self) -> None:
        self._biases: dict[tuple[str, str], _Term] = {}
        self._slownesses: dict[tuple[str, str], _Term] = {}
        self._means: dict[str, float] = {}
        self._mean_works: dict[str, float] = {}

    def base(self, service: str, team: str, declared: float) -> float:
        """Return the expected seconds on a server of ordinary speed."""
        bias = self._biases.get((service, team))
        if bias is None:
            return max(declared, MIN_RUN_TIME)
        return max(declared, MIN_RUN_TIME) * bias.factor

    def slowness(self, service: str, backend_id: str) -> float:
        """Return the factor by which a backend server is slow."""
        term = self._slownesses.get((service, backend_id))
        return 1.0 if term is None else term.factor

    def speed_level(self, service: str, backend_id: str) -> float:
        """Return the slowness, rounded to steps that noise does not cross.

        Without rounding the server that happens to look fastest draws the
        tasks of every process.
        """
        term = self._slownesses.get((service, backend_id))
        return 1.0 if term is None else _level(round(term.log / LEVEL_STEP))

    def mean_run_time(self, service: str, default: float = 0.3) -> float:
        """Return the moving mean of observed run times, in seconds."""
        return self._means.get(service, default)

    def mean_work(self, service: str, default: float = 0.3) -> float:
        """Return the moving mean of run times at slowness 1, in seconds."""
        return self._mean_works.get(service, default)

    def observe(
        self,
        service: str,
        team: str,
        backend_id: str,
        *,
        declared: float,
        seen: float,
    ) -> None:
        """Learn from a task that ran to its end; times in seconds."""
        seen = max(seen, MIN_RUN_TIME)
        bias = self._biases.setdefault((service, team), _Term())
        slowness = self._slownesses.setdefault((service, backend_id), _Term())
        expected = max(declared, MIN_RUN_TIME)
        residual = math.log(seen / expected) - bias.log - slowness.log
        bias.follow(residual, 0.5)
        slowness.follow(residual, 0.5 if bias.count < 20 else 1.0)
        mean = self._means.get(service, seen)
        self._means[service] = mean + MIN_STEP * (seen - mean)
        work = seen / slowness.factor
        mean_work = self._mean_works.get(service, work)
        self._mean_works[service] = mean_work + MIN_STEP * (work - mean_work)
