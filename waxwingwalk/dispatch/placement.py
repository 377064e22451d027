"""Which backend server a task goes to, of those that have room for it."""

from collections.abc import Sequence
import datetime
from typing import Protocol

from waxwingwalk.dispatch import backend as backends

# Estimates are off by about 40% either way; a server counts as fast enough
# if the task would be on time even then.
CAUTION = 1.4

# Tasks of a job differ by some 15% and speeds are learned: a server counts as
# fast enough with this margin. Measured with the load experiment on speeds of
# 0.7 and 1.7: 1.0 earned 0.887 of the worth at 1.3 times the load, 1.1 0.911,
# 1.2 0.908.
MARGIN = 1.1


class Placement(Protocol):
    """Chooses a backend server.

    ``candidates`` have room now; ``usable`` are all that could ever take the
    task. None means that the task should wait.
    """

    def choose(
        self,
        candidates: Sequence[backends.Backend],
        usable: Sequence[backends.Backend],
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None: ...


class SlowestInTime:
    """The slowest server that still ends the task in time, else the fastest.

    Fast servers are kept for tasks that need them. Among servers that are
    equally fast the fullest is taken, which leaves whole servers free for
    large tasks.
    """

    def choose(
        self,
        candidates: Sequence[backends.Backend],
        usable: Sequence[backends.Backend],
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        if not candidates:
            return None
        ranked = sorted(candidates, key=lambda each: _speed(each, now))
        left = due - now
        in_time = [
            each
            for each in ranked
            if order.estimate * each.slowness(now) * CAUTION <= left
        ]
        return in_time[-1] if in_time else ranked[0]


class Fastest:
    """The server on which the task is expected to end first.

    Among servers that are equally fast the fullest is taken, which leaves
    whole servers free for large tasks.
    """

    def choose(
        self,
        candidates: Sequence[backends.Backend],
        usable: Sequence[backends.Backend],
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        return min(
            candidates, key=lambda each: _speed(each, now), default=None
        )


class FastestInTime:
    """The fastest server with room, if the task is on time there.

    If it is not, and would be on a faster server that is busy, it waits for
    that one as long as it could still be on time.
    """

    def choose(
        self,
        candidates: Sequence[backends.Backend],
        usable: Sequence[backends.Backend],
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        best = Fastest().choose(candidates, usable, order, due, now)
        if best is None:
            return None
        left = due - now
        if order.estimate * best.slowness(now) * MARGIN <= left:
            return best
        fastest = min(each.slowness(now) for each in usable)
        if order.estimate * fastest <= left:
            return None
        return best


def _speed(
    backend: backends.Backend, now: datetime.datetime
) -> tuple[float, int]:
    """Rank a server: the fastest comes first, the fullest of equals."""
    return (backend.slowness(now), backend.free.processors)
