"""Seeded work, and the ideal that response times are compared with."""

from collections.abc import Sequence
import dataclasses
import heapq
import random

TASK_MIN_SECONDS = 0.05
TASK_MAX_SECONDS = 1.0
TASK_MEDIAN_SECONDS = 0.22
TASK_SIGMA = 0.6
LONG_TASK_SECONDS = (2.0, 5.0)


@dataclasses.dataclass(frozen=True, slots=True)
class BenchTask:
    """A task: true work in seconds at speed 1, and what is declared."""

    work: float
    declared: float


@dataclasses.dataclass(frozen=True, slots=True)
class BenchJob:
    """A job: when it arrives, through which entry process, for whom."""

    at: float
    entry: int
    team: str
    tasks: tuple[BenchTask, ...]
    is_impossible: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """How a stream of jobs is drawn.

    ``load`` is a share of all slots at their true speeds; ``burst`` is a
    factor on the arrival rate between two times, in seconds.
    """

    load: float = 0.7
    seconds: float = 8.0
    job_sizes: tuple[int, ...] = (1, 2, 4, 8, 12, 20, 32)
    declared_error: float = 1.3
    long_share: float = 0.0
    impossible_share: float = 0.0
    burst: tuple[float, float, float] | None = None
    greedy_factor: float = 0.0
    is_greedy_left_out: bool = False
    single_job_tasks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Servers:
    """The backend servers: one speed for each, and slots of each."""

    speeds: tuple[float, ...]
    slots: int = 8

    @property
    def capacity(self) -> float:
        """Seconds of work done in a second."""
        return sum(self.speeds) * self.slots


def draw_task(work: Work, generator: random.Random) -> BenchTask:
    """Draw one task."""
    if generator.random() < work.long_share:
        seconds = generator.uniform(*LONG_TASK_SECONDS)
    else:
        drawn = generator.lognormvariate(0.0, TASK_SIGMA)
        seconds = TASK_MEDIAN_SECONDS * drawn
        seconds = min(max(seconds, TASK_MIN_SECONDS), TASK_MAX_SECONDS)
    exponent = generator.uniform(-1.0, 1.0)
    return BenchTask(seconds, seconds * work.declared_error**exponent)


def draw_jobs(
    work: Work, servers: Servers, entries: int, seed: int
) -> list[BenchJob]:
    """Draw the whole stream of jobs, the same for each policy."""
    generator = random.Random(seed)
    if work.single_job_tasks:
        tasks = tuple(
            draw_task(work, generator) for _ in range(work.single_job_tasks)
        )
        return [BenchJob(0.0, 0, "team-0", tasks)]
    sample = [draw_task(work, generator).work for _ in range(2000)]
    mean_work = sum(sample) / len(sample)
    mean_size = sum(work.job_sizes) / len(work.job_sizes)
    rate = work.load * servers.capacity / (mean_work * mean_size)
    jobs = []
    at = 0.0
    while True:
        at += generator.expovariate(rate * _burst_factor(work, at))
        if at >= work.seconds:
            return jobs
        job = _draw_job(work, at, entries, generator)
        if job.team != "greedy" or not work.is_greedy_left_out:
            jobs.append(job)


def _burst_factor(work: Work, at: float) -> float:
    if work.burst is None:
        return 1.0
    begin, end, factor = work.burst
    return factor if begin <= at < end else 1.0


def _draw_job(
    work: Work, at: float, entries: int, generator: random.Random
) -> BenchJob:
    size = generator.choice(work.job_sizes)
    tasks = tuple(draw_task(work, generator) for _ in range(size))
    entry = generator.randrange(entries)
    if generator.random() < work.impossible_share:
        return BenchJob(at, entry, "impossible", tasks[:1], True)
    team = f"team-{generator.randrange(8)}"
    greedy = work.greedy_factor
    if greedy and generator.random() < greedy / (1 + greedy):
        team = "greedy"
    return BenchJob(at, entry, team, tasks)


def ideal_spans(
    jobs: Sequence[BenchJob], servers: Servers, round_trip: float
) -> list[float]:
    """Return each job's response time under an omniscient scheduler.

    Jobs in order of arrival, longest task first, each on the slot that ends
    it soonest; true speeds and run times are known. Seconds.
    """
    speeds = sorted(set(servers.speeds), reverse=True)
    lanes: dict[float, list[float]] = {
        speed: [0.0] * (servers.speeds.count(speed) * servers.slots)
        for speed in speeds
    }
    spans = []
    for job in jobs:
        finish = job.at
        for task in sorted(job.tasks, key=lambda t: t.work, reverse=True):
            end, speed = min(
                (max(lanes[speed][0], job.at) + task.work / speed, -speed)
                for speed in speeds
            )
            heapq.heapreplace(lanes[-speed], end)
            finish = max(finish, end)
        spans.append(finish - job.at + round_trip)
    return spans


def alone_span(job: BenchJob, servers: Servers, round_trip: float) -> float:
    """Return a job's ideal response time on an idle fleet."""
    single = dataclasses.replace(job, at=0.0)
    return ideal_spans([single], servers, round_trip)[0]
