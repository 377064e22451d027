"""Simulated time: what happens next, in order."""

from collections.abc import Callable
import datetime
import heapq
import itertools

from waxwingwalk.core import clock

Action = Callable[[], None]


class Timeline:
    """Runs actions at their simulated times.

    ::

        timeline = Timeline()
        timeline.after(datetime.timedelta(seconds=1), action)
        timeline.run_until(timeline.now() + datetime.timedelta(seconds=2))
    """

    def __init__(self) -> None:
        self._clock = clock.ManualClock()
        self._due: list[tuple[datetime.datetime, int, Action]] = []
        self._serial = itertools.count()

    def now(self) -> datetime.datetime:
        """Return the simulated time."""
        return self._clock.now()

    def after(self, delay: datetime.timedelta, action: Action) -> None:
        """Run an action later."""
        due = self.now() + max(delay, datetime.timedelta())
        heapq.heappush(self._due, (due, next(self._serial), action))

    def run_until(self, end: datetime.datetime) -> None:
        """Run everything that is due before ``end``."""
        while self._due and self._due[0][0] <= end:
            due, _, action = heapq.heappop(self._due)
            self._clock.advance(due - self.now())
            action()
        self._clock.advance(end - self.now())
