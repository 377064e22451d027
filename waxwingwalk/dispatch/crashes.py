"""Crashes of backend servers, and the tasks that may have caused them.

A task may crash each server that starts it. When a server crashes, all tasks
that ran there look alike, and while it is silent it cannot be told from one
that is only cut off. So a task that lost a run with its server may start
again, but under conditions that become stricter with each such run::

    history = CrashHistory()
    history.record(evidence, now)
    history.suspicion("57c5c5b2a1f5ae5b.0.0.3")

Every host keeps the evidence of all schedulers, so that it outlives a change
of the scheduler, and a caller that asks for its job again.
"""

import dataclasses
import datetime
import enum
import itertools

from waxwingwalk.dispatch import model

# A task is not started again while this many servers may have crashed under
# it. If all of them have, its job is given up: on the last one it was alone.
CRASHES_MAX = 3
# Evidence is kept for this time, which is long compared with the time that
# callers wait for an answer, including their repeated requests.
RETENTION_TIME = datetime.timedelta(minutes=2)
# The number of tasks of which evidence is kept, and of those of which a host
# is told when a link to it is opened.
MAX_TASKS = 10_000
MAX_REPORTED_TASKS = 500


class Suspicion(enum.Enum):
    """How a task that may crash servers is treated.

    PREFER_ALONE runs on a server without other tasks if there is one,
    MUST_RUN_ALONE on no other. HELD is not started until it is known what
    became of a server that is silent. GIVEN_UP is never started again.
    """

    NONE = "none"
    PREFER_ALONE = "prefer_alone"
    MUST_RUN_ALONE = "must_run_alone"
    HELD = "held"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(slots=True)
class _TaskHistory:
    """What became of servers on which a task was started."""

    recorded_at: datetime.datetime
    fates: dict[model.BackendIncarnation, model.ServerFate] = (
        dataclasses.field(default_factory=dict)
    )


class CrashHistory:
    """The evidence on tasks that lost runs with their servers."""

    def __init__(self) -> None:
        # In the order of their latest evidence.
        self._tasks: dict[str, _TaskHistory] = {}

    def record(
        self, evidence: model.CrashEvidence, now: datetime.datetime
    ) -> None:
        """Record evidence; that of a crash is not overruled by any other.

        Evidence that is known already is not kept any longer for that.
        """
        self._forget(now)
        history = self._tasks.get(evidence.task) or _TaskHistory(now)
        known = history.fates.get(evidence.incarnation)
        if known in (evidence.fate, model.ServerFate.CRASHED):
            return
        if evidence.fate is model.ServerFate.ALIVE:
            history.fates.pop(evidence.incarnation, None)
        else:
            history.fates[evidence.incarnation] = evidence.fate
        self._tasks.pop(evidence.task, None)
        if history.fates:
            history.recorded_at = now
            self._tasks[evidence.task] = history

    def _forget(self, now: datetime.datetime) -> None:
        """Forget what is old, or too much."""
        while self._tasks:
            task, oldest = next(iter(self._tasks.items()))
            is_old = now - oldest.recorded_at > RETENTION_TIME
            if not is_old and len(self._tasks) < MAX_TASKS:
                return
            del self._tasks[task]

    @property
    def is_empty(self) -> bool:
        """Whether there is no evidence on any task."""
        return not self._tasks

    def recent(self, now: datetime.datetime) -> list[model.CrashEvidence]:
        """Return the evidence on the tasks with the latest evidence."""
        self._forget(now)
        latest = itertools.islice(
            reversed(self._tasks.items()), MAX_REPORTED_TASKS
        )
        return [
            model.CrashEvidence(task, incarnation, fate)
            for task, history in latest
            for incarnation, fate in history.fates.items()
        ]

    def suspicion(self, task: str, lost_runs: int = 0) -> Suspicion:
        """Return how a task is to be treated.

        ``lost_runs`` counts runs at other hosts of which nothing is known.
        """
        history = self._tasks.get(task)
        if history is None and not lost_runs:
            return Suspicion.NONE
        fates = [] if history is None else list(history.fates.values())
        possible = len(fates) + lost_runs
        if fates.count(model.ServerFate.CRASHED) >= CRASHES_MAX:
            return Suspicion.GIVEN_UP
        if possible >= CRASHES_MAX:
            return Suspicion.HELD
        if possible == CRASHES_MAX - 1:
            return Suspicion.MUST_RUN_ALONE
        return Suspicion.PREFER_ALONE if possible else Suspicion.NONE
