"""Run-time estimates learned from observed run times.

A declared run time is only a prior. The logarithm of the ratio of observed to
declared run time is modelled as the sum of two learned terms: the bias of the
declarations of a task class (service and team), and the slowness of a backend
server for a service. Each observation moves both terms by a share of the
residual; the step shrinks from 1/2 towards MIN_STEP.
"""

import dataclasses
import functools
import math

# The smallest step of the learned terms, and the step of the moving means.
MIN_STEP = 0.03
# The logarithm of the ratio between adjacent levels of rounded slowness.
LEVEL_STEP = 0.25
# Lower bound in seconds of declared and observed run times.
MIN_RUN_TIME = 0.001


@functools.cache
def _level_factor(steps: int) -> float:
    return math.exp(steps * LEVEL_STEP)


@dataclasses.dataclass(slots=True)
class _Term:
    log_factor: float = 0.0
    factor: float = 1.0
    count: int = 0

    def update(self, residual: float, weight: float) -> None:
        self.count += 1
        step = max(MIN_STEP, 1.0 / (self.count + 1))
        self.log_factor += step * weight * residual
        self.factor = math.exp(self.log_factor)


class RunTimeEstimator:
    """Learns the speed of backend servers and the bias of declarations.

    ::

        estimator.observe(
            "refunds", "shops", "b1", declared=0.2, observed=0.4
        )
        # Expected seconds on a server of ordinary speed.
        estimator.base_run_time("refunds", "shops", 0.2)
        # 1.0 is ordinary; slower servers have a higher value.
        estimator.slowness("refunds", "b1")
    """

    def __init__(self) -> None:
        self._biases: dict[tuple[str, str], _Term] = {}
        self._slownesses: dict[tuple[str, str], _Term] = {}
        self._mean_run_times: dict[str, float] = {}
        self._mean_works: dict[str, float] = {}

    def base_run_time(self, service: str, team: str, declared: float) -> float:
        """Return the expected seconds on a server of ordinary speed."""
        bias = self._biases.get((service, team))
        if bias is None:
            return max(declared, MIN_RUN_TIME)
        return max(declared, MIN_RUN_TIME) * bias.factor

    def slowness(self, service: str, backend_id: str) -> float:
        """Return the run time there relative to an ordinary server."""
        term = self._slownesses.get((service, backend_id))
        return 1.0 if term is None else term.factor

    def rounded_slowness(self, service: str, backend_id: str) -> float:
        """Return the slowness, rounded to levels coarser than the noise.

        Without rounding, all processes would send their tasks to the server
        that happens to look fastest.
        """
        term = self._slownesses.get((service, backend_id))
        return (
            1.0
            if term is None
            else _level_factor(round(term.log_factor / LEVEL_STEP))
        )

    def mean_run_time(self, service: str, default: float = 0.3) -> float:
        """Return the moving mean of observed run times, in seconds."""
        return self._mean_run_times.get(service, default)

    def mean_work(self, service: str, default: float = 0.3) -> float:
        """Return the moving mean of run times at slowness 1.0, in seconds."""
        return self._mean_works.get(service, default)

    def observe(
        self,
        service: str,
        team: str,
        backend_id: str,
        *,
        declared: float,
        observed: float,
    ) -> None:
        """Learn from a completed task; times are in seconds."""
        observed = max(observed, MIN_RUN_TIME)
        bias = self._biases.setdefault((service, team), _Term())
        slowness = self._slownesses.setdefault((service, backend_id), _Term())
        expected = max(declared, MIN_RUN_TIME)
        residual = (
            math.log(observed / expected)
            - bias.log_factor
            - slowness.log_factor
        )
        bias.update(residual, 0.5)
        slowness.update(residual, 0.5 if bias.count < 20 else 1.0)
        mean = self._mean_run_times.get(service, observed)
        self._mean_run_times[service] = mean + MIN_STEP * (observed - mean)
        work = observed / slowness.factor
        mean_work = self._mean_works.get(service, work)
        self._mean_works[service] = mean_work + MIN_STEP * (work - mean_work)
