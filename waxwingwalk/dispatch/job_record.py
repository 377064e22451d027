"""A job under way at the host that schedules it."""

import dataclasses
import datetime
import enum
import math

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import model

# Time that a task needs beside its work: two calls and a look.
OVERHEAD = datetime.timedelta(milliseconds=8)
# An answer after this many times the objective is of no use to its caller, by
# the users' account of what an answer is worth.
USEFUL_FACTOR = 3


class TaskState(enum.Enum):
    """Where a task is: here, at a backend server, or with another host."""

    WAITING = "waiting"
    PLACED = "placed"
    OFFERED = "offered"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class TaskRecord:
    """A task of a job; ``run`` numbers its newest run, 0 before the first."""

    ref: model.TaskRef
    state: TaskState = TaskState.WAITING
    run: int = 0
    failures: int = 0
    backend_id: str | None = None
    link: int | None = None
    started_at: datetime.datetime | None = None
    refused_by: set[int] = dataclasses.field(default_factory=set)


class JobRecord:
    """A job, its tasks, and who waits for its answer.

    ``link`` is the link that the job came over, None for a caller here.
    ``estimates`` gives the time that a task of each step is expected to take,
    in place of what the caller declared. An answer is of use until
    ``useful_until``, and awaited until the job expires.
    """

    def __init__(
        self,
        job: model.Job,
        link: int | None,
        now: datetime.datetime,
        estimates: list[datetime.timedelta] | None = None,
    ) -> None:
        self.job = job
        self.estimates = estimates or [step.estimate for step in job.steps]
        self.link = link
        self.arrived_at = now
        self.has_started = False
        self.useful_until = min(
            job.expires, now + USEFUL_FACTOR * (job.due - now)
        )
        self.tasks = {
            (step, index): TaskRecord(model.TaskRef(job.job_id, step, index))
            for step, each in enumerate(job.steps)
            for index in range(each.count)
        }
        self._left = [step.count for step in job.steps]
        # Kept until a task changes its state, or an estimate its value.
        self._waiting: list[TaskRecord] | None = None
        self._work_left: datetime.timedelta | None = None

    @property
    def is_done(self) -> bool:
        """Whether every task has ended well."""
        return not any(self._left)

    def waiting(self) -> list[TaskRecord]:
        """Return the tasks that may start now, to be read only."""
        if self._waiting is None:
            self._waiting = self._find_waiting()
        return self._waiting

    def _find_waiting(self) -> list[TaskRecord]:
        steps = self.job.steps
        is_open = [
            not any(self._left[earlier] for earlier in step.after)
            for step in steps
        ]
        return [
            task
            for (step, _), task in self.tasks.items()
            if task.state is TaskState.WAITING and is_open[step]
        ]

    def offered_over(self) -> set[int]:
        """Return the links over which tasks are offered to other hosts."""
        return {
            task.link
            for task in self.tasks.values()
            if task.state is TaskState.OFFERED and task.link is not None
        }

    def place(
        self,
        task: TaskRecord,
        run: int,
        backend_id: str,
        now: datetime.datetime,
    ) -> None:
        """Note that a run of a task was ordered at a backend server."""
        task.run = run
        task.state = TaskState.PLACED
        task.backend_id = backend_id
        task.started_at = now
        self.has_started = True
        self._waiting = None

    def offer(self, task: TaskRecord, run: int, link: int) -> None:
        """Note that a run of a task was offered over a link."""
        task.run = run
        task.state = TaskState.OFFERED
        task.link = link
        self.has_started = True
        self._waiting = None

    def requeue(self, task: TaskRecord) -> None:
        """Have a task run again."""
        task.state = TaskState.WAITING
        self._waiting = None

    def finish(self, task: TaskRecord) -> None:
        """Note that a task is done."""
        if task.state is not TaskState.DONE:
            task.state = TaskState.DONE
            self._left[task.ref.step] -= 1
            self._waiting = self._work_left = None

    def learn(self, step: int, observed: datetime.timedelta) -> None:
        """Expect of a step's tasks what one of them has taken."""
        self.estimates[step] = observed
        self._work_left = None

    def work_left(self) -> datetime.timedelta:
        """Return the estimated time that the longest chain still takes."""
        if self._work_left is None:
            self._work_left = self._measure_work_left()
        return self._work_left

    def waiting_work(self) -> float:
        """Return the work of the tasks that wait, in core-milliseconds."""
        return math.fsum(
            self.job.steps[task.ref.step].room.processors
            * (self.estimates[task.ref.step] / model.MILLISECOND)
            for task in self.tasks.values()
            if task.state is TaskState.WAITING
        )

    def _measure_work_left(self) -> datetime.timedelta:
        chain: list[datetime.timedelta] = []
        for number, step in enumerate(self.job.steps):
            before = max(
                (chain[earlier] for earlier in step.after),
                default=model.ZERO,
            )
            if self._left[number]:
                chain.append(before + self.estimates[number] + OVERHEAD)
            else:
                chain.append(before)
        return max(chain, default=model.ZERO)

    def slack(self, now: datetime.datetime) -> datetime.timedelta:
        """Return how long the job may wait and still be on time."""
        return self.job.due - now - self.work_left()

    def order(self, task: TaskRecord, run: int) -> backends.TaskOrder:
        """Return the order for a run of a task."""
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
