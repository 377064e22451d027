"""The owner's side of slot leases: who holds which slots."""

import dataclasses
import datetime


@dataclasses.dataclass(slots=True)
class Pool:
    """The slots of one backend server that this process owns.

    ``granted`` counts slots by holder, this process included. Nothing is
    granted before ``ready_at``, so that holders of slots from an earlier
    owner can report them first.
    """

    backend_id: str
    slots: int
    ready_at: datetime.datetime
    is_ready: bool = False
    granted: dict[str, int] = dataclasses.field(default_factory=dict)
    granted_total: int = 0

    def free(self) -> int:
        """Return how many slots nobody holds; none before readiness."""
        if not self.is_ready:
            return 0
        return max(0, self.slots - self.granted_total)

    def grant(self, holder: str, count: int) -> None:
        """Record that a holder got more slots."""
        self.granted[holder] = self.granted.get(holder, 0) + count
        self.granted_total += count

    def take_back(self, holder: str, count: int) -> None:
        """Record that a holder gave slots back; extra ones are ignored."""
        held = self.granted.get(holder, 0)
        count = min(held, count)
        self.granted_total -= count
        if held == count:
            self.granted.pop(holder, None)
        else:
            self.granted[holder] = held - count

    def report(self, holder: str, count: int) -> None:
        """Record what a holder says that it holds."""
        self.drop(holder)
        if count > 0:
            self.grant(holder, count)

    def drop(self, holder: str) -> None:
        """Take back all slots of a holder that is gone."""
        self.granted_total -= self.granted.pop(holder, 0)


@dataclasses.dataclass(slots=True)
class Waiting:
    """A holder's unmet demand for one service."""

    holder: str
    service: str
    want: int
    serial: int
    weight: float
    since: datetime.datetime
    recalled_at: datetime.datetime | None = None
