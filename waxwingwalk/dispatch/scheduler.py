"""Jobs at the host that schedules a pool: waiting, placed, answered."""

import dataclasses
import datetime

from waxwingwalk.core import clock
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import run_times
from waxwingwalk.dispatch import run_tracker as dispatch_run_tracker

# A run that takes this many times its expected time is started elsewhere.
STUCK_FACTOR = 4.0
# A run is never taken for stuck before this time.
STUCK_MIN = datetime.timedelta(milliseconds=250)
# The shortest and the longest time after which a refused caller may return.
RETRY_AFTER_MIN = datetime.timedelta(milliseconds=200)
RETRY_AFTER_MAX = datetime.timedelta(seconds=5)
# Free rooms that a status names; peers offer no more tasks than that at once.
FREE_ROOMS_MAX = 12
# A job that is late before its first task is refused when this share of the
# time that its caller waits has passed: less than half of it is lost then.
MAX_LATE_WAIT_SHARE = 0.4
# Jobs that may wait here for their first task.
WAITING_JOBS_MAX = 2000

# The queue's length is an estimate that many ask for; it is measured again
# after this time, which is short against the shortest tasks.
BACKLOG_INTERVAL = datetime.timedelta(milliseconds=5)
# With more waiting jobs than this, what may start is looked for no more often
# than every interval: the work of one look grows with the queue, and each end
# of a run asks for one. Both are short against the wait in such a queue.
LONG_QUEUE = 32
DISPATCH_INTERVAL = datetime.timedelta(milliseconds=4)

# The answer to a job that another scheduler should be asked to take.
REASON_LEAVING = "leaving"

TaskState = job_record.TaskState


@dataclasses.dataclass(slots=True)
class PeerPool:
    """What another host's pools could start, as it said last."""

    link: int
    service: str
    free: list[messages.FreeRoom]


class Scheduler:
    """Schedules the jobs that were given to this host.

    Tasks run on backend servers that this host orders, and on those of other
    hosts where these have room to spare.
    """

    def __init__(
        self,
        run_tracker: dispatch_run_tracker.RunTracker,
        job_order: ordering.JobOrder,
        placement: dispatch_placement.Placement,
    ) -> None:
        self._run_tracker = run_tracker
        self._job_order = job_order
        self._placement = placement
        self._jobs: dict[str, job_record.JobRecord] = {}
        self._offered: dict[model.RunKey, int] = {}
        # Tasks of jobs that are over here and may still run at a peer.
        self._stopping_at_peers: dict[str, int] = {}
        self._peers: dict[int, list[PeerPool]] = {}
        self._run_times = run_times.RunTimes()
        # The work that waits, in core-milliseconds, and the speed at which it
        # is done, in thousandths of a core.
        self._waiting_work = 0.0
        self._capacity = 0.0
        self._backlog_until = clock.DISTANT_PAST
        self._dispatched_at = clock.DISTANT_PAST
        self._is_queue_long = False

    @property
    def jobs(self) -> dict[str, job_record.JobRecord]:
        """Jobs that have no answer yet, to be read only."""
        return self._jobs

    def links_in_use(self) -> set[int]:
        """Return the links over which jobs or tasks are under way."""
        links = set(self._stopping_at_peers.values()) | set(
            self._offered.values()
        )
        for record in self._jobs.values():
            if record.link is not None:
                links.add(record.link)
            links |= record.offered_over()
        return links

    # Jobs.

    def submit(
        self, job: model.Job, link: int | None, now: datetime.datetime
    ) -> effects.Effects:
        """Take a job in, or refuse it at once if it cannot be served."""
        record = self._record(job, link, now)
        if job.job_id in self._jobs:
            # The same job is under way for another request.
            return self._answer(record, model.JobOutcome.LOST, "twice", now)
        reason = self._reason_to_refuse(record, now)
        if reason is not None:
            return self._answer(record, model.JobOutcome.NOT_RUN, reason, now)
        self._jobs[job.job_id] = record
        log = effects.Log(
            "job.queued",
            {
                "job": job.job_id,
                "queue": job.queue,
                "tasks": len(record.tasks),
                "work_ms": model.milliseconds(record.work_left()),
                "due_in_ms": model.milliseconds(job.due - now),
                "backlog_ms": model.milliseconds(self.backlog(now)),
            },
        )
        started = self.dispatch(now)
        self._waiting_work += record.waiting_work()
        return [log, *started]

    def _record(
        self, job: model.Job, link: int | None, now: datetime.datetime
    ) -> job_record.JobRecord:
        """Return a job's record, with expected times for declared ones."""
        estimates = [
            self._run_times.expected(job.queue, step.estimate)
            for step in job.steps
        ]
        declared = model.critical_path_time(
            job.steps, [step.estimate for step in job.steps]
        )
        expected = model.critical_path_time(job.steps, estimates)
        due = job.due + job.stretch * (expected - declared)
        return job_record.JobRecord(
            dataclasses.replace(job, due=due), link, now, estimates
        )

    def _learn(self, ended: dispatch_run_tracker.EndedTask) -> None:
        """Learn how long a task took, as an ordinary server would take."""
        order = ended.order
        record = self._jobs.get(order.ref.job_id)
        if (
            record is None
            or ended.end is not dispatch_run_tracker.TaskEnd.DONE
        ):
            return
        step = order.ref.step
        observed = ended.elapsed / ended.slowness
        declared = record.job.steps[step].estimate
        self._run_times.learn(record.job.queue, declared, observed)
        # Tasks of a step are alike: the first to end tells of the others.
        record.learn(step, observed)

    def _reason_to_refuse(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> str | None:
        orders = [
            record.order(task, 1)
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
        if len(self._jobs) >= WAITING_JOBS_MAX:
            return "queue full"
        if now + record.work_left() > record.useful_until:
            return "too late"
        ready_at = now + self.backlog(now) + record.work_left()
        if ready_at > record.useful_until:
            return "backlog"
        return None

    def abandon(
        self, job_id: str, link: int | None, now: datetime.datetime
    ) -> effects.Effects:
        """Stop a job whose answer nobody waits for."""
        record = self._jobs.get(job_id)
        if record is None or record.link != link:
            return []
        del self._jobs[job_id]
        return [
            effects.Log("job.abandoned", {"job": job_id}),
            *self._stop_tasks(record, now),
            *self.dispatch(now),
        ]

    def reject_unstarted_jobs(self, now: datetime.datetime) -> effects.Effects:
        """Send away the jobs that nothing has started of."""
        done: effects.Effects = []
        for record in list(self._jobs.values()):
            if not record.has_started:
                done += self._finish(
                    record, model.JobOutcome.NOT_RUN, REASON_LEAVING, now
                )
        return done

    def close_link(self, link: int, now: datetime.datetime) -> effects.Effects:
        """End all that depends on a link which is gone."""
        self._peers.pop(link, None)
        done: effects.Effects = []
        for record in list(self._jobs.values()):
            if record.link == link:
                done += self.abandon(record.job.job_id, link, now)
                continue
            if any(
                task.state is TaskState.OFFERED and task.link == link
                for task in record.tasks.values()
            ):
                done += self._finish(
                    record, model.JobOutcome.LOST, "peer lost", now
                )
        # The peer stops its runs too, before a caller returns with the job.
        self._stopping_at_peers = {
            task: peer
            for task, peer in self._stopping_at_peers.items()
            if peer != link
        }
        for key, owner in list(self._offered.items()):
            if owner == link:
                del self._offered[key]
                done += self._run_tracker.stop(key, now)
        return done + self.dispatch(now)

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

    def _finish(
        self,
        record: job_record.JobRecord,
        outcome: model.JobOutcome,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        del self._jobs[record.job.job_id]
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
                ),
            )
        return [log, answer]

    # Load.

    def backlog(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long the waiting work keeps the pool busy."""
        if now >= self._backlog_until:
            self._backlog_until = now + BACKLOG_INTERVAL
            self._measure_backlog(now)
        if not self._capacity:
            return model.ZERO
        return self._waiting_work / self._capacity * model.MILLISECOND

    def _measure_backlog(self, now: datetime.datetime) -> None:
        self._capacity = sum(
            backend.report.capacity.processors / backend.slowness(now)
            for backend in self._run_tracker.usable(now)
        )
        self._waiting_work = sum(
            record.waiting_work()
            for record in self._jobs.values()
            if record.waiting()
        )

    def retry_after(self, now: datetime.datetime) -> datetime.timedelta:
        """Return when a refused caller may expect to be served."""
        return min(max(self.backlog(now), RETRY_AFTER_MIN), RETRY_AFTER_MAX)

    def free_rooms(
        self, pool: str, service: str, now: datetime.datetime
    ) -> list[messages.FreeRoom]:
        """Return free rooms that other hosts may use, the fastest first."""
        if self._is_short_of_room():
            return []
        rooms = [
            messages.FreeRoom(backend.free, round(backend.slowness(now), 2))
            for backend in self._run_tracker.usable(now)
            if backend.report.service == service
            and backend.report.zone == pool
            and backend.free.processors > 0
        ]
        rooms.sort(key=lambda each: each.slowness)
        return rooms[:FREE_ROOMS_MAX]

    def peer_status(self, link: int, loads: list[messages.PoolLoad]) -> None:
        """Note what a peer's pools could start."""
        self._peers[link] = [
            PeerPool(link, load.service, list(load.free)) for load in loads
        ]

    # Tasks.

    def dispatch(self, now: datetime.datetime) -> effects.Effects:
        """Start what can start, in the order of urgency."""
        if (
            self._is_queue_long
            and now - self._dispatched_at < DISPATCH_INTERVAL
        ):
            return []
        waiting = [
            (self._job_order.key(record, now), number, record)
            for number, record in enumerate(self._jobs.values())
            if record.waiting()
        ]
        self._is_queue_long = len(waiting) > LONG_QUEUE
        self._dispatched_at = now
        if not waiting:
            return []
        waiting.sort()
        done: effects.Effects = []
        free_share = self._free_share(now)
        for _, _, record in waiting:
            if self._job_order.is_deferred(record, free_share, now):
                continue
            started = self._start_job(record, now)
            if started:
                done += started
                free_share = self._free_share(now)
        return done

    def _start_job(
        self,
        record: job_record.JobRecord,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Start as many of a job's tasks as there is room for."""
        done: effects.Effects = []
        for task in list(record.waiting()):
            if self._is_running(task.ref.name):
                continue
            started = self._start(record, task, now)
            if not started:
                break
            done += started
        return done

    def _is_short_of_room(self) -> bool:
        """Tell whether tasks of jobs that were given to this host wait."""
        return any(record.waiting() for record in self._jobs.values())

    def _is_running(self, task: str) -> bool:
        """Tell whether a run from a former request for the job is ending."""
        return (
            self._run_tracker.has_active_run(task)
            or task in self._stopping_at_peers
        )

    def _free_share(self, now: datetime.datetime) -> float:
        """Return the share of the usable processors that is free."""
        free = total = 0
        for backend in self._run_tracker.usable(now):
            free += backend.free.processors
            total += backend.report.capacity.processors
        return free / total if total else 0.0

    def _start(
        self,
        record: job_record.JobRecord,
        task: job_record.TaskRecord,
        now: datetime.datetime,
    ) -> effects.Effects:
        order = record.order(task, task.run + 1)
        backend = self._choose(order, record.job.due, now)
        if backend is None:
            return self._offer(record, task, order, now)
        record.place(task, order.run, backend.incarnation.backend_id, now)
        return [
            self._log_start(record, order, backend, now),
            *self._run_tracker.start(order, backend, now),
        ]

    def _choose(
        self,
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        """Return the server that a task goes to, None if it waits."""
        if order.resources.processors > self._run_tracker.max_free_processors(
            now
        ):
            return None
        usable = [
            each
            for each in self._run_tracker.usable(now)
            if each.can_fit_when_idle(order)
        ]
        candidates = [each for each in usable if each.can_fit_now(order)]
        return self._placement.choose(candidates, usable, order, due, now)

    def _log_start(
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

    def _offer(
        self,
        record: job_record.JobRecord,
        task: job_record.TaskRecord,
        order: backends.TaskOrder,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Offer a task to a host that said it has room, if there is one."""
        left = record.job.due - now
        for link, pools in self._peers.items():
            if link in task.refused_by:
                continue
            for pool in pools:
                free = _take_room(pool, order, left)
                if free is None:
                    continue
                record.offer(task, order.run, link)
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
                    effects.Send(link, _offer_message(order, left)),
                ]
        return []

    def process_ended_runs(self, now: datetime.datetime) -> effects.Effects:
        """Act on the runs that ended since the last call."""
        ended, self._run_tracker.ended = self._run_tracker.ended, []
        done, self._run_tracker.pending_logs = (
            self._run_tracker.pending_logs,
            [],
        )
        for each in ended:
            key = each.order.key
            if each.order.requester_link is not None:
                link = self._offered.pop(key, None)
                if link is not None:
                    done.append(effects.Send(link, _ended_message(each)))
                continue
            self._learn(each)
            done += self._task_ended(
                each.order.ref, each.order.run, each.end, each.backend_id, now
            )
        if ended:
            done += self.dispatch(now)
        return done

    def _task_ended(
        self,
        ref: model.TaskRef,
        run: int,
        end: dispatch_run_tracker.TaskEnd,
        where: str,
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
                },
            )
        ]
        ends = dispatch_run_tracker.TaskEnd
        match end:
            case ends.DONE:
                record.finish(task)
                if record.is_done:
                    done += self._finish(
                        record, model.JobOutcome.DONE, "done", now
                    )
            case ends.FAILED:
                task.failures += 1
                record.requeue(task)
                if task.failures >= record.job.attempts:
                    done += self._finish(
                        record, model.JobOutcome.FAILED, "attempts", now
                    )
            case ends.LOST:
                done += self._finish(
                    record, model.JobOutcome.LOST, "scheduler changed", now
                )
            case _:
                record.requeue(task)
        return done

    # Tasks of other hosts.

    def offered(
        self,
        message: messages.OfferTask,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Run a peer's task if that can start at once."""
        order = _order_of(message, link)
        is_busy = self._is_short_of_room()
        backend = None
        if not is_busy and not self._is_running(order.ref.name):
            due = now + message.due_in_ms * model.MILLISECOND
            backend = self._choose(order, due, now)
        if backend is None:
            refused = dispatch_run_tracker.EndedTask(
                order, dispatch_run_tracker.TaskEnd.NOT_RUN, "", model.ZERO
            )
            return [effects.Send(link, _ended_message(refused))]
        self._offered[order.key] = link
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

    def stop_offered(
        self, message: messages.StopTask, now: datetime.datetime
    ) -> effects.Effects:
        """Stop a peer's task."""
        ref = model.TaskRef(message.job_id, message.step, message.index)
        return self._run_tracker.stop(model.RunKey(ref.name, message.run), now)

    def peer_task_ended(
        self,
        message: messages.TaskEnded,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Take in the end of a task that a peer ran."""
        ref = model.TaskRef(message.job_id, message.step, message.index)
        end = dispatch_run_tracker.TaskEnd(message.end)
        self._stopping_at_peers.pop(ref.name, None)
        record = self._jobs.get(ref.job_id)
        if record is not None and end is dispatch_run_tracker.TaskEnd.NOT_RUN:
            task = record.tasks.get((ref.step, ref.index))
            if task is not None and task.run == message.run:
                task.refused_by.add(link)
        done = self._task_ended(ref, message.run, end, f"link {link}", now)
        return done + self.dispatch(now)

    # Time.

    def tick(self, now: datetime.datetime) -> effects.Effects:
        """Answer what cannot be served any more; move stuck tasks."""
        done: effects.Effects = []
        for record in list(self._jobs.values()):
            if now >= record.job.expires:
                outcome = model.JobOutcome.LOST
                if not record.has_started:
                    outcome = model.JobOutcome.NOT_RUN
                done += self._finish(record, outcome, "expired", now)
            elif not record.has_started and self._is_hopeless(record, now):
                done += self._finish(
                    record, model.JobOutcome.NOT_RUN, "too late", now
                )
            elif self._cannot_end(record, now):
                done += self._finish(
                    record, model.JobOutcome.LOST, "too late", now
                )
            else:
                done += self._stop_stuck(record, now)
                for task in record.tasks.values():
                    task.refused_by.clear()
        return done + self.dispatch(now)

    def _is_hopeless(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> bool:
        """Tell whether a job that nothing has started of is given up.

        Its caller then hears so while it still has time to come back.
        """
        if now + record.work_left() > record.useful_until:
            return True
        max_late_wait = MAX_LATE_WAIT_SHARE * (
            record.job.expires - record.arrived_at
        )
        is_late = record.slack(now) < model.ZERO
        return is_late and now - record.arrived_at > max_late_wait

    def _cannot_end(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> bool:
        """Tell whether a started job has a task that comes too late.

        Its caller hears so at once, and the room goes to other jobs.
        """
        waiting = record.waiting()
        if not waiting:
            return False
        fastest = min(
            (each.slowness(now) for each in self._run_tracker.usable(now)),
            default=1.0,
        )
        longest = max(record.estimates[task.ref.step] for task in waiting)
        return now + longest * min(fastest, 1.0) > record.job.expires

    def _stop_stuck(
        self, record: job_record.JobRecord, now: datetime.datetime
    ) -> effects.Effects:
        """Stop runs that take far too long, so that they start elsewhere."""
        done: effects.Effects = []
        for task in record.tasks.values():
            if task.state is not TaskState.PLACED or task.started_at is None:
                continue
            estimate = record.estimates[task.ref.step]
            limit = max(STUCK_MIN, STUCK_FACTOR * estimate)
            if now - task.started_at > limit:
                key = model.RunKey(task.ref.name, task.run)
                stopped = self._run_tracker.stop(key, now)
                if stopped:
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


def _take_room(
    pool: PeerPool, order: backends.TaskOrder, left: datetime.timedelta
) -> messages.FreeRoom | None:
    """Take a task's room from what a peer said is free, if it fits.

    A task that can be on time goes only where it will be.
    """
    if pool.service != order.service or order.label is not None:
        return None
    is_late = order.estimate > left
    for number, free in enumerate(pool.free):
        is_in_time = order.estimate * free.slowness <= left
        if free.room.holds(order.resources) and (is_in_time or is_late):
            rest = free.room - order.resources
            pool.free[number] = messages.FreeRoom(rest, free.slowness)
            return free
    return None


def _offer_message(
    order: backends.TaskOrder, left: datetime.timedelta
) -> messages.OfferTask:
    return messages.OfferTask(
        job_id=order.ref.job_id,
        step=order.ref.step,
        index=order.ref.index,
        run=order.run,
        queue=order.queue,
        service=order.service,
        spec=order.spec,
        room=order.resources,
        estimate_ms=model.milliseconds(order.estimate),
        due_in_ms=model.milliseconds(left),
        label=order.label,
        max_per_backend=order.max_per_backend,
    )


def _order_of(message: messages.OfferTask, link: int) -> backends.TaskOrder:
    return backends.TaskOrder(
        ref=model.TaskRef(message.job_id, message.step, message.index),
        run=message.run,
        queue=message.queue,
        service=message.service,
        spec=message.spec,
        resources=message.room,
        estimate=message.estimate_ms * model.MILLISECOND,
        label=message.label,
        max_per_backend=message.max_per_backend,
        requester_link=link,
    )


def _ended_message(
    ended: dispatch_run_tracker.EndedTask,
) -> messages.TaskEnded:
    ref = ended.order.ref
    return messages.TaskEnded(
        ref.job_id, ref.step, ref.index, ended.order.run, ended.end.value
    )
