"""Outlier detection: distinguishes faulty backend servers from faulty jobs.

For each backend server, a likelihood-ratio test compares two hypotheses: it
fails nearly every task, or it fails as often as the others with tasks of the
same class. A failure adds the logarithm of the likelihood ratio, so that a
failure of a class that fails everywhere adds next to nothing. A completed task
discards the evidence against the server.
"""

import dataclasses
import math

# The failure rate that the test assumes for a faulty backend server.
BAD_FAILURE_RATE = 0.9
# The failures and tasks that a class is assumed to have had at the start.
PRIOR_FAILURES = 0.1
PRIOR_TASKS = 10.0
# A backend server is considered faulty at odds of 10,000 to 1.
THRESHOLD = math.log(10_000)
# The counts of a class are halved at this many tasks, so that old failures
# lose their weight and the class can recover.
CLASS_WINDOW = 1000


@dataclasses.dataclass(slots=True)
class _TaskClass:
    tasks: float = 0.0
    failures: float = 0.0
    failures_by_backend: dict[str, float] = dataclasses.field(
        default_factory=dict
    )

    def count(self, backend_id: str | None) -> None:
        """Count a task that failed on a server, or completed if None."""
        self.tasks += 1
        if backend_id is not None:
            self.failures += 1
            known = self.failures_by_backend
            known[backend_id] = known.get(backend_id, 0.0) + 1
        if self.tasks >= CLASS_WINDOW:
            self._halve()

    def failure_rate_elsewhere(self, backend_id: str) -> float:
        """Return the failure rate without the failures on one server.

        Tasks that it completed are included, as they are not counted by
        server.
        """
        here = self.failures_by_backend.get(backend_id, 0.0)
        failures = self.failures - here + PRIOR_FAILURES
        tasks = self.tasks - here + PRIOR_TASKS
        return min(failures / tasks, 0.999)

    def _halve(self) -> None:
        self.tasks /= 2
        self.failures /= 2
        halved = {
            backend_id: count / 2
            for backend_id, count in self.failures_by_backend.items()
            if count > 0.1
        }
        self.failures_by_backend = halved


class LikelihoodDetector:
    """Compares failures with the failure rate on the other servers."""

    def __init__(self) -> None:
        self._classes: dict[str, _TaskClass] = {}
        self._evidence: dict[str, float] = {}

    def task_done(self, backend_id: str, task_class: str) -> None:
        self._class(task_class).count(None)
        if backend_id in self._evidence:
            del self._evidence[backend_id]

    def task_failed(self, backend_id: str, task_class: str) -> bool:
        known = self._class(task_class)
        rate = known.failure_rate_elsewhere(backend_id)
        known.count(backend_id)
        ratio = max(0.0, math.log(BAD_FAILURE_RATE / rate))
        evidence = self._evidence.get(backend_id, 0.0) + ratio
        self._evidence[backend_id] = evidence
        return evidence >= THRESHOLD

    def forget(self, backend_id: str) -> None:
        self._evidence.pop(backend_id, None)

    def _class(self, task_class: str) -> _TaskClass:
        return self._classes.setdefault(task_class, _TaskClass())


class NoDetection:
    """Never considers a backend server faulty."""

    def task_done(self, backend_id: str, task_class: str) -> None:
        return

    def task_failed(self, backend_id: str, task_class: str) -> bool:
        return False

    def forget(self, backend_id: str) -> None:
        return
