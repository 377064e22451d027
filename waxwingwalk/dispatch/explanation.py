"""Explains where a job would be placed now, without submitting it.

The job is submitted to copies of the front and the scheduler, so the decisions
are made by the code that makes them for callers. The originals do not change::

    explained = explanation.explain(reducer, job, clock.now())
    explained.task.decision  # "server"
    explained.task.backend   # "server-1"

Only a host that schedules a pool knows its servers. The explanation of any
other host has the route alone.
"""

import dataclasses
import datetime

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import scheduler as dispatch_scheduler

# The maximum number of servers in an explanation.
MAX_BACKENDS = 200

# Decisions on the route of a job and on its first task.
ROUTED = "routed"
HELD = "held"
NO_SCHEDULER = "no scheduler"
EVACUATED = dispatch_scheduler.REASON_EVACUATED
SERVER = "server"
OFFERED = "offered"
WAITS = "waits"
REFUSED = "refused"

# Reasons against a server, in the order of its distance from being chosen.
CHOSEN = "chosen"
SLOWER = "slower than the chosen one"
LATE = "would be late"
NO_BETTER = "no better than the chosen one"
TASK_WAITS = "has room, but the task waits"
NO_ROOM = "no room now"
RESERVED = "reserved"
LEASE = "lease may not be renewed"
EJECTED = "ejected"
SILENT = "silent"
DRAINING = "draining"
ZONE_EVACUATED = "zone evacuated"
NOT_USABLE = "not usable"
NO_LABEL = "label missing"
TOO_SMALL = "too small"
REASONS = (
    CHOSEN,
    SLOWER,
    LATE,
    NO_BETTER,
    TASK_WAITS,
    NO_ROOM,
    RESERVED,
    LEASE,
    EJECTED,
    SILENT,
    DRAINING,
    ZONE_EVACUATED,
    NOT_USABLE,
    NO_LABEL,
    TOO_SMALL,
)
_DISTANCES = {reason: number for number, reason in enumerate(REASONS)}
# A task cannot be expected to get room on a server with one of these reasons.
_WITHOUT_ROOM = frozenset(REASONS[_DISTANCES[EJECTED] :])


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneOption:
    """A zone that a job may be routed to.

    ``news_age_ms`` is the age of the status that the backlog is from, 0 for
    this host and None if there is none. ``reason`` is empty for the zone of
    the chosen scheduler.
    """

    zone: str
    scheduler: str | None
    backlog_ms: float | None
    news_age_ms: float | None
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which scheduler the job would be sent to, and the zones."""

    decision: str
    scheduler: str | None
    zones: list[ZoneOption]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionVerdict:
    """Whether the scheduler of this host would accept the job.

    Times are from now, with the run times that the scheduler expects.
    """

    is_admitted: bool
    reason: str
    backlog_ms: float
    preceding_backlog_ms: float
    expected_end_ms: float
    due_ms: float
    useful_until_ms: float
    retry_in_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class BackendOption:
    """A server of the job's service.

    ``room_in_ms`` is when enough capacity is expected to be free, None if
    that is not foreseen; ``expected_end_ms`` is when the task would then end.
    """

    backend: str
    zone: str
    free_processors: int
    free_memory: int
    slowness: float
    room_in_ms: float | None
    expected_end_ms: float | None
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TaskDecision:
    """What would be done with the first task of the job.

    ``backend`` is the chosen server and ``peer`` the host that the task would
    be offered to. ``room_in_ms`` is when the first server is expected to have
    room for a task that waits. ``omitted`` counts the servers that are not
    listed.
    """

    decision: str
    backend: str | None
    peer: str | None
    room_in_ms: float | None
    backends: list[BackendOption]
    omitted: int


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Where a job would be placed, and why.

    ``admission`` and ``task`` are what the scheduler of this host would do,
    also if the job would be routed to another one. They are None on a host
    that schedules no pool.
    """

    host: str
    route: Route
    admission: AdmissionVerdict | None
    task: TaskDecision | None


def explain(
    reducer: dispatch_reducer.Reducer,
    job: model.Job,
    now: datetime.datetime,
) -> Explanation:
    """Return where a job would be placed now; changes nothing."""
    scheduler = reducer.scheduler.copy_for_trial()
    route = _explain_route(reducer, scheduler, job, now)
    admission = task = None
    if reducer.ownership.claims:
        assessment = scheduler.assess(job, now)
        backlog = scheduler.backlog(now)
        record = assessment.record
        first = record.task_order(next(iter(record.tasks.values())), 1)
        options = [
            _Candidate(each, first, scheduler, reducer, now)
            for each in scheduler.run_tracker
            if each.report.service == job.service
        ]
        done = scheduler.submit(job, None, now)
        answer = next(
            (each for each in done if isinstance(each, effects.AnswerJob)),
            None,
        )
        admission = _to_verdict(assessment, backlog, answer, now)
        task = _explain_task(
            reducer, scheduler.jobs.get(job.job_id), options, record, now
        )
    return Explanation(reducer.local_host.address, route, admission, task)


def _explain_route(
    reducer: dispatch_reducer.Reducer,
    scheduler: dispatch_scheduler.Scheduler,
    job: model.Job,
    now: datetime.datetime,
) -> Route:
    front = reducer.front.copy_for_trial(scheduler)
    pools = reducer.ownership.pools
    chosen = None
    if front.is_held:
        decision = HELD
    elif reducer.evacuation.are_evacuated(pools):
        decision = EVACUATED
    else:
        chosen = front.preview_route(job, now)
        decision = NO_SCHEDULER if chosen is None else ROUTED
    zones = []
    for pool in sorted(pools):
        address = reducer.ownership.owner_address(pool)
        backlog = age = None
        if address is not None:
            backlog = model.milliseconds(front.known_backlog(address, now))
            age = _news_age(reducer, address, now)
        if reducer.evacuation.is_evacuated(pool):
            reason = EVACUATED
        elif address is None:
            reason = NO_SCHEDULER
        elif address == chosen:
            reason = ""
        elif chosen is None:
            reason = decision
        elif not reducer.evacuation.admits(pool, job.job_id, now):
            reason = "evacuation has just ended"
        elif pool != reducer.local_host.zone:
            reason = "not preferred: another zone, or a longer backlog"
        else:
            reason = "longer backlog"
        zones.append(ZoneOption(pool, address, backlog, age, reason))
    return Route(decision, chosen, zones)


def _news_age(
    reducer: dispatch_reducer.Reducer, address: str, now: datetime.datetime
) -> float | None:
    if address == reducer.local_host.address:
        return 0.0
    peer = reducer.hosts.get(address)
    if peer is None or peer.status_at is None:
        return None
    return model.milliseconds(now - peer.status_at)


def _to_verdict(
    assessment: dispatch_scheduler.Assessment,
    backlog: datetime.timedelta,
    answer: effects.AnswerJob | None,
    now: datetime.datetime,
) -> AdmissionVerdict:
    retry_after = None if answer is None else answer.retry_after
    record = assessment.record
    return AdmissionVerdict(
        is_admitted=answer is None,
        reason="" if answer is None else answer.reason,
        backlog_ms=model.milliseconds(backlog),
        preceding_backlog_ms=model.milliseconds(assessment.preceding),
        expected_end_ms=model.milliseconds(assessment.expected_end - now),
        due_ms=model.milliseconds(record.job.due - now),
        useful_until_ms=model.milliseconds(record.useful_until - now),
        retry_in_ms=(
            None if retry_after is None else model.milliseconds(retry_after)
        ),
    )


class _Candidate:
    """What is known of a server before the job is submitted."""

    def __init__(
        self,
        backend: backends.Backend,
        order: backends.TaskOrder,
        scheduler: dispatch_scheduler.Scheduler,
        reducer: dispatch_reducer.Reducer,
        now: datetime.datetime,
    ) -> None:
        self.backend_id = backend.incarnation.backend_id
        self.zone = backend.report.zone
        self.free = backend.free
        self.slowness = backend.slowness(now)
        self.obstacle = _obstacle(backend, order, scheduler, reducer, now)
        self.is_reserved = self.backend_id in scheduler.reserved_backends
        self.room_in = None
        if self.obstacle not in _WITHOUT_ROOM:
            self.room_in = _time_until_room(backend, order, now)
        self.end_in = None
        if self.room_in is not None:
            self.end_in = self.room_in + order.estimate * self.slowness

    def reason(
        self, chosen: "_Candidate | None", due_in: datetime.timedelta
    ) -> str:
        """Return why the server is not the chosen one."""
        if self is chosen:
            return CHOSEN
        if self.obstacle:
            return self.obstacle
        if self.is_reserved:
            return RESERVED
        if self.end_in is not None and self.end_in > due_in:
            return LATE
        if chosen is None:
            return TASK_WAITS
        if self.slowness > chosen.slowness:
            return SLOWER
        return NO_BETTER

    def to_option(self, reason: str) -> BackendOption:
        """Return the candidate as it is shown."""
        return BackendOption(
            self.backend_id,
            self.zone,
            self.free.processors,
            self.free.memory,
            round(self.slowness, 2),
            None if self.room_in is None else model.milliseconds(self.room_in),
            None if self.end_in is None else model.milliseconds(self.end_in),
            reason,
        )


def _obstacle(
    backend: backends.Backend,
    order: backends.TaskOrder,
    scheduler: dispatch_scheduler.Scheduler,
    reducer: dispatch_reducer.Reducer,
    now: datetime.datetime,
) -> str:
    """Return why a task cannot start on a server now, empty if it can."""
    if backend not in scheduler.run_tracker.usable(now):
        return _reason_not_usable(backend, reducer, now)
    if not backend.can_fit_when_idle(order):
        if backend.report.capacity.holds(order.resources):
            return NO_LABEL
        return TOO_SMALL
    if not backend.is_shared:
        return RESERVED
    if not backend.can_fit_now(order):
        return NO_ROOM
    return "" if backend.may_extend_lease(now) else LEASE


def _reason_not_usable(
    backend: backends.Backend,
    reducer: dispatch_reducer.Reducer,
    now: datetime.datetime,
) -> str:
    if reducer.evacuation.is_evacuated(backend.report.zone):
        return ZONE_EVACUATED
    if (
        backend.is_releasing
        or backend.report.advertised_state is model.AdvertisedState.DRAINING
    ):
        return DRAINING
    if (
        backend.state is backends.BackendState.SUSPECT
        or backend.missing_since is not None
    ):
        return SILENT
    if backend.ejected_until is not None and backend.ejected_until > now:
        return EJECTED
    return NOT_USABLE


def _time_until_room(
    backend: backends.Backend,
    order: backends.TaskOrder,
    now: datetime.datetime,
) -> datetime.timedelta | None:
    """Return when a task is expected to have room, None if never.

    Runs are expected to end in the order of their remaining times.
    """
    free = backend.free
    if free.holds(order.resources):
        return model.ZERO
    for run, remaining in sorted(
        backend.remaining_times(now), key=lambda each: each[1]
    ):
        free = free + run.order.resources
        if free.holds(order.resources):
            return remaining
    return None


def _explain_task(
    reducer: dispatch_reducer.Reducer,
    submitted: job_record.JobRecord | None,
    options: list[_Candidate],
    record: job_record.JobRecord,
    now: datetime.datetime,
) -> TaskDecision:
    """Return the decision on the first task of a job that was submitted.

    ``submitted`` is None if the job was refused.
    """
    decision, backend_id, peer = REFUSED, None, None
    if submitted is not None:
        task = next(iter(submitted.tasks.values()))
        decision = WAITS
        if task.state is job_record.TaskState.PLACED:
            decision, backend_id = SERVER, task.backend_id
        elif task.state is job_record.TaskState.OFFERED:
            decision = OFFERED
            far_end = None
            if task.link is not None:
                far_end = reducer.hosts.by_link(task.link)
            peer = None if far_end is None else far_end.record.address
    chosen = next(
        (
            each
            for each in options
            if decision == SERVER
            and each.backend_id == backend_id
            and not each.obstacle
        ),
        None,
    )
    due_in = record.job.due - now
    shown = [each.to_option(each.reason(chosen, due_in)) for each in options]
    shown.sort(key=_distance)
    room_in = None
    if decision == WAITS:
        room_in = min(
            (each.room_in_ms for each in shown if each.room_in_ms is not None),
            default=None,
        )
    return TaskDecision(
        decision,
        backend_id,
        peer,
        room_in,
        shown[:MAX_BACKENDS],
        max(0, len(shown) - MAX_BACKENDS),
    )


def _distance(option: BackendOption) -> tuple[int, float, str]:
    """Sort key: the nearest to being chosen first."""
    end = option.expected_end_ms
    return (
        _DISTANCES[option.reason],
        float("inf") if end is None else end,
        option.backend,
    )
