"""The state of a job at the dispatch host that schedules it."""

import copy
import dataclasses
import datetime
import enum
import math

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import model

# The time that a task takes in addition to its run time: two calls to the
# backend server and a poll.
TASK_OVERHEAD = datetime.timedelta(milliseconds=8)
# An answer that takes longer than this many times the job's target response
# time has no value for its caller, according to the users' statement of the
# value of answers.
MAX_USEFUL_RESPONSE_FACTOR = 3


class TaskState(enum.Enum):
    """The progress of a task.

    PLACED means that a run was ordered at a backend server of this host's
    pools, OFFERED that a peer was asked to run the task and has not reported
    its end.
    """

    WAITING = "waiting"
    PLACED = "placed"
    OFFERED = "offered"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """A task of a job.

    ``run`` is the number of its latest run, 0 before the first. ``link`` is
    the link over which it was last offered to another host; ``refused_by``
    are the links over which offers were declined since the last tick.
    ``stuck_on`` are the ids of the servers on which a run of it was stuck.
    ``started_at`` is when its latest run was placed, in observed time.
    ``over_at`` is set if the host to which it is offered was lost: by then
    its run has certainly ended. ``lost_runs`` counts such runs. A task that
    ``is_held`` is not started, as it may crash another server. ``refusals``
    counts the starts that servers refused, and it is not started again before
    ``retry_at``. ``may_have_run`` is set once a run of it may have started.
    """

    ref: model.TaskRef
    state: TaskState = TaskState.WAITING
    run: int = 0
    failures: int = 0
    backend_id: str | None = None
    link: int | None = None
    started_at: datetime.datetime | None = None
    refused_by: set[int] = dataclasses.field(default_factory=set)
    stuck_on: set[str] = dataclasses.field(default_factory=set)
    over_at: datetime.datetime | None = None
    lost_runs: int = 0
    is_held: bool = False
    refusals: int = 0
    retry_at: datetime.datetime | None = None
    may_have_run: bool = False


class JobRecord:
    """A job and its tasks.

    ``link`` is the link over which the job was submitted, None for a caller of
    this host, and ``request`` the number of the request there. ``estimates``
    holds the expected run time of the tasks of each step; the default is the
    declared run time. An answer has value for the caller until
    ``useful_until``; the caller waits until the job expires. ``has_started``
    is whether a run of it may have started, or may still start.
    """

    def __init__(
        self,
        job: model.Job,
        link: int | None,
        now: datetime.datetime,
        estimates: list[datetime.timedelta] | None = None,
        request: int = 0,
    ) -> None:
        self.job = job
        self.request = request
        self.estimates = estimates or [step.estimate for step in job.steps]
        self.link = link
        self.arrived_at = now
        self.has_started = False
        self.useful_until = min(
            job.expires, now + MAX_USEFUL_RESPONSE_FACTOR * (job.due - now)
        )
        self.tasks = {
            (step, index): TaskRecord(model.TaskRef(job.job_id, step, index))
            for step, each in enumerate(job.steps)
            for index in range(each.count)
        }
        self._unfinished = [step.count for step in job.steps]
        # Caches, reset when a task changes its state or an estimate changes.
        self._ready_tasks: list[TaskRecord] | None = None
        self._remaining_critical_path: datetime.timedelta | None = None

    def copy_for_trial(self) -> "JobRecord":
        """Return a copy whose waiting tasks can be started.

        The other tasks are shared with this record.
        """
        trial = copy.copy(self)
        trial.tasks = {
            key: copy.copy(task) if task.state is TaskState.WAITING else task
            for key, task in self.tasks.items()
        }
        trial._ready_tasks = None
        return trial

    def limit_expiry(self, expires: datetime.datetime) -> None:
        """Let the job expire at a time, unless it expires earlier."""
        if expires < self.job.expires:
            self.job = dataclasses.replace(self.job, expires=expires)
            self.useful_until = min(self.useful_until, expires)

    @property
    def is_done(self) -> bool:
        """Whether every task has completed."""
        return not any(self._unfinished)

    def ready_tasks(self) -> list[TaskRecord]:
        """Return the tasks that may start now.

        The list must not be modified.
        """
        if self._ready_tasks is None:
            self._ready_tasks = [
                task for task in self.due_tasks() if not task.is_held
            ]
        return self._ready_tasks

    def hold(self, task: TaskRecord, is_held: bool) -> None:
        """Set whether a task is held back, so that it is not ready."""
        if task.is_held is not is_held:
            task.is_held = is_held
            self._ready_tasks = None

    def find_task(self, name: str) -> TaskRecord | None:
        """Return the task with a name, None if there is none."""
        return next(
            (each for each in self.tasks.values() if each.ref.name == name),
            None,
        )

    def due_tasks(self) -> list[TaskRecord]:
        """Return the waiting tasks whose preceding steps are complete."""
        steps = self.job.steps
        is_startable = [
            not any(self._unfinished[earlier] for earlier in step.after)
            for step in steps
        ]
        return [
            task
            for (step, _), task in self.tasks.items()
            if task.state is TaskState.WAITING and is_startable[step]
        ]

    def offer_links(self) -> set[int]:
        """Return the links over which tasks are currently offered."""
        return {
            task.link
            for task in self.tasks.values()
            if task.state is TaskState.OFFERED and task.link is not None
        }

    def mark_placed(
        self,
        task: TaskRecord,
        run: int,
        backend_id: str,
        now: datetime.datetime,
    ) -> None:
        """Record that a run of a task was ordered at a backend server."""
        task.run = run
        task.state = TaskState.PLACED
        task.backend_id = backend_id
        task.started_at = now
        self.has_started = True
        self._ready_tasks = None

    def mark_offered(self, task: TaskRecord, run: int, link: int) -> None:
        """Record that a run of a task was offered over a link."""
        task.run = run
        task.state = TaskState.OFFERED
        task.link = link
        self.has_started = True
        self._ready_tasks = None

    def requeue(self, task: TaskRecord, *, is_unstarted: bool = False) -> None:
        """Set a task to waiting, so that it is run again.

        ``is_unstarted`` is whether its order or offer certainly had no effect.
        The job is unstarted again if that holds for all of its tasks.
        """
        task.state = TaskState.WAITING
        task.over_at = None
        self._ready_tasks = None
        if not is_unstarted:
            task.may_have_run = True
            return
        self.has_started = any(
            each.may_have_run or each.state is not TaskState.WAITING
            for each in self.tasks.values()
        )

    def tasks_offered_over(self, link: int) -> list[TaskRecord]:
        """Return the tasks that are currently offered over a link."""
        return [
            task
            for task in self.tasks.values()
            if task.state is TaskState.OFFERED and task.link == link
        ]

    def tasks_over_at_lost_peers(
        self, now: datetime.datetime
    ) -> list[TaskRecord]:
        """Return the tasks whose runs at lost hosts have certainly ended."""
        return [
            task
            for task in self.tasks.values()
            if task.over_at is not None and now >= task.over_at
        ]

    def mark_done(self, task: TaskRecord) -> None:
        """Record that a task has completed."""
        if task.state is not TaskState.DONE:
            task.state = TaskState.DONE
            self._unfinished[task.ref.step] -= 1
            self._ready_tasks = self._remaining_critical_path = None

    def update_estimate(self, step: int, observed: datetime.timedelta) -> None:
        """Set the expected run time of a step to an observed one."""
        self.estimates[step] = observed
        self._remaining_critical_path = None

    def remaining_critical_path(self) -> datetime.timedelta:
        """Return the estimated duration of the longest chain of steps.

        Steps whose tasks are all complete count as zero; running tasks count
        in full.
        """
        if self._remaining_critical_path is None:
            self._remaining_critical_path = self._compute_critical_path()
        return self._remaining_critical_path

    def queued_work(self) -> float:
        """Return the estimated work of waiting tasks in core-microseconds."""
        return math.fsum(
            self.job.steps[task.ref.step].room.processors
            * (self.estimates[task.ref.step] / model.MILLISECOND)
            for task in self.tasks.values()
            if task.state is TaskState.WAITING
        )

    def _compute_critical_path(self) -> datetime.timedelta:
        ends: list[datetime.timedelta] = []
        for number, step in enumerate(self.job.steps):
            start = max(
                (ends[earlier] for earlier in step.after),
                default=model.ZERO,
            )
            if self._unfinished[number]:
                ends.append(start + self.estimates[number] + TASK_OVERHEAD)
            else:
                ends.append(start)
        return max(ends, default=model.ZERO)

    def slack(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long the job may wait and still be on time.

        It is negative if the job is expected to be late.
        """
        return self.job.due - now - self.remaining_critical_path()

    def task_order(self, task: TaskRecord, run: int) -> backends.TaskOrder:
        """Return the order to run a task as run number ``run``."""
        step = self.job.steps[task.ref.step]
        return backends.TaskOrder(
            ref=task.ref,
            run=run,
            queue=self.job.queue,
            service=self.job.service,
            spec=self.job.spec,
            resources=step.room,
            estimate=self.estimates[task.ref.step],
            label=step.label,
            max_per_backend=step.max_per_backend,
            requester_link=None,
        )
