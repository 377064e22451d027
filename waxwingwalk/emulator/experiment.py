"""Load experiments: the same seeded load on different policies.

Jobs of three classes arrive at a fleet on a simulated clock, with a phase in
which the load exceeds the room. Each policy meets the same arrivals, so that
their results can be compared line by line.
"""

import dataclasses
import datetime
import functools
import math
import random

from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.emulator import fleet as emulator_fleet

ZONES = ("north", "south")
BACKENDS_PER_ZONE = 6
SLOWNESSES = (0.6, 1.0, 1.6)
SIZES = (1.0, 1.0, 1.5)
PROCESSORS = 16_000
MEMORY = 65_536
WARM_UP = datetime.timedelta(seconds=3)
SETTLING = datetime.timedelta(seconds=6)
# What an answer within three times its objective is still worth.
LATE_SHARE = 0.2
LATE_LIMIT = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Jobs of one queue, as the users' sheets describe them.

    ``worth`` is of a job of mean size; widths, run times and sizes are drawn
    from a log-normal distribution around their means.
    """

    name: str
    per_second: float
    width: float
    work: datetime.timedelta
    worth: float
    priority: int


CLASSES = (
    JobClass("scan", 8.6, 8, datetime.timedelta(milliseconds=60), 0.029, 0),
    JobClass("crate", 1.56, 4, datetime.timedelta(milliseconds=900), 0.16, 2),
    JobClass("voucher", 25, 2, datetime.timedelta(milliseconds=200), 0.01, 1),
)
TASK_PROCESSORS = 6_800
STRETCH = 1.6
OBJECTIVE = datetime.timedelta(milliseconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load over time: ``peak`` times the usual during the peak phase."""

    length: datetime.timedelta = datetime.timedelta(seconds=14)
    peak_from: datetime.timedelta = datetime.timedelta(seconds=4)
    peak_to: datetime.timedelta = datetime.timedelta(seconds=9)
    base: float = 0.9
    peak: float = 1.5

    def factor(self, at: datetime.timedelta) -> float:
        """Return how many times the usual load arrives at a time."""
        return self.peak if self.peak_from <= at < self.peak_to else self.base


@dataclasses.dataclass(slots=True)
class Tally:
    """What came of the jobs of one class, in worth."""

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def share(self) -> float:
        """The share of the worth that was earned."""
        return self.earned / self.owed if self.owed else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    at: datetime.timedelta
    kind: JobClass
    width: int
    work: datetime.timedelta
    estimate: datetime.timedelta
    room: model.Resources


class Experiment:
    """One seeded load, played on one pair of policies."""

    def __init__(
        self,
        seed: int,
        job_order: ordering.JobOrder,
        placement: dispatch_placement.Placement,
        load: Load | None = None,
        slownesses: tuple[float, ...] = SLOWNESSES,
    ) -> None:
        self._load = load or Load()
        self._slownesses = slownesses
        self._random = random.Random(seed)
        self._arrivals = self._draw()
        self._kinds: dict[str, _Arrival] = {}
        self.fleet = emulator_fleet.Fleet(seed, job_order, placement)

    def run(self) -> dict[str, Tally]:
        """Play the load; return a tally by class."""
        for zone in ZONES:
            self.fleet.add_host(f"{zone}-0", zone)
            for number in range(BACKENDS_PER_ZONE):
                size = SIZES[number % len(SIZES)]
                self.fleet.add_backend(
                    f"server-{zone}-{number}",
                    zone,
                    model.Resources(int(PROCESSORS * size), MEMORY),
                    self._slownesses[number // 2 % len(self._slownesses)],
                )
        self.fleet.run(WARM_UP)
        hosts = list(self.fleet.hosts.values())
        for number, arrival in enumerate(self._arrivals):
            host = hosts[number % len(hosts)]
            submit = functools.partial(self._submit, number, arrival, host)
            self.fleet.timeline.after(arrival.at, submit)
        self.fleet.run(self._load.length + SETTLING)
        return self._tally()

    def _draw(self) -> list[_Arrival]:
        arrivals = []
        for kind in CLASSES:
            at = datetime.timedelta()
            while at < self._load.length:
                rate = kind.per_second * self._load.factor(at)
                at += datetime.timedelta(
                    seconds=self._random.expovariate(rate)
                )
                arrivals.append(self._arrival(at, kind))
        return sorted(arrivals, key=lambda each: each.at)

    def _arrival(self, at: datetime.timedelta, kind: JobClass) -> _Arrival:
        work = kind.work * self._spread(0.4)
        processors = min(10_000, int(TASK_PROCESSORS * self._spread(0.2)))
        return _Arrival(
            at=at,
            kind=kind,
            width=max(1, round(kind.width * self._spread(0.4))),
            work=work,
            estimate=work * self._spread(0.4),
            room=model.Resources(processors, 64),
        )

    def _spread(self, sigma: float) -> float:
        return self._random.lognormvariate(-sigma * sigma / 2, sigma)

    def _submit(
        self, number: int, arrival: _Arrival, host: emulator_fleet.Host
    ) -> None:
        job_id = f"{number:016x}"
        self._kinds[job_id] = arrival
        objective = STRETCH * arrival.work + OBJECTIVE
        self.fleet.submit(
            job_id,
            host,
            arrival.width,
            arrival.work,
            arrival.room,
            estimate=arrival.estimate,
            patience=LATE_LIMIT * objective + OBJECTIVE,
            queue=arrival.kind.name,
            priority=arrival.kind.priority,
        )

    def _tally(self) -> dict[str, Tally]:
        tallies = {kind.name: Tally() for kind in CLASSES}
        for job_id, arrival in self._kinds.items():
            tally = tallies[arrival.kind.name]
            caller = self.fleet.callers[job_id]
            mean = arrival.kind.width * arrival.kind.work
            size = arrival.width * arrival.work / mean
            size *= arrival.room.processors / TASK_PROCESSORS
            worth = arrival.kind.worth * (0.3 + 0.7 * min(size, 4.0))
            tally.asked += 1
            tally.owed += worth
            if caller.answer is None or caller.answered_at is None:
                continue
            if caller.answer.outcome is not model.JobOutcome.DONE:
                tally.refused += 1
                continue
            took = caller.answered_at - caller.submitted_at
            ratio = took / (STRETCH * arrival.work + OBJECTIVE)
            if ratio <= 1:
                tally.on_time += 1
                tally.earned += worth
            elif ratio <= LATE_LIMIT:
                tally.late += 1
                tally.earned += worth * LATE_SHARE
        return tallies


def overall(tallies: dict[str, Tally]) -> float:
    """Return the share of all worth that was earned."""
    owed = math.fsum(each.owed for each in tallies.values())
    return math.fsum(each.earned for each in tallies.values()) / owed
