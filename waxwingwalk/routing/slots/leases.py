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
from waxwingwalk.routing.slots import borrower
from waxwingwalk.routing.slots import holding
from waxwingwalk.routing.slots import lender
from waxwingwalk.routing.slots import pool

# Tasks that are expected to get a slot of our own within this many seconds
# are not worth asking an owner for.
ASK_PATIENCE = 0.004

Effects = list[effects.Effect]


class OwnerLeases:
    """Both sides of the leases: holder of slots, and owner of pools."""

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
        self._self = self_address
        self._owner_of = owner_of
        self._members = members
        self._mean_run_time = mean_run_time
        self._linger = linger
        self._owners: dict[str, str] = {}
        self._owners_by_service: dict[str, borrower.Owners] = {}
        self._open: dict[str, dict[str, backends.Backend]] = {}
        self._wanted: dict[str, int] = {}
        self._changed: set[str] = set()
        self._lender = lender.Lender(registry, self_address, self._refresh)
        self._borrower = borrower.Borrower(self_address, self._refresh)

    @property
    def holdings(self) -> dict[str, holding.Holding]:
        """The slots that this process holds, by backend server."""
        return self._borrower.holdings

    @property
    def pools(self) -> dict[str, pool.Pool]:
        """The slots that this process owns, by backend server."""
        return self._lender.pools

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        listed = self._open.get(service, {})
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
        held = self._borrower.holding(name)
        if held.idle == 0:
            held.held += 1
            if name in self.pools:
                self.pools[name].grant(self._self, 1)
        held.acquire()
        return self._refresh(name)

    def release(self, backend_id: str, now: datetime.datetime) -> Effects:
        held = self._borrower.holding(backend_id)
        held.release(now)
        owned = self.pools.get(backend_id)
        if owned is not None:
            owned.take_back(self._self, held.give_up(held.idle))
        self._refresh(backend_id)
        if owned is None or not self._lender.has_waiting:
            return []
        return self._lender.serve_all(now)

    def pop_changed_services(self) -> Collection[str]:
        changed = self._changed
        self._changed = set()
        return changed

    def free_hints(self) -> dict[str, int]:
        return self._lender.free()

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
        self._wanted[service] = waiting
        self._lender.want(service, waiting)
        if waiting == 0 or self._is_served_soon(service, waiting):
            return []
        owners = self._owners_by_service.get(service, {})
        return self._borrower.ask(service, waiting, owners, teams, now)

    def _is_served_soon(self, service: str, waiting: int) -> bool:
        held = self._held_total(service)
        if held == 0:
            return False
        return waiting * self._mean_run_time(service) / held < ASK_PATIENCE

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> Effects:
        match message:
            case messages.SlotGrant():
                return self._borrower.receive_grant(
                    address, message, self._owners, now
                )
            case messages.SlotRequest():
                return self._lender.request(address, message, now)
            case messages.SlotReturn():
                return self._lender.take_back(address, message.slots, now)
            case messages.SlotReport():
                return self._lender.report(address, message.slots, now)
            case messages.SlotRecall():
                self._borrower.receive_recall(message)
                return self._give_back(now)
            case messages.Probe():
                self._borrower.note_free(address, message.free)
        return []

    def _give_back(self, now: datetime.datetime) -> Effects:
        return self._borrower.give_back(self._owners, self._linger(), now)

    def tick(self, now: datetime.datetime) -> Effects:
        done = self._give_back(now)
        done += self._borrower.withdraw(
            lambda service: self._wanted.get(service, 0) > 0
        )
        done += self._lender.tick(now)
        self._changed.update(self._registry.services())
        return done

    def topology_changed(self, now: datetime.datetime) -> Effects:
        """Find the owners anew, and report to those that are new."""
        old_owners = self._owners
        self._owners = {}
        owned = []
        for backend in self._registry.all():
            owner = self._owner_of(backend)
            if owner is None:
                continue
            self._owners[backend.backend_id] = owner
            if owner == self._self:
                owned.append(backend)
        self._index_owners()
        members = set(self._members())
        before = set(self.pools)
        self._lender.own(owned, self._borrower.held, members, now)
        self._borrower.forget(lambda address: address in members)
        for backend_id in before | set(self.pools) | set(self.holdings):
            self._refresh(backend_id)
        new_owners = {
            owner
            for backend_id, owner in self._owners.items()
            if old_owners.get(backend_id) != owner and owner != self._self
        }
        return [
            self._borrower.report(owner, self._owners)
            for owner in sorted(new_owners)
        ]

    def _index_owners(self) -> None:
        self._owners_by_service = {}
        for service in self._registry.services():
            owners: borrower.Owners = {}
            for backend in self._registry.offering(service):
                owner = self._owners.get(backend.backend_id)
                if owner is not None:
                    owners.setdefault(owner, []).append(backend.backend_id)
            self._owners_by_service[service] = owners

    def peer_connected(self, address: str, now: datetime.datetime) -> Effects:
        """Start afresh with a peer: what was under way may be lost."""
        self._lender.forget_demand(address)
        self._borrower.forget(lambda other: other != address)
        if address in self._owners.values():
            return [self._borrower.report(address, self._owners)]
        return []

    def _refresh(self, backend_id: str) -> bool:
        """Bring the index of idle backend servers up to date."""
        backend = self._registry.get(backend_id)
        if backend is None:
            return False
        held = self._borrower.holding(backend_id)
        owned = self.pools.get(backend_id)
        is_idle = held.idle > held.recalled
        if owned is not None:
            is_idle = held.idle > 0 or owned.free() > 0
        for service in backend.spec.services:
            listed = self._open.setdefault(service, {})
            if not is_idle:
                listed.pop(backend_id, None)
            elif backend_id not in listed:
                listed[backend_id] = backend
                self._changed.add(service)
        return is_idle
