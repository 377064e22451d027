"""When a run counts as stuck, so that it is stopped and its task starts anew.

A run may take long because its server stands still or has become slow, which
a start elsewhere mends, or because its task takes long by itself: then a stop
discards its work, and it takes as long again. What tells them apart is
whether later runs on the same server have ended in time, whether the run makes
progress, if its server reports any, and how the run times of the queue are
distributed, including those of tasks that were started anew.
"""

import collections
import dataclasses
import datetime
from typing import Protocol

from waxwingwalk.dispatch import model

# A run that takes longer than this many times its expected run time is
# considered stuck and stopped, so that the task is started again.
STUCK_FACTOR = 4.0
# A run is never considered stuck before this time.
MIN_STUCK_TIME = datetime.timedelta(milliseconds=250)
# No run may take longer than this many times its expected run time, whatever
# is known of it.
HARD_FACTOR = 12.0
# A run that took no longer than this many times its estimate has ended in
# time. Estimates are off by a factor of up to about 2.
IN_TIME_FACTOR = 2.5
# The tail of a queue's run times is this quantile of the recent ratios of
# actual to expected ones, times the margin. Below TAIL_RUNS it is not known.
TAIL_QUANTILE = 0.99
TAIL_MARGIN = 1.5
TAIL_RUNS = 50
TAIL_WINDOW = 512
# The restarts of a queue that are kept, and how many decide.
RESTART_WINDOW = 32
RESTARTS_MIN = 4
# A queue's progress is informative once it has risen this often in all.
RISES_MIN = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedRun:
    """What is known of a run that has not ended.

    ``estimate`` is its expected run time, ``elapsed`` the time since it was
    placed, without the delays of this host. ``later_in_time`` counts the runs
    that were started after it on the same server and ended in time,
    ``later_late`` those that did not. ``remaining`` is the time left by its
    progress, None if that tells nothing. ``stalled`` is for how long polls
    have listed the same progress, and ``queue_rises`` how often the progress
    of runs of its queue has risen. ``is_restart`` is whether an earlier run of
    its task was stuck.
    """

    queue: str
    estimate: datetime.timedelta
    elapsed: datetime.timedelta
    later_in_time: int = 0
    later_late: int = 0
    remaining: datetime.timedelta | None = None
    stalled: datetime.timedelta = model.ZERO
    queue_rises: int = 0
    is_restart: bool = False


class StuckPolicy(Protocol):
    """Decides when runs are stuck."""

    def limit(self, run: ObservedRun) -> datetime.timedelta:
        """Return the time after which a run is stuck."""

    def learn(self, queue: str, ratio: float, *, is_restart: bool) -> None:
        """Learn the ratio of actual to expected run time of a done run."""

    def learn_stuck(self, queue: str, *, is_restart: bool) -> None:
        """Learn that a run was stopped because it was stuck."""


class FixedFactor:
    """A run is stuck after a fixed multiple of its expected run time."""

    def limit(self, run: ObservedRun) -> datetime.timedelta:
        return max(MIN_STUCK_TIME, STUCK_FACTOR * run.estimate)

    def learn(self, queue: str, ratio: float, *, is_restart: bool) -> None:
        return

    def learn_stuck(self, queue: str, *, is_restart: bool) -> None:
        return


@dataclasses.dataclass(slots=True)
class _QueueTail:
    """Ratios of actual to expected run times, and what restarts achieved.

    ``restarts`` holds for each whether it ended in time.
    """

    ratios: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=TAIL_WINDOW)
    )
    restarts: collections.deque[bool] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RESTART_WINDOW)
    )
    learned: int = 0
    factor: float = STUCK_FACTOR

    def add(self, ratio: float) -> None:
        self.ratios.append(ratio)
        self.learned += 1
        if self.learned % TAIL_RUNS == 0:
            ordered = sorted(self.ratios)
            rank = min(int(TAIL_QUANTILE * len(ordered)), len(ordered) - 1)
            tail = TAIL_MARGIN * ordered[rank]
            self.factor = min(max(tail, STUCK_FACTOR), HARD_FACTOR)

    @property
    def do_restarts_help(self) -> bool:
        if len(self.restarts) < RESTARTS_MIN:
            return True
        return 2 * sum(self.restarts) >= len(self.restarts)


class LearnedTail:
    """A run is stuck if its server is, or beyond the tail of its queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueTail] = {}

    def limit(self, run: ObservedRun) -> datetime.timedelta:
        if self._is_stalled(run):
            return MIN_STUCK_TIME
        limit = self._factor(run) * run.estimate
        if run.is_restart:
            # Stopping it again would discard as much work once more.
            limit = min(2 * limit, HARD_FACTOR * run.estimate)
        return max(MIN_STUCK_TIME, limit)

    def learn(self, queue: str, ratio: float, *, is_restart: bool) -> None:
        tail = self._tail(queue)
        tail.add(ratio)
        if is_restart:
            tail.restarts.append(ratio <= IN_TIME_FACTOR)

    def learn_stuck(self, queue: str, *, is_restart: bool) -> None:
        if is_restart:
            self._tail(queue).restarts.append(False)

    def _is_stalled(self, run: ObservedRun) -> bool:
        """Return whether a run makes no progress while its queue does.

        A server on which later runs end in time does not stand still, but a
        run that reports no progress for this long may do so by itself.
        """
        patience = 2 if run.later_in_time else 1
        return run.queue_rises >= RISES_MIN and run.stalled > max(
            MIN_STUCK_TIME, patience * run.estimate
        )

    def _factor(self, run: ObservedRun) -> float:
        if run.remaining is not None and run.remaining <= 2 * run.estimate:
            # It would take about as long to begin anew elsewhere.
            return HARD_FACTOR
        if run.later_in_time > run.later_late:
            return HARD_FACTOR
        if run.later_late:
            return STUCK_FACTOR
        tail = self._tail(run.queue)
        return tail.factor if tail.do_restarts_help else HARD_FACTOR

    def _tail(self, queue: str) -> _QueueTail:
        return self._queues.setdefault(queue, _QueueTail())
