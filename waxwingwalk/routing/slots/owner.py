"""Slot leases from one owner for each backend server.

Rendezvous hashing over the live members gives each backend server one owning
entry process, in its own availability zone where there is one. The owner
grants slots to holders in batches and has them back when they are idle, when
it recalls them for a fairer share, or when the holder is gone. A holder sends
tasks straight to the backend server; only slots pass through the owner.

Leases bound waste only. If two processes take themselves for the owner, more
tasks run on a backend server than it has slots for, and none runs twice.
"""

from collections.abc import Callable
from collections.abc import Collection
import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing import backends
from waxwingwalk.routing.slots import holding
from waxwingwalk.routing.slots import pool

# How long a new owner waits for holders to report before it grants.
TAKEOVER_GRACE = datetime.timedelta(seconds=1.5)
# Demand is repeated if no grant has come for this long.
REQUEST_TIMEOUT = datetime.timedelta(seconds=1)
# The least time between two recalls on behalf of the same holder.
RECALL_INTERVAL = datetime.timedelta(milliseconds=100)
# Tasks that are expected to get a slot of our own within this many seconds
# are not worth asking an owner for.
ASK_PATIENCE = 0.004

OwnerView = Callable[[backends.Backend], str | None]
MeanRunTime = Callable[[str], float]


class OwnerLeases:
    """Both sides of the leases: holder of slots, and owner of pools."""

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        *,
        owner_of: OwnerView,
        members: Callable[[], list[str]],
        mean_run_time: MeanRunTime,
        linger: Callable[[], datetime.timedelta],
    ) -> None:
        self._registry = registry
        self._self = self_address
        self._owner_of = owner_of
        self._members = members
        self._mean_run_time = mean_run_time
        self._linger = linger
        self._owners: dict[str, str] = {}
        self._owners_by_service: dict[str, dict[str, list[str]]] = {}
        self._holdings: dict[str, holding.Holding] = {}
        self._pools: dict[str, pool.Pool] = {}
        self._waiting: dict[tuple[str, str], pool.Waiting] = {}
        self._team_holders: dict[str, set[str]] = {}
        self._asked: dict[tuple[str, str], holding.Asked] = {}
        self._hints: dict[str, dict[str, int]] = {}
        self._open: dict[str, dict[str, backends.Backend]] = {}
        self._own_want: dict[str, int] = {}
        self._changed: set[str] = set()
        self._own_recalled_at = datetime.datetime.min.replace(
            tzinfo=datetime.UTC
        )
        self._serial = 0

    # What the dispatcher asks.

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        listed = self._open.get(service, {})
        if only is None:
            return list(listed.values())
        return [only] if only.backend_id in listed else []

    def held_total(self, service: str) -> int:
        return sum(
            self._holdings[backend.backend_id].held
            for backend in self._registry.offering(service)
            if backend.backend_id in self._holdings
        )

    def take(self, backend: backends.Backend) -> bool:
        backend_id = backend.backend_id
        held = self._holding(backend_id)
        if held.idle == 0:
            held.held += 1
            owned = self._pools.get(backend_id)
            if owned is not None:
                owned.grant(self._self, 1)
        held.take()
        return self._refresh(backend_id)

    def release(
        self, backend_id: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        held = self._holding(backend_id)
        held.release(now)
        if backend_id not in self._pools:
            self._refresh(backend_id)
            return []
        self._give_back_own(held)
        self._refresh(backend_id)
        return self._serve_all(now) if self._waiting else []

    def served_services(self) -> Collection[str]:
        changed = self._changed
        self._changed = set()
        return changed

    def free_hints(self) -> dict[str, int]:
        return {key: each.free() for key, each in self._pools.items()}

    def note_usage(
        self, backend_id: str, running: int, now: datetime.datetime
    ) -> None:
        return

    def stated_load(self) -> dict[str, float]:
        return {}

    # Demand: the holder's side.

    def demand(
        self,
        service: str,
        waiting: int,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        self._own_want[service] = waiting
        if waiting == 0 or self._served_soon(service, waiting):
            return []
        asked = self._outstanding(service, now)
        missing = waiting - asked
        if missing <= 0:
            return []
        shares = self._split_demand(service, missing)
        weights = teams() if shares else {}
        return [
            self._request(owner, service, count, weights, now)
            for owner, count in shares.items()
        ]

    def _served_soon(self, service: str, waiting: int) -> bool:
        held = self.held_total(service)
        if held == 0:
            return False
        return waiting * self._mean_run_time(service) / held < ASK_PATIENCE

    def _outstanding(self, service: str, now: datetime.datetime) -> int:
        total = 0
        for owner in self._owners_by_service.get(service, {}):
            asked = self._asked.get((owner, service))
            if asked is None or asked.asked_at is None:
                continue
            if now - asked.asked_at > REQUEST_TIMEOUT:
                asked.want = 0
                continue
            total += asked.want
        return total

    def _split_demand(self, service: str, missing: int) -> dict[str, int]:
        """Divide demand among owners, those with known free slots first."""
        owners = self._owners_by_service.get(service, {})
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
        hints = self._hints.get(owner)
        if hints is None:
            return 0
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
        return effects.SendToPeer(
            owner,
            messages.SlotRequest(service, asked.want, asked.serial, teams),
        )

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial

    # Messages.

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> list[effects.Effect]:
        match message:
            case messages.SlotGrant():
                return self._receive_grant(address, message, now)
            case messages.SlotRequest():
                return self._receive_request(address, message, now)
            case messages.SlotReturn():
                return self._receive_return(address, message, now)
            case messages.SlotRecall():
                return self._receive_recall(message)
            case messages.SlotReport():
                return self._receive_report(address, message, now)
            case messages.Probe():
                self._hints[address] = message.free
        return []

    def _receive_grant(
        self,
        address: str,
        message: messages.SlotGrant,
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        self._hints[address] = message.free
        asked = self._asked.get((address, message.service))
        if asked is not None:
            asked.want = max(0, asked.want - sum(message.slots.values()))
        refused: dict[str, int] = {}
        for backend_id, count in message.slots.items():
            if self._owners.get(backend_id) != address:
                refused[backend_id] = count
                continue
            self._holding(backend_id).receive(count, now)
            self._refresh(backend_id)
        if refused:
            return [effects.SendToPeer(address, messages.SlotReturn(refused))]
        return []

    def _receive_recall(
        self, message: messages.SlotRecall
    ) -> list[effects.Effect]:
        for backend_id, count in message.slots.items():
            held = self._holdings.get(backend_id)
            if held is not None:
                held.recalled = min(held.held, count)
                self._refresh(backend_id)
        return self._return_recalled()

    def _receive_request(
        self,
        address: str,
        message: messages.SlotRequest,
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        key = (address, message.service)
        self._waiting.pop(key, None)
        for team in message.teams:
            self._team_holders.setdefault(team, set()).add(address)
        if message.want > 0:
            self._waiting[key] = pool.Waiting(
                holder=address,
                service=message.service,
                want=message.want,
                serial=message.serial,
                weight=self._weight(message.teams),
                since=now,
            )
        return self._serve(message.service, now) + self._recall(key, now)

    def _receive_return(
        self,
        address: str,
        message: messages.SlotReturn,
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        for backend_id, count in message.slots.items():
            owned = self._pools.get(backend_id)
            if owned is not None:
                owned.take_back(address, count)
                self._refresh(backend_id)
        return self._serve_all(now)

    def _receive_report(
        self,
        address: str,
        message: messages.SlotReport,
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        for backend_id, owned in self._pools.items():
            owned.report(address, message.slots.get(backend_id, 0))
            self._refresh(backend_id)
        return self._serve_all(now)

    # Granting: the owner's side.

    def _weight(self, teams: dict[str, float]) -> float:
        weight = sum(
            weight / max(1, len(self._team_holders.get(team, ())))
            for team, weight in teams.items()
        )
        return max(weight, 1e-6)

    def _serve_all(self, now: datetime.datetime) -> list[effects.Effect]:
        wanted = {service for _, service in self._waiting}
        return [
            effect
            for service in sorted(wanted)
            for effect in self._serve(service, now)
        ]

    def _serve(
        self, service: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Grant free slots to the holders that wait for a service.

        Each slot goes to the holder with the least granted for its weight.
        This process's own demand counts like that of any other.
        """
        grants: dict[str, dict[str, int]] = {}
        for owned in self._granting_pools(service, now):
            while owned.free() > 0:
                holder = self._next_holder(service)
                if holder is None or holder == self._self:
                    break
                owned.grant(holder, 1)
                self._waiting[holder, service].want -= 1
                granted = grants.setdefault(holder, {})
                granted[owned.backend_id] = (
                    granted.get(owned.backend_id, 0) + 1
                )
            self._refresh(owned.backend_id)
        return [
            self._grant_message(holder, service, slots)
            for holder, slots in grants.items()
        ]

    def _grant_message(
        self, holder: str, service: str, slots: dict[str, int]
    ) -> effects.Effect:
        waiting = self._waiting[holder, service]
        if waiting.want <= 0:
            del self._waiting[holder, service]
        return effects.SendToPeer(
            holder,
            messages.SlotGrant(
                service, slots, waiting.serial, self.free_hints()
            ),
        )

    def _granting_pools(
        self, service: str, now: datetime.datetime
    ) -> list[pool.Pool]:
        granting = []
        for backend in self._registry.offering(service):
            owned = self._pools.get(backend.backend_id)
            if owned is not None and backend.accepts_work(now):
                granting.append(owned)
        return granting

    def _next_holder(self, service: str) -> str | None:
        best = None
        best_level = float("inf")
        for (holder, wanted), waiting in self._waiting.items():
            if wanted != service or waiting.want <= 0:
                continue
            level = self._granted_to(holder) / waiting.weight
            if level < best_level:
                best, best_level = holder, level
        if best is None or self._own_want.get(service, 0) == 0:
            return best
        own_level = self._granted_to(self._self)
        other_level = self._granted_to(best)
        return self._self if own_level < other_level else best

    def _granted_to(self, holder: str) -> int:
        return sum(
            owned.granted.get(holder, 0) for owned in self._pools.values()
        )

    def _recall(
        self, key: tuple[str, str], now: datetime.datetime
    ) -> list[effects.Effect]:
        """Ask holders above the waiting one's share for slots."""
        waiting = self._waiting.get(key)
        if waiting is None or waiting.want <= 0:
            return []
        if (
            waiting.recalled_at is not None
            and now - waiting.recalled_at < RECALL_INTERVAL
        ):
            return []
        waiting.recalled_at = now
        return self._recall_for(waiting.holder)

    def _recall_own(self, now: datetime.datetime) -> list[effects.Effect]:
        """Ask for slots on behalf of this process's own waiting tasks."""
        if not any(self._own_want.values()):
            return []
        if now - self._own_recalled_at < RECALL_INTERVAL:
            return []
        self._own_recalled_at = now
        return self._recall_for(self._self)

    def _recall_for(self, waiter: str) -> list[effects.Effect]:
        recalls: list[effects.Effect] = []
        level = self._granted_to(waiter)
        for holder in self._holders():
            if holder in (self._self, waiter):
                continue
            excess = self._granted_to(holder) - level
            if excess < 2:
                continue
            slots = self._choose_recall(holder, excess // 2)
            recalls.append(
                effects.SendToPeer(holder, messages.SlotRecall(slots))
            )
        return recalls

    def _holders(self) -> list[str]:
        return sorted(
            {
                holder
                for owned in self._pools.values()
                for holder in owned.granted
            }
        )

    def _choose_recall(self, holder: str, count: int) -> dict[str, int]:
        slots = {}
        for owned in self._pools.values():
            taken = min(count, owned.granted.get(holder, 0))
            if taken:
                slots[owned.backend_id] = taken
                count -= taken
        return slots

    # Time and topology.

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        done = self._return_recalled()
        done += self._return_lingering(now)
        done += self._withdraw_demand(now)
        for backend_id, owned in self._pools.items():
            if not owned.is_ready and now >= owned.ready_at:
                owned.is_ready = True
                self._refresh(backend_id)
        done += self._serve_all(now)
        for key in list(self._waiting):
            done += self._recall(key, now)
        done += self._recall_own(now)
        self._changed.update(self._registry.services())
        return done

    def _return_lingering(
        self, now: datetime.datetime
    ) -> list[effects.Effect]:
        linger = self._linger()
        returns: dict[str, dict[str, int]] = {}
        for held in self._holdings.values():
            owner = self._owners.get(held.backend_id)
            if held.idle_since is None or owner is None:
                continue
            if now - held.idle_since >= linger:
                self._collect(returns, owner, held, held.idle)
        return self._return_messages(returns)

    def _return_recalled(self) -> list[effects.Effect]:
        returns: dict[str, dict[str, int]] = {}
        for held in self._holdings.values():
            owner = self._owners.get(held.backend_id)
            if held.recalled > 0 and held.idle > 0 and owner is not None:
                self._collect(returns, owner, held, held.recalled)
        return self._return_messages(returns)

    def _collect(
        self,
        returns: dict[str, dict[str, int]],
        owner: str,
        held: holding.Holding,
        count: int,
    ) -> None:
        count = held.give_up(count)
        self._refresh(held.backend_id)
        if count > 0:
            returns.setdefault(owner, {})[held.backend_id] = count

    def _return_messages(
        self, returns: dict[str, dict[str, int]]
    ) -> list[effects.Effect]:
        return [
            effects.SendToPeer(owner, messages.SlotReturn(slots))
            for owner, slots in returns.items()
        ]

    def _withdraw_demand(self, now: datetime.datetime) -> list[effects.Effect]:
        """Take back requests that nothing waits for any more."""
        withdrawn: list[effects.Effect] = []
        for (owner, service), asked in self._asked.items():
            if asked.want > 0 and self._own_want.get(service, 0) == 0:
                asked.want = 0
                asked.serial = self._next_serial()
                withdrawn.append(
                    effects.SendToPeer(
                        owner,
                        messages.SlotRequest(service, 0, asked.serial, {}),
                    )
                )
        return withdrawn

    def topology_changed(self, now: datetime.datetime) -> list[effects.Effect]:
        """Find the owners anew, and report to those that are new."""
        old_owners = self._owners
        self._owners = {}
        for backend in self._registry.all():
            owner = self._owner_of(backend)
            if owner is not None:
                self._owners[backend.backend_id] = owner
        self._index_owners()
        self._replace_pools(now)
        self._drop_gone_members()
        changed_owners = {
            owner
            for backend_id, owner in self._owners.items()
            if old_owners.get(backend_id) != owner
        }
        self._forget_owner_requests()
        for backend_id in self._holdings:
            self._refresh(backend_id)
        return [
            self._report(owner)
            for owner in sorted(changed_owners)
            if owner != self._self
        ]

    def _index_owners(self) -> None:
        self._owners_by_service = {}
        for service in self._registry.services():
            owners: dict[str, list[str]] = {}
            for backend in self._registry.offering(service):
                owner = self._owners.get(backend.backend_id)
                if owner is not None:
                    owners.setdefault(owner, []).append(backend.backend_id)
            self._owners_by_service[service] = owners

    def _replace_pools(self, now: datetime.datetime) -> None:
        pools = {}
        is_alone = len(self._members()) == 1
        for backend_id, owner in self._owners.items():
            if owner != self._self:
                continue
            backend = self._registry.get(backend_id)
            assert backend is not None
            owned = self._pools.get(backend_id)
            if owned is None:
                ready_at = now if is_alone else now + TAKEOVER_GRACE
                owned = pool.Pool(backend_id, backend.spec.slots, ready_at)
                owned.is_ready = is_alone
                held = self._holding(backend_id)
                owned.report(self._self, held.held)
            owned.slots = backend.spec.slots
            pools[backend_id] = owned
        for backend_id in self._pools.keys() - pools.keys():
            self._open_remove(backend_id)
        self._pools = pools

    def _drop_gone_members(self) -> None:
        members = set(self._members())
        for owned in self._pools.values():
            for holder in owned.granted.keys() - members:
                owned.drop(holder)
        for key in [each for each in self._waiting if each[0] not in members]:
            del self._waiting[key]
        for holders in self._team_holders.values():
            holders &= members

    def _forget_owner_requests(self) -> None:
        members = set(self._members())
        for key in [each for each in self._asked if each[0] not in members]:
            del self._asked[key]
        for address in self._hints.keys() - members:
            del self._hints[address]

    def peer_connected(
        self, address: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Start afresh with a peer: what was under way may be lost."""
        for key in [each for each in self._waiting if each[0] == address]:
            del self._waiting[key]
        for key in [each for each in self._asked if each[0] == address]:
            del self._asked[key]
        if address in set(self._owners.values()):
            return [self._report(address)]
        return []

    def _report(self, owner: str) -> effects.Effect:
        slots = {
            backend_id: held.held
            for backend_id, held in self._holdings.items()
            if held.held > 0 and self._owners.get(backend_id) == owner
        }
        return effects.SendToPeer(owner, messages.SlotReport(slots))

    # Bookkeeping.

    def _holding(self, backend_id: str) -> holding.Holding:
        held = self._holdings.get(backend_id)
        if held is None:
            held = holding.Holding(backend_id)
            self._holdings[backend_id] = held
        return held

    def _give_back_own(self, held: holding.Holding) -> None:
        count = held.give_up(held.idle)
        self._pools[held.backend_id].take_back(self._self, count)

    def _refresh(self, backend_id: str) -> bool:
        """Bring the index of idle backend servers up to date."""
        backend = self._registry.get(backend_id)
        if backend is None:
            return False
        held = self._holding(backend_id)
        owned = self._pools.get(backend_id)
        usable = (
            held.idle > held.recalled
            if owned is None
            else (held.idle > 0 or owned.free() > 0)
        )
        for service in backend.spec.services:
            listed = self._open.setdefault(service, {})
            if usable:
                if backend_id not in listed:
                    listed[backend_id] = backend
                    self._changed.add(service)
            else:
                listed.pop(backend_id, None)
        return usable

    def _open_remove(self, backend_id: str) -> None:
        for listed in self._open.values():
            listed.pop(backend_id, None)
