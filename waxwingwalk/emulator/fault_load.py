"""Load with unanswered orders, slow tasks, faulty servers or uneven demand.

The same seeded arrivals are run with different settings of dispatch, so that
the results are comparable. Tasks request half of a server of ordinary size,
and three of the jobs' classes differ in length and width.
"""

import collections
import dataclasses
import datetime
import functools
import math
import random

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.emulator import experiment
from waxwingwalk.emulator import fleet as emulator_fleet

ZONES = ("east", "north", "south")
HOSTS_PER_ZONE = 2
BACKENDS_PER_ZONE = 9
SIZES = (32_000, 32_000, 48_000)
MEMORY = 65_536
TASK_PROCESSORS = 15_000
TASK_PROCESSORS_MAX = 24_000
WARM_UP_TIME = datetime.timedelta(seconds=3)
SETTLE_TIME = datetime.timedelta(seconds=6)
# A caller waits this long.
TIMEOUT = datetime.timedelta(milliseconds=1500)
# The period of the demand of a zone.
PERIOD = datetime.timedelta(seconds=13)


def _milliseconds(count: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=count)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultLoad:
    """A load and its faults.

    ``factor`` scales the arrivals, 1 being about as many as the servers can
    process. ``late_share`` of the orders of the kinds in ``late_orders`` get
    no answer and are carried out 2 to 12 s late, ``long_share`` of the tasks
    take 7 times as long. On ``standing`` servers of each zone, runs
    do not end; ``slow`` ones take 5 times as long. Faults last from one to two
    thirds of ``length``. ``swing`` is by which share the demand of a zone
    varies over PERIOD, each zone a third of it after another.
    """

    length: datetime.timedelta = datetime.timedelta(seconds=12)
    factor: float = 0.7
    late_share: float = 0.0
    late_orders: tuple[type, ...] = (effects.StartRun,)
    long_share: float = 0.0
    standing: int = 0
    slow: int = 0
    swing: float = 0.0
    reports_progress: bool = False

    def rate(self, zone: int, at: datetime.timedelta) -> float:
        """Return the multiple of the usual demand of a zone at a time."""
        phase = at / PERIOD + zone / len(ZONES)
        wave = 1 + self.swing * math.sin(2 * math.pi * phase)
        return self.factor * wave


@dataclasses.dataclass(frozen=True, slots=True)
class FaultResult:
    """Results of a load; ``earned`` is a share of the value of all jobs.

    ``refused`` counts answers that say not run, ``other`` those of lost and
    failed jobs. ``logs`` counts the log lines of all hosts by event.
    """

    jobs: int
    on_time: int
    late: int
    refused: int
    other: int
    earned: float
    earned_by_zone: dict[str, float]
    logs: collections.Counter[str]
    violations: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    zone: str
    job_class: experiment.JobClass
    width: int
    work: datetime.timedelta
    estimate: datetime.timedelta
    resources: model.Resources
    long_tasks: frozenset[int]


# Rates are for one zone, and keep 9 servers busy at a factor of 1.
CLASSES = (
    experiment.JobClass("scan", 8.5, 8, _milliseconds(55), 0.00485, 0),
    experiment.JobClass("crate", 1.5, 4, _milliseconds(830), 0.0267, 2),
    experiment.JobClass("voucher", 24.0, 2, _milliseconds(185), 0.00167, 1),
)


class FaultExperiment:
    """Runs one seeded load under some settings of dispatch."""

    def __init__(
        self,
        seed: int,
        load: FaultLoad,
        settings: dispatch_settings.DispatchSettings,
    ) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._arrivals = self._draw_arrivals()
        self._submitted: dict[str, _Arrival] = {}
        self.fleet = emulator_fleet.Fleet(seed, settings=settings)
        self.fleet.do_callers_repeat = False
        self.fleet.late_orders = load.late_orders

    def run(self) -> FaultResult:
        """Run the load with its faults; return the results."""
        for zone in ZONES:
            for number in range(HOSTS_PER_ZONE):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(BACKENDS_PER_ZONE):
                backend = self.fleet.add_backend(
                    f"server-{zone}-{number}",
                    zone,
                    model.Resources(SIZES[number % len(SIZES)], MEMORY),
                    1.0,
                )
                backend.reports_progress = self._load.reports_progress
        self.fleet.run(WARM_UP_TIME)
        for number, (at, arrival) in enumerate(self._arrivals):
            submit = functools.partial(self._submit, number, arrival)
            self.fleet.timeline.call_later(at, submit)
        third = self._load.length / 3
        self.fleet.timeline.call_later(third, self._begin_faults)
        self.fleet.timeline.call_later(2 * third, self._end_faults)
        self.fleet.run(self._load.length + SETTLE_TIME)
        self.fleet.check_refused_jobs()
        return self._summarize()

    def _draw_arrivals(self) -> list[tuple[datetime.timedelta, _Arrival]]:
        arrivals = []
        for number, zone in enumerate(ZONES):
            for job_class in CLASSES:
                at = datetime.timedelta()
                while True:
                    rate = job_class.per_second * self._load.rate(number, at)
                    at += datetime.timedelta(
                        seconds=self._random.expovariate(rate)
                    )
                    if at >= self._load.length:
                        break
                    arrivals.append((at, self._draw_arrival(zone, job_class)))
        return sorted(arrivals, key=lambda each: each[0])

    def _draw_arrival(
        self, zone: str, job_class: experiment.JobClass
    ) -> _Arrival:
        work = job_class.work * self._draw_factor(0.4)
        width = max(1, round(job_class.width * self._draw_factor(0.4)))
        processors = int(TASK_PROCESSORS * self._draw_factor(0.2))
        return _Arrival(
            zone=zone,
            job_class=job_class,
            width=width,
            work=work,
            estimate=work * self._draw_factor(0.4),
            resources=model.Resources(
                min(processors, TASK_PROCESSORS_MAX), 64
            ),
            long_tasks=frozenset(
                index
                for index in range(width)
                if self._random.random() < self._load.long_share
            ),
        )

    def _draw_factor(self, sigma: float) -> float:
        return self._random.lognormvariate(-sigma * sigma / 2, sigma)

    def _submit(self, number: int, arrival: _Arrival) -> None:
        hosts = [
            each
            for each in self.fleet.hosts.values()
            if each.zone == arrival.zone
        ]
        job_id = f"{number:016x}"
        self._submitted[job_id] = arrival
        self.fleet.submit(
            job_id,
            hosts[number % len(hosts)],
            arrival.width,
            arrival.work,
            arrival.resources,
            estimate=arrival.estimate,
            timeout=TIMEOUT,
            queue=arrival.job_class.name,
            priority=arrival.job_class.priority,
            long_tasks=arrival.long_tasks,
        )

    def _begin_faults(self) -> None:
        self.fleet.late_share = self._load.late_share
        for zone in ZONES:
            for number in range(BACKENDS_PER_ZONE):
                backend = self.fleet.backends[f"server-{zone}-{number}"]
                if number < self._load.standing:
                    backend.is_stuck = True
                elif number < self._load.standing + self._load.slow:
                    backend.slowness = 5.0

    def _end_faults(self) -> None:
        self.fleet.late_share = 0.0
        for backend in self.fleet.backends.values():
            backend.is_stuck = False
            backend.slowness = 1.0

    def _summarize(self) -> FaultResult:
        counts: collections.Counter[str] = collections.Counter()
        owed: dict[str, float] = dict.fromkeys(ZONES, 0.0)
        earned: dict[str, float] = dict.fromkeys(ZONES, 0.0)
        for job_id, arrival in self._submitted.items():
            caller = self.fleet.callers[job_id]
            mean = arrival.job_class.width * arrival.job_class.work
            size = arrival.width * arrival.work / mean
            worth = arrival.job_class.worth * (0.3 + 0.7 * min(size, 4.0))
            owed[arrival.zone] += worth
            answer, answered_at = caller.answer, caller.answered_at
            if answer is None or answered_at is None:
                counts["other"] += 1
                continue
            if answer.outcome is not model.JobOutcome.DONE:
                is_refused = answer.outcome is model.JobOutcome.NOT_RUN
                counts["refused" if is_refused else "other"] += 1
                continue
            took = answered_at - caller.submitted_at
            target = experiment.STRETCH * arrival.work
            ratio = took / (target + experiment.OBJECTIVE_OFFSET)
            if ratio <= 1:
                counts["on_time"] += 1
                earned[arrival.zone] += worth
            else:
                counts["late"] += 1
                if ratio <= experiment.LATE_LIMIT:
                    share = experiment.LATE_WORTH_SHARE
                    earned[arrival.zone] += worth * share
        return FaultResult(
            jobs=len(self._submitted),
            on_time=counts["on_time"],
            late=counts["late"],
            refused=counts["refused"],
            other=counts["other"],
            earned=math.fsum(earned.values()) / math.fsum(owed.values()),
            earned_by_zone={zone: earned[zone] / owed[zone] for zone in ZONES},
            logs=self.fleet.log_counts,
            violations=len(self.fleet.checker.violations),
        )
