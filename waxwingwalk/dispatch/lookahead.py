"""Look-ahead placement: which waiting tasks share a server.

Load pattern: tasks request about half of a server, so that two of them fit
only if they are selected to fit, and a gap that is too small for any waiting
task stays idle while others wait. In the load experiment at 1.5 times the
usual load, 16% of the processors are idle while tasks wait, and a large task
waits for up to 1.75 s. The figures with look-ahead are in
docs/design/look-ahead-placement.md; they show no gain so far.

Everything here is free of side effects, except that the policies remember
requests and passed-over jobs that they are told of.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import copy
import dataclasses
import datetime
import math

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import placement

# The value of gaps is computed from this many recent requests. More of them
# follow a change of the load later and take longer to evaluate.
RECENT_REQUESTS = 48
# The value of gaps is computed anew after this many requests.
REQUESTS_PER_UPDATE = 48
# Gaps are valued in steps of this share of the largest server.
GAP_STEPS = 64
# How many waiting tasks a gap is expected to be filled from.
CHOICES = 3
# Weights of the score by which a server is chosen for a task: of the
# probability that the task is late there, of the slowness of the server, and
# of the share of the task's request that is lost in the gap.
RISK_WEIGHT = 3.0
SPEED_WEIGHT = 3.0
SERVER_LOSS_WEIGHT = 0.2
# The probability of being late is 1 / (1 + margin ** RISK_EXPONENT), where
# the margin is the time left divided by the expected run time. The exponent
# is that of a log-normal error with a sigma of about 0.3.
RISK_EXPONENT = 6.0
# Speed and gaps count half for tasks of this run time, more for longer ones.
DURATION_SCALE = datetime.timedelta(milliseconds=200)
# The number of jobs, in the job order, of which one is selected to start.
WINDOW_JOBS = 32
# Weights of the score by which a waiting job is selected: of the loss in the
# gap that suits it best, of its rank in the job order, of its slack up to
# SLACK_SCALE (seconds), and of the share of its tasks that have started, so
# that the last tasks of a job precede the first ones of another.
LOSS_WEIGHT = 2.0
RANK_WEIGHT = 1.0
SLACK_WEIGHT = 3.0
SLACK_SCALE = 1.0
LAST_TASK_WEIGHT = 0.3
# Jobs of this rank or a later one can no longer be on time. They are selected
# only if no task of another job fits.
LATE_RANK = 2.0
# The longest time for which a task may be passed over: the lesser of a time
# and of a share of its slack.
MAX_PASSED_OVER = datetime.timedelta(milliseconds=200)
PASSED_OVER_SLACK_SHARE = 1 / 3
# A server is reserved only this long before the task is expected to start: the
# processors that are free until then stay idle.
RESERVATION_MAX = datetime.timedelta(milliseconds=40)
# A reservation is given up if the server is late by more than this, or
# becomes slower by more than this factor, and another one is reserved.
RESERVATION_GRACE = datetime.timedelta(milliseconds=50)
MAX_SLOWNESS_CHANGE = 1.5
# Another task may start on a reserved server if it is expected to end in time
# even if it takes this many times its estimate.
BACKFILL_MARGIN = 1.4
# The largest share of the usable servers that is reserved, rounded up. What
# they leave idle costs more than large tasks gain if more are reserved.
MAX_RESERVED_SHARE = 0.02
# Look-ahead is used for tasks that request more than this share of the
# smallest server. Smaller ones leave no gaps that matter.
MIN_REQUEST_SHARE = 0.25


class GapValues:
    """The expected use of a gap, learned from recent requests of a service.

    ::

        values = GapValues()
        values.learn(18_000, 48_000)
        loss = values.loss(32_000, 18_000)
    """

    def __init__(self) -> None:
        self._requests: list[int] = []
        self._next = 0
        self._learned = 0
        self._largest = 0
        self._step = 1
        self._values: list[float] = []

    def learn(self, request: int, largest: int) -> None:
        """Learn the request of a task; ``largest`` is the largest server.

        Both are in thousandths of a core.
        """
        if request <= 0:
            return
        if len(self._requests) < RECENT_REQUESTS:
            self._requests.append(request)
        else:
            self._requests[self._next] = request
        self._next = (self._next + 1) % RECENT_REQUESTS
        self._learned += 1
        is_new = len(self._requests) == self._learned
        if (
            largest > self._largest
            or self._learned % REQUESTS_PER_UPDATE == 0
            or (is_new and self._learned & (self._learned - 1) == 0)
        ):
            self._largest = max(largest, self._largest)
            self._update()

    def _update(self) -> None:
        """Compute the value of each gap from those of smaller ones."""
        self._step = max(1, self._largest // GAP_STEPS)
        requests = sorted(self._requests)
        count = len(requests)
        shares = [
            (rank / count) ** CHOICES - ((rank - 1) / count) ** CHOICES
            for rank in range(1, count + 1)
        ]
        values: list[float] = []
        for number in range(self._largest // self._step + 2):
            gap = number * self._step
            fitting = bisect.bisect_right(requests, gap)
            # The use of the gap for each request, the best ones last. The
            # expected best of CHOICES requests follows from their ranks.
            uses = sorted(
                request + values[(gap - request) // self._step]
                for request in requests[:fitting]
            )
            values.append(
                sum(
                    use * share
                    for use, share in zip(
                        uses, shares[count - fitting :], strict=True
                    )
                )
            )
        self._values = values

    def value(self, gap: int) -> float:
        """Return how many of the processors are expected to be used."""
        if not self._values or gap <= 0:
            return 0.0
        number = min(gap // self._step, len(self._values) - 1)
        return self._values[number]

    def loss(self, gap: int, request: int) -> float:
        """Return the share of a request that is lost in a gap of a size.

        It is how much less the gap is used if a task with this request starts
        there than it is expected to be used, divided by the request. It is
        negative for a task that fills the gap better than is expected.
        """
        left = self.value(gap - request)
        return (self.value(gap) - left - request) / max(request, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity of a server for a task that has been passed over.

    ``start_at`` is when the server is expected to have ``request`` thousandths
    of a core free. ``slowness`` is what it was when the server was chosen.
    """

    job_id: str
    rank: float
    backend: backends.Backend
    request: int
    start_at: datetime.datetime
    slowness: float

    def is_valid(self, now: datetime.datetime) -> bool:
        """Return whether the server is still expected to take the task."""
        return (
            self.backend.is_usable(now)
            and now <= self.start_at + RESERVATION_GRACE
            and self.backend.slowness(now)
            <= self.slowness * MAX_SLOWNESS_CHANGE
        )

    def allows(
        self, order: backends.TaskOrder, rank: float, now: datetime.datetime
    ) -> bool:
        """Return whether another task may start on the reserved server.

        It may if its rank is higher, if it leaves enough room, or if it is
        expected to end before the reserved task starts, with an allowance for
        the spread of run times.
        """
        if order.ref.job_id == self.job_id or rank < self.rank:
            return True
        free = self.backend.free.processors + sum(
            run.order.resources.processors
            for run in self.backend.runs.values()
            if expected_end(run, self.slowness, now) <= self.start_at
        )
        if free - order.resources.processors >= self.request:
            return True
        run_time = order.estimate * self.slowness * BACKFILL_MARGIN
        return now + run_time <= self.start_at


def expected_end(
    run: backends.Run, slowness: float, now: datetime.datetime
) -> datetime.datetime:
    """Return when a run is expected to end, which is after ``now``.

    A run that should have ended is expected to take a quarter of its run time
    more.
    """
    run_time = run.order.estimate * slowness
    end = run.ordered_at + run_time
    return end if end > now else now + run_time / 4


def soonest_server(
    job: "WaitingJob",
    servers: Iterable[backends.Backend],
    now: datetime.datetime,
) -> tuple[datetime.datetime, backends.Backend] | None:
    """Return the server that can take a task soonest, and when it can.

    Servers on which the task would not be on time are left out, and those
    that would stay idle in part for longer than RESERVATION_MAX.
    """
    request = job.request
    latest = now + RESERVATION_MAX
    run_time = job.estimate * placement.ON_TIME_SAFETY_FACTOR
    best: tuple[datetime.datetime, backends.Backend] | None = None
    for server in servers:
        free = server.free.processors
        start_at = now
        slowness = server.slowness(now)
        if now + run_time * slowness > job.due:
            continue
        if free < request:
            for end, processors in sorted(
                (
                    expected_end(run, slowness, now),
                    run.order.resources.processors,
                )
                for run in server.runs.values()
            ):
                free += processors
                start_at = end
                if free >= request:
                    break
        if start_at > latest or start_at + run_time * slowness > job.due:
            continue
        if free >= request and (best is None or start_at < best[0]):
            best = (start_at, server)
    return best


class LookAhead:
    """Placement that weighs speed, the expected end and the gap that is left.

    ``fallback`` is used for tasks that leave no gaps that matter.

    Load pattern: smaller tasks fill each gap as soon as it opens, so that a
    large task never finds enough free processors at once. One that has been
    passed over for too long gets a reservation.
    """

    def __init__(self, fallback: placement.Placement) -> None:
        self._fallback = fallback
        self._gap_values: dict[str, GapValues] = {}
        self._reservations: dict[str, Reservation] = {}
        # Until when jobs may be passed over.
        self._passed_over: dict[str, datetime.datetime] = {}
        # The ranks of the waiting jobs, and the smallest requests that have
        # started by rank, since the last dispatch began.
        self._ranks: dict[str, float] = {}
        self._smallest_started: dict[float, int] = {}
        # The smallest server, and the list for which it was determined.
        self._smallest = 0
        self._smallest_of: Sequence[backends.Backend] = ()

    def copy_for_trial(
        self, copies: Mapping[int, backends.Backend]
    ) -> "LookAhead":
        """Return a copy that has its own state.

        ``copies`` are the copies of servers, by the ``id()`` of the original.
        """
        return copy.deepcopy(self, dict(copies))

    @property
    def reservations(self) -> dict[str, Reservation]:
        """The reservations by backend id; not to be modified."""
        return self._reservations

    def values(self, service: str) -> GapValues:
        """Return the value of gaps on servers of a service."""
        values = self._gap_values.get(service)
        if values is None:
            values = self._gap_values[service] = GapValues()
        return values

    def learn(
        self, record: job_record.JobRecord, usable: Sequence[backends.Backend]
    ) -> None:
        """Learn the requests of a new job."""
        largest = max(
            (each.report.capacity.processors for each in usable), default=0
        )
        if largest:
            values = self.values(record.job.service)
            for step in record.job.steps:
                values.learn(step.room.processors, largest)

    def applies(
        self, request: int, usable: Sequence[backends.Backend]
    ) -> bool:
        """Return whether tasks with a request leave gaps that matter."""
        if usable is not self._smallest_of:
            self._smallest_of = usable
            self._smallest = min(
                (each.report.capacity.processors for each in usable), default=0
            )
        return request > MIN_REQUEST_SHARE * self._smallest

    def select(
        self,
        jobs: Sequence["WaitingJob"],
        usable: Sequence[backends.Backend],
    ) -> int | None:
        """Return the number of the job of which a task is started next.

        A job whose reserved server has enough free processors is first.
        Reserved servers are left out for the others.
        """
        if not self._reservations:
            gaps = [each.free.processors for each in usable]
        else:
            ready = {
                each.job_id
                for each in self._reservations.values()
                if each.backend.free.processors >= each.request
            }
            for number, job in enumerate(jobs):
                if job.job_id in ready:
                    return number
            gaps = [
                each.free.processors
                for each in usable
                if each.incarnation.backend_id not in self._reservations
            ]
        return select(jobs, gaps, self.values(jobs[0].service))

    def begin(self, jobs: Sequence["WaitingJob"]) -> None:
        """Begin a dispatch with these waiting jobs."""
        self._ranks = {each.job_id: each.rank for each in jobs}
        self._smallest_started = {}

    def record_started(self, job: "WaitingJob") -> None:
        """Record that a task of a job has started: it waits anew."""
        self._passed_over.pop(job.job_id, None)
        self._cancel(job.job_id)
        smallest = self._smallest_started.get(job.rank, job.request)
        self._smallest_started[job.rank] = min(smallest, job.request)

    def _is_passed_over(self, job: "WaitingJob") -> bool:
        """Return whether a smaller task of no higher rank has started."""
        return any(
            rank >= job.rank and request < job.request
            for rank, request in self._smallest_started.items()
        )

    def _cancel(self, job_id: str) -> None:
        for backend_id, each in list(self._reservations.items()):
            if each.job_id == job_id:
                del self._reservations[backend_id]

    def update_reservations(
        self,
        passed_over: Sequence["WaitingJob"],
        usable: Sequence[backends.Backend],
        now: datetime.datetime,
    ) -> list[Reservation]:
        """Reserve servers for jobs that were passed over for too long.

        ``passed_over`` are all jobs that wait for capacity. Those that cannot
        be on time get no reservation. Return the new reservations.
        """
        waiting = {each.job_id: each for each in passed_over}
        self._reservations = {
            backend_id: each
            for backend_id, each in self._reservations.items()
            if each.job_id in waiting and each.is_valid(now)
        }
        reserved_jobs = {each.job_id for each in self._reservations.values()}
        limits = {}
        new: list[Reservation] = []
        most = math.ceil(MAX_RESERVED_SHARE * len(usable))
        for job in passed_over:
            if job.rank >= LATE_RANK:
                continue
            limit = self._passed_over.get(job.job_id)
            if limit is None:
                if not self._is_passed_over(job):
                    continue
                limit = now + min(
                    MAX_PASSED_OVER,
                    PASSED_OVER_SLACK_SHARE
                    * datetime.timedelta(seconds=job.slack),
                )
            limits[job.job_id] = limit
            if (
                now < limit
                or job.job_id in reserved_jobs
                or len(self._reservations) >= most
            ):
                continue
            found = soonest_server(
                job,
                (
                    each
                    for each in usable
                    if each.incarnation.backend_id not in self._reservations
                    and each.is_shared
                    and each.report.service == job.service
                    and each.report.capacity.processors >= job.request
                    and (job.label is None or job.label in each.report.labels)
                ),
                now,
            )
            if found is None:
                continue
            start_at, server = found
            reservation = Reservation(
                job.job_id,
                job.rank,
                server,
                job.request,
                start_at,
                server.slowness(now),
            )
            self._reservations[server.incarnation.backend_id] = reservation
            new.append(reservation)
        self._passed_over = limits
        return new

    def choose(
        self,
        candidates: Sequence[backends.Backend],
        usable: Sequence[backends.Backend],
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        if self._reservations:
            candidates = [
                each for each in candidates if self._allows(each, order, now)
            ]
        if not self.applies(order.resources.processors, usable):
            return self._fallback.choose(candidates, usable, order, due, now)
        if not candidates:
            return None
        request = order.resources.processors
        values = self.values(order.service)
        left = (due - now).total_seconds()
        estimate = max(order.estimate.total_seconds(), 0.001)
        weight = duration_weight(order.estimate)
        speed_weight = SPEED_WEIGHT * weight
        loss_weight = SERVER_LOSS_WEIGHT * weight
        best = in_time = None
        best_score = in_time_score = 0.0
        limit = left / (estimate * placement.ON_TIME_SAFETY_FACTOR)
        losses: dict[int, float] = {}
        for each in candidates:
            slowness = each.slowness(now)
            gap = each.free.processors
            loss = losses.get(gap)
            if loss is None:
                loss = losses[gap] = values.loss(gap, request)
            margin = left / (estimate * slowness) if left > 0 else 0.0
            score = (
                RISK_WEIGHT / (1.0 + margin**RISK_EXPONENT)
                + speed_weight * slowness
                + loss_weight * loss
            )
            if best is None or score < best_score:
                best, best_score = each, score
            if slowness <= limit and (
                in_time is None or score < in_time_score
            ):
                in_time, in_time_score = each, score
        if in_time is not None:
            return in_time
        assert best is not None
        fastest = min(each.slowness(now) for each in usable)
        if estimate * fastest <= left:
            return None
        return best

    def _allows(
        self,
        backend: backends.Backend,
        order: backends.TaskOrder,
        now: datetime.datetime,
    ) -> bool:
        reservation = self._reservations.get(backend.incarnation.backend_id)
        if reservation is None:
            return True
        rank = self._ranks.get(order.ref.job_id, LATE_RANK)
        return reservation.allows(order, rank, now)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingJob:
    """What the selection needs of a job: its next task and its progress.

    ``rank`` and ``slack`` (seconds) are its key in the job order,
    ``progress`` is the share of its tasks that have started.
    """

    job_id: str
    service: str
    label: str | None
    rank: float
    slack: float
    request: int
    estimate: datetime.timedelta
    due: datetime.datetime
    progress: float


def duration_weight(estimate: datetime.timedelta) -> float:
    """Return how much the server and the gap matter for a run time, below 1.

    A gap that a task leaves is lost for as long as the task runs.
    """
    return estimate / (estimate + DURATION_SCALE)


def largest_request(record: job_record.JobRecord) -> int:
    """Return the largest number of processors that a task requests."""
    return max(step.room.processors for step in record.job.steps)


def waiting_job(
    rank: float, slack: float, record: job_record.JobRecord
) -> WaitingJob:
    """Return what the selection needs of a job with ready tasks."""
    ready = record.ready_tasks()
    step = record.job.steps[ready[0].ref.step]
    return WaitingJob(
        record.job.job_id,
        record.job.service,
        step.label,
        rank,
        slack,
        step.room.processors,
        record.estimates[ready[0].ref.step],
        record.job.due,
        1.0 - len(ready) / len(record.tasks),
    )


def select(
    jobs: Sequence[WaitingJob],
    gaps: Iterable[int],
    values: GapValues,
) -> int | None:
    """Return the number of the job of which a task is started next.

    ``jobs`` are in the job order, ``gaps`` the free processors of usable
    servers. The first WINDOW_JOBS jobs of which a task fits are compared; one
    that is late does not precede one that can be on time. None is returned if
    no task fits.

    Load pattern: first-come placement puts a small task into a large gap and
    leaves a gap that no waiting task fits, while another waiting task would
    have filled it.
    """
    sizes = sorted(set(gaps), reverse=True)
    best: int | None = None
    best_score = 0.0
    seen = 0
    for number, job in enumerate(jobs):
        if best is not None and job.rank >= LATE_RANK > jobs[best].rank:
            break
        if not sizes or job.request > sizes[0]:
            continue
        loss = min(
            values.loss(gap, job.request)
            for gap in sizes
            if gap >= job.request
        )
        score = (
            loss * LOSS_WEIGHT * duration_weight(job.estimate)
            + RANK_WEIGHT * job.rank
            + SLACK_WEIGHT * min(1.0, job.slack / SLACK_SCALE)
            - LAST_TASK_WEIGHT * job.progress
        )
        if best is None or score < best_score:
            best, best_score = number, score
        seen += 1
        if seen >= WINDOW_JOBS:
            break
    return best
