"""Event queue on a simulated clock."""

from collections.abc import Callable
import datetime
import heapq
import itertools

from waxwingwalk.core import clock

Action = Callable[[], None]


class Timeline:
    """Runs actions in the order of their simulated times.

    Actions that are due at the same time run in the order in which they were
    scheduled.

    ::

        timeline = Timeline()
        timeline.call_later(datetime.timedelta(seconds=1), action)
        timeline.run_until(timeline.now() + datetime.timedelta(seconds=2))
    """

    def __init__(self) -> None:
        self._clock = clock.ManualClock()
        self._pending: list[tuple[datetime.datetime, int, Action]] = []
        self._sequence = itertools.count()

    def now(self) -> datetime.datetime:
        """Return the simulated time."""
        return self._clock.now()

    def call_later(self, delay: datetime.timedelta, action: Action) -> None:
        """Schedule an action; a negative delay counts as zero."""
        due = self.now() + max(delay, datetime.timedelta())
        heapq.heappush(self._pending, (due, next(self._sequence), action))

    def run_until(self, end: datetime.datetime) -> None:
        """Run all actions due up to ``end`` and set the clock to ``end``."""
        while self._pending and self._pending[0][0] <= end:
            due, _, action = heapq.heappop(self._pending)
            self._clock.advance(due - self.now())
            action()
        self._clock.advance(end - self.now())
