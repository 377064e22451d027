"""The holder's side of slot leases: demand, idle slots and returns."""

from collections.abc import Callable
import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing.slots import holding

# Demand is repeated if no grant has come for this long.
REQUEST_TIMEOUT = datetime.timedelta(seconds=1)

Effects = list[effects.Effect]
# Backend servers by owner.
Owners = dict[str, list[str]]


class Borrower:
    """Asks owners for slots, and gives back those that stay idle.

    ``changed`` is told of each backend server whose idle slots may have
    changed.
    """

    def __init__(
        self, self_address: str, changed: Callable[[str], object]
    ) -> None:
        self._self = self_address
        self._changed = changed
        self._asked: dict[tuple[str, str], holding.Asked] = {}
        self._hints: dict[str, dict[str, int]] = {}
        self._serial = 0
        self.holdings: dict[str, holding.Holding] = {}

    def holding(self, backend_id: str) -> holding.Holding:
        """Return what is held of a backend server."""
        held = self.holdings.get(backend_id)
        if held is None:
            held = holding.Holding(backend_id)
            self.holdings[backend_id] = held
        return held

    def held(self, backend_id: str) -> int:
        """Return how many slots of a backend server are held."""
        return self.holding(backend_id).held

    def note_free(self, owner: str, free: dict[str, int]) -> None:
        """Remember which slots an owner said to be free."""
        self._hints[owner] = free

    # Demand.

    def ask(
        self,
        service: str,
        waiting: int,
        owners: Owners,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> Effects:
        """Ask owners for the slots that were not asked for yet."""
        missing = waiting - self._outstanding(service, owners, now)
        if missing <= 0:
            return []
        shares = self._split(owners, missing)
        weights = teams() if shares else {}
        return [
            self._request(owner, service, count, weights, now)
            for owner, count in shares.items()
        ]

    def _outstanding(
        self, service: str, owners: Owners, now: datetime.datetime
    ) -> int:
        total = 0
        for owner in owners:
            asked = self._asked.get((owner, service))
            if asked is None or asked.asked_at is None:
                continue
            if now - asked.asked_at > REQUEST_TIMEOUT:
                asked.want = 0
            total += asked.want
        return total

    def _split(self, owners: Owners, missing: int) -> dict[str, int]:
        """Divide demand among owners, those with known free slots first."""
        others = [owner for owner in owners if owner != self._self]
        if not others:
            return {}
        shares: dict[str, int] = {}
        by_hint = sorted(
            ((self._hinted(owner, owners[owner]), owner) for owner in others),
            reverse=True,
        )
        for hint, owner in by_hint:
            count = min(hint, missing)
            if count > 0:
                shares[owner] = count
                missing -= count
                self._use_hint(owner, owners[owner], count)
        if missing > 0:
            each = -(-missing // len(others))
            for owner in others:
                shares[owner] = shares.get(owner, 0) + each
        return shares

    def _hinted(self, owner: str, backend_ids: list[str]) -> int:
        hints = self._hints.get(owner, {})
        return sum(hints.get(backend_id, 0) for backend_id in backend_ids)

    def _use_hint(
        self, owner: str, backend_ids: list[str], count: int
    ) -> None:
        hints = self._hints[owner]
        for backend_id in backend_ids:
            used = min(count, hints.get(backend_id, 0))
            if used:
                hints[backend_id] -= used
                count -= used

    def _request(
        self,
        owner: str,
        service: str,
        count: int,
        teams: dict[str, float],
        now: datetime.datetime,
    ) -> effects.Effect:
        asked = self._asked.setdefault((owner, service), holding.Asked())
        asked.want += count
        asked.serial = self._next_serial()
        asked.asked_at = now
        message = messages.SlotRequest(
            service, asked.want, asked.serial, teams
        )
        return effects.SendToPeer(owner, message)

    def withdraw(self, is_wanted: Callable[[str], bool]) -> Effects:
        """Take back requests for services that nothing waits for."""
        withdrawn: Effects = []
        for (owner, service), asked in self._asked.items():
            if asked.want > 0 and not is_wanted(service):
                asked.want = 0
                asked.serial = self._next_serial()
                message = messages.SlotRequest(service, 0, asked.serial, {})
                withdrawn.append(effects.SendToPeer(owner, message))
        return withdrawn

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial

    # Messages of owners.

    def receive_grant(
        self,
        owner: str,
        message: messages.SlotGrant,
        owners: dict[str, str],
        now: datetime.datetime,
    ) -> Effects:
        """Take in granted slots; those of another owner go back."""
        self.note_free(owner, message.free)
        asked = self._asked.get((owner, message.service))
        if asked is not None:
            asked.want = max(0, asked.want - sum(message.slots.values()))
        refused: dict[str, int] = {}
        for backend_id, count in message.slots.items():
            if owners.get(backend_id) != owner:
                refused[backend_id] = count
                continue
            self.holding(backend_id).receive(count, now)
            self._changed(backend_id)
        if not refused:
            return []
        return [effects.SendToPeer(owner, messages.SlotReturn(refused))]

    def receive_recall(self, message: messages.SlotRecall) -> None:
        """Mark slots to go back as they become idle."""
        for backend_id, count in message.slots.items():
            held = self.holdings.get(backend_id)
            if held is not None:
                held.recalled = min(held.held, count)
                self._changed(backend_id)

    # Returns.

    def give_back(
        self,
        owners: dict[str, str],
        linger: datetime.timedelta,
        now: datetime.datetime,
    ) -> Effects:
        """Return recalled slots, and those that were idle for too long."""
        returns: dict[str, dict[str, int]] = {}
        for held in self.holdings.values():
            owner = owners.get(held.backend_id)
            if owner is None or held.idle == 0:
                continue
            count = held.recalled
            if held.idle_since and now - held.idle_since >= linger:
                count = held.idle
            given = held.give_up(count)
            self._changed(held.backend_id)
            if given > 0:
                returns.setdefault(owner, {})[held.backend_id] = given
        return [
            effects.SendToPeer(owner, messages.SlotReturn(slots))
            for owner, slots in returns.items()
        ]

    def report(self, owner: str, owners: dict[str, str]) -> effects.Effect:
        """Return the message that tells an owner all that is held of it."""
        slots = {
            backend_id: held.held
            for backend_id, held in self.holdings.items()
            if held.held > 0 and owners.get(backend_id) == owner
        }
        return effects.SendToPeer(owner, messages.SlotReport(slots))

    def forget(self, is_kept: Callable[[str], bool]) -> None:
        """Drop what was asked of, and heard from, owners not kept."""
        for key in [each for each in self._asked if not is_kept(each[0])]:
            del self._asked[key]
        for address in [each for each in self._hints if not is_kept(each)]:
            del self._hints[address]
