"""Fault scenarios: a steady load with faults that are drawn or planned."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import datetime
import random

from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.emulator import fleet as emulator_fleet
from waxwingwalk.emulator import guarantees

ZONES = ("north", "south")
HOSTS_PER_ZONE = 2
BACKENDS_PER_ZONE = 3
CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=6_800, memory=64)
SLOWNESSES = (0.6, 1.0, 1.6)
WARM_UP_TIME = datetime.timedelta(seconds=3)
DURATION = datetime.timedelta(seconds=12)
SETTLE_TIME = datetime.timedelta(seconds=8)
JOB_INTERVAL = datetime.timedelta(milliseconds=70)
FAULT_COUNT = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Results of a scenario.

    ``left`` counts the callers that gave up before they had an answer.
    """

    seed: int
    jobs: int
    done: int
    refused: int
    lost: int
    failed: int
    left: int
    starts: int
    faults: tuple[str, ...]
    violations: tuple[guarantees.Violation, ...]


class Scenario:
    """Runs a fleet under load, with random or planned faults.

    ``planned`` lists pairs of a time, in seconds from the first job, and the
    kind of the fault. Without it, ``faults`` faults of ``kinds`` are drawn.
    """

    def __init__(
        self,
        seed: int,
        faults: int = FAULT_COUNT,
        planned: list[tuple[float, str]] | None = None,
        kinds: Sequence[str] | None = None,
        do_callers_repeat: bool = True,
        settings: dispatch_settings.DispatchSettings | None = None,
    ) -> None:
        self.seed = seed
        self._planned = planned
        self.fleet = emulator_fleet.Fleet(seed, settings=settings)
        self.fleet.do_callers_repeat = do_callers_repeat
        self.faults: list[str] = []
        self._kinds = kinds or FAULTS
        self._random = random.Random(seed)
        self._fault_count = faults
        self._job_number = 0

    def run(self) -> Result:
        """Run the scenario and return its results."""
        self._build()
        self.fleet.run(WARM_UP_TIME)
        for delay, kind in self._plan_faults():
            self.fleet.timeline.call_later(delay, self._make_fault(kind))
        jobs = int(DURATION / JOB_INTERVAL)
        for number in range(jobs):
            self.fleet.timeline.call_later(JOB_INTERVAL * number, self._submit)
        self.fleet.run(DURATION + SETTLE_TIME)
        self.fleet.check_refused_jobs()
        return self._result()

    def _plan_faults(self) -> list[tuple[datetime.timedelta, str]]:
        if self._planned is not None:
            return [
                (datetime.timedelta(seconds=at), kind)
                for at, kind in self._planned
            ]
        return [
            (
                DURATION * self._random.random(),
                self._random.choice(self._kinds),
            )
            for _ in range(self._fault_count)
        ]

    def _build(self) -> None:
        for zone in ZONES:
            for number in range(HOSTS_PER_ZONE):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(BACKENDS_PER_ZONE):
                slowness = SLOWNESSES[number % len(SLOWNESSES)]
                self.fleet.add_backend(
                    f"server-{zone}-{number}", zone, CAPACITY, slowness
                )

    def _submit(self) -> None:
        up = [each for each in self.fleet.hosts.values() if each.is_up]
        if not up:
            return
        self._job_number += 1
        work = self._random.choice((60, 60, 200, 200, 900))
        caller = self.fleet.submit(
            f"{self._job_number:016x}",
            self._random.choice(up),
            self._random.randint(1, 4),
            datetime.timedelta(milliseconds=work),
            TASK_RESOURCES,
            fails=self._random.random() < 0.01,
        )
        if self._random.random() < 0.05:
            delay = datetime.timedelta(seconds=self._random.random())
            self.fleet.timeline.call_later(
                delay, lambda: self.fleet.abandon_job(caller)
            )

    def _make_fault(self, kind: str) -> Callable[[], None]:
        def inject() -> None:
            self.faults.append(kind)
            getattr(self, f"_{kind}")()

        return inject

    def _call_later(self, seconds: float, action: Callable[[], None]) -> None:
        delay = datetime.timedelta(seconds=seconds)
        self.fleet.timeline.call_later(delay, action)

    def _choose_host(self) -> emulator_fleet.Host | None:
        up = [
            each
            for each in self.fleet.hosts.values()
            if each.is_up and not each.is_frozen
        ]
        return self._random.choice(up) if len(up) > 1 else None

    def _choose_backend(self) -> str | None:
        up = [name for name, each in self.fleet.backends.items() if each.is_up]
        return self._random.choice(up) if up else None

    # Faults.

    def _kill(self) -> None:
        self._stop_host(silently=False)

    def _power_off(self) -> None:
        self._stop_host(silently=True)

    def _stop_host(self, *, silently: bool) -> None:
        host = self._choose_host()
        if host is None:
            return
        self.fleet.kill_host(host, silently=silently)
        self._call_later(
            self._random.uniform(0.5, 3),
            lambda: None if host.is_up else self.fleet.start_host(host),
        )

    def _freeze(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        self.fleet.freeze_host(host)
        self._call_later(
            self._random.uniform(0.5, 4),
            lambda: self.fleet.wake_host(host),
        )

    def _roll(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        self.fleet.drain_host(host, datetime.timedelta(seconds=5))
        self._call_later(
            6.5, lambda: None if host.is_up else self.fleet.start_host(host)
        )

    def _crash(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        self.fleet.crash_backend(name)
        self._call_later(
            self._random.uniform(0.1, 6),
            lambda: self._restart_backend(name),
        )

    def _restart_backend(self, name: str) -> None:
        if not self.fleet.backends[name].is_up:
            self.fleet.restart_backend(name)

    def _leave_backend(self) -> None:
        name = self._choose_backend()
        if name is not None:
            self.fleet.drain_backend(name)

    def _slow_down(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        backend = self.fleet.backends[name]
        original, backend.slowness = backend.slowness, backend.slowness * 6
        self._call_later(4, lambda: setattr(backend, "slowness", original))

    def _stick(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        backend = self.fleet.backends[name]
        backend.is_stuck = True
        self._call_later(3, lambda: setattr(backend, "is_stuck", False))

    def _cut_zone(self) -> None:
        zone = self._random.choice(ZONES)
        self.fleet.isolated_zones.add(zone)
        self._call_later(4, lambda: self.fleet.isolated_zones.discard(zone))

    def _cut_host(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        self.fleet.isolate_host(host)
        self._call_later(4, lambda: self.fleet.reconnect_host(host))

    def _store_down(self) -> None:
        self.fleet.stop_store()
        self._call_later(4, self.fleet.start_store)

    def _late_orders(self) -> None:
        self.fleet.late_share = 0.1
        self._call_later(3, lambda: setattr(self.fleet, "late_share", 0.0))

    def _lose_calls(self) -> None:
        self.fleet.call_loss_share = 0.2
        self._call_later(
            3, lambda: setattr(self.fleet, "call_loss_share", 0.0)
        )

    def _delay_messages(self) -> None:
        self.fleet.message_delay = datetime.timedelta(
            seconds=self._random.uniform(0.2, 1)
        )
        self._call_later(
            3,
            lambda: setattr(
                self.fleet, "message_delay", emulator_fleet.LINK_DELAY
            ),
        )

    def _silence_path(self) -> None:
        hosts = sorted(self.fleet.hosts)
        sender, receiver = self._random.sample(hosts, 2)
        path = (sender, receiver)
        self.fleet.silent_paths.add(path)
        self._call_later(3, lambda: self.fleet.silent_paths.discard(path))

    def _freeze_after_event(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        self.fleet.freeze_host_after_event(host)
        self._call_later(
            self._random.uniform(0.1, 4),
            lambda: self.fleet.wake_host(host),
        )

    def _hide_backend(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        self.fleet.hide_backend(name)
        self._call_later(
            self._random.uniform(0.5, 6),
            lambda: self.fleet.show_backend(name),
        )

    def _lag_list(self) -> None:
        self.fleet.hold_backend_list()
        self._call_later(
            self._random.uniform(1, 4), self.fleet.release_backend_list
        )

    def _cut_backend(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        self.fleet.unreachable_backends.add(name)
        self._call_later(
            self._random.uniform(0.3, 4),
            lambda: self.fleet.unreachable_backends.discard(name),
        )

    def _crash_behind_cut(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        backend = self.fleet.backends[name]
        self.fleet.unreachable_backends.add(name)
        crash_at = self._random.uniform(0.2, 1)
        restart_at = crash_at + self._random.uniform(0.1, 1)

        def crash() -> None:
            if backend.is_up:
                self.fleet.crash_backend(name)

        self._call_later(crash_at, crash)
        self._call_later(restart_at, lambda: self._restart_backend(name))
        self._call_later(
            restart_at + self._random.uniform(0.0, 1),
            lambda: self.fleet.unreachable_backends.discard(name),
        )

    def _submit_crashing(self) -> None:
        host = self._choose_host()
        if host is None:
            return
        self._job_number += 1
        self.fleet.submit(
            f"{self._job_number:016x}",
            host,
            self._random.randint(1, 4),
            datetime.timedelta(milliseconds=200),
            TASK_RESOURCES,
            timeout=datetime.timedelta(seconds=10),
            crashing_tasks=1,
        )

    def _shrink_backend(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        shrunk = model.Resources(CAPACITY.processors // 2, CAPACITY.memory)
        self.fleet.resize_backend(name, shrunk)
        self._call_later(
            self._random.uniform(4, 8),
            lambda: self.fleet.resize_backend(name, CAPACITY),
        )

    def _restart_quickly(self) -> None:
        name = self._choose_backend()
        if name is None:
            return
        self.fleet.crash_backend(name)

        def restart() -> None:
            if not self.fleet.backends[name].is_up:
                self.fleet.restart_backend(name)
                # The row of the new incarnation is written a little later.
                self.fleet.hide_backend(name)

        restart_at = self._random.uniform(0.01, 0.3)
        self._call_later(restart_at, restart)
        self._call_later(
            restart_at + self._random.uniform(0, 1),
            lambda: self.fleet.show_backend(name),
        )

    def _restart_behind_cut(self) -> None:
        """Restart servers that are cut off from the store under their ids."""
        up = [name for name, each in self.fleet.backends.items() if each.is_up]
        for name in self._random.sample(up, min(len(up), BACKENDS_PER_ZONE)):
            self._restart_unlisted(name)

    def _restart_unlisted(self, name: str) -> None:
        backend = self.fleet.backends[name]

        def crash() -> None:
            if backend.is_up:
                self.fleet.crash_backend(name)

        def restart() -> None:
            if backend.is_up:
                return
            listed = self.fleet.listed_backends.get(name)
            self.fleet.restart_backend(name)
            if listed is not None:
                self.fleet.listed_backends[name] = listed

        crash_at = self._random.uniform(0, 0.5)
        self._call_later(crash_at, crash)
        self._call_later(crash_at + self._random.uniform(0.01, 0.6), restart)
        self._call_later(
            self._random.uniform(1.2, 2.2),
            lambda: self.fleet.show_backend(name),
        )

    def _evacuate_zone(self) -> None:
        zone = self._random.choice(ZONES)
        self.fleet.evacuate_zone(zone)
        self._call_later(
            self._random.uniform(5.5, 9),
            lambda: self.fleet.end_evacuation(zone),
        )

    def _evacuate_behind_cut(self) -> None:
        """Evacuate a zone of which no host reaches the store."""
        zone = self._random.choice(ZONES)
        hosts = [
            each for each in self.fleet.hosts.values() if each.zone == zone
        ]
        for host in hosts:
            self.fleet.cut_store_of(host)
        self.fleet.evacuate_zone(zone)

        def end() -> None:
            self.fleet.end_evacuation(zone)
            for host in hosts:
                self.fleet.reconnect_store_of(host)

        self._call_later(self._random.uniform(5.5, 9), end)

    def _result(self) -> Result:
        outcomes = [
            caller.answer.outcome
            for caller in self.fleet.callers.values()
            if caller.answer is not None
        ]
        job_outcome = model.JobOutcome
        return Result(
            seed=self.seed,
            jobs=len(self.fleet.callers),
            done=outcomes.count(job_outcome.DONE),
            refused=outcomes.count(job_outcome.NOT_RUN),
            lost=outcomes.count(job_outcome.LOST),
            failed=outcomes.count(job_outcome.FAILED),
            left=sum(each.has_left for each in self.fleet.callers.values()),
            starts=self.fleet.checker.starts,
            faults=tuple(self.faults),
            violations=tuple(self.fleet.checker.violations),
        )


FAULTS = (
    "kill",
    "power_off",
    "freeze",
    "roll",
    "crash",
    "leave_backend",
    "slow_down",
    "stick",
    "cut_zone",
    "cut_host",
    "store_down",
    "late_orders",
)
# Faults of paths, lists and processes beyond those of FAULTS.
PATH_FAULTS = (
    "lose_calls",
    "delay_messages",
    "silence_path",
    "freeze_after_event",
    "hide_backend",
    "lag_list",
    "cut_backend",
    "crash_behind_cut",
)
# A server that restarts under its id before its scheduler has noticed.
RESTART_FAULTS = ("restart_quickly",)
# Several servers at a time that do so while their rows stay as they are.
CUT_RESTART_FAULTS = ("restart_behind_cut",)
# Tasks that crash servers, and servers whose capacity shrinks for a while.
CRASH_FAULTS = ("submit_crashing", "shrink_backend")
# Evacuations of a zone, which last longer than hosts may take to act on them.
EVACUATION_FAULTS = ("evacuate_zone", "evacuate_behind_cut")
