"""Keep-alives and time-outs of the links between dispatch hosts."""

import datetime

from waxwingwalk.dispatch import model

# A link is busy while work is under way over it, or if it connects the owner
# and the standby of a pool. A busy link is closed when nothing has been
# received over it for this long. The far end does the same, so both ends know
# that the work is over. A caller whose job is lost retries after 1.3 s, by
# when the leases have expired. Keep-alives are sent three times as often.
BUSY_TIMEOUT = datetime.timedelta(milliseconds=600)
BUSY_KEEP_ALIVE_INTERVAL = datetime.timedelta(milliseconds=200)
# The same for an idle link. A message that makes a link busy is answered with
# a keep-alive at the next tick of its far end.
IDLE_TIMEOUT = datetime.timedelta(milliseconds=2500)
IDLE_KEEP_ALIVE_INTERVAL = datetime.timedelta(milliseconds=1000)


class Link:
    """An open link: its far end, and when that was last heard from.

    A host that was paused was silent itself, and the far end has closed the
    link. Silence is therefore measured on the clock, not in observed time.
    """

    def __init__(
        self,
        host: model.HostRecord,
        is_outbound: bool,
        now: datetime.datetime,
    ) -> None:
        self.host = host
        self.is_outbound = is_outbound
        self.last_heard_at = now
        self.keep_alive_sent_at = now - IDLE_KEEP_ALIVE_INTERVAL
        self.busy_since: datetime.datetime | None = None

    def is_timed_out(self, now: datetime.datetime) -> bool:
        """Return whether the far end has missed its keep-alives."""
        if self.busy_since is None:
            return now - self.last_heard_at > IDLE_TIMEOUT
        return now - max(self.last_heard_at, self.busy_since) > BUSY_TIMEOUT

    def is_keep_alive_due(self, now: datetime.datetime) -> bool:
        """Return whether a keep-alive should be sent to the far end."""
        interval = IDLE_KEEP_ALIVE_INTERVAL
        if self.busy_since is not None:
            interval = BUSY_KEEP_ALIVE_INTERVAL
        return now - self.keep_alive_sent_at >= interval
