"""The view that an entry process has of each backend server."""

import dataclasses
import datetime

from waxwingwalk.core import model


@dataclasses.dataclass(slots=True)
class Backend:
    """A backend server, as seen by this process.

    The server gets no tasks before ``ejected_until``, which is set after
    failures. Once that time has passed, ``is_on_probation`` limits it to one
    task at a time; both stay set until the server is readmitted.
    ``last_reply_at`` is when it last completed or rejected a task; failed
    tasks do not count. ``occupancy`` is the estimated share of its slots in
    use; it stays zero if the slot sharing makes no estimate. While
    ``suspect_until`` is set, the server is a last resort: its tasks are
    overdue, or other servers of its rack are unreachable.
    """

    spec: model.BackendSpec
    running: int = 0
    ejected_until: datetime.datetime | None = None
    ejection_time: datetime.timedelta | None = None
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
        """Return whether a task may be sent to this server now."""
        if self.spec.state is not model.BackendState.LIVE:
            return False
        if self.ejected_until is not None and now < self.ejected_until:
            return False
        return not (self.is_on_probation and self.running > 0)

    def eject(
        self, now: datetime.datetime, duration: datetime.timedelta
    ) -> None:
        """Send no tasks for a while, then one task at a time."""
        self.ejection_time = duration
        self.ejected_until = now + duration
        self.is_on_probation = True

    def readmit(self) -> None:
        """Return the backend server to full service."""
        self.ejected_until = None
        self.suspect_until = None
        self.ejection_time = None
        self.is_on_probation = False
        self.connect_failures = 0


# Maximum number of incarnations that are remembered as leaving.
LEAVING_MAX = 10_000


class BackendRegistry:
    """All known backend servers, by id and by service.

    An incarnation that was reported as leaving is remembered, whether it is
    listed at that time or not.
    """

    def __init__(self) -> None:
        # The values are not used: a dict keeps the order of insertion.
        self._leaving: dict[tuple[str, str], None] = {}
        self._by_id: dict[str, Backend] = {}
        self._by_service: dict[str, list[Backend]] = {}

    def get(self, backend_id: str) -> Backend | None:
        """Return the backend server with this id, if known."""
        return self._by_id.get(backend_id)

    def all(self) -> list[Backend]:
        """Return every known backend server."""
        return list(self._by_id.values())

    def offering(self, service: str) -> list[Backend]:
        """Return the servers that offer a service, in any state."""
        return self._by_service.get(service, [])

    def services(self) -> list[str]:
        """Return the names of all offered services."""
        return list(self._by_service)

    def replace(self, listed: list[model.BackendSpec]) -> bool:
        """Apply a host list; return whether anything changed.

        A backend server that is known to be leaving stays in that state for
        the same incarnation, because the list may be older. One that is no
        longer listed is marked as gone and gets no new tasks until it is
        listed again.
        """
        is_changed = False
        seen = set()
        for spec in listed:
            seen.add(spec.backend_id)
            is_changed |= self._merge(spec)
        for backend_id, backend in self._by_id.items():
            if backend_id not in seen:
                is_changed |= self._set_state(backend, model.BackendState.GONE)
        if is_changed:
            self._rebuild_index()
        return is_changed

    def mark_leaving(self, backend_id: str, incarnation: str) -> bool:
        """Mark a backend server as leaving; return whether it was live."""
        self._remember_leaving(backend_id, incarnation)
        backend = self._by_id.get(backend_id)
        if backend is None or backend.spec.incarnation != incarnation:
            return False
        if backend.spec.state is not model.BackendState.LIVE:
            return False
        return self._set_state(backend, model.BackendState.LEAVING)

    def _remember_leaving(self, backend_id: str, incarnation: str) -> None:
        key = (backend_id, incarnation)
        if key in self._leaving:
            return
        if len(self._leaving) >= LEAVING_MAX:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[key] = None

    def _merge(self, spec: model.BackendSpec) -> bool:
        leaving = model.BackendState.LEAVING
        if spec.state is leaving:
            self._remember_leaving(spec.backend_id, spec.incarnation)
        elif (spec.backend_id, spec.incarnation) in self._leaving:
            spec = dataclasses.replace(spec, state=leaving)
        known = self._by_id.get(spec.backend_id)
        if known is None:
            self._by_id[spec.backend_id] = Backend(spec)
            return True
        if known.spec.incarnation != spec.incarnation:
            known.spec = spec
            known.readmit()
            return True
        if known.spec == spec:
            return False
        known.spec = spec
        return True

    def _set_state(self, backend: Backend, state: model.BackendState) -> bool:
        if backend.spec.state is state:
            return False
        backend.spec = dataclasses.replace(backend.spec, state=state)
        return True

    def _rebuild_index(self) -> None:
        self._by_service = {}
        for backend in self._by_id.values():
            for service in backend.spec.services:
                self._by_service.setdefault(service, []).append(backend)
