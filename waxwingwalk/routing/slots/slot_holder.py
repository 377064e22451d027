"""The holder of leased slots: requests, idle slots and returns."""

from collections.abc import Callable
import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing.slots import holding

# The part of a request that has not been granted after this long expires, and
# may be requested again.
REQUEST_TIMEOUT = datetime.timedelta(seconds=1)

Effects = list[effects.Effect]
# Ids of backend servers by owner.
Owners = dict[str, list[str]]


class SlotHolder:
    """Requests slots from owners, and returns those that stay idle.

    ``on_change`` is called with each backend server whose idle slots may have
    changed.
    """

    def __init__(
        self, self_address: str, on_change: Callable[[str], object]
    ) -> None:
        self._self_address = self_address
        self._on_change = on_change
        self._pending: dict[tuple[str, str], holding.PendingRequest] = {}
        self._hints: dict[str, dict[str, int]] = {}
        self._serial = 0
        self.holdings: dict[str, holding.Holding] = {}

    def holding(self, backend_id: str) -> holding.Holding:
        """Return the holding for a backend server."""
        held = self.holdings.get(backend_id)
        if held is None:
            held = holding.Holding(backend_id)
            self.holdings[backend_id] = held
        return held

    def held(self, backend_id: str) -> int:
        """Return how many slots of a backend server are held."""
        return self.holding(backend_id).held

    def record_free_slots(self, owner: str, free: dict[str, int]) -> None:
        """Store the free slots that an owner advertised."""
        self._hints[owner] = free

    # Demand.

    def request_slots(
        self,
        service: str,
        waiting: int,
        owners: Owners,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> Effects:
        """Request the slots that are not covered by pending requests."""
        missing = waiting - self._pending_slots(service, owners, now)
        if missing <= 0:
            return []
        shares = self._divide(owners, missing)
        weights = teams() if shares else {}
        return [
            self._build_request(owner, service, count, weights, now)
            for owner, count in shares.items()
        ]

    def _pending_slots(
        self, service: str, owners: Owners, now: datetime.datetime
    ) -> int:
        total = 0
        for owner in owners:
            pending = self._pending.get((owner, service))
            if pending is None or pending.requested_at is None:
                continue
            if now - pending.requested_at > REQUEST_TIMEOUT:
                pending.slot_count = 0
            total += pending.slot_count
        return total

    def _divide(self, owners: Owners, missing: int) -> dict[str, int]:
        """Divide demand among owners: by known free slots, then equally."""
        others = [owner for owner in owners if owner != self._self_address]
        if not others:
            return {}
        shares: dict[str, int] = {}
        by_known_free = sorted(
            (
                (self._known_free(owner, owners[owner]), owner)
                for owner in others
            ),
            reverse=True,
        )
        for free, owner in by_known_free:
            count = min(free, missing)
            if count > 0:
                shares[owner] = count
                missing -= count
                self._consume_hint(owner, owners[owner], count)
        if missing > 0:
            each = -(-missing // len(others))
            for owner in others:
                shares[owner] = shares.get(owner, 0) + each
        return shares

    def _known_free(self, owner: str, backend_ids: list[str]) -> int:
        hints = self._hints.get(owner, {})
        return sum(hints.get(backend_id, 0) for backend_id in backend_ids)

    def _consume_hint(
        self, owner: str, backend_ids: list[str], count: int
    ) -> None:
        hints = self._hints[owner]
        for backend_id in backend_ids:
            used = min(count, hints.get(backend_id, 0))
            if used:
                hints[backend_id] -= used
                count -= used

    def _build_request(
        self,
        owner: str,
        service: str,
        count: int,
        teams: dict[str, float],
        now: datetime.datetime,
    ) -> effects.Effect:
        pending = self._pending.setdefault(
            (owner, service), holding.PendingRequest()
        )
        pending.slot_count += count
        pending.serial = self._next_serial()
        pending.requested_at = now
        message = messages.SlotRequest(
            service, pending.slot_count, pending.serial, teams
        )
        return effects.SendToPeer(owner, message)

    def withdraw_requests(self, is_wanted: Callable[[str], bool]) -> Effects:
        """Withdraw requests for services without waiting tasks."""
        withdrawn: Effects = []
        for (owner, service), pending in self._pending.items():
            if pending.slot_count > 0 and not is_wanted(service):
                pending.slot_count = 0
                pending.serial = self._next_serial()
                message = messages.SlotRequest(service, 0, pending.serial, {})
                withdrawn.append(effects.SendToPeer(owner, message))
        return withdrawn

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial

    # Messages from owners.

    def receive_grant(
        self,
        owner: str,
        message: messages.SlotGrant,
        owners: dict[str, str],
        now: datetime.datetime,
    ) -> Effects:
        """Add granted slots; return those that the sender does not own."""
        self.record_free_slots(owner, message.free)
        pending = self._pending.get((owner, message.service))
        if pending is not None:
            pending.slot_count = max(
                0, pending.slot_count - sum(message.slots.values())
            )
        refused: dict[str, int] = {}
        for backend_id, count in message.slots.items():
            if owners.get(backend_id) != owner:
                refused[backend_id] = count
                continue
            self.holding(backend_id).add_granted(count, now)
            self._on_change(backend_id)
        if not refused:
            return []
        return [effects.SendToPeer(owner, messages.SlotReturn(refused))]

    def receive_recall(self, message: messages.SlotRecall) -> None:
        """Mark slots to be returned as they become idle."""
        for backend_id, count in message.slots.items():
            held = self.holdings.get(backend_id)
            if held is not None:
                held.recalled = min(held.held, count)
                self._on_change(backend_id)

    # Returns.

    def return_slots(
        self,
        owners: dict[str, str],
        linger: datetime.timedelta,
        now: datetime.datetime,
    ) -> Effects:
        """Return recalled slots, and those idle for at least ``linger``."""
        returns: dict[str, dict[str, int]] = {}
        for held in self.holdings.values():
            owner = owners.get(held.backend_id)
            if owner is None or held.idle == 0:
                continue
            count = held.recalled
            if held.idle_since and now - held.idle_since >= linger:
                count = held.idle
            returned = held.return_idle(count)
            self._on_change(held.backend_id)
            if returned > 0:
                returns.setdefault(owner, {})[held.backend_id] = returned
        return [
            effects.SendToPeer(owner, messages.SlotReturn(slots))
            for owner, slots in returns.items()
        ]

    def holdings_report(
        self, owner: str, owners: dict[str, str]
    ) -> effects.Effect:
        """Return the message that reports all slots held of an owner."""
        slots = {
            backend_id: held.held
            for backend_id, held in self.holdings.items()
            if held.held > 0 and owners.get(backend_id) == owner
        }
        return effects.SendToPeer(owner, messages.SlotReport(slots))

    def forget_owners(self, is_kept: Callable[[str], bool]) -> None:
        """Discard what concerns owners for which ``is_kept`` is false.

        That is the pending requests to them, and their known free slots.
        """
        for key in [each for each in self._pending if not is_kept(each[0])]:
            del self._pending[key]
        for address in [each for each in self._hints if not is_kept(each)]:
            del self._hints[address]
