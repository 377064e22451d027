"""Membership of entry processes.

This is a gossip protocol. Each process probes one peer at a time, the one that
it has not heard from for the longest time. Membership changes are piggybacked
on probes and their replies, each a bounded number of times, so that the
traffic of a process does not grow with the number of processes. A peer that
does not answer is suspected: it is probed again at each interval, and declared
gone after the peer timeout. A process that learns that it was declared gone
refutes this by raising its version. A refused connection proves that an
incarnation is gone.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import math

from waxwingwalk.core import identity
from waxwingwalk.core import messages

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
# Maximum number of changes in one probe.
CHANGES_MAX = 12
# Each change is sent in this many probes, times the logarithm of the number of
# members.
RETRANSMIT_FACTOR = 3
# How long the records of gone members are kept, so that an outdated record
# cannot bring them back.
GONE_RETENTION = datetime.timedelta(minutes=10)


@dataclasses.dataclass(slots=True)
class Member:
    """An entry process as known to this one.

    ``probed_at`` is when the first probe that is still unanswered was sent;
    further probes do not change it.
    """

    record: messages.MemberRecord
    last_heard_at: datetime.datetime
    probed_at: datetime.datetime | None = None
    gone_at: datetime.datetime | None = None

    @property
    def is_present(self) -> bool:
        """Whether the process is live, or leaving and finishing its jobs."""
        return self.record.state != GONE


@dataclasses.dataclass(slots=True)
class _Change:
    record: messages.MemberRecord
    transmissions: int


class Membership:
    """The members, this process included.

    ``version`` grows with every change to another member's record, and when
    this process starts to leave.
    """

    def __init__(
        self,
        process: identity.ProcessId,
        zone: str,
        region: str,
        now: datetime.datetime,
    ) -> None:
        self._own = messages.MemberRecord(
            process.address, process.incarnation, zone, region, LIVE, 1
        )
        self._members = {process.address: Member(self._own, now)}
        self._changes: dict[str, _Change] = {}
        self._expected: set[str] = set()
        self._live: list[str] = [process.address]
        self._gone_index = 0
        self.version = 0

    @property
    def own(self) -> messages.MemberRecord:
        """The record of this process."""
        return self._own

    def get(self, address: str) -> Member | None:
        """Return the member at an address, None if none is known."""
        return self._members.get(address)

    def all(self) -> list[Member]:
        """Return all members, including gone ones."""
        return list(self._members.values())

    def live_addresses(self) -> list[str]:
        """Return the addresses of live members, sorted."""
        return self._live

    def peers(self) -> list[Member]:
        """Return the other members that are not gone."""
        return [
            member
            for address, member in self._members.items()
            if member.is_present and address != self._own.address
        ]

    def is_gone(self, process: identity.ProcessId) -> bool:
        """Return whether this incarnation is considered gone.

        Any that is older than the one known at its address is. One that is
        newer has not been heard of yet.
        """
        member = self._members.get(process.address)
        if member is None:
            return False
        if member.record.incarnation != process.incarnation:
            return process.incarnation < member.record.incarnation
        return not member.is_present

    def set_expected(self, addresses: Iterable[str]) -> None:
        """Set the addresses at which members are expected.

        They replace those of the previous call.
        """
        self._expected = set(addresses) - {self._own.address}

    def leave(self) -> None:
        """Mark this process as leaving."""
        self._own = dataclasses.replace(
            self._own, state=LEAVING, version=self._own.version + 1
        )
        self._members[self._own.address].record = self._own
        self._queue_change(self._own)
        self._update_derived_state()

    def record_contact(
        self, address: str, incarnation: str, now: datetime.datetime
    ) -> None:
        """Record that a message from a process was received."""
        member = self._members.get(address)
        if member is None or member.record.incarnation != incarnation:
            return
        member.last_heard_at = now
        member.probed_at = None

    def learn(
        self,
        record: messages.MemberRecord,
        now: datetime.datetime,
        *,
        is_direct: bool = False,
    ) -> bool:
        """Process a record; return whether it changed what is known.

        ``is_direct`` means that the process itself has just sent the record.
        Its incarnation is then the one running at the address, even if a
        greater one was known.
        """
        if record.address == self._own.address:
            return self._learn_of_self(record)
        known = self._members.get(record.address)
        if known is not None:
            is_same = known.record.incarnation == record.incarnation
            if not _is_newer(record, known.record):
                if is_same or not is_direct:
                    return False
        if known is None and record.state == GONE:
            return False
        gone_at = now if record.state == GONE else None
        self._members[record.address] = Member(record, now, None, gone_at)
        self._queue_change(record)
        self._update_derived_state()
        return True

    def _learn_of_self(self, record: messages.MemberRecord) -> bool:
        if record.incarnation != self._own.incarnation:
            return False
        if record.version < self._own.version or record == self._own:
            return False
        self._own = dataclasses.replace(self._own, version=record.version + 1)
        self._members[self._own.address].record = self._own
        self._queue_change(self._own)
        return True

    def mark_gone(
        self, address: str, incarnation: str, now: datetime.datetime
    ) -> bool:
        """Declare a process gone; return whether it was not gone before."""
        member = self._members.get(address)
        if member is None or not member.is_present:
            return False
        if member.record.incarnation != incarnation:
            return False
        member.record = dataclasses.replace(member.record, state=GONE)
        member.gone_at = now
        self._queue_change(member.record)
        self._update_derived_state()
        return True

    def unresponsive(
        self, timeout: datetime.timedelta, now: datetime.datetime
    ) -> list[Member]:
        """Return the members that have not answered probes for ``timeout``."""
        return [
            member
            for member in self.peers()
            if member.probed_at is not None
            and now - member.probed_at > timeout
        ]

    def restart_probe_timeouts(self, now: datetime.datetime) -> None:
        """Give every probed member the whole timeout again.

        After a pause of this process, their answers may still be unread.
        """
        for member in self.peers():
            if member.probed_at is not None:
                member.probed_at = now

    def next_to_probe(
        self, interval: datetime.timedelta, now: datetime.datetime
    ) -> list[str]:
        """Return the addresses to probe now.

        These are the peers with an unanswered probe, the peer not heard from
        for longest, if that is at least ``interval`` ago, expected addresses
        at which no member is present, and one other gone member. The peer not
        heard from is recorded as probed.
        """
        peers = self.peers()
        unanswered = [each for each in peers if each.probed_at is not None]
        due = [member.record.address for member in unanswered]
        others = [each for each in peers if each.probed_at is None]
        if others:
            oldest = min(others, key=lambda member: member.last_heard_at)
            if now - oldest.last_heard_at >= interval:
                oldest.probed_at = now
                due.append(oldest.record.address)
        known = {member.record.address for member in peers}
        missing = sorted(self._expected - known)
        return due + missing + self._next_gone_address(set(missing))

    def _next_gone_address(self, excluded: set[str]) -> list[str]:
        """Return the next gone member in rotation, as it may be back."""
        gone = [
            member
            for member in self._members.values()
            if not member.is_present and member.record.address not in excluded
        ]
        if not gone:
            return []
        self._gone_index += 1
        return [gone[self._gone_index % len(gone)].record.address]

    def changes_to_send(
        self, *, full_state: bool
    ) -> list[messages.MemberRecord]:
        """Return the records for the next probe.

        Unless the full state is sent, they are counted as sent.
        """
        if full_state:
            return [
                member.record for member in self.all() if member.is_present
            ]
        chosen = list(self._changes.values())[:CHANGES_MAX]
        for change in chosen:
            change.transmissions -= 1
            del self._changes[change.record.address]
            if change.transmissions > 0:
                self._changes[change.record.address] = change
        return [change.record for change in chosen]

    def forget_gone(self, now: datetime.datetime) -> None:
        """Drop members that have been gone longer than the retention."""
        for address, member in list(self._members.items()):
            if member.gone_at and now - member.gone_at > GONE_RETENTION:
                del self._members[address]

    def _queue_change(self, record: messages.MemberRecord) -> None:
        count = max(2, len(self._members))
        transmissions = RETRANSMIT_FACTOR * math.ceil(math.log2(count + 1))
        self._changes[record.address] = _Change(record, transmissions)

    def _update_derived_state(self) -> None:
        self.version += 1
        self._live = sorted(
            address
            for address, member in self._members.items()
            if member.record.state == LIVE
        )


def _is_newer(
    record: messages.MemberRecord, known: messages.MemberRecord
) -> bool:
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    if record.version != known.version:
        return record.version > known.version
    ranks = {LIVE: 0, LEAVING: 1, GONE: 2}
    return ranks.get(record.state, 0) > ranks.get(known.state, 0)
