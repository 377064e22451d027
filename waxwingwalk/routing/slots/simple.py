"""Slot sharing without messages: the baselines of the owner's leases."""

from collections.abc import Callable
from collections.abc import Collection
import datetime

import xxhash

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.routing import backends

MembersView = Callable[[], list[str]]


class MessagelessSlots:
    """What slot sharing without requests for slots has in common."""

    def __init__(
        self,
        registry: backends.BackendRegistry,
        self_address: str,
        members: MembersView,
    ) -> None:
        self._registry = registry
        self._self_address = self_address
        self._members = members
        self._changed: set[str] = set()

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
        changed = self._changed
        self._changed = set()
        return changed


class UnlimitedSlots(MessagelessSlots):
    """Sends at once, bounded only by the share of connections."""

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
        asked = [only] if only else self._registry.offering(service)
        return [
            backend
            for backend in asked
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
            self._changed |= backend.spec.services
        return []

    def tick(self, now: datetime.datetime) -> list[effects.Effect]:
        self._changed.update(self._registry.services())
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
    """Every entry process uses an equal, fixed share of every slot count.

    What does not divide evenly is dealt out in an order that differs from
    one backend server to the next. A process that is leaving is no longer
    among the members, and takes its share beside theirs.
    """

    def _limit(self, backend: backends.Backend) -> int:
        members = sorted({*self._members(), self._self_address})
        share, rest = divmod(backend.spec.slots, len(members))
        offset = xxhash.xxh32_intdigest(backend.backend_id.encode())
        rank = (members.index(self._self_address) + offset) % len(members)
        return share + (1 if rank < rest else 0)
