"""Evacuation of availability zones: no task starts on their servers.

Operators evacuate a zone by a row in the store, and end the evacuation by
removing the row. A host learns of both from the store, or from a linked host
that knows more. For each zone the newest information prevails, by the version
of the store at which it held. Nothing here depends on which host says so, so
the state survives takeovers, and restarts as long as one linked host has it.

::

    evacuation = Evacuation()
    changes = evacuation.rows_listed({"north": 12}, 12, now)
    evacuation.is_evacuated("north")  # True
    evacuation.merge([Notice("north", 15, False)], now)
    evacuation.share("north", now)  # 0.2, and 1.0 two seconds later
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime
import zlib

from waxwingwalk.core import clock
from waxwingwalk.core import decoding

# A host that has just started orders nothing until it has read the operators'
# rows or was told of evacuations by another host, or until this time has
# passed. Both usually take some 10 ms; connecting to a host that does not
# answer takes up to 400 ms.
LEARN_LIMIT = datetime.timedelta(seconds=1)
# After the end of an evacuation, the share of new work that a zone gets rises
# by one part of RAMP_STEPS + 1 at once and after each step.
RAMP_STEPS = 4
RAMP_STEP = datetime.timedelta(milliseconds=500)
RAMP_TIME = RAMP_STEPS * RAMP_STEP
# Jobs are distinguished by this many values of a hash of their ids.
HASH_VALUES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Whether a zone was evacuated at a version of the store."""

    zone: str
    version: decoding.Version
    is_evacuated: bool


class Evacuation:
    """The zones that are or were evacuated, as far as this host knows.

    Before ``wait_until`` nothing counts as known until rows were listed, or a
    host that knows has told.
    """

    def __init__(
        self, wait_until: datetime.datetime = clock.DISTANT_PAST
    ) -> None:
        self._wait_until = wait_until
        self._is_informed = False
        self._notices: dict[str, Notice] = {}
        # The newest listing of the rows, and its version of the store.
        self._listed_zones: frozenset[str] = frozenset()
        self._listed_version = 0
        # When this host learned that the evacuation of a zone had ended.
        self._ended_at: dict[str, datetime.datetime] = {}

    @property
    def is_unused(self) -> bool:
        """Whether this host knows of no evacuation, past ones included."""
        return not self._notices

    @property
    def zones(self) -> list[str]:
        """The evacuated zones, sorted."""
        return sorted(
            zone
            for zone, notice in self._notices.items()
            if notice.is_evacuated
        )

    @property
    def notices(self) -> list[Notice] | None:
        """What to tell other hosts, None if this host knows nothing yet."""
        if not self._is_informed:
            return None
        return list(self._notices.values())

    def is_known(self, now: datetime.datetime) -> bool:
        """Return whether tasks may start, as the evacuations are known."""
        return self._is_informed or now >= self._wait_until

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no task may start on the servers of a zone."""
        notice = self._notices.get(zone)
        return notice is not None and notice.is_evacuated

    def are_evacuated(self, zones: Collection[str]) -> bool:
        """Return whether there are zones and all of them are evacuated."""
        return bool(zones) and all(self.is_evacuated(each) for each in zones)

    def share(self, zone: str, now: datetime.datetime) -> float:
        """Return the share of a zone's usual work that it may get now.

        It is 0 during an evacuation, and rises in steps to 1 after its end.
        """
        if self.is_evacuated(zone):
            return 0.0
        ended_at = self._ended_at.get(zone)
        if ended_at is None or now - ended_at >= RAMP_TIME:
            return 1.0
        steps = (now - ended_at) // RAMP_STEP
        return (steps + 1) / (RAMP_STEPS + 1)

    def admits(self, zone: str, job_id: str, now: datetime.datetime) -> bool:
        """Return whether a job belongs to the zone's present share of work.

        All hosts decide alike, and a job that is admitted stays so.
        """
        share = self.share(zone, now)
        if share == 1.0:
            return True
        return hash_share(job_id) < share

    def next_change_at(self, now: datetime.datetime) -> datetime.datetime:
        """Return when the share of a zone changes next by itself."""
        steps = [
            ended_at + ((now - ended_at) // RAMP_STEP + 1) * RAMP_STEP
            for ended_at in self._ended_at.values()
            if now - ended_at < RAMP_TIME
        ]
        return min(steps, default=clock.DISTANT_FUTURE)

    def rows_listed(
        self,
        zones: Mapping[str, int],
        version: int,
        now: datetime.datetime,
    ) -> list[Notice]:
        """Record all rows, by zone, as of a version of the store.

        ``zones`` has the versions of the rows. Return the notices that changed
        whether a zone is evacuated.
        """
        self._is_informed = True
        if version < self._listed_version:
            return []
        self._listed_version = version
        self._listed_zones = frozenset(zones)
        current = [
            Notice(zone, row_version, True)
            for zone, row_version in zones.items()
        ]
        # A removed row leaves no version of its own.
        ended = [
            Notice(zone, version, False)
            for zone in self.zones
            if zone not in zones
        ]
        return self._record(current + ended, now)

    def merge(
        self, notices: Sequence[Notice], now: datetime.datetime
    ) -> list[Notice]:
        """Record what another host knows; older information is ignored.

        Return the notices that changed whether a zone is evacuated.
        """
        self._is_informed = True
        return self._record([self._correct(each) for each in notices], now)

    def _correct(self, notice: Notice) -> Notice:
        """Return a newer notice if the rows were listed since.

        It is recorded, so that the other host is told of the end.
        """
        if (
            notice.is_evacuated
            and notice.zone not in self._listed_zones
            and notice.version <= self._listed_version
        ):
            return Notice(notice.zone, self._listed_version, False)
        return notice

    def _record(
        self, notices: Sequence[Notice], now: datetime.datetime
    ) -> list[Notice]:
        changes = []
        for notice in notices:
            known = self._notices.get(notice.zone)
            if known is not None and notice.version <= known.version:
                continue
            was_evacuated = self.is_evacuated(notice.zone)
            self._notices[notice.zone] = notice
            if was_evacuated == notice.is_evacuated:
                continue
            changes.append(notice)
            self._ended_at.pop(notice.zone, None)
            if was_evacuated:
                self._ended_at[notice.zone] = now
        return changes


def hash_share(job_id: str) -> float:
    """Return a number from 0 to below 1 that is the same on all hosts."""
    return zlib.crc32(job_id.encode()) % HASH_VALUES / HASH_VALUES
