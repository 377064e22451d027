"""The slots that a holder has been granted, and its pending requests."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True)
class Holding:
    """Slots of one backend server that this process holds.

    ``recalled`` slots are returned to the owner as they become idle.
    ``idle_since`` is when the number of idle slots last rose above zero.
    """

    backend_id: str
    held: int = 0
    busy: int = 0
    recalled: int = 0
    idle_since: datetime.datetime | None = None

    @property
    def idle(self) -> int:
        """The number of slots that are held and not in use."""
        return max(0, self.held - self.busy)

    def add_granted(self, count: int, now: datetime.datetime) -> None:
        """Add slots that the owner granted."""
        self.held += count
        if self.idle_since is None:
            self.idle_since = now

    def return_idle(self, count: int) -> int:
        """Give up at most ``count`` idle slots; return how many."""
        count = min(count, self.idle)
        self.held -= count
        self.recalled = max(0, self.recalled - count)
        if self.idle == 0:
            self.idle_since = None
        return count

    def acquire(self) -> None:
        """Occupy an idle slot."""
        self.busy += 1
        if self.idle == 0:
            self.idle_since = None

    def release(self, now: datetime.datetime) -> None:
        """Free an occupied slot."""
        self.busy -= 1
        if self.idle > 0 and self.idle_since is None:
            self.idle_since = now


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """The slots requested from one owner for one service."""

    slot_count: int = 0
    serial: int = 0
    requested_at: datetime.datetime | None = None
