"""Random days: a steady load and faults drawn from a seed."""

from collections.abc import Callable
import dataclasses
import datetime
import random

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulator_fleet
from waxwingwalk.emulator import judge as emulator_judge

ZONES = ("north", "south")
HOSTS_PER_ZONE = 2
BACKENDS_PER_ZONE = 3
ROOM = model.Resources(processors=16_000, memory=65_536)
TASK_ROOM = model.Resources(processors=6_800, memory=64)
SLOWNESSES = (0.6, 1.0, 1.6)
WARM_UP = datetime.timedelta(seconds=3)
LENGTH = datetime.timedelta(seconds=12)
SETTLING = datetime.timedelta(seconds=8)
JOB_INTERVAL = datetime.timedelta(milliseconds=70)
FAULTS_PER_DAY = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of a day."""

    seed: int
    jobs: int
    done: int
    refused: int
    lost: int
    failed: int
    left: int
    starts: int
    faults: tuple[str, ...]
    breaches: tuple[emulator_judge.Breach, ...]


class Day:
    """One day of a fleet, with random faults or with those planned.

    A planned fault is its time in seconds from the first job, and its kind.
    """

    def __init__(
        self,
        seed: int,
        faults: int = FAULTS_PER_DAY,
        planned: list[tuple[float, str]] | None = None,
    ) -> None:
        self.seed = seed
        self._planned = planned
        self.fleet = emulator_fleet.Fleet(seed)
        self.faults: list[str] = []
        self._random = random.Random(seed)
        self._fault_count = faults
        self._job_number = 0

    def run(self) -> Result:
        """Play the day and return what came of it."""
        self._build()
        self.fleet.run(WARM_UP)
        for delay, kind in self._plan():
            self.fleet.timeline.after(delay, self._fault(kind))
        jobs = int(LENGTH / JOB_INTERVAL)
        for number in range(jobs):
            self.fleet.timeline.after(JOB_INTERVAL * number, self._submit)
        self.fleet.run(LENGTH + SETTLING)
        self.fleet.settle()
        return self._result()

    def _plan(self) -> list[tuple[datetime.timedelta, str]]:
        if self._planned is not None:
            return [
                (datetime.timedelta(seconds=at), kind)
                for at, kind in self._planned
            ]
        return [
            (LENGTH * self._random.random(), self._random.choice(FAULTS))
            for _ in range(self._fault_count)
        ]

    def _build(self) -> None:
        for zone in ZONES:
            for number in range(HOSTS_PER_ZONE):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(BACKENDS_PER_ZONE):
                slowness = SLOWNESSES[number % len(SLOWNESSES)]
                self.fleet.add_backend(
                    f"server-{zone}-{number}", zone, ROOM, slowness
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
            TASK_ROOM,
            fails=self._random.random() < 0.01,
        )
        if self._random.random() < 0.05:
            delay = datetime.timedelta(seconds=self._random.random())
            self.fleet.timeline.after(delay, lambda: self.fleet.leave(caller))

    def _fault(self, kind: str) -> Callable[[], None]:
        def strike() -> None:
            self.faults.append(kind)
            getattr(self, f"_{kind}")()

        return strike

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        delay = datetime.timedelta(seconds=seconds)
        self.fleet.timeline.after(delay, action)

    def _some_host(self) -> emulator_fleet.Host | None:
        up = [
            each
            for each in self.fleet.hosts.values()
            if each.is_up and not each.is_frozen
        ]
        return self._random.choice(up) if len(up) > 1 else None

    def _some_backend(self) -> str | None:
        up = [name for name, each in self.fleet.backends.items() if each.is_up]
        return self._random.choice(up) if up else None

    # Faults.

    def _kill(self) -> None:
        self._stop_host(silently=False)

    def _power_off(self) -> None:
        self._stop_host(silently=True)

    def _stop_host(self, *, silently: bool) -> None:
        host = self._some_host()
        if host is None:
            return
        self.fleet.kill_host(host, silently=silently)
        self._after(
            self._random.uniform(0.5, 3),
            lambda: None if host.is_up else self.fleet.start_host(host),
        )

    def _freeze(self) -> None:
        host = self._some_host()
        if host is None:
            return
        self.fleet.freeze_host(host)
        self._after(
            self._random.uniform(0.5, 4),
            lambda: self.fleet.wake_host(host),
        )

    def _roll(self) -> None:
        host = self._some_host()
        if host is None:
            return
        self.fleet.drain_host(host, datetime.timedelta(seconds=5))
        self._after(
            6.5, lambda: None if host.is_up else self.fleet.start_host(host)
        )

    def _crash(self) -> None:
        name = self._some_backend()
        if name is None:
            return
        self.fleet.crash_backend(name)
        self._after(
            self._random.uniform(0.1, 6), lambda: self.fleet.bear_backend(name)
        )

    def _leave_backend(self) -> None:
        name = self._some_backend()
        if name is not None:
            self.fleet.drain_backend(name)

    def _slow_down(self) -> None:
        name = self._some_backend()
        if name is None:
            return
        backend = self.fleet.backends[name]
        was, backend.slowness = backend.slowness, backend.slowness * 6
        self._after(4, lambda: setattr(backend, "slowness", was))

    def _stick(self) -> None:
        name = self._some_backend()
        if name is None:
            return
        backend = self.fleet.backends[name]
        backend.is_stuck = True
        self._after(3, lambda: setattr(backend, "is_stuck", False))

    def _cut_zone(self) -> None:
        zone = self._random.choice(ZONES)
        self.fleet.cut_zones.add(zone)
        self._after(4, lambda: self.fleet.cut_zones.discard(zone))

    def _cut_host(self) -> None:
        host = self._some_host()
        if host is None:
            return
        self.fleet.cut_host(host)
        self._after(4, lambda: self.fleet.mend_host(host))

    def _store_down(self) -> None:
        self.fleet.stop_store()
        self._after(4, self.fleet.start_store)

    def _late_orders(self) -> None:
        self.fleet.late_share = 0.1
        self._after(3, lambda: setattr(self.fleet, "late_share", 0.0))

    def _result(self) -> Result:
        outcomes = [
            caller.answer.outcome
            for caller in self.fleet.callers.values()
            if caller.answer is not None
        ]
        kinds = model.JobOutcome
        return Result(
            seed=self.seed,
            jobs=len(self.fleet.callers),
            done=outcomes.count(kinds.DONE),
            refused=outcomes.count(kinds.NOT_RUN),
            lost=outcomes.count(kinds.LOST),
            failed=outcomes.count(kinds.FAILED),
            left=sum(each.has_left for each in self.fleet.callers.values()),
            starts=self.fleet.judge.starts,
            faults=tuple(self.faults),
            breaches=tuple(self.fleet.judge.breaches),
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
