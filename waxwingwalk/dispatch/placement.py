"""Which backend server a task goes to, of those that have room for it."""

from collections.abc import Sequence
import datetime
from typing import Protocol

from waxwingwalk.dispatch import backend as backends

# Estimates are off by about 40% either way; a server counts as fast enough
# if the task would be on time even then.
CAUTION = 1.4


class Placement(Protocol):
    """Chooses a backend server."""

    def choose(
        self,
        candidates: Sequence[backends.Backend],
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
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        if not candidates:
            return None
        ranked = sorted(
            candidates,
            key=lambda each: (each.slowness(now), each.free.processors),
        )
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
        order: backends.TaskOrder,
        due: datetime.datetime,
        now: datetime.datetime,
    ) -> backends.Backend | None:
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda each: (each.slowness(now), each.free.processors),
        )
