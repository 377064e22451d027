"""Slot sharing without slot messages.

The base class is shared with the occupancy estimate. The other classes are
baselines to compare leases with.
"""

from collections.abc import Callable
from collections.abc import Collection
import datetime

import xxhash

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing import backends

MembersView = Callable[[], list[str]]


class MessagelessSlots:
    """Base class of slot sharing that requests no slots from peers."""

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        members: MembersView,
    ) -> None:
        self._registry = registry
        self._self_address = self_address
        self._members = members
        self._changed_services: set[str] = set()

    def demand(
        self,
        service: str,
        waiting: int,
        teams: Callable[[], dict[str, float]],
        now: datetime.datetime,
    ) -> list[effects.Effect]:
        return []

    def peer_connected(
        self, address: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        return []

    def free_hints(self) -> dict[str, int]:
        return {}

    def pop_changed_services(self) -> Collection[str]:
        changed = self._changed_services
        self._changed_services = set()
        return changed


class UnlimitedSlots(MessagelessSlots):
    """Sends tasks at once, limited only by a share of the connections."""

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        members: MembersView,
    ) -> None:
        super().__init__(registry, self_address, members)
        self._busy: dict[str, int] = {}

    def _limit(self, backend: backends.Backend) -> int:
        processes = max(1, len(self._members()))
        return max(1, backend.spec.connections // processes)

    def idle(
        self, service: str, only: backends.Backend | None = None
    ) -> Collection[backends.Backend]:
        candidates = [only] if only else self._registry.offering(service)
        return [
            backend
            for backend in candidates
            if self._busy.get(backend.backend_id, 0) < self._limit(backend)
        ]

    def acquire(self, backend: backends.Backend) -> bool:
        busy = self._busy.get(backend.backend_id, 0) + 1
        self._busy[backend.backend_id] = busy
        return busy < self._limit(backend)

    def release(
        self, backend_id: str, now: datetime.datetime
    ) -> list[effects.Effect]:
        self._busy[backend_id] -= 1
        backend = self._registry.get(backend_id)
        if backend is not None:
            self._changed_services |= backend.spec.services
        return []

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        self._changed_services.update(self._registry.services())
        return []

    def topology_changed(self, now: datetime.datetime) -> list[effects.Effect]:
        return self.tick(now)

    def receive(
        self, address: str, message: messages.Message, now: datetime.datetime
    ) -> list[effects.Effect]:
        return []

    def record_usage(
        self, backend_id: str, running: int, now: datetime.datetime
    ) -> None:
        return

    def advertised_load(self) -> dict[str, float]:
        return {}


class EqualShareSlots(UnlimitedSlots):
    """Gives every entry process an equal, fixed share of each server's slots.

    The remainder is assigned in an order that differs between backend
    servers. A process that is leaving is no longer among the live members,
    but computes its own share as if it were; until it has left, its share
    overlaps the others.
    """

    def _limit(self, backend: backends.Backend) -> int:
        members = sorted({*self._members(), self._self_address})
        share, rest = divmod(backend.spec.slots, len(members))
        offset = xxhash.xxh32_intdigest(backend.backend_id.encode())
        rank = (members.index(self._self_address) + offset) % len(members)
        return share + (1 if rank < rest else 0)
