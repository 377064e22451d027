"""Time as far as this host was able to observe others.

Load pattern: a host that is short of processor time, or was paused, reads
replies and messages late. Measured on the clock, backend servers look slow or
stuck to it and other hosts look dead, and the remedies (stopping and repeating
runs, taking pools over) add to its load. Such judgements therefore measure
time on a clock that stands still while the host is behind.

Leases, the deadlines of callers, the age of what was read and the silence of
links stay on the host's clock: they run on while this host is paused.
"""

import datetime

# A timer of an event loop that has time to spare fires at most this late.
TIMER_TOLERANCE = datetime.timedelta(milliseconds=10)


class ObservedTime:
    """A clock that stands still from the moment that a tick is overdue.

    ::

        observed = ObservedTime()
        observed.ticked(now, interval)
        since = observed.at(now)
        ...
        elapsed = observed.at(later) - since

    Its times may be compared only with each other.
    """

    def __init__(self) -> None:
        self._delay = datetime.timedelta()
        self._next_tick_at: datetime.datetime | None = None
        self._was_late = False

    @property
    def was_late(self) -> bool:
        """Whether the last tick was late, so that replies may be unread."""
        return self._was_late

    def ticked(
        self, now: datetime.datetime, interval: datetime.timedelta
    ) -> None:
        """Record a tick, and the interval until the next one."""
        self._was_late = (
            self._next_tick_at is not None and now > self._next_tick_at
        )
        if self._next_tick_at is not None and now > self._next_tick_at:
            self._delay += now - self._next_tick_at
        self.expect_tick(now, interval)

    def expect_tick(
        self, now: datetime.datetime, interval: datetime.timedelta
    ) -> None:
        """Correct the interval until the next tick."""
        self._next_tick_at = now + interval + TIMER_TOLERANCE

    def at(self, now: datetime.datetime) -> datetime.datetime:
        """Return the observed time at a time of the host's clock."""
        if self._next_tick_at is not None:
            now = min(now, self._next_tick_at)
        return now - self._delay
