"""Random jobs from a seed, and ideal response times to compare with."""

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
    """A task: actual and declared run time in seconds at speed 1."""

    work_seconds: float
    declared_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class BenchJob:
    """A job: its arrival time, entry process and team.

    An impossible job has a single task, which fails wherever it runs.
    """

    arrival_time: float
    entry: int
    team: str
    tasks: tuple[BenchTask, ...]
    is_impossible: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkloadSpec:
    """Parameters of a random stream of jobs.

    ``load`` is a share of the capacity of all slots at their actual speeds.
    ``burst`` is a start and an end in seconds, and the factor by which the
    arrival rate is multiplied in between. Declared run times are too long or
    too short by a factor of up to ``declared_error``. ``long_share`` is a
    share of the tasks, ``impossible_share`` one of the jobs.

    ``greedy_factor`` is the ratio of the jobs of team "greedy" to those of the
    other teams. ``excludes_greedy`` removes its jobs after the draw, so that
    the other jobs stay the same. ``single_job_tasks``, if not 0, makes the
    stream a single job with this number of tasks.
    """

    load: float = 0.7
    seconds: float = 8.0
    job_sizes: tuple[int, ...] = (1, 2, 4, 8, 12, 20, 32)
    declared_error: float = 1.3
    long_share: float = 0.0
    impossible_share: float = 0.0
    burst: tuple[float, float, float] | None = None
    greedy_factor: float = 0.0
    excludes_greedy: bool = False
    single_job_tasks: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Servers:
    """The backend servers: the speed of each, and the slots per server."""

    speeds: tuple[float, ...]
    slots: int = 8

    @property
    def capacity(self) -> float:
        """Seconds of work, at speed 1, that are done per second."""
        return sum(self.speeds) * self.slots


def draw_task(spec: WorkloadSpec, generator: random.Random) -> BenchTask:
    """Return a random task."""
    if generator.random() < spec.long_share:
        seconds = generator.uniform(*LONG_TASK_SECONDS)
    else:
        drawn = generator.lognormvariate(0.0, TASK_SIGMA)
        seconds = TASK_MEDIAN_SECONDS * drawn
        seconds = min(max(seconds, TASK_MIN_SECONDS), TASK_MAX_SECONDS)
    exponent = generator.uniform(-1.0, 1.0)
    return BenchTask(seconds, seconds * spec.declared_error**exponent)


def draw_jobs(
    spec: WorkloadSpec, servers: Servers, entries: int, seed: int
) -> list[BenchJob]:
    """Return a random stream of jobs, which depends only on the arguments.

    It is therefore the same for each policy.
    """
    generator = random.Random(seed)
    if spec.single_job_tasks:
        tasks = tuple(
            draw_task(spec, generator) for _ in range(spec.single_job_tasks)
        )
        return [BenchJob(0.0, 0, "team-0", tasks)]
    sample = [draw_task(spec, generator).work_seconds for _ in range(2000)]
    mean_work = sum(sample) / len(sample)
    mean_size = sum(spec.job_sizes) / len(spec.job_sizes)
    rate = spec.load * servers.capacity / (mean_work * mean_size)
    jobs = []
    arrival_time = 0.0
    while True:
        arrival_time += generator.expovariate(
            rate * _burst_factor(spec, arrival_time)
        )
        if arrival_time >= spec.seconds:
            return jobs
        job = _draw_job(spec, arrival_time, entries, generator)
        if job.team != "greedy" or not spec.excludes_greedy:
            jobs.append(job)


def _burst_factor(spec: WorkloadSpec, arrival_time: float) -> float:
    if spec.burst is None:
        return 1.0
    begin, end, factor = spec.burst
    return factor if begin <= arrival_time < end else 1.0


def _draw_job(
    spec: WorkloadSpec,
    arrival_time: float,
    entries: int,
    generator: random.Random,
) -> BenchJob:
    size = generator.choice(spec.job_sizes)
    tasks = tuple(draw_task(spec, generator) for _ in range(size))
    entry = generator.randrange(entries)
    if generator.random() < spec.impossible_share:
        return BenchJob(arrival_time, entry, "impossible", tasks[:1], True)
    team = f"team-{generator.randrange(8)}"
    greedy = spec.greedy_factor
    if greedy and generator.random() < greedy / (1 + greedy):
        team = "greedy"
    return BenchJob(arrival_time, entry, team, tasks)


def ideal_response_times(
    jobs: Sequence[BenchJob], servers: Servers, round_trip: float
) -> list[float]:
    """Return each job's response time, in seconds, under an ideal scheduler.

    The scheduler knows the actual speeds and run times and handles jobs in
    order of arrival. Their tasks are assigned longest first, each to the slot
    on which it finishes earliest.
    """
    speeds = sorted(set(servers.speeds), reverse=True)
    free_at: dict[float, list[float]] = {
        speed: [0.0] * (servers.speeds.count(speed) * servers.slots)
        for speed in speeds
    }
    response_times = []
    for job in jobs:
        finish = job.arrival_time
        for task in sorted(
            job.tasks, key=lambda t: t.work_seconds, reverse=True
        ):
            end, speed = min(
                (
                    max(free_at[speed][0], job.arrival_time)
                    + task.work_seconds / speed,
                    -speed,
                )
                for speed in speeds
            )
            heapq.heapreplace(free_at[-speed], end)
            finish = max(finish, end)
        response_times.append(finish - job.arrival_time + round_trip)
    return response_times


def ideal_response_time_alone(
    job: BenchJob, servers: Servers, round_trip: float
) -> float:
    """Return the ideal response time of a job on an idle fleet."""
    single = dataclasses.replace(job, arrival_time=0.0)
    return ideal_response_times([single], servers, round_trip)[0]
