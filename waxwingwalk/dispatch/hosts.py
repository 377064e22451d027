"""The other dispatch hosts, and whether each is alive, leaving or dead."""

import dataclasses
import datetime

from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

# A host to which no link can be opened is considered dead after this time,
# which equals links.BUSY_TIMEOUT.
UNREACHABLE_AFTER = datetime.timedelta(milliseconds=600)


@dataclasses.dataclass(slots=True)
class Peer:
    """Another dispatch host and the link that this one opened to it.

    ``is_link_target`` is whether there should be a link. ``down_since`` is
    when a link that should exist went missing, and ``is_connection_refused``
    is whether a connection was refused since then. ``is_considered_dead`` is
    set when the host was found to be gone, until it is heard from again; it
    only matters while the host is not a link target. ``status_at`` is when
    the latest status was received, if that is known. ``released`` are the
    backend servers, by pool, that the host has released since it last
    scheduled the pool.
    """

    record: model.HostRecord
    is_link_target: bool = True
    is_considered_dead: bool = False
    link: int | None = None
    down_since: datetime.datetime | None = None
    is_connection_refused: bool = False
    status: messages.HostStatus | None = None
    status_at: datetime.datetime | None = None
    released: dict[str, set[model.BackendIncarnation]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the host has announced that it is shutting down."""
        return self.status is not None and self.status.is_leaving

    def update_status(
        self,
        status: messages.HostStatus,
        now: datetime.datetime | None = None,
    ) -> None:
        """Record the status that the host has sent."""
        self.status = status
        self.status_at = now
        for load in status.loads:
            self.released.pop(load.pool, None)

    def record_release(self, message: messages.ReleaseBackend) -> None:
        """Record that the host has released a backend server."""
        incarnation = model.BackendIncarnation(
            message.backend_id, message.started_ms
        )
        self.released.setdefault(message.pool, set()).add(incarnation)

    def is_releasing(self, pool: str) -> bool:
        """Return whether the host still has servers of a pool it gave up."""
        if self.link is None or self.status is None:
            return False
        return pool in (self.status.releasing or ())

    def has_released(
        self, pool: str, incarnation: model.BackendIncarnation
    ) -> bool:
        """Return whether the host has released a backend server of a pool."""
        if incarnation in self.released.get(pool, ()):
            return True
        if self.status is None or self.status.releasing is None:
            return False
        return pool not in self.status.releasing and all(
            load.pool != pool for load in self.status.loads
        )


class Hosts:
    """The other dispatch hosts, by address."""

    def __init__(self, local_host: model.HostRecord) -> None:
        self.local_host = local_host
        self._peers: dict[str, Peer] = {}
        self._by_link: dict[int, Peer] = {}

    def all(self) -> list[Peer]:
        """Return every other host."""
        return list(self._peers.values())

    def get(self, address: str) -> Peer | None:
        """Return the host at an address."""
        return self._peers.get(address)

    def by_link(self, link: int) -> Peer | None:
        """Return the host at the far end of an outbound link."""
        return self._by_link.get(link)

    def update_record(
        self, record: model.HostRecord, now: datetime.datetime
    ) -> None:
        """Record a host, or a newer incarnation of it."""
        if record.address == self.local_host.address:
            return
        peer = self._peers.get(record.address)
        if peer is None:
            self._peers[record.address] = Peer(record, down_since=now)
        elif record.incarnation > peer.record.incarnation:
            peer.record = record
            peer.is_considered_dead = False
            if peer.link is None:
                peer.is_connection_refused = False
                peer.down_since = now

    def set_link_targets(
        self, addresses: set[str], now: datetime.datetime
    ) -> None:
        """Set the hosts to which this one keeps links from now on."""
        for address, peer in self._peers.items():
            is_link_target = address in addresses
            if (
                is_link_target
                and not peer.is_link_target
                and peer.link is None
            ):
                peer.is_connection_refused = False
                peer.down_since = now
            elif peer.is_link_target and not is_link_target:
                peer.is_considered_dead = not self.is_alive(peer.record, now)
            peer.is_link_target = is_link_target

    def inbound_link_opened(
        self, record: model.HostRecord, now: datetime.datetime
    ) -> None:
        """Record that a host has opened a link to this one."""
        self.update_record(record, now)
        peer = self._peers.get(record.address)
        if peer is not None:
            peer.is_considered_dead = False

    def inbound_link_closed(self, record: model.HostRecord) -> None:
        """Record that the link that a host opened to this one is closed."""
        peer = self._peers.get(record.address)
        if peer is not None and peer.record == record:
            peer.is_considered_dead = True

    def link_opened(
        self, link: int, record: model.HostRecord, now: datetime.datetime
    ) -> None:
        """Record that an outbound link was opened."""
        self.update_record(record, now)
        peer = self._peers[record.address]
        peer.record = record
        peer.link = link
        peer.down_since = None
        peer.is_connection_refused = False
        peer.is_considered_dead = False
        peer.status = None
        peer.released.clear()
        self._by_link[link] = peer

    def link_closed(self, link: int, now: datetime.datetime) -> None:
        """Record that a link is closed, if it is an outbound one."""
        peer = self._by_link.pop(link, None)
        if peer is not None and peer.link == link:
            peer.link = None
            peer.status = None
            peer.down_since = now

    def link_failed(
        self, address: str, refused: bool, now: datetime.datetime
    ) -> None:
        """Record that no link to a host could be opened."""
        peer = self._peers.get(address)
        if peer is None or peer.link is not None:
            return
        peer.is_connection_refused = peer.is_connection_refused or refused
        peer.down_since = peer.down_since or now

    def is_alive(
        self, record: model.HostRecord, now: datetime.datetime
    ) -> bool:
        """Return whether an incarnation of a host is believed to be alive."""
        if record.address == self.local_host.address:
            return record.incarnation == self.local_host.incarnation
        peer = self._peers.get(record.address)
        if peer is None:
            return False
        if peer.record.incarnation != record.incarnation:
            return False
        if peer.link is not None:
            return True
        if not peer.is_link_target:
            # Known from the store, which only lists hosts that have not left.
            return not peer.is_considered_dead
        if peer.is_connection_refused or peer.down_since is None:
            return False
        return now - peer.down_since < UNREACHABLE_AFTER

    def is_linked(self, record: model.HostRecord) -> bool:
        """Return whether there is a link to that incarnation of a host."""
        peer = self._peers.get(record.address)
        return (
            peer is not None
            and peer.link is not None
            and peer.record.incarnation == record.incarnation
        )

    def is_isolated(self) -> bool:
        """Return whether this host knows others but has no link to any.

        Only outbound links count.
        """
        return bool(self._peers) and not self._by_link
