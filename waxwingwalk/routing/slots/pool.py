"""The slots that an owner has granted, and the demand of holders."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True)
class Pool:
    """The slots of one backend server that this process owns.

    ``granted`` counts slots by holder, including this process. No slots are
    granted before ``ready_at``, so that holders of slots from a former owner
    can report them first.
    """

    backend_id: str
    slots: int
    ready_at: datetime.datetime
    is_ready: bool = False
    granted: dict[str, int] = dataclasses.field(default_factory=dict)
    granted_total: int = 0

    def free(self) -> int:
        """Return the number of slots without a holder; 0 until ready."""
        if not self.is_ready:
            return 0
        return max(0, self.slots - self.granted_total)

    def grant(self, holder: str, count: int) -> None:
        """Record that slots were granted to a holder."""
        self.granted[holder] = self.granted.get(holder, 0) + count
        self.granted_total += count

    def record_return(self, holder: str, count: int) -> None:
        """Record returned slots; any beyond those granted are ignored."""
        held = self.granted.get(holder, 0)
        count = min(held, count)
        self.granted_total -= count
        if held == count:
            self.granted.pop(holder, None)
        else:
            self.granted[holder] = held - count

    def set_granted(self, holder: str, count: int) -> None:
        """Replace the granted slots of a holder by the number it reports."""
        self.revoke(holder)
        if count > 0:
            self.grant(holder, count)

    def revoke(self, holder: str) -> None:
        """Revoke all slots of a holder."""
        self.granted_total -= self.granted.pop(holder, 0)


@dataclasses.dataclass(slots=True)
class Demand:
    """A holder's unmet demand for one service."""

    holder: str
    service: str
    slot_count: int
    serial: int
    weight: float
    since: datetime.datetime
    recalled_at: datetime.datetime | None = None
