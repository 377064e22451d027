"""Slot leases, granted by one owner for each backend server.

Rendezvous hashing over the live members assigns each backend server to one
entry process, its owner, in the availability zone of the server if that zone
has a process. The owner grants slots to holders in batches. It gets them back
when they have been idle, when it recalls them for a fairer division, or when
the holder is gone. A holder sends tasks directly to the backend server; only
slots are requested from the owner.

Leases only prevent overload. If two processes both consider themselves the
owner, a backend server runs more tasks than it has slots, but no task runs
twice.
"""

from collections.abc import Callable
from collections.abc import Collection
import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing import backends
from waxwingwalk.routing.slots import holding
from waxwingwalk.routing.slots import pool
from waxwingwalk.routing.slots import slot_holder
from waxwingwalk.routing.slots import slot_owner

# No slots are requested if the slots that this process already holds are
# expected to serve all waiting tasks within this many seconds.
MIN_REQUEST_WAIT = 0.004

Effects = list[effects.Effect]


class OwnerLeases:
    """Slot sharing by leases, as holder of slots and as owner of pools."""

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        *,
        owner_of: Callable[[backends.Backend], str | None],
        members: Callable[[], list[str]],
        mean_run_time: Callable[[str], float],
        linger: Callable[[], datetime.timedelta],
    ) -> None:
        self._registry = registry
        self._self_address = self_address
        self._owner_of = owner_of
        self._members = members
        self._mean_run_time = mean_run_time
        self._linger = linger
        self._owners: dict[str, str] = {}
        self._owners_by_service: dict[str, slot_holder.Owners] = {}
        self._idle_by_service: dict[str, dict[str, backends.Backend]] = {}
        self._waiting: dict[str, int] = {}
        self._changed_services: set[str] = set()
        self._slot_owner = slot_owner.SlotOwner(
            registry, self_address, self._update_index
        )
        self._slot_holder = slot_holder.SlotHolder(
            self_address, self._update_index
        )

    @property
    def holdings(self) -> dict[str, holding.Holding]:
        """The slots that this process holds, by backend server."""
        return self._slot_holder.holdings

    @property
    def pools(self) -> dict[str, pool.Pool]:
        """The slots that this process owns, by backend server."""
        return self._slot_owner.pools

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        listed = self._idle_by_service.get(service, {})
        if only is None:
            return list(listed.values())
        return [only] if only.backend_id in listed else []

    def _held_total(self, service: str) -> int:
        return sum(
            self.holdings[backend.backend_id].held
            for backend in self._registry.offering(service)
            if backend.backend_id in self.holdings
        )

    def acquire(self, backend: backends.Backend) -> bool:
        name = backend.backend_id
        held = self._slot_holder.holding(name)
        # Free slots that this process owns are granted to it on use. After a
        # reset, the slots in use are held again before there are any pools.
        if held.idle == 0:
            held.held += 1
            if name in self.pools:
                self.pools[name].grant(self._self_address, 1)
        held.acquire()
        return self._update_index(name)

    def release(self, backend_id: str, now: datetime.datetime) -> Effects:
        held = self._slot_holder.holding(backend_id)
        held.release(now)
        owned = self.pools.get(backend_id)
        if owned is not None:
            owned.record_return(
                self._self_address, held.return_idle(held.idle)
            )
        self._update_index(backend_id)
        if owned is None or not self._slot_owner.has_demand:
            return []
        return self._slot_owner.grant_free_slots(now)

    def pop_changed_services(self) -> Collection[str]:
        changed = self._changed_services
        self._changed_services = set()
        return changed

    def free_hints(self) -> dict[str, int]:
        return self._slot_owner.free()

    def record_usage(
        self, backend_id: str, running: int, now: datetime.datetime
    ) -> None:
        return

    def advertised_load(self) -> dict[str, float]:
        return {}

    def demand(
        self,
        service: str,
        waiting: int,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> Effects:
        self._waiting[service] = waiting
        self._slot_owner.set_own_demand(service, waiting)
        if waiting == 0 or self._is_served_locally(service, waiting):
            return []
        owners = self._owners_by_service.get(service, {})
        return self._slot_holder.request_slots(
            service, waiting, owners, teams, now
        )

    def _is_served_locally(self, service: str, waiting: int) -> bool:
        held = self._held_total(service)
        if held == 0:
            return False
        return waiting * self._mean_run_time(service) / held < MIN_REQUEST_WAIT

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> Effects:
        match message:
            case messages.SlotGrant():
                return self._slot_holder.receive_grant(
                    address, message, self._owners, now
                )
            case messages.SlotRequest():
                return self._slot_owner.receive_request(address, message, now)
            case messages.SlotReturn():
                return self._slot_owner.receive_return(
                    address, message.slots, now
                )
            case messages.SlotReport():
                return self._slot_owner.receive_report(
                    address, message.slots, now
                )
            case messages.SlotRecall():
                self._slot_holder.receive_recall(message)
                return self._return_slots(now)
            case messages.Probe():
                self._slot_holder.record_free_slots(address, message.free)
        return []

    def _return_slots(self, now: datetime.datetime) -> Effects:
        return self._slot_holder.return_slots(
            self._owners, self._linger(), now
        )

    def tick(self, now: datetime.datetime) -> Effects:
        done = self._return_slots(now)
        done += self._slot_holder.withdraw_requests(
            lambda service: self._waiting.get(service, 0) > 0
        )
        done += self._slot_owner.tick(now)
        self._changed_services.update(self._registry.services())
        return done

    def topology_changed(self, now: datetime.datetime) -> Effects:
        """Recompute the owners, and report held slots to new ones."""
        old_owners = self._owners
        self._owners = {}
        owned = []
        for backend in self._registry.all():
            owner = self._owner_of(backend)
            if owner is None:
                continue
            self._owners[backend.backend_id] = owner
            if owner == self._self_address:
                owned.append(backend)
        self._index_owners()
        members = set(self._members())
        before = set(self.pools)
        self._slot_owner.set_owned_backends(
            owned, self._slot_holder.held, members, now
        )
        self._slot_holder.forget_owners(lambda address: address in members)
        for backend_id in before | set(self.pools) | set(self.holdings):
            self._update_index(backend_id)
        new_owners = {
            owner
            for backend_id, owner in self._owners.items()
            if old_owners.get(backend_id) != owner
            and owner != self._self_address
        }
        return [
            self._slot_holder.holdings_report(owner, self._owners)
            for owner in sorted(new_owners)
        ]

    def _index_owners(self) -> None:
        self._owners_by_service = {}
        for service in self._registry.services():
            owners: slot_holder.Owners = {}
            for backend in self._registry.offering(service):
                owner = self._owners.get(backend.backend_id)
                if owner is not None:
                    owners.setdefault(owner, []).append(backend.backend_id)
            self._owners_by_service[service] = owners

    def peer_connected(self, address: str, now: datetime.datetime) -> Effects:
        """Reset the state shared with a peer; messages may have been lost."""
        self._slot_owner.forget_demand(address)
        self._slot_holder.forget_owners(lambda other: other != address)
        if address in self._owners.values():
            return [self._slot_holder.holdings_report(address, self._owners)]
        return []

    def _update_index(self, backend_id: str) -> bool:
        """Update the index of idle backend servers.

        Returns whether the server has an idle slot.
        """
        backend = self._registry.get(backend_id)
        if backend is None:
            return False
        held = self._slot_holder.holding(backend_id)
        owned = self.pools.get(backend_id)
        is_idle = held.idle > held.recalled
        if owned is not None:
            is_idle = held.idle > 0 or owned.free() > 0
        for service in backend.spec.services:
            listed = self._idle_by_service.setdefault(service, {})
            if not is_idle:
                listed.pop(backend_id, None)
            elif backend_id not in listed:
                listed[backend_id] = backend
                self._changed_services.add(service)
        return is_idle
