"""When a host connects again to another one after a link or attempt ended."""

from collections.abc import Callable
import datetime

# Delay after a failed connection attempt, increased up to the maximum.
PAUSE = datetime.timedelta(milliseconds=150)
PAUSE_MAX = datetime.timedelta(seconds=1)
PAUSE_FACTOR = 1.5
# Maximum delay after a link that lasted for ``STABLE_AFTER`` has closed. It
# spreads the hosts whose links all close at once, and is short compared with
# the time in which a successor takes over from a host that has stopped.
FIRST_DELAY_MAX = datetime.timedelta(milliseconds=20)
# A link that lasted for less counts as a failed attempt, so that links which
# close soon after they open are opened ever less often.
STABLE_AFTER = datetime.timedelta(seconds=2)

# Links that a host opens at the same time. When all links of a fleet break at
# once, more of them would delay each other beyond the limit of an attempt.
HANDSHAKES_MAX = 4


class Reconnection:
    """Delays between the attempts to keep a link to one host open.

    ``draw`` returns random numbers from 0 to 1.

    ::

        reconnection = Reconnection(random.random)
        delay = reconnection.after_failure()
        delay = reconnection.after_link(lasted)
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._pause = PAUSE

    def after_link(self, lasted: datetime.timedelta) -> datetime.timedelta:
        """Return the delay after a link that was open for a time."""
        if lasted < STABLE_AFTER:
            return self.after_failure()
        self._pause = PAUSE
        return self._draw() * FIRST_DELAY_MAX

    def after_failure(self) -> datetime.timedelta:
        """Return the delay after a failed attempt, from half to all of it."""
        delay = self._pause * (0.5 + 0.5 * self._draw())
        self._pause = min(self._pause * PAUSE_FACTOR, PAUSE_MAX)
        return delay
