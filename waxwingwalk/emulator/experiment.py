"""Load experiments: the same seeded load under different policies.

Jobs of three classes arrive at a fleet on a simulated clock, with a phase in
which the load exceeds the capacity. Each policy gets the same arrivals, so
that the results are comparable.
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
WARM_UP_TIME = datetime.timedelta(seconds=3)
SETTLE_TIME = datetime.timedelta(seconds=6)
# An answer that misses its objective, but comes within ``LATE_LIMIT`` times
# the objective, earns this share of its worth; a later one earns nothing.
LATE_WORTH_SHARE = 0.2
LATE_LIMIT = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """Jobs of one queue; the figures come from the users' load description.

    ``worth`` is that of a job of mean size. ``width`` (tasks per job) and
    ``work`` (run time of a task) are means: the values of a job, and the
    processors of its tasks, are drawn from log-normal distributions.
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
OBJECTIVE_OFFSET = datetime.timedelta(milliseconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """A load over time, as multiples of the usual rate of arrivals."""

    length: datetime.timedelta = datetime.timedelta(seconds=14)
    peak_from: datetime.timedelta = datetime.timedelta(seconds=4)
    peak_to: datetime.timedelta = datetime.timedelta(seconds=9)
    base: float = 0.9
    peak: float = 1.5

    def factor(self, at: datetime.timedelta) -> float:
        """Return the multiple of the usual load at a time."""
        return self.peak if self.peak_from <= at < self.peak_to else self.base


@dataclasses.dataclass(slots=True)
class ClassTotals:
    """Results of the jobs of one class, as counts and as worth.

    ``asked`` counts all jobs and ``refused`` all answers but done ones, also
    of jobs that failed or were lost. Jobs that were done later than
    ``LATE_LIMIT`` allows, or got no answer, count in ``asked`` only. ``owed``
    is the worth of all jobs and ``earned`` the worth that their answers
    earned.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    owed: float = 0.0
    earned: float = 0.0

    @property
    def share(self) -> float:
        """The earned share of the worth."""
        return self.earned / self.owed if self.owed else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    at: datetime.timedelta
    job_class: JobClass
    width: int
    work: datetime.timedelta
    estimate: datetime.timedelta
    resources: model.Resources


class Experiment:
    """Runs one seeded load under a job order and a placement."""

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
        self._arrivals = self._draw_arrivals()
        self._arrivals_by_job: dict[str, _Arrival] = {}
        self.fleet = emulator_fleet.Fleet(seed, job_order, placement)

    def run(self) -> dict[str, ClassTotals]:
        """Run the load; return the totals of each class."""
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
        self.fleet.run(WARM_UP_TIME)
        hosts = list(self.fleet.hosts.values())
        for number, arrival in enumerate(self._arrivals):
            host = hosts[number % len(hosts)]
            submit = functools.partial(self._submit, number, arrival, host)
            self.fleet.timeline.call_later(arrival.at, submit)
        self.fleet.run(self._load.length + SETTLE_TIME)
        return self._summarize()

    def _draw_arrivals(self) -> list[_Arrival]:
        arrivals = []
        for job_class in CLASSES:
            at = datetime.timedelta()
            while at < self._load.length:
                rate = job_class.per_second * self._load.factor(at)
                at += datetime.timedelta(
                    seconds=self._random.expovariate(rate)
                )
                arrivals.append(self._draw_arrival(at, job_class))
        return sorted(arrivals, key=lambda each: each.at)

    def _draw_arrival(
        self, at: datetime.timedelta, job_class: JobClass
    ) -> _Arrival:
        work = job_class.work * self._draw_factor(0.4)
        processors = min(10_000, int(TASK_PROCESSORS * self._draw_factor(0.2)))
        return _Arrival(
            at=at,
            job_class=job_class,
            width=max(1, round(job_class.width * self._draw_factor(0.4))),
            work=work,
            estimate=work * self._draw_factor(0.4),
            resources=model.Resources(processors, 64),
        )

    def _draw_factor(self, sigma: float) -> float:
        return self._random.lognormvariate(-sigma * sigma / 2, sigma)

    def _submit(
        self, number: int, arrival: _Arrival, host: emulator_fleet.Host
    ) -> None:
        job_id = f"{number:016x}"
        self._arrivals_by_job[job_id] = arrival
        objective = STRETCH * arrival.work + OBJECTIVE_OFFSET
        self.fleet.submit(
            job_id,
            host,
            arrival.width,
            arrival.work,
            arrival.resources,
            estimate=arrival.estimate,
            timeout=LATE_LIMIT * objective + OBJECTIVE_OFFSET,
            queue=arrival.job_class.name,
            priority=arrival.job_class.priority,
        )

    def _summarize(self) -> dict[str, ClassTotals]:
        totals = {job_class.name: ClassTotals() for job_class in CLASSES}
        for job_id, arrival in self._arrivals_by_job.items():
            class_totals = totals[arrival.job_class.name]
            caller = self.fleet.callers[job_id]
            mean = arrival.job_class.width * arrival.job_class.work
            size = arrival.width * arrival.work / mean
            size *= arrival.resources.processors / TASK_PROCESSORS
            worth = arrival.job_class.worth * (0.3 + 0.7 * min(size, 4.0))
            class_totals.asked += 1
            class_totals.owed += worth
            if caller.answer is None or caller.answered_at is None:
                continue
            if caller.answer.outcome is not model.JobOutcome.DONE:
                class_totals.refused += 1
                continue
            took = caller.answered_at - caller.submitted_at
            ratio = took / (STRETCH * arrival.work + OBJECTIVE_OFFSET)
            if ratio <= 1:
                class_totals.on_time += 1
                class_totals.earned += worth
            elif ratio <= LATE_LIMIT:
                class_totals.late += 1
                class_totals.earned += worth * LATE_WORTH_SHARE
        return totals


def earned_share(totals: dict[str, ClassTotals]) -> float:
    """Return the earned share of the worth of all classes."""
    owed = math.fsum(each.owed for each in totals.values())
    return math.fsum(each.earned for each in totals.values()) / owed
