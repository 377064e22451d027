"""How a dispatch host watches its links to other hosts."""

import datetime

from waxwingwalk.dispatch import model

# A link over which work is under way is closed when nothing came over it for
# this long. The far end does the same, so both know that what went over it is
# over; a caller whose job is lost returns after 1.3 s, by when leases have
# lapsed. Signs of life are sent three times as often.
BUSY_SILENCE = datetime.timedelta(milliseconds=600)
BUSY_INTERVAL = datetime.timedelta(milliseconds=200)
# The same for a link that is idle. A message that makes it busy is answered
# with a sign of life at the next tick of its far end.
IDLE_SILENCE = datetime.timedelta(milliseconds=2500)
IDLE_INTERVAL = datetime.timedelta(milliseconds=1000)


class Link:
    """An open link: who is at its far end, and when it was last heard."""

    def __init__(
        self, host: model.HostRecord, is_ours: bool, now: datetime.datetime
    ) -> None:
        self.host = host
        self.is_ours = is_ours
        self.last_heard_at = now
        self.sent_at = now - IDLE_INTERVAL
        self.busy_since: datetime.datetime | None = None
        self.catalog_version = 0

    def is_silent(self, now: datetime.datetime) -> bool:
        """Tell whether the far end has missed its signs of life."""
        if self.busy_since is None:
            return now - self.last_heard_at > IDLE_SILENCE
        return now - max(self.last_heard_at, self.busy_since) > BUSY_SILENCE

    def is_keep_alive_due(self, now: datetime.datetime) -> bool:
        """Tell whether the far end should hear from this one."""
        interval = IDLE_INTERVAL
        if self.busy_since is not None:
            interval = BUSY_INTERVAL
        return now - self.sent_at >= interval
