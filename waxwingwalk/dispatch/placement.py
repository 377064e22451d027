"""Placement policies: which backend server a task is started on."""

from collections.abc import Sequence
import datetime
from typing import Protocol

from waxwingwalk.dispatch import backend as backends

# The factor by which SlowestInTime multiplies estimates. They are off by about
# 40% either way; a server counts as fast enough only if the task would be on
# time even if it took that much longer than estimated.
ESTIMATE_SAFETY_FACTOR = 1.4

# The factor by which FastestInTime multiplies the estimate for a server that
# has capacity, because the tasks of a job differ by some 15% and the speeds of
# servers are learned. The estimate for a faster server that is busy is not
# multiplied. In the load experiment (emulator/experiment.py), both 1.0 and 1.2
# earn less of the worth of all jobs at 1.3 times the usual load on servers of
# the speeds 0.7 and 1.7.
ON_TIME_SAFETY_FACTOR = 1.1


class Placement(Protocol):
    """Chooses a backend server.

    ``usable`` are the usable servers on which the task would fit if nothing
    else ran there, ``candidates`` those of them on which it fits now. A result
    of None means that the task should wait.
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
    """Chooses the slowest server on which the task is on time.

    If there is none, it chooses as Fastest does. Fast servers remain free for
    the tasks that need them.
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
        ranked = sorted(
            candidates, key=lambda each: _fastest_then_fullest(each, now)
        )
        left = due - now
        in_time = [
            each
            for each in ranked
            if order.estimate * each.slowness(now) * ESTIMATE_SAFETY_FACTOR
            <= left
        ]
        return in_time[-1] if in_time else ranked[0]


class Fastest:
    """Chooses the server on which the task is expected to finish first.

    Among equally fast servers it chooses the one with the fewest free
    processors, which leaves whole servers free for large tasks.
    """

    def choose(
        self,
        candidates: Sequence[backends.Backend],
        usable: Sequence[backends.Backend],
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        best: backends.Backend | None = None
        lowest = 0.0
        for each in candidates:
            slowness = each.slowness(now)
            if (
                best is None
                or slowness < lowest
                or (
                    slowness == lowest
                    and each.free.processors < best.free.processors
                )
            ):
                best, lowest = each, slowness
        return best


class FastestInTime:
    """Chooses the fastest server that has capacity, or waits.

    If the task would be late there and on time on a faster server that is
    busy, it waits for the faster server as long as it could still be on time.
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
        if order.estimate * best.slowness(now) * ON_TIME_SAFETY_FACTOR <= left:
            return best
        fastest = min(each.slowness(now) for each in usable)
        if order.estimate * fastest <= left:
            return None
        return best


def _fastest_then_fullest(
    backend: backends.Backend, now: datetime.datetime
) -> tuple[float, int]:
    """Sort key: the fastest first; if equal, the fewest free processors."""
    return (backend.slowness(now), backend.free.processors)
