"""What this process knows of each backend server."""

import dataclasses
import datetime

from waxwingwalk.core import model


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server, with this process's own view of it.

    ``set_aside_until`` holds work back after failures; ``is_on_probation``
    admits one task at a time after such a pause. ``occupancy`` is the share
    of its slots that is thought to be in use, where it is estimated.
    ``suspect_until`` marks one whose tasks are overdue: it gets work only
    when no other will do.
    """

    spec: model.BackendSpec
    running: int = 0
    set_aside_until: datetime.datetime | None = None
    set_aside_pause: datetime.timedelta | None = None
    is_on_probation: bool = False
    connect_failures: int = 0
    last_reply_at: datetime.datetime | None = None
    occupancy: float = 0.0
    suspect_until: datetime.datetime | None = None

    @property
    def backend_id(self) -> str:
        """The id from the host list."""
        return self.spec.backend_id

    def accepts_work(self, now: datetime.datetime) -> bool:
        """Tell whether a task may be sent there now."""
        if self.spec.state is not model.BackendState.LIVE:
            return False
        if self.set_aside_until is not None and now < self.set_aside_until:
            return False
        return not (self.is_on_probation and self.running > 0)

    def set_aside(
        self, now: datetime.datetime, pause: datetime.timedelta
    ) -> None:
        """Hold work back for a while, then admit one task at a time."""
        self.set_aside_pause = pause
        self.set_aside_until = now + pause
        self.is_on_probation = True

    def readmit(self) -> None:
        """Take the backend server back into full service."""
        self.set_aside_until = None
        self.suspect_until = None
        self.set_aside_pause = None
        self.is_on_probation = False
        self.connect_failures = 0


class BackendRegistry:
    """All known backend servers, by id and by service."""

    def __init__(self) -> None:
        self._by_id: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}

    def get(self, backend_id: str) -> Backend | None:
        """Return the backend server with this id, if known."""
        return self._by_id.get(backend_id)

    def all(self) -> list[Backend]:
        """Return every known backend server."""
        return list(self._by_id.values())

    def offering(self, service: str) -> list[Backend]:
        """Return the backend servers that offer a service."""
        return self._by_service.get(service, [])

    def services(self) -> list[str]:
        """Return the names of all offered services."""
        return list(self._by_service)

    def replace(self, listed: list[model.BackendSpec]) -> bool:
        """Take in a host list; True if anything changed.

        A backend server that was known to leave stays leaving for the same
        incarnation, whatever an older list says. One that is no longer
        listed gets no new work.
        """
        is_changed = False
        seen = set()
        for spec in listed:
            seen.add(spec.backend_id)
            is_changed |= self._merge(spec)
        for backend_id, backend in self._by_id.items():
            if backend_id not in seen:
                is_changed |= self._mark(backend, model.BackendState.GONE)
        if is_changed:
            self._index()
        return is_changed

    def mark_leaving(self, backend_id: str, incarnation: str) -> bool:
        """Record that a backend server leaves; True if that is news."""
        backend = self._by_id.get(backend_id)
        if backend is None or backend.spec.incarnation != incarnation:
            return False
        if backend.spec.state is not model.BackendState.LIVE:
            return False
        return self._mark(backend, model.BackendState.LEAVING)

    def _merge(self, spec: model.BackendSpec) -> bool:
        known = self._by_id.get(spec.backend_id)
        if known is None:
            self._by_id[spec.backend_id] = Backend(spec)
            return True
        if known.spec.incarnation != spec.incarnation:
            known.spec = spec
            known.readmit()
            return True
        if known.spec.state is model.BackendState.LEAVING:
            spec = dataclasses.replace(spec, state=known.spec.state)
        if known.spec == spec:
            return False
        known.spec = spec
        return True

    def _mark(self, backend: Backend, state: model.BackendState) -> bool:
        if backend.spec.state is state:
            return False
        backend.spec = dataclasses.replace(backend.spec, state=state)
        return True

    def _index(self) -> None:
        self._by_service = {}
        for backend in self._by_id.values():
            for service in backend.spec.services:
                self._by_service.setdefault(service, []).append(backend)
