"""Clock interface and implementations.

Code that needs the time takes a :class:`Clock`, so that tests can control
the time.
"""

import datetime
import time
from typing import Protocol

ZERO = datetime.timedelta()
# Earlier than any time that a clock returns.
DISTANT_PAST = datetime.datetime.min.replace(tzinfo=datetime.UTC)
DISTANT_FUTURE = datetime.datetime.max.replace(tzinfo=datetime.UTC)


class Clock(Protocol):
    """A source of the current time."""

    def now(self) -> datetime.datetime:
        """Return the current time as an aware datetime in UTC."""
        ...


class SystemClock:
    """The host's clock, without steps caused by clock adjustments.

    The wall clock is read once, at start. The time elapsed since then is
    taken from the boot-time clock: time synchronisation does not step it,
    and it keeps counting while the host is suspended, so a process that was
    paused sees the whole pause.
    """

    def __init__(self) -> None:
        self._started_at = datetime.datetime.now(datetime.UTC)
        self._started_boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)

    def now(self) -> datetime.datetime:
        elapsed = (
            time.clock_gettime(time.CLOCK_BOOTTIME) - self._started_boot_time
        )
        return self._started_at + datetime.timedelta(seconds=elapsed)


class ManualClock:
    """A clock that changes only when it is advanced explicitly.

    ::

        clock = ManualClock()
        clock.advance(datetime.timedelta(seconds=2))
    """

    def __init__(self, start: datetime.datetime | None = None) -> None:
        self._now = start or datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def now(self) -> datetime.datetime:
        return self._now

    def advance(self, duration: datetime.timedelta) -> datetime.datetime:
        """Advance the clock by ``duration`` and return the new time."""
        self._now += duration
        return self._now
