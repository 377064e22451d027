"""Checks the guarantees of the product against all runs in an emulation."""

import collections
from collections.abc import Callable
import dataclasses
import datetime
import enum

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import backend as emulated_backend
from waxwingwalk.emulator import timeline as emulator_timeline

# A backend server may still get work for this long after it started draining.
DRAIN_GRACE = datetime.timedelta(seconds=2)
# While a host is frozen, down or cut off, or the store is down, a host may not
# learn that a server is draining. Drain violations of all hosts are ignored
# until contact has been back for this long.
CONTACT_GRACE = datetime.timedelta(seconds=3)
# Once this many servers have crashed under a task, it may be started fewer
# times more than this.
CRASHES_MAX = 3
LATER_STARTS_MAX = 3
# A task that has lost this many runs to crashes may be given up.
LOST_RUNS_MAX = 2
# A capacity that has shrunk counts from this time on, which is the time that
# hosts have to regain contact, and a heartbeat of the server.
SHRINK_GRACE = CONTACT_GRACE + datetime.timedelta(seconds=1)

# No task may be ordered to start in a zone later than this after its
# evacuation was acknowledged.
EVACUATION_GRACE = datetime.timedelta(seconds=5)


class Guarantee(enum.Enum):
    """A checked guarantee; its value describes a violation."""

    CAPACITY = "a task start exceeded the capacity of a backend server"
    SINGLE_RUN = "two runs of a task overlapped"
    SERVICE = "a task ran on a backend server of another service"
    SPEC = "a task ran with a spec that no caller submitted"
    REFUSAL = "a job was refused as not run although one of its tasks ran"
    DRAIN = "a task started on a backend server that was draining"
    COMPLETENESS = (
        "a job was answered as done before all of its tasks were done"
    )
    CRASHES = "a task that crashes servers was started again and again"
    FAILURE = "a job was answered as failed though none of its tasks failed"
    EVACUATION = "a task was ordered to start in an evacuated zone"
    ANSWER = "a host shut down without answering a caller"


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee, with the time and the task or job."""

    at: datetime.datetime
    guarantee: Guarantee
    detail: str


class GuaranteeChecker(emulated_backend.Observer):
    """Watches runs and answers, and collects violations.

    ``crash_backend`` crashes the server of an id, for the tasks that do.
    """

    def __init__(
        self,
        timeline: emulator_timeline.Timeline,
        task_definitions: dict[str, emulated_backend.TaskDefinition],
        crash_backend: Callable[[str], None],
    ) -> None:
        self._timeline = timeline
        self._task_definitions = task_definitions
        self._crash_backend = crash_backend
        self._run_counts: collections.Counter[str] = collections.Counter()
        self._draining_since: dict[str, datetime.datetime] = {}
        self._done_tasks: set[str] = set()
        self._unreachable: set[str] = set()
        self._contact_regained_at: datetime.datetime | None = None
        self._hosts_without_store: set[str] = set()
        self._store_regained_at: datetime.datetime | None = None
        self._crashes: collections.Counter[str] = collections.Counter()
        self._later_starts: collections.Counter[str] = collections.Counter()
        self._failed_jobs: set[str] = set()
        self._lost_runs: collections.Counter[str] = collections.Counter()
        # Capacities before they shrank, and when that was.
        self._former_capacities: dict[
            str, tuple[datetime.datetime, model.Resources]
        ] = {}
        # When the evacuations that have not ended were acknowledged, and the
        # ones that each host has read from the store, or was told of by a
        # host that knew when it sent the message.
        self._evacuated_since: dict[str, datetime.datetime] = {}
        self._informed: dict[str, frozenset[str]] = {}
        self.started_jobs: set[str] = set()
        self.starts = 0
        self.violations: list[Violation] = []

    def _record(self, guarantee: Guarantee, detail: str) -> None:
        violation = Violation(self._timeline.now(), guarantee, detail)
        self.violations.append(violation)

    def record_contact_lost(self, name: str) -> None:
        """Record that a host or the store has become unreachable."""
        self._unreachable.add(name)

    def record_contact_regained(self, name: str) -> None:
        """Record that a host or the store is reachable again."""
        self._unreachable.discard(name)
        self._contact_regained_at = self._timeline.now()

    def record_store_lost(self, host: str) -> None:
        """Record that a host does not reach the store, though others do."""
        self._hosts_without_store.add(host)

    def record_store_regained(self, host: str) -> None:
        """Record that a host reaches the store again."""
        self._hosts_without_store.discard(host)
        self._store_regained_at = self._timeline.now()

    @property
    def _are_hosts_in_contact(self) -> bool:
        """Whether each host reaches the others, one of which the store."""
        return not self._unreachable and self._is_past_grace(
            self._contact_regained_at
        )

    @property
    def _has_contact(self) -> bool:
        return (
            self._are_hosts_in_contact
            and not self._hosts_without_store
            and self._is_past_grace(self._store_regained_at)
        )

    def _is_past_grace(self, regained_at: datetime.datetime | None) -> bool:
        return (
            regained_at is None
            or self._timeline.now() - regained_at > CONTACT_GRACE
        )

    def record_draining(self, backend_id: str) -> None:
        """Record that a backend server advertises that it is draining."""
        self._draining_since.setdefault(backend_id, self._timeline.now())

    def record_restart(self, backend_id: str) -> None:
        """Record the restart of a backend server, which ends its drain."""
        self._draining_since.pop(backend_id, None)

    def record_shrinkage(
        self, backend_id: str, former: model.Resources
    ) -> None:
        """Record that a server's capacity is no longer ``former``."""
        self._former_capacities[backend_id] = (self._timeline.now(), former)

    def record_evacuation(self, zone: str) -> None:
        """Record that the store has acknowledged a zone's evacuation."""
        self._evacuated_since[zone] = self._timeline.now()

    def record_evacuation_end(self, zone: str) -> None:
        """Record that a zone's evacuation has ended."""
        self._evacuated_since.pop(zone, None)
        for host, zones in self._informed.items():
            self._informed[host] = zones - {zone}

    def record_host_started(self, host: str) -> None:
        """Record that a host has started, which knows nothing."""
        self._informed.pop(host, None)

    def record_informed(self, host: str, zones: frozenset[str]) -> None:
        """Record that a host now knows of the evacuation of zones."""
        if zones:
            known = self.evacuations_known_to(host) | zones
            self._informed[host] = known & self._evacuated_since.keys()

    def evacuations_known_to(self, host: str) -> frozenset[str]:
        """Return the evacuations that a host was told of."""
        return self._informed.get(host, frozenset())

    def check_start_order(
        self, host: str, zone: str, key: model.RunKey
    ) -> None:
        """Check that a start that leaves a host now is not forbidden.

        A host that reaches neither the store nor a host that knows is
        excused. An order that its server carries out late left in time.
        """
        since = self._evacuated_since.get(zone)
        if (
            since is not None
            and self._timeline.now() - since > EVACUATION_GRACE
            and zone in self.evacuations_known_to(host)
        ):
            detail = f"{key.task} run {key.run} in {zone} by {host}"
            self._record(Guarantee.EVACUATION, detail)

    def _holds(
        self, backend: emulated_backend.EmulatedBackend, used: model.Resources
    ) -> bool:
        """Return whether resources in use are within the server's capacity.

        The capacity before it shrank counts as well for a while. Hosts that
        the store turns away can learn of it from the others.
        """
        report = backend.report
        if report.capacity.holds(used):
            return True
        former = self._former_capacities.get(report.incarnation.backend_id)
        if former is None:
            return False
        shrunk_at, capacity = former
        elapsed = self._timeline.now() - shrunk_at
        is_recent = elapsed <= SHRINK_GRACE or not self._are_hosts_in_contact
        return is_recent and capacity.holds(used)

    def run_started(
        self,
        backend: emulated_backend.EmulatedBackend,
        key: model.RunKey,
        spec: str,
    ) -> None:
        self.starts += 1
        where = f"{key.task} run {key.run} on {backend.report.incarnation}"
        self._run_counts[key.task] += 1
        if self._run_counts[key.task] > 1:
            self._record(Guarantee.SINGLE_RUN, where)
        used = model.Resources()
        for run in backend.runs.values():
            used = used + run.resources
        if not self._holds(backend, used):
            self._record(Guarantee.CAPACITY, f"{where}: {used}")
        definition = self._task_definitions.get(key.task)
        if definition is None or definition.spec != spec:
            self._record(Guarantee.SPEC, where)
        elif definition.service != backend.report.service:
            self._record(Guarantee.SERVICE, where)
        since = self._draining_since.get(backend.report.incarnation.backend_id)
        if (
            since is not None
            and self._timeline.now() - since > DRAIN_GRACE
            and self._has_contact
        ):
            self._record(Guarantee.DRAIN, where)
        self.started_jobs.add(key.task.partition(".")[0])
        if self._crashes[key.task] >= CRASHES_MAX:
            self._later_starts[key.task] += 1
            if self._later_starts[key.task] >= LATER_STARTS_MAX:
                self._record(Guarantee.CRASHES, where)

    def server_crashed(
        self,
        backend: emulated_backend.EmulatedBackend,
        key: model.RunKey,
    ) -> None:
        self._crashes[key.task] += 1
        self._failed_jobs.add(key.task.partition(".")[0])
        self._crash_backend(backend.report.incarnation.backend_id)

    def run_ended(
        self,
        backend: emulated_backend.EmulatedBackend,
        key: model.RunKey,
        end: str,
    ) -> None:
        self._run_counts[key.task] -= 1
        if end == "done":
            self._done_tasks.add(key.task)
        elif end == "failed":
            self._failed_jobs.add(key.task.partition(".")[0])
        elif end == "crashed":
            self._lost_runs[key.task] += 1
            if self._lost_runs[key.task] >= LOST_RUNS_MAX:
                self._failed_jobs.add(key.task.partition(".")[0])

    def check_done_job(self, job_id: str) -> None:
        """Check that all tasks of a job that was answered as done are done."""
        for task in self._task_definitions:
            if task.startswith(f"{job_id}.") and task not in self._done_tasks:
                self._record(Guarantee.COMPLETENESS, task)

    def check_failed_job(self, job_id: str) -> None:
        """Check that a task of a job that was answered as failed did fail."""
        if job_id not in self._failed_jobs:
            self._record(Guarantee.FAILURE, job_id)

    def record_unanswered_caller(self, job_id: str) -> None:
        """Record a job whose caller had no answer when its host exited."""
        self._record(Guarantee.ANSWER, job_id)

    def check_refused_job(self, job_id: str) -> None:
        """Check that no task ran if all attempts were refused as not run."""
        if job_id in self.started_jobs:
            self._record(Guarantee.REFUSAL, job_id)
