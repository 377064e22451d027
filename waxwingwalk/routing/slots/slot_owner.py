"""The owner of leased slots: grants, returns and recalls."""

from collections.abc import Callable
import datetime

from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing import backends
from waxwingwalk.routing.slots import pool

# The minimum time between two recalls for the same demand. A new request
# replaces the holder's demand, so that slots may be recalled at once. The
# demand of this process for all its services counts as one.
RECALL_INTERVAL = datetime.timedelta(milliseconds=100)
# How long a new owner waits for holders to report before it grants slots.
TAKEOVER_GRACE = datetime.timedelta(seconds=1.5)
# Slots are recalled only from holders with at least this many more slots than
# the waiting holder.
MIN_RECALL_EXCESS = 2

Effects = list[effects.Effect]


class SlotOwner:
    """Grants the slots of the backend servers that this process owns.

    ``on_change`` is called with each backend server whose free slots may have
    changed. This process's own demand competes with that of the holders.
    """

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        on_change: Callable[[str], object],
    ) -> None:
        self._registry = registry
        self._self_address = self_address
        self._on_change = on_change
        self._demands: dict[tuple[str, str], pool.Demand] = {}
        self._team_holders: dict[str, set[str]] = {}
        self._own_waiting: dict[str, int] = {}
        self._own_recalled_at = clock.DISTANT_PAST
        self.pools: dict[str, pool.Pool] = {}

    @property
    def has_demand(self) -> bool:
        """Whether any other process has unmet demand."""
        return bool(self._demands)

    def free(self) -> dict[str, int]:
        """Return the free slots by backend server."""
        return {key: each.free() for key, each in self.pools.items()}

    def set_own_demand(self, service: str, waiting: int) -> None:
        """Set how many tasks of this process are waiting for a slot."""
        self._own_waiting[service] = waiting

    # Messages from holders.

    def receive_request(
        self,
        address: str,
        message: messages.SlotRequest,
        now: datetime.datetime,
    ) -> Effects:
        """Record the unmet demand of a holder."""
        key = (address, message.service)
        self._demands.pop(key, None)
        for team in message.teams:
            self._team_holders.setdefault(team, set()).add(address)
        if message.want > 0:
            self._demands[key] = pool.Demand(
                holder=address,
                service=message.service,
                slot_count=message.want,
                serial=message.serial,
                weight=self._weight(message.teams),
                since=now,
            )
        return self._grant(message.service, now) + self._recall(key, now)

    def receive_return(
        self, address: str, slots: dict[str, int], now: datetime.datetime
    ) -> Effects:
        """Process slots that a holder returned."""
        for backend_id, count in slots.items():
            owned = self.pools.get(backend_id)
            if owned is not None:
                owned.record_return(address, count)
                self._on_change(backend_id)
        return self.grant_free_slots(now)

    def receive_report(
        self, address: str, slots: dict[str, int], now: datetime.datetime
    ) -> Effects:
        """Process a report of all slots that a holder has."""
        for backend_id, owned in self.pools.items():
            owned.set_granted(address, slots.get(backend_id, 0))
            self._on_change(backend_id)
        return self.grant_free_slots(now)

    def forget_demand(self, address: str) -> None:
        """Discard the demand of a holder, which will request again."""
        for key in [each for each in self._demands if each[0] == address]:
            del self._demands[key]

    # Grants.

    def _weight(self, teams: dict[str, float]) -> float:
        """Return the weight of a holder with these waiting teams.

        The weight of a team is divided among the holders that have requested
        slots for it.
        """
        weight = sum(
            weight / max(1, len(self._team_holders.get(team, ())))
            for team, weight in teams.items()
        )
        return max(weight, 1e-6)

    def grant_free_slots(self, now: datetime.datetime) -> Effects:
        """Grant free slots to the holders with unmet demand."""
        services = {service for _, service in self._demands}
        return [
            effect
            for service in sorted(services)
            for effect in self._grant(service, now)
        ]

    def _grant(self, service: str, now: datetime.datetime) -> Effects:
        """Grant each free slot to the holder with the fewest slots per weight.

        Slots are left free for this process if tasks of the service wait here
        and it has fewer slots than that holder.
        """
        grants: dict[str, dict[str, int]] = {}
        for owned in self._granting_pools(service, now):
            while owned.free() > 0:
                holder = self._next_holder(service)
                if holder is None or holder == self._self_address:
                    break
                owned.grant(holder, 1)
                self._demands[holder, service].slot_count -= 1
                slots = grants.setdefault(holder, {})
                slots[owned.backend_id] = slots.get(owned.backend_id, 0) + 1
            self._on_change(owned.backend_id)
        return [
            self._grant_message(holder, service, slots)
            for holder, slots in grants.items()
        ]

    def _grant_message(
        self, holder: str, service: str, slots: dict[str, int]
    ) -> effects.Effect:
        demand = self._demands[holder, service]
        if demand.slot_count <= 0:
            del self._demands[holder, service]
        grant = messages.SlotGrant(service, slots, demand.serial, self.free())
        return effects.SendToPeer(holder, grant)

    def _granting_pools(
        self, service: str, now: datetime.datetime
    ) -> list[pool.Pool]:
        granting = []
        for backend in self._registry.offering(service):
            owned = self.pools.get(backend.backend_id)
            if owned is not None and backend.accepts_work(now):
                granting.append(owned)
        return granting

    def _next_holder(self, service: str) -> str | None:
        best = None
        best_ratio = float("inf")
        for (holder, service_name), demand in self._demands.items():
            if service_name != service or demand.slot_count <= 0:
                continue
            ratio = self._granted_to(holder) / demand.weight
            if ratio < best_ratio:
                best, best_ratio = holder, ratio
        if best is None or self._own_waiting.get(service, 0) == 0:
            return best
        is_own_lower = self._granted_to(self._self_address) < self._granted_to(
            best
        )
        return self._self_address if is_own_lower else best

    def _granted_to(self, holder: str) -> int:
        return sum(
            owned.granted.get(holder, 0) for owned in self.pools.values()
        )

    # Recalls.

    def _recall(self, key: tuple[str, str], now: datetime.datetime) -> Effects:
        """Recall slots from holders that have more, to meet a demand."""
        demand = self._demands.get(key)
        if demand is None or demand.slot_count <= 0:
            return []
        recalled_at = demand.recalled_at or clock.DISTANT_PAST
        if now - recalled_at < RECALL_INTERVAL:
            return []
        demand.recalled_at = now
        return self._recall_for_holder(demand.holder)

    def _recall_for_self(self, now: datetime.datetime) -> Effects:
        """Recall slots for this process's own waiting tasks."""
        if not any(self._own_waiting.values()):
            return []
        if now - self._own_recalled_at < RECALL_INTERVAL:
            return []
        self._own_recalled_at = now
        return self._recall_for_holder(self._self_address)

    def _recall_for_holder(self, waiting_holder: str) -> Effects:
        recalls: Effects = []
        granted = self._granted_to(waiting_holder)
        for holder in self._holders():
            if holder in (self._self_address, waiting_holder):
                continue
            excess = self._granted_to(holder) - granted
            if excess >= MIN_RECALL_EXCESS:
                slots = self._choose_recall(holder, excess // 2)
                message = messages.SlotRecall(slots)
                recalls.append(effects.SendToPeer(holder, message))
        return recalls

    def _holders(self) -> list[str]:
        return sorted(
            {
                holder
                for owned in self.pools.values()
                for holder in owned.granted
            }
        )

    def _choose_recall(self, holder: str, count: int) -> dict[str, int]:
        slots = {}
        for owned in self.pools.values():
            recalled = min(count, owned.granted.get(holder, 0))
            if recalled:
                slots[owned.backend_id] = recalled
                count -= recalled
        return slots

    # Periodic work and topology.

    def tick(self, now: datetime.datetime) -> Effects:
        """Mark pools as ready after the grace period; grant and recall."""
        for backend_id, owned in self.pools.items():
            if not owned.is_ready and now >= owned.ready_at:
                owned.is_ready = True
                self._on_change(backend_id)
        done = self.grant_free_slots(now)
        for key in list(self._demands):
            done += self._recall(key, now)
        return done + self._recall_for_self(now)

    def set_owned_backends(
        self,
        owned: list[backends.Backend],
        held: Callable[[str], int],
        members: set[str],
        now: datetime.datetime,
    ) -> None:
        """Replace the set of owned backend servers.

        ``held`` returns how many slots this process itself holds of one.
        """
        is_alone = len(members) == 1
        pools = {}
        for backend in owned:
            name = backend.backend_id
            known = self.pools.get(name)
            if known is None:
                ready_at = now if is_alone else now + TAKEOVER_GRACE
                known = pool.Pool(name, backend.spec.slots, ready_at)
                known.is_ready = is_alone
                known.set_granted(self._self_address, held(name))
            known.slots = backend.spec.slots
            pools[name] = known
        self.pools = pools
        self._remove_gone_holders(members)

    def _remove_gone_holders(self, members: set[str]) -> None:
        for owned in self.pools.values():
            for holder in (
                owned.granted.keys() - members - {self._self_address}
            ):
                owned.revoke(holder)
        for key in [each for each in self._demands if each[0] not in members]:
            del self._demands[key]
        for holders in self._team_holders.values():
            holders &= members
