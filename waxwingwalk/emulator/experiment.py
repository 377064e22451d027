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

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import settings as dispatch_settings
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
# Tasks that request at least this many times the mean count as large.
LARGE_FACTOR = 1.2


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

    # The class that the peak concerns; all classes if it is empty.
    peak_class: str = ""

    def factor(
        self, at: datetime.timedelta, job_class: str | None = None
    ) -> float:
        """Return the multiple of the usual load of a class at a time."""
        if self.peak_class and job_class != self.peak_class:
            return self.base
        return self.peak if self.peak_from <= at < self.peak_to else self.base


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """The servers of a deployment and the classes of its jobs.

    ``task_processors`` is the mean request of a task, ``max_processors`` the
    largest. ``long_share`` of the tasks take ``long_factor`` times as long as
    declared. ``lost_share`` of the servers crash when the peak begins, and
    are back when it ends. The defaults are a small site whose tasks leave no
    gaps that matter.
    """

    classes: tuple[JobClass, ...] = CLASSES
    zones: tuple[str, ...] = ZONES
    backends_per_zone: int = BACKENDS_PER_ZONE
    sizes: tuple[float, ...] = SIZES
    processors: int = PROCESSORS
    task_processors: int = TASK_PROCESSORS
    max_processors: int = 10_000
    long_share: float = 0.0
    long_factor: float = 7.0
    lost_share: float = 0.0


# A quarter of a region with 176 servers, from docs/design/hard-load.md: two
# tasks fit on a server of 32 cores only if they are selected to fit.
HARD_SITE = Site(
    classes=(
        JobClass(
            "scan", 24, 8, datetime.timedelta(milliseconds=55), 0.00485, 0
        ),
        JobClass(
            "crate", 4.4, 4, datetime.timedelta(milliseconds=830), 0.0267, 2
        ),
        JobClass(
            "voucher", 70, 2, datetime.timedelta(milliseconds=185), 0.00167, 1
        ),
    ),
    zones=("north",),
    backends_per_zone=44,
    processors=32_000,
    task_processors=16_000,
    max_processors=24_000,
)
# Relative run times on servers of the speeds 1.6, 1.0 and 0.6.
HARD_SLOWNESSES = (0.625, 1.0, 1.667)
HARD_LOAD = Load(
    length=datetime.timedelta(seconds=6),
    peak_from=datetime.timedelta(seconds=2),
    peak_to=datetime.timedelta(seconds=5),
    base=1.0,
    peak=2.35,
    peak_class="scan",
)
# Interval at which waiting tasks and idle processors are sampled.
SAMPLE_INTERVAL = datetime.timedelta(milliseconds=5)


@dataclasses.dataclass(slots=True)
class Waiting:
    """What was observed of waiting tasks.

    ``idle_core_seconds`` are the free processors of usable servers while
    tasks waited, ``busy_core_seconds`` those in use meanwhile. The longest
    waits are from the arrival of a job to a first run of its tasks; large
    tasks request at least a fifth more than the mean.
    """

    idle_core_seconds: float = 0.0
    busy_core_seconds: float = 0.0
    longest_wait: datetime.timedelta = datetime.timedelta()
    longest_wait_of_large: datetime.timedelta = datetime.timedelta()


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
    # The numbers of the tasks that take longer than declared.
    long_tasks: tuple[int, ...] = ()

    def longest_work(self, long_factor: float) -> datetime.timedelta:
        """Return the run time of the longest task."""
        return self.work * (long_factor if self.long_tasks else 1.0)


class Experiment:
    """Runs one seeded load under a job order and a placement."""

    def __init__(
        self,
        seed: int,
        job_order: ordering.JobOrder | None = None,
        placement: dispatch_placement.Placement | None = None,
        load: Load | None = None,
        slownesses: tuple[float, ...] = SLOWNESSES,
        site: Site | None = None,
        settings: dispatch_settings.DispatchSettings | None = None,
    ) -> None:
        self._load = load or Load()
        self._site = site or Site()
        self.waiting = Waiting()
        self._slownesses = slownesses
        self._random = random.Random(seed)
        self._arrivals = self._draw_arrivals()
        self._arrivals_by_job: dict[str, _Arrival] = {}
        self.fleet = emulator_fleet.Fleet(seed, job_order, placement, settings)
        self.fleet.observe_log = self._observe_log

    def run(self) -> dict[str, ClassTotals]:
        """Run the load; return the totals of each class."""
        site = self._site
        for zone in site.zones:
            self.fleet.add_host(f"{zone}-0", zone)
            for number in range(site.backends_per_zone):
                size = site.sizes[number % len(site.sizes)]
                self.fleet.add_backend(
                    f"server-{zone}-{number}",
                    zone,
                    model.Resources(int(site.processors * size), MEMORY),
                    self._slownesses[number // 2 % len(self._slownesses)],
                )
        self.fleet.run(WARM_UP_TIME)
        hosts = list(self.fleet.hosts.values())
        for number, arrival in enumerate(self._arrivals):
            host = hosts[number % len(hosts)]
            submit = functools.partial(self._submit, number, arrival, host)
            self.fleet.timeline.call_later(arrival.at, submit)
        if site.lost_share:
            self._schedule_losses()
        self._sample()
        self.fleet.run(self._load.length + SETTLE_TIME)
        return self._summarize()

    def _schedule_losses(self) -> None:
        """Crash a share of the servers for the length of the peak."""
        lost = self._random.sample(
            sorted(self.fleet.backends),
            int(len(self.fleet.backends) * self._site.lost_share),
        )
        self.fleet.crash_down_time = self._load.peak_to - self._load.peak_from
        for backend_id in lost:
            self.fleet.timeline.call_later(
                self._load.peak_from,
                functools.partial(self.fleet.crash_and_restart, backend_id),
            )

    def _sample(self) -> None:
        """Add up idle processors while tasks wait."""
        now = self.fleet.timeline.now()
        seconds = SAMPLE_INTERVAL.total_seconds() / 1000
        for host in self.fleet.hosts.values():
            if host.reducer is None:
                continue
            if not any(
                record.ready_tasks()
                for record in host.reducer.scheduler.jobs.values()
            ):
                continue
            for backend in host.reducer.run_tracker.usable(now):
                free = backend.free.processors
                self.waiting.idle_core_seconds += free * seconds
                self.waiting.busy_core_seconds += (
                    backend.used.processors * seconds
                )
        self.fleet.timeline.call_later(SAMPLE_INTERVAL, self._sample)

    def _observe_log(self, log: effects.Log) -> None:
        if log.event != "task.placed" or log.fields["run"] != 1:
            return
        arrival = self._arrivals_by_job.get(log.fields["job"])
        if arrival is None or "waited_ms" not in log.fields:
            return
        wait = log.fields["waited_ms"] * model.MILLISECOND
        waiting = self.waiting
        waiting.longest_wait = max(waiting.longest_wait, wait)
        large = LARGE_FACTOR * self._site.task_processors
        if arrival.resources.processors >= large:
            waiting.longest_wait_of_large = max(
                waiting.longest_wait_of_large, wait
            )

    def _draw_arrivals(self) -> list[_Arrival]:
        arrivals = []
        for job_class in self._site.classes:
            at = datetime.timedelta()
            while at < self._load.length:
                rate = job_class.per_second * self._load.factor(
                    at, job_class.name
                )
                at += datetime.timedelta(
                    seconds=self._random.expovariate(rate)
                )
                arrivals.append(self._draw_arrival(at, job_class))
        return sorted(arrivals, key=lambda each: each.at)

    def _draw_arrival(
        self, at: datetime.timedelta, job_class: JobClass
    ) -> _Arrival:
        work = job_class.work * self._draw_factor(0.4)
        site = self._site
        processors = min(
            site.max_processors,
            int(site.task_processors * self._draw_factor(0.2)),
        )
        width = max(1, round(job_class.width * self._draw_factor(0.4)))
        estimate = work * self._draw_factor(0.4)
        long_tasks: tuple[int, ...] = ()
        if site.long_share:
            long_tasks = tuple(
                index
                for index in range(width)
                if self._random.random() < site.long_share
            )
        return _Arrival(
            at=at,
            job_class=job_class,
            width=width,
            work=work,
            estimate=estimate,
            resources=model.Resources(processors, 64),
            long_tasks=long_tasks,
        )

    def _draw_factor(self, sigma: float) -> float:
        return self._random.lognormvariate(-sigma * sigma / 2, sigma)

    def _submit(
        self, number: int, arrival: _Arrival, host: emulator_fleet.Host
    ) -> None:
        job_id = f"{number:016x}"
        self._arrivals_by_job[job_id] = arrival
        objective = self._objective(arrival)
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
        for index in arrival.long_tasks:
            name = model.TaskRef(job_id, 0, index).name
            definitions = self.fleet.task_definitions
            definitions[name] = dataclasses.replace(
                definitions[name],
                work=arrival.work * self._site.long_factor,
            )

    def _objective(self, arrival: _Arrival) -> datetime.timedelta:
        """Return the target response time, which follows the longest task."""
        work = arrival.longest_work(self._site.long_factor)
        return STRETCH * work + OBJECTIVE_OFFSET

    def _summarize(self) -> dict[str, ClassTotals]:
        totals = {
            job_class.name: ClassTotals() for job_class in self._site.classes
        }
        for job_id, arrival in self._arrivals_by_job.items():
            class_totals = totals[arrival.job_class.name]
            caller = self.fleet.callers[job_id]
            mean = arrival.job_class.width * arrival.job_class.work
            size = arrival.width * arrival.work / mean
            size *= arrival.resources.processors / self._site.task_processors
            worth = arrival.job_class.worth * (0.3 + 0.7 * min(size, 4.0))
            class_totals.asked += 1
            class_totals.owed += worth
            if caller.answer is None or caller.answered_at is None:
                continue
            if caller.answer.outcome is not model.JobOutcome.DONE:
                class_totals.refused += 1
                continue
            took = caller.answered_at - caller.submitted_at
            ratio = took / self._objective(arrival)
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
