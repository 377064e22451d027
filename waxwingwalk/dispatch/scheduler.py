"""The scheduler: places the tasks of jobs on backend servers."""

from collections.abc import Collection
import copy
import dataclasses
import datetime

from waxwingwalk.core import clock
from waxwingwalk.core import decoding
from waxwingwalk.dispatch import admission
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import balance
from waxwingwalk.dispatch import crashes
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import failures
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import lookahead
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import peer_tasks
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import run_times
from waxwingwalk.dispatch import run_tracker as dispatch_run_tracker
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.dispatch import stuck_runs

# Bounds of the time after which a refused caller is asked to retry.
RETRY_AFTER_MIN = datetime.timedelta(milliseconds=200)
RETRY_AFTER_MAX = datetime.timedelta(seconds=5)
# The maximum number of backend servers whose free capacity is advertised to
# peers for each pool and service. A peer offers only as many tasks at once as
# fit into that capacity.
MAX_ADVERTISED_BACKENDS = 12
# A job that is late before its first task has started is refused once this
# share of its caller's waiting time has passed. The caller then still has more
# than half of that time to retry.
MAX_LATE_WAIT_SHARE = 0.4
# A job that arrives while this many jobs have no answer is refused.
MAX_JOBS = 2000
# All runs that a peer ordered for this host have ended this long after the
# link to it was closed. A message that was on its way may reach the peer up to
# 0.6 s later. The peer closes its end 0.6 s after that, at a tick, and stops
# the runs. If a stop is unanswered for 0.15 s, the server gets no further
# lease, and the last one expires a second later.
PEER_RUN_END_LIMIT = datetime.timedelta(milliseconds=2550)


# The weight of the newest job in the mean length of tasks.
MEAN_TIME_WEIGHT = 0.05
# The estimate of the backlog is requested often. It is cached for this time,
# which is short compared with the shortest tasks.
BACKLOG_CACHE_TIME = datetime.timedelta(milliseconds=5)
# Tasks that wait for the answers to others' starts are looked through after so
# many answers, as a job may have thousands of them.
STARTS_BATCH = 8
# With more waiting jobs than LONG_QUEUE_JOBS, dispatch runs at most once per
# interval, because its cost grows with the queue and the end of each run
# requests it. The interval is short compared with the wait in such a queue.
LONG_QUEUE_JOBS = 32
LONG_QUEUE_DISPATCH_INTERVAL = datetime.timedelta(milliseconds=4)

# The servers that tasks may have for themselves because they may crash them,
# as a share of the usable ones. There is always one.
MAX_ALONE_SHARE = 0.25

# A task that a server has refused to start is started again after this time,
# doubled with each refusal up to the maximum: other servers may refuse it too.
REFUSAL_RETRY = datetime.timedelta(milliseconds=10)
REFUSAL_RETRY_MAX = datetime.timedelta(milliseconds=500)
REFUSALS = frozenset(
    outcome.value
    for outcome in (
        model.CallOutcome.NO_ROOM,
        model.CallOutcome.INVALID,
        model.CallOutcome.EXPIRED,
    )
)

# The reason of an answer for which a scheduler that shuts down or has lost its
# pools is the cause. If the job has not run, the host to which the caller is
# connected routes it to another scheduler. The same reason is given to callers
# whose own host shuts down.
REASON_LEAVING = "leaving"
# The same for a scheduler all of whose pools are in evacuated zones. The job
# is routed to another scheduler once; after that this is the reason of a
# refusal.
REASON_EVACUATED = "zone evacuated"

# The reason of an answer to a job that is given up for its crashes.
REASON_CRASHES = "crashes servers"

TaskState = job_record.TaskState
Suspicion = crashes.Suspicion


# Key in the job order, a number that decides between equal keys, and the job.
_Waiting = tuple[tuple[float, float], int, job_record.JobRecord]
# Service, required label and resources of a task.
_TaskKind = tuple[str, str | None, model.Resources]


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """The figures by which a job is admitted or refused.

    ``record`` is that of the job, with the expected run times. ``preceding``
    is how long the work that precedes the job takes.
    """

    record: job_record.JobRecord
    preceding: datetime.timedelta
    expected_end: datetime.datetime


class Scheduler:
    """Schedules the jobs that were submitted to this host.

    Tasks run on backend servers that this host schedules. A task that cannot
    start there now is offered to a peer that has advertised enough capacity:
    the peer starts it at once, or declines it by answering NOT_RUN.
    """

    def __init__(
        self,
        run_tracker: dispatch_run_tracker.RunTracker,
        job_order: ordering.JobOrder,
        placement: dispatch_placement.Placement,
        observed: observed_time.ObservedTime | None = None,
        crash_history: crashes.CrashHistory | None = None,
        zone_evacuation: evacuation.Evacuation | None = None,
        pools: Collection[str] = (),
        settings: dispatch_settings.DispatchSettings | None = None,
        look_ahead: lookahead.LookAhead | None = None,
        work_limits: dispatch_settings.WorkLimits | None = None,
    ) -> None:
        self._look_ahead = look_ahead
        self._work_limits = work_limits or dispatch_settings.WorkLimits()
        self._evacuation = zone_evacuation or evacuation.Evacuation()
        # The pools that this host schedules, as its claims change.
        self._pools = pools
        self._settings = settings or dispatch_settings.DispatchSettings()
        self._admission: admission.Admission = (
            admission.PrecedingWork()
            if self._settings.job_admission
            else admission.AllQueuedWork()
        )
        self._stuck_policy: stuck_runs.StuckPolicy = (
            stuck_runs.LearnedTail()
            if self._settings.run_progress
            else stuck_runs.FixedFactor()
        )
        self._observed = observed or observed_time.ObservedTime()
        self._crash_history = crash_history or crashes.CrashHistory()
        # Servers that are being emptied for tasks that have to run alone.
        self._reserved: dict[str, backends.Backend] = {}
        self._run_tracker = run_tracker
        self._job_order = job_order
        self._placement = placement
        self._jobs: dict[str, job_record.JobRecord] = {}
        # Runs of tasks of peers, with the links over which they were offered.
        self._peer_runs: dict[model.RunKey, int] = {}
        # Tasks of ended jobs that may still run at a peer, with its link.
        self._stopping_at_peers: dict[str, int] = {}
        self._peers: dict[int, list[peer_tasks.PeerPool]] = {}
        self._run_time_estimator = run_times.RunTimeEstimator()
        # The queued work in core-microseconds, and the rate at which usable
        # servers process it: thousandths of a core, divided by the slowness of
        # each server. The quotient of the two is in milliseconds.
        self._queued_work = admission.QueuedWork()
        self._service_rate = 0.0
        self._demand = balance.DemandMeter()
        self._mean_task_time = model.ZERO
        self._backlog_valid_until = clock.DISTANT_PAST
        # The usable servers that suit tasks of a kind, for one list of those.
        self._suitable: dict[_TaskKind, list[backends.Backend]] = {}
        self._suitable_of: list[backends.Backend] = []
        self._dispatched_at = clock.DISTANT_PAST
        self._is_queue_long = False
        self._are_starts_held = False
        # Whether tasks wait because too many starts are under way, and the
        # number of answers until the next ones are sent.
        self._are_starts_postponed = False
        self._answers_awaited = 0
        # The tasks of all jobs.
        self._task_count = 0

    @property
    def jobs(self) -> dict[str, job_record.JobRecord]:
        """The jobs without an answer, by id; not to be modified."""
        return self._jobs

    @property
    def is_evacuated(self) -> bool:
        """Whether all pools of this host are in evacuated zones."""
        return self._evacuation.are_evacuated(self._pools)

    @property
    def run_tracker(self) -> dispatch_run_tracker.RunTracker:
        """The runs and servers of this host; not to be modified."""
        return self._run_tracker

    @property
    def reserved_backends(self) -> set[str]:
        """The ids of servers that look-ahead placement has reserved."""
        if self._look_ahead is None:
            return set()
        return set(self._look_ahead.reservations)

    def copy_for_trial(self) -> "Scheduler":
        """Return a copy to which a job can be submitted without an effect.

        What ``submit`` changes is copied, the caches of estimates included;
        the rest is shared.
        """
        trial = copy.copy(self)
        tracker = trial._run_tracker = self._run_tracker.copy_for_trial()
        trial._reserved = {
            task: tracker.get(each.incarnation) or each.copy_for_trial()
            for task, each in self._reserved.items()
        }
        trial._jobs = {
            job_id: record.copy_for_trial() if record.ready_tasks() else record
            for job_id, record in self._jobs.items()
        }
        trial._peers = {
            link: [dataclasses.replace(p, free=list(p.free)) for p in pools]
            for link, pools in self._peers.items()
        }
        trial._queued_work = dataclasses.replace(self._queued_work)
        trial._demand = copy.deepcopy(self._demand)
        trial._suitable, trial._suitable_of = {}, []
        if self._look_ahead is not None:
            copies = {
                id(each): tracker.get(each.incarnation) or each
                for each in self._run_tracker
            }
            trial._look_ahead = self._look_ahead.copy_for_trial(copies)
            if self._placement is self._look_ahead:
                trial._placement = trial._look_ahead
        return trial

    def links_in_use(self) -> set[int]:
        """Return the links with unfinished jobs or tasks."""
        links = set(self._stopping_at_peers.values()) | set(
            self._peer_runs.values()
        )
        for record in self._jobs.values():
            if record.link is not None:
                links.add(record.link)
            links |= record.offer_links()
        return links

    # Jobs.

    def submit(
        self,
        job: model.Job,
        link: int | None,
        now: datetime.datetime,
        request: int = 0,
    ) -> effects.Effects:
        """Accept a job, or refuse it at once if it cannot be served."""
        record = self._new_job_record(job, link, now, request)
        if self._settings.zone_balance:
            self._record_demand(record, now)
        if job.job_id in self._jobs:
            # Another request for the same job has no answer yet.
            return self._answer(record, model.JobOutcome.LOST, "twice", now)
        if not self._is_allowed_to_run(record):
            return self._answer(
                record, model.JobOutcome.FAILED, REASON_CRASHES, now
            )
        reason = self._refusal_reason(record, now)
        if reason is not None:
            return self._answer(record, model.JobOutcome.NOT_RUN, reason, now)
        self._jobs[job.job_id] = record
        self._task_count += len(record.tasks)
        if self._look_ahead is not None:
            self._look_ahead.learn(record, self._run_tracker.usable(now))
        log = effects.Log(
            "job.queued",
            {
                "job": job.job_id,
                "queue": job.queue,
                "tasks": len(record.tasks),
                "work_ms": model.milliseconds(
                    record.remaining_critical_path()
                ),
                "due_in_ms": model.milliseconds(job.due - now),
                "backlog_ms": model.milliseconds(self.backlog(now)),
            },
        )
        started = self.dispatch(now)
        # The cached backlog was computed without this job.
        self._queued_work.add(record, now)
        return [log, *started]

    def _record_demand(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> None:
        self._demand.record(record.queued_work(), now)
        longest = max(record.estimates)
        self._mean_task_time += MEAN_TIME_WEIGHT * (
            longest - self._mean_task_time
        )

    def _new_job_record(
        self,
        job: model.Job,
        link: int | None,
        now: datetime.datetime,
        request: int,
    ) -> job_record.JobRecord:
        """Return a record for a new job.

        Declared run times are replaced by expected ones, and ``due`` is moved
        by ``stretch`` times the resulting change of the critical path.
        """
        estimates = [
            self._run_time_estimator.expected(job.queue, step.estimate)
            for step in job.steps
        ]
        declared = model.critical_path_time(
            job.steps, [step.estimate for step in job.steps]
        )
        expected = model.critical_path_time(job.steps, estimates)
        due = job.due + job.stretch * (expected - declared)
        return job_record.JobRecord(
            dataclasses.replace(job, due=due), link, now, estimates, request
        )

    def _learn_run_time(self, ended: dispatch_run_tracker.EndedTask) -> None:
        """Learn a completed task's run time on a server of ordinary speed."""
        order = ended.order
        record = self._jobs.get(order.ref.job_id)
        if record is None or ended.end is not model.TaskEnd.DONE:
            return
        step = order.ref.step
        ratio = ended.elapsed / max(order.estimate, run_times.MIN_RUN_TIME)
        task = record.tasks.get((step, order.ref.index))
        self._stuck_policy.learn(
            record.job.queue,
            ratio,
            is_restart=task is not None and bool(task.stuck_on),
        )
        if self._settings.run_progress and (
            ratio > stuck_runs.IN_TIME_FACTOR * max(ended.slowness, 1.0)
        ):
            # It is in the tail, and does not predict the other tasks.
            return
        observed = ended.elapsed / ended.slowness
        declared = record.job.steps[step].estimate
        self._run_time_estimator.learn(record.job.queue, declared, observed)
        # Tasks of a step are alike, so a completed one predicts the others.
        record.update_estimate(step, observed)

    def _refusal_reason(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> str | None:
        """Return why a job cannot be served, or None."""
        if self.is_evacuated:
            return REASON_EVACUATED
        orders = [
            record.task_order(task, 1)
            for task in record.tasks.values()
            if task.ref.index == 0
        ]
        usable = self._run_tracker.usable(now)
        if not usable and not self._peers:
            return "no backend server"
        if usable and not all(
            any(each.can_fit_when_idle(order) for each in usable)
            for order in orders
        ):
            return "fits no backend server"
        tasks = self._task_count + len(record.tasks)
        if len(self._jobs) >= MAX_JOBS or (
            self._jobs and tasks > self._work_limits.tasks
        ):
            return "queue full"
        if now + record.remaining_critical_path() > record.useful_until:
            return "too late"
        waits_until = now + self._preceding_backlog(record, now)
        ready_at = waits_until + record.remaining_critical_path()
        if ready_at > record.useful_until:
            return "backlog"
        return None

    def assess(self, job: model.Job, now: datetime.datetime) -> Assessment:
        """Return the figures by which a new job is admitted or refused."""
        record = self._new_job_record(job, None, now, 0)
        # In evacuated zones nothing starts, whatever precedes the job.
        preceding = self.backlog(now)
        if not self.is_evacuated:
            preceding = self._preceding_backlog(record, now)
        return Assessment(
            record,
            preceding,
            now + preceding + record.remaining_critical_path(),
        )

    def abandon(
        self,
        job_id: str,
        link: int | None,
        now: datetime.datetime,
        request: int = 0,
    ) -> effects.Effects:
        """Stop a job whose caller no longer waits for the answer."""
        record = self._jobs.get(job_id)
        if record is None or (record.link, record.request) != (link, request):
            return []
        del self._jobs[job_id]
        self._task_count -= len(record.tasks)
        return [
            effects.Log("job.abandoned", {"job": job_id}),
            *self._stop_tasks(record, now),
            *self.dispatch(now),
        ]

    def reject_unstarted_jobs(
        self, now: datetime.datetime, reason: str = REASON_LEAVING
    ) -> effects.Effects:
        """Reject jobs without a started task; other hosts schedule them."""
        done: effects.Effects = []
        for record in list(self._jobs.values()):
            if not record.has_started:
                done += self._end_job(
                    record, model.JobOutcome.NOT_RUN, reason, now
                )
        return done

    def return_jobs(self, now: datetime.datetime) -> effects.Effects:
        """Give up the jobs that wait here, as this host has lost its pools.

        Other hosts schedule those that have not started. A started job ends
        with the runs that it has, so it is answered as soon as a task of it
        waits that can start nowhere.
        """
        if not self._jobs:
            return []
        done = self.reject_unstarted_jobs(now)
        if self._run_tracker.usable(now) or any(
            pool.free for pools in self._peers.values() for pool in pools
        ):
            return done
        for record in list(self._jobs.values()):
            if record.due_tasks():
                done += self._end_job(
                    record, model.JobOutcome.LOST, REASON_LEAVING, now
                )
        return done

    def limit_jobs(self, expires: datetime.datetime) -> None:
        """Let all jobs expire at a time, unless they expire earlier."""
        for record in self._jobs.values():
            record.limit_expiry(expires)

    def limit_job(
        self,
        job_id: str,
        link: int,
        request: int,
        expires: datetime.datetime,
    ) -> None:
        """Let a job of another host expire at a time, if not earlier."""
        record = self._jobs.get(job_id)
        if record is not None and (
            (record.link, record.request) == (link, request)
        ):
            record.limit_expiry(expires)

    def close_link(self, link: int, now: datetime.datetime) -> effects.Effects:
        """End the jobs and runs that depend on a closed link."""
        self._peers.pop(link, None)
        done: effects.Effects = []
        for record in list(self._jobs.values()):
            if record.link == link:
                done += self.abandon(
                    record.job.job_id, link, now, record.request
                )
                continue
            offered = record.tasks_offered_over(link)
            if offered:
                done += self._keep_or_lose(record, offered, now)
        # These tasks need not be tracked any more: the peer stops its runs as
        # well when the link closes, before a caller can retry the job.
        self._stopping_at_peers = {
            task: peer_link
            for task, peer_link in self._stopping_at_peers.items()
            if peer_link != link
        }
        for key, requester_link in list(self._peer_runs.items()):
            if requester_link == link:
                del self._peer_runs[key]
                done += self._run_tracker.stop(key, now)
        return done + self.dispatch(now)

    def _keep_or_lose(
        self,
        record: job_record.JobRecord,
        offered: list[job_record.TaskRecord],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Keep a job until its tasks at a lost peer may start again.

        A job that has not enough time left for that is answered as lost now,
        so that its caller can retry.
        """
        over_at = now + PEER_RUN_END_LIMIT
        longest = max(record.estimates[task.ref.step] for task in offered)
        if over_at + longest > record.job.expires:
            return self._end_job(
                record, model.JobOutcome.LOST, "peer lost", now
            )
        for task in offered:
            task.link = None
            task.over_at = over_at
        return [
            effects.Log(
                "job.waits_for_peer",
                {
                    "job": record.job.job_id,
                    "tasks": len(offered),
                    "wait_ms": model.milliseconds(PEER_RUN_END_LIMIT),
                },
            )
        ]

    def _restart_tasks_of_lost_peers(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> effects.Effects:
        done: effects.Effects = []
        for task in record.tasks_over_at_lost_peers(now):
            task.lost_runs += 1
            record.hold(task, self._suspicion(task) is Suspicion.HELD)
            done += self._record_task_end(
                task.ref,
                task.run,
                model.TaskEnd.GONE,
                "lost peer",
                "lease expired",
                now,
            )
        return done

    def _stop_tasks(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> effects.Effects:
        done: effects.Effects = []
        for task in record.tasks.values():
            if task.state is TaskState.PLACED:
                key = model.RunKey(task.ref.name, task.run)
                done += self._run_tracker.stop(key, now)
            elif task.state is TaskState.OFFERED and task.link is not None:
                self._stopping_at_peers[task.ref.name] = task.link
                done.append(
                    effects.Send(
                        task.link,
                        messages.StopTask(
                            task.ref.job_id,
                            task.ref.step,
                            task.ref.index,
                            task.run,
                        ),
                    )
                )
        return done

    def _end_job(
        self,
        record: job_record.JobRecord,
        outcome: model.JobOutcome,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        del self._jobs[record.job.job_id]
        self._task_count -= len(record.tasks)
        return [
            *self._answer(record, outcome, reason, now),
            *self._stop_tasks(record, now),
        ]

    def _answer(
        self,
        record: job_record.JobRecord,
        outcome: model.JobOutcome,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        retry_after = None
        if outcome is model.JobOutcome.NOT_RUN:
            retry_after = self.retry_after(now)
            if self._settings.job_admission:
                retry_after *= 1 + admission.RETRY_SPREAD * (
                    evacuation.hash_share(record.job.job_id)
                )
        job = record.job
        log = effects.Log(
            "job.ended",
            {
                "job": job.job_id,
                "queue": job.queue,
                "outcome": outcome.value,
                "reason": reason,
                "age_ms": model.milliseconds(now - record.arrived_at),
                "late_ms": model.milliseconds(now - job.due),
                "runs": sum(task.run for task in record.tasks.values()),
            },
        )
        if record.link is None:
            answer: effects.Effect = effects.AnswerJob(
                job.job_id, outcome, reason, retry_after
            )
        else:
            answer = effects.Send(
                record.link,
                messages.JobEnded(
                    job.job_id,
                    outcome,
                    reason,
                    None
                    if retry_after is None
                    else model.milliseconds(retry_after),
                    record.request,
                ),
            )
        return [log, answer]

    # Load.

    def backlog(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long the queued work will keep the servers busy.

        Hosts of former versions choose schedulers by it alone, so it is long
        where no task may start.
        """
        if self.is_evacuated:
            return RETRY_AFTER_MAX
        if now >= self._backlog_valid_until:
            self._backlog_valid_until = now + BACKLOG_CACHE_TIME
            self._update_backlog(now)
        if not self._service_rate:
            return model.ZERO
        work = self._queued_work.total
        return work / self._service_rate * model.MILLISECOND

    def _preceding_backlog(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return how long the work that precedes a new job will take."""
        if not self.backlog(now):
            return model.ZERO
        work = self._admission.preceding_work(self._queued_work, record)
        return work / self._service_rate * model.MILLISECOND

    def _update_backlog(self, now: datetime.datetime) -> None:
        self._service_rate = sum(
            backend.report.capacity.processors / backend.slowness(now)
            for backend in self._run_tracker.usable(now)
        )
        self._queued_work = admission.QueuedWork()
        for record in self._jobs.values():
            if record.ready_tasks():
                self._queued_work.add(record, now)

    def stranded_processors(self, now: datetime.datetime) -> int:
        """Return the free thousandths of a core while tasks wait, else 0."""
        if not self._has_ready_tasks():
            return 0
        return sum(
            max(0, each.free.processors)
            for each in self._run_tracker.usable(now)
        )

    def retry_after(self, now: datetime.datetime) -> datetime.timedelta:
        """Return after what time a refused caller should retry."""
        return min(max(self.backlog(now), RETRY_AFTER_MIN), RETRY_AFTER_MAX)

    def advertised_capacity(
        self, pool: str, service: str, now: datetime.datetime
    ) -> list[messages.FreeRoom]:
        """Return the free capacity of servers for peers, the fastest first.

        There is none while tasks of this host's own jobs wait.
        """
        if self._has_ready_tasks():
            return []
        free_capacity = [
            messages.FreeRoom(backend.free, round(backend.slowness(now), 2))
            for backend in self._run_tracker.usable(now)
            if backend.report.service == service
            and backend.report.zone == pool
            and backend.is_shared
            and backend.free.processors > 0
        ]
        free_capacity.sort(key=lambda each: each.slowness)
        if self._settings.zone_balance:
            free_capacity = balance.limit_free(
                free_capacity, self._lendable(now)
            )
        return free_capacity[:MAX_ADVERTISED_BACKENDS]

    def _lendable(self, now: datetime.datetime) -> int:
        """Return the processors that this host's own jobs will not need."""
        usable = self._run_tracker.usable(now)
        free = sum(each.free.processors for each in usable)
        growth = self._demand.growth(now, self._mean_task_time)
        return balance.lendable(free, growth)

    def advertised_balances(
        self, pool: str, now: datetime.datetime
    ) -> list[messages.PoolBalance]:
        """Return the load of a pool of this host, by service."""
        services = {
            each.report.service
            for each in self._run_tracker.usable(now)
            if each.report.zone == pool
        }
        loads = [
            self.advertised_balance(pool, service, now) for service in services
        ]
        return [each for each in loads if each is not None]

    def advertised_balance(
        self, pool: str, service: str, now: datetime.datetime
    ) -> messages.PoolBalance | None:
        """Return what fronts need to know of a pool."""
        if not self._settings.zone_balance:
            return None
        servers = [
            each
            for each in self._run_tracker.usable(now)
            if each.report.zone == pool and each.report.service == service
        ]
        # The backlog is computed for all pools of this host, too.
        self.backlog(now)
        demand = 0.0
        if self._service_rate:
            demand = self._demand.rate(now) / self._service_rate
        return messages.PoolBalance(
            sum(each.free.processors for each in servers),
            sum(each.report.capacity.processors for each in servers),
            round(min(demand, decoding.FACTOR_MAX), 2),
        )

    def update_peer_status(
        self,
        link: int,
        loads: list[messages.PoolLoad],
        now: datetime.datetime | None = None,
    ) -> None:
        """Record the free capacity that a peer advertises."""
        self._peers[link] = [
            peer_tasks.PeerPool(
                link, load.pool, load.service, list(load.free), now
            )
            for load in loads
        ]

    # Tasks.

    def hold_starts(self) -> None:
        """Start no task of this host's jobs until ``resume_starts``."""
        self._are_starts_held = True

    def dispatch_postponed(self, now: datetime.datetime) -> effects.Effects:
        """Start tasks that waited while too many starts were under way."""
        if not self._are_starts_postponed:
            return []
        self._answers_awaited -= 1
        if self._answers_awaited > 0 and self._run_tracker.starting:
            return []
        self._are_starts_postponed = False
        return self.dispatch(now)

    def _postpone_starts(self) -> None:
        """Let tasks wait until some of the starts under way are answered."""
        if not self._are_starts_postponed:
            self._are_starts_postponed = True
            self._answers_awaited = STARTS_BATCH

    def resume_starts(self, now: datetime.datetime) -> effects.Effects:
        """Start tasks again, with those that waited meanwhile."""
        self._are_starts_held = False
        return self.dispatch(now)

    def dispatch(self, now: datetime.datetime) -> effects.Effects:
        """Start tasks of waiting jobs, in the job order."""
        if self._are_starts_held or not self._evacuation.is_known(now):
            return []
        self._cancel_reservations(now)
        if (
            self._is_queue_long
            and now - self._dispatched_at < LONG_QUEUE_DISPATCH_INTERVAL
        ):
            return []
        waiting = [
            (self._job_order.key(record, now), number, record)
            for number, record in enumerate(self._jobs.values())
            if record.ready_tasks()
        ]
        self._is_queue_long = len(waiting) > LONG_QUEUE_JOBS
        self._dispatched_at = now
        if not waiting:
            if self._look_ahead is not None:
                self._look_ahead.update_reservations([], [], now)
            return []
        waiting.sort()
        done: effects.Effects = []
        if self._look_ahead is not None and self._look_ahead.applies(
            min(lookahead.largest_request(each) for _, _, each in waiting),
            self._run_tracker.usable(now),
        ):
            return self._dispatch_with_look_ahead(
                self._look_ahead,
                waiting,
                self._free_processor_share(now),
                now,
            )
        # Computed when it is needed, as it changes with each start.
        free_share: float | None = None
        for _, _, record in waiting:
            if free_share is None:
                free_share = self._free_processor_share(now)
            if self._job_order.is_deferred(record, free_share, now):
                continue
            started = failures.confine(
                record.job.job_id,
                self._start_ready_tasks,
                record,
                now,
            )
            if started:
                done += started
                free_share = None
        return done

    def _dispatch_with_look_ahead(
        self,
        look_ahead: lookahead.LookAhead,
        waiting: list[_Waiting],
        free_share: float,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Start the tasks that fill the gaps on servers best."""
        done: effects.Effects = []
        jobs = [
            (lookahead.waiting_job(*key, record), record)
            for key, _, record in waiting
            if not self._job_order.is_deferred(record, free_share, now)
        ]
        usable = self._run_tracker.usable(now)
        look_ahead.begin([each for each, _ in jobs])
        while jobs:
            number = look_ahead.select([each for each, _ in jobs], usable)
            if number is None:
                break
            job, record = jobs.pop(number)
            started = self._start_ready_tasks(record, now, 1)
            if not started:
                continue
            done += started
            look_ahead.record_started(job)
            if record.ready_tasks():
                jobs.insert(
                    number,
                    (
                        lookahead.waiting_job(job.rank, job.slack, record),
                        record,
                    ),
                )
        for _, record in jobs:
            done += self._start_ready_tasks(record, now)
        reserved = look_ahead.update_reservations(
            [each for each, record in jobs if record.ready_tasks()],
            usable,
            now,
        )
        return done + [_reservation_log(each, now) for each in reserved]

    def _start_ready_tasks(
        self,
        record: job_record.JobRecord,
        now: datetime.datetime,
        count: int | None = None,
    ) -> effects.Effects:
        """Start or offer ready tasks of a job while there is capacity.

        At most ``count`` tasks are started, if it is given.
        """
        done: effects.Effects = []
        for task in list(record.ready_tasks())[:count]:
            if self._has_unfinished_run(task.ref.name, now):
                continue
            if task.retry_at is not None and now < task.retry_at:
                continue
            started = self._start_or_offer(record, task, now)
            if not started and self._suspicion(task) is Suspicion.NONE:
                # The other tasks of the step need as much capacity.
                break
            done += started
        return done

    def _has_ready_tasks(self) -> bool:
        """Return whether ready tasks of this host's own jobs wait.

        Those that wait for a server of their own leave others free.
        """
        return any(
            task.ref.name not in self._reserved
            for record in self._jobs.values()
            for task in record.ready_tasks()
        )

    def _has_unfinished_run(self, task: str, now: datetime.datetime) -> bool:
        """Return whether an earlier run may still be active, or may start."""
        return (
            self._run_tracker.has_active_run(task)
            or self._run_tracker.has_foreign_run(task, now)
            or task in self._stopping_at_peers
            or self._run_tracker.may_start_late(task, now)
        )

    def _free_processor_share(self, now: datetime.datetime) -> float:
        """Return the free share of the processors of usable servers."""
        free = total = 0
        for backend in self._run_tracker.usable(now):
            free += backend.free.processors
            total += backend.report.capacity.processors
        return free / total if total else 0.0

    def _start_or_offer(
        self,
        record: job_record.JobRecord,
        task: job_record.TaskRecord,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Start a task here or offer it to a peer; no effects if it waits."""
        if self._run_tracker.starts_left <= 0:
            self._postpone_starts()
            return []
        order = record.task_order(task, task.run + 1)
        suspicion = self._suspicion(task)
        backend = self._choose_by_suspicion(
            order, suspicion, record.job.due, now, task.stuck_on
        )
        if backend is None:
            if order.runs_alone and self._reserve(order, now):
                return []
            if self._run_tracker.has_busy_server:
                self._postpone_starts()
                return []
            return self._offer_to_peer(record, task, order, now)
        self._cancel_reservation(task.ref.name)
        record.mark_placed(
            task,
            order.run,
            backend.incarnation.backend_id,
            self._observed.at(now),
        )
        return [
            self._placement_log(record, order, backend, now),
            *self._run_tracker.start(order, backend, now),
        ]

    def _suspicion(self, task: job_record.TaskRecord) -> Suspicion:
        return self._crash_history.suspicion(task.ref.name, task.lost_runs)

    def _choose_by_suspicion(
        self,
        order: backends.TaskOrder,
        suspicion: Suspicion,
        due: datetime.datetime,
        now: datetime.datetime,
        avoided: Collection[str] = (),
    ) -> backends.Backend | None:
        """Return the server for a task that may crash it, or None.

        The order is marked as suspect, and to run alone if it has to.
        """
        if suspicion is not Suspicion.NONE:
            order.is_suspect = True
        if suspicion is Suspicion.MUST_RUN_ALONE:
            order.runs_alone = True
        elif suspicion is Suspicion.PREFER_ALONE and self._may_isolate(
            order, now
        ):
            order.runs_alone = True
            backend = self._choose_backend(order, due, now, avoided)
            if backend is not None:
                return backend
            order.runs_alone = False
        if order.runs_alone and not self._may_isolate(order, now):
            return None
        return self._choose_backend(order, due, now, avoided)

    def _may_isolate(
        self, order: backends.TaskOrder, now: datetime.datetime
    ) -> bool:
        """Return whether a task may have a server for itself now."""
        if order.ref.name in self._reserved:
            return True
        usable = self._run_tracker.usable(now)
        isolated = sum(not each.is_shared for each in usable)
        return isolated < max(1.0, MAX_ALONE_SHARE * len(usable))

    def _reserve(
        self, order: backends.TaskOrder, now: datetime.datetime
    ) -> bool:
        """Have a server emptied for a task that has to run alone.

        Return whether the task is to wait, which it is not if no server of
        this host suits it.
        """
        suitable = self._suitable_backends(order, now)
        if order.ref.name not in self._reserved and self._may_isolate(
            order, now
        ):
            shared = [each for each in suitable if each.is_shared]
            if shared:
                chosen = min(
                    shared, key=lambda each: each.expected_idle_time(now)
                )
                chosen.reserved_for = order.ref.name
                self._reserved[order.ref.name] = chosen
        return bool(suitable)

    def _cancel_reservations(self, now: datetime.datetime) -> None:
        """Cancel the reservations for tasks that wait no longer."""
        for task, backend in list(self._reserved.items()):
            record = self._jobs.get(task.partition(".")[0])
            is_waiting = record is not None and any(
                each.ref.name == task for each in record.ready_tasks()
            )
            if not is_waiting or backend not in self._run_tracker.usable(now):
                self._cancel_reservation(task)

    def _cancel_reservation(self, task: str) -> None:
        backend = self._reserved.pop(task, None)
        if backend is not None:
            backend.reserved_for = None

    def _is_allowed_to_run(self, record: job_record.JobRecord) -> bool:
        """Return whether no task of a new job is known to crash servers.

        Tasks that may do so are held if necessary.
        """
        if self._crash_history.is_empty:
            return True
        for task in record.tasks.values():
            suspicion = self._suspicion(task)
            if suspicion is Suspicion.GIVEN_UP:
                return False
            record.hold(task, suspicion is Suspicion.HELD)
        return True

    def record_crashes(
        self, tasks: Collection[str], now: datetime.datetime
    ) -> effects.Effects:
        """Apply new evidence in the crash history to this host's jobs.

        Jobs with a task that crashes servers are given up.
        """
        done: effects.Effects = []
        for name in tasks:
            record = self._jobs.get(name.partition(".")[0])
            task = None
            if record is not None:
                task = record.find_task(name)
            if record is None or task is None:
                continue
            if task.state is TaskState.DONE:
                continue
            suspicion = self._suspicion(task)
            record.hold(task, suspicion is Suspicion.HELD)
            if suspicion is Suspicion.GIVEN_UP:
                done += self._end_job(
                    record, model.JobOutcome.FAILED, REASON_CRASHES, now
                )
        return done

    def _choose_backend(
        self,
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
        avoided: Collection[str] = (),
    ) -> backends.Backend | None:
        """Return the server to start a task on, None if it waits.

        Servers whose ids are avoided are left out, unless no other suits.
        """
        if order.resources.processors > self._run_tracker.max_free_processors(
            now
        ):
            return None
        suitable = self._suitable_backends(order, now)
        if avoided:
            others = [
                each
                for each in suitable
                if each.incarnation.backend_id not in avoided
            ]
            suitable = others or suitable
        processors = order.resources.processors
        candidates = [
            each
            for each in suitable
            # Checked first because it is cheap and rules out most servers.
            if each.free.processors >= processors
            and each.can_fit_now(order)
            # A start renews the lease of all runs on the server.
            and each.may_extend_lease(now)
        ]
        if not candidates:
            return None
        if order.runs_alone:
            return min(candidates, key=lambda each: each.slowness(now))
        return self._placement.choose(candidates, suitable, order, due, now)

    def _suitable_backends(
        self, order: backends.TaskOrder, now: datetime.datetime
    ) -> list[backends.Backend]:
        """Return the usable servers on which a task would fit if idle.

        The lists are kept as long as the usable servers are the same.
        """
        usable = self._run_tracker.usable(now)
        if usable is not self._suitable_of:
            self._suitable_of = usable
            self._suitable.clear()
        kind = (order.service, order.label, order.resources)
        suitable = self._suitable.get(kind)
        if suitable is None:
            suitable = [
                each for each in usable if each.can_fit_when_idle(order)
            ]
            self._suitable[kind] = suitable
        return suitable

    def _placement_log(
        self,
        record: job_record.JobRecord,
        order: backends.TaskOrder,
        backend: backends.Backend,
        now: datetime.datetime,
    ) -> effects.Log:
        return effects.Log(
            "task.placed",
            {
                "job": order.ref.job_id,
                "task": order.ref.name,
                "run": order.run,
                "backend": backend.incarnation.backend_id,
                "slowness": round(backend.slowness(now), 2),
                "free_before": backend.free.processors,
                "waited_ms": model.milliseconds(now - record.arrived_at),
                "due_in_ms": model.milliseconds(record.job.due - now),
            },
        )

    def _offer_to_peer(
        self,
        record: job_record.JobRecord,
        task: job_record.TaskRecord,
        order: backends.TaskOrder,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Offer a task to a peer that has advertised enough capacity."""
        time_left = record.job.due - now
        links = [each for each in self._peers if each not in task.refused_by]
        if self._settings.zone_balance:
            links = peer_tasks.order_links(
                {link: self._peers[link] for link in links},
                record.job.job_id,
                now,
            )
        for link in links:
            for pool in self._peers[link]:
                if self._evacuation.is_evacuated(pool.pool):
                    continue
                free = peer_tasks.reserve_capacity(pool, order, time_left)
                if free is None:
                    continue
                record.mark_offered(task, order.run, link)
                return [
                    effects.Log(
                        "task.offered",
                        {
                            "job": order.ref.job_id,
                            "task": order.ref.name,
                            "run": order.run,
                            "link": link,
                            "free": free.room.processors,
                            "slowness": free.slowness,
                        },
                    ),
                    effects.Send(
                        link, peer_tasks.offer_message(order, time_left)
                    ),
                ]
        return []

    def process_ended_runs(self, now: datetime.datetime) -> effects.Effects:
        """Process the runs that have ended since the last call."""
        ended, self._run_tracker.ended = self._run_tracker.ended, []
        done, self._run_tracker.pending_logs = (
            self._run_tracker.pending_logs,
            [],
        )
        for each in ended:
            key = each.order.key
            if each.order.requester_link is not None:
                link = self._peer_runs.pop(key, None)
                if link is not None:
                    done += [
                        _peer_run_log(each, link),
                        effects.Send(link, peer_tasks.ended_message(each)),
                    ]
                continue
            self._learn_run_time(each)
            done += self._record_task_end(
                each.order.ref,
                each.order.run,
                each.end,
                each.backend_id,
                each.reason,
                now,
            )
        if ended:
            done += self.dispatch(now)
        return done

    def _record_task_end(
        self,
        ref: model.TaskRef,
        run: int,
        end: model.TaskEnd,
        where: str,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        record = self._jobs.get(ref.job_id)
        if record is None:
            return []
        task = record.tasks.get((ref.step, ref.index))
        if task is None or task.run != run:
            return []
        if task.state not in (TaskState.PLACED, TaskState.OFFERED):
            return []
        done: effects.Effects = [
            effects.Log(
                "task.ended",
                {
                    "job": ref.job_id,
                    "task": ref.name,
                    "run": run,
                    "end": end.value,
                    "where": where,
                    "reason": reason,
                },
            )
        ]
        ends = model.TaskEnd
        match end:
            case ends.DONE:
                record.mark_done(task)
                if record.is_done:
                    done += self._end_job(
                        record, model.JobOutcome.DONE, "done", now
                    )
            case ends.FAILED:
                task.failures += 1
                record.requeue(task)
                if task.failures >= record.job.attempts:
                    done += self._end_job(
                        record, model.JobOutcome.FAILED, "attempts", now
                    )
            case ends.LOST:
                done += self._end_job(
                    record, model.JobOutcome.LOST, "scheduler changed", now
                )
            case _:
                # An order that was settled may yet be carried out late by a
                # server that restarts, so its job does not count as unstarted.
                record.requeue(
                    task,
                    is_unstarted=end is ends.NOT_RUN
                    and reason != dispatch_run_tracker.NEVER_STARTED,
                )
                if reason in REFUSALS:
                    delay = REFUSAL_RETRY * 2 ** min(task.refusals, 8)
                    task.refusals += 1
                    task.retry_at = now + min(delay, REFUSAL_RETRY_MAX)
        return done

    # Tasks offered to and by peers.

    def handle_offer(
        self,
        message: messages.OfferTask,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Start a peer's task at once, or decline it."""
        order = peer_tasks.order_from_offer(message, link)
        has_ready_tasks = self._has_ready_tasks()
        backend = None
        if (
            not has_ready_tasks
            and self._run_tracker.starts_left > 0
            and self._evacuation.is_known(now)
            and not self._has_unfinished_run(order.ref.name, now)
        ):
            due = now + message.due_in_ms * model.MILLISECOND
            backend = self._choose_for_offer(order, due, now)
        if backend is None:
            refused = dispatch_run_tracker.EndedTask(
                order, model.TaskEnd.NOT_RUN, "", model.ZERO, "declined"
            )
            return [effects.Send(link, peer_tasks.ended_message(refused))]
        self._peer_runs[order.key] = link
        return [
            effects.Log(
                "task.placed",
                {
                    "job": order.ref.job_id,
                    "task": order.ref.name,
                    "run": order.run,
                    "backend": backend.incarnation.backend_id,
                    "slowness": round(backend.slowness(now), 2),
                    "link": link,
                },
            ),
            *self._run_tracker.start(order, backend, now),
        ]

    def _choose_for_offer(
        self,
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        """Return the server to start a peer's task on, None to decline it."""
        suspicion = self._crash_history.suspicion(order.ref.name)
        if suspicion in (Suspicion.HELD, Suspicion.GIVEN_UP):
            return None
        return self._choose_by_suspicion(order, suspicion, due, now)

    def stop_peer_task(
        self, message: messages.StopTask, link: int, now: datetime.datetime
    ) -> effects.Effects:
        """Stop a task that was offered over a link.

        A run of this host's own job may have the same key.
        """
        ref = model.TaskRef(message.job_id, message.step, message.index)
        key = model.RunKey(ref.name, message.run)
        if self._peer_runs.get(key) != link:
            return []
        return self._run_tracker.stop(key, now)

    def handle_peer_task_end(
        self,
        message: messages.TaskEnded,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Record the end of a task at a peer, or that it was declined."""
        ref = model.TaskRef(message.job_id, message.step, message.index)
        end = message.end
        self._stopping_at_peers.pop(ref.name, None)
        record = self._jobs.get(ref.job_id)
        if record is not None and end is model.TaskEnd.NOT_RUN:
            task = record.tasks.get((ref.step, ref.index))
            if task is not None and task.run == message.run:
                task.refused_by.add(link)
        done = self._record_task_end(
            ref, message.run, end, f"link {link}", "peer", now
        )
        return done + self.dispatch(now)

    # Time.

    def tick(self, now: datetime.datetime) -> effects.Effects:
        """End jobs that cannot be completed in time; stop stuck runs."""
        done: effects.Effects = []
        if self.is_evacuated:
            done += self.reject_unstarted_jobs(now, REASON_EVACUATED)
        for record in list(self._jobs.values()):
            done += failures.confine(
                record.job.job_id, self._tick_job, record, now
            )
        return done + failures.confine("dispatch", self.dispatch, now)

    def _tick_job(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> effects.Effects:
        """End a job that cannot be completed in time; stop its stuck runs."""
        if now >= record.job.expires:
            outcome = model.JobOutcome.LOST
            if not record.has_started:
                outcome = model.JobOutcome.NOT_RUN
            return self._end_job(record, outcome, "expired", now)
        if not record.has_started and self._should_reject_unstarted(
            record, now
        ):
            return self._end_job(
                record, model.JobOutcome.NOT_RUN, "too late", now
            )
        if self._cannot_finish_in_time(record, now):
            return self._end_job(
                record, model.JobOutcome.LOST, "too late", now
            )
        done = self._stop_stuck_runs(record, now)
        done += self._restart_tasks_of_lost_peers(record, now)
        for task in record.tasks.values():
            task.refused_by.clear()
        return done

    def _should_reject_unstarted(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> bool:
        """Return whether a job without a started task is to be refused.

        It is refused when its answer would come too late to have value. A job
        that is expected to be late is already refused after
        MAX_LATE_WAIT_SHARE of its caller's waiting time, so that the caller
        still has time to retry.
        """
        if now + record.remaining_critical_path() > record.useful_until:
            return True
        max_late_wait = MAX_LATE_WAIT_SHARE * (
            record.job.expires - record.arrived_at
        )
        is_late = record.slack(now) < model.ZERO
        return is_late and now - record.arrived_at > max_late_wait

    def _cannot_finish_in_time(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> bool:
        """Return whether a task cannot end before the job expires.

        It is one that is ready, or would start again if the end of its run on
        a silent server were known.

        The task is assumed to run on the fastest usable server, or at
        ordinary speed if that is faster. A started job with such a task is
        answered at once, and its capacity is freed for other jobs.
        """
        waiting = [
            *record.due_tasks(),
            *(
                task
                for task in record.tasks.values()
                if task.state is TaskState.PLACED
                and self._run_tracker.has_lapsed(
                    model.RunKey(task.ref.name, task.run)
                )
            ),
        ]
        if not waiting:
            return False
        fastest = min(
            (each.slowness(now) for each in self._run_tracker.usable(now)),
            default=1.0,
        )
        longest = max(record.estimates[task.ref.step] for task in waiting)
        return now + longest * min(fastest, 1.0) > record.job.expires

    def _observed_run(
        self,
        record: job_record.JobRecord,
        task: job_record.TaskRecord,
        run: backends.Run | None,
        elapsed: datetime.timedelta,
        observed_now: datetime.datetime,
    ) -> stuck_runs.ObservedRun:
        """Return what is known of a run, for the policy of stuck runs."""
        queue = record.job.queue
        estimate = record.estimates[task.ref.step]
        if run is None or not self._settings.run_progress:
            return stuck_runs.ObservedRun(queue, estimate, elapsed)
        return stuck_runs.ObservedRun(
            queue,
            estimate,
            elapsed,
            later_in_time=run.later_in_time,
            later_late=run.later_late,
            remaining=run.remaining_by_progress(observed_now),
            stalled=run.stalled,
            queue_rises=self._run_tracker.progress_rises[queue],
            is_restart=bool(task.stuck_on),
        )

    def _stop_stuck_runs(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> effects.Effects:
        """Stop runs that take far too long; their tasks then start again."""
        done: effects.Effects = []
        observed_now = self._observed.at(now)
        for task in record.tasks.values():
            if task.state is not TaskState.PLACED or task.started_at is None:
                continue
            elapsed = observed_now - task.started_at
            if elapsed <= stuck_runs.MIN_STUCK_TIME:
                continue
            key = model.RunKey(task.ref.name, task.run)
            run = self._run_tracker.find_run(key)
            limit = self._stuck_policy.limit(
                self._observed_run(record, task, run, elapsed, observed_now)
            )
            if elapsed > limit:
                if self._settings.fast_settlement and (
                    run is None or run.accepted_at is None
                ):
                    # Its start is settled by the run tracker.
                    continue
                stopped = self._run_tracker.stop(key, now)
                if stopped:
                    self._stuck_policy.learn_stuck(
                        record.job.queue, is_restart=bool(task.stuck_on)
                    )
                    if task.backend_id is not None:
                        task.stuck_on.add(task.backend_id)
                    done.append(
                        effects.Log(
                            "task.stuck",
                            {
                                "job": task.ref.job_id,
                                "task": task.ref.name,
                                "run": task.run,
                                "backend": task.backend_id,
                                "limit_ms": model.milliseconds(limit),
                            },
                        )
                    )
                done += stopped
        return done


def _reservation_log(
    reservation: lookahead.Reservation, now: datetime.datetime
) -> effects.Log:
    """Return the log line of a server that is reserved for a job's task."""
    return effects.Log(
        "task.reserved",
        {
            "job": reservation.job_id,
            "backend": reservation.backend.incarnation.backend_id,
            "request": reservation.request,
            "free": reservation.backend.free.processors,
            "start_in_ms": model.milliseconds(reservation.start_at - now),
        },
    )


def _peer_run_log(
    ended: dispatch_run_tracker.EndedTask, link: int
) -> effects.Log:
    """Return the log line of the end of a run that a peer requested."""
    order = ended.order
    return effects.Log(
        "task.ended",
        {
            "job": order.ref.job_id,
            "task": order.ref.name,
            "run": order.run,
            "end": ended.end.value,
            "where": ended.backend_id,
            "reason": ended.reason,
            "link": link,
        },
    )
