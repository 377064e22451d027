"""Ownership of pools: which dispatch host schedules which pool.

A pool consists of the backend servers of an availability zone. Its row in the
store names an owner and successors, each with a higher fence than all hosts
before it. A successor takes over as soon as all hosts before it are dead or
leaving, without asking the store, which may be down. It then writes a new row
with itself as the owner. If no host is seen to schedule a pool for a while,
whatever the reason, one that reaches the store and the pool's backend servers
inquires about it and takes it over (``inquiries``).

Safety does not depend on ownership: a backend server obeys the highest fence
that it has seen, and a scheduler stops the runs that others left there. Two
hosts that disagree cause duplicate work but break no guarantee.
"""

import dataclasses
import datetime
import functools
import itertools

import msgspec
import xxhash

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import failures
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import inquiries
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows

# Minimum time between two writes of a row, and between two probes of a pool.
WRITE_INTERVAL = datetime.timedelta(milliseconds=700)
# A write without an outcome after this time is repeated. With the read that
# follows, it takes up to 3 s.
WRITE_LIMIT = datetime.timedelta(seconds=6)
# A host of another zone waits this long before it takes over a pool, so that a
# restarted host of the pool's zone, which needs about a second to start, still
# finds its pool unclaimed.
FOREIGN_ZONE_DELAY = datetime.timedelta(milliseconds=1500)
# A host waits this long before it reclaims the pool of its zone.
RECLAIM_DELAY = datetime.timedelta(milliseconds=500)
# A live former owner is given this long to let its runs end.
HANDOVER_TIME = datetime.timedelta(milliseconds=2500)
# A pool for which no host is known that schedules it is logged after this
# time, which is longer than the take-over of a pool takes.
UNSCHEDULED_LOG_DELAY = datetime.timedelta(seconds=3)
# Number of hosts at the start of a row that are the owner of the pool and its
# standby, which is the first successor.
OWNER_AND_STANDBY = 2
# Number of hosts to which a host is linked at a time, to learn whether they
# are left, because they precede it as the owner of a pool.
LINKED_CANDIDATES_MAX = 8
# A claim that some servers refuse is not renewed before this time.
RENEWAL_INTERVAL = datetime.timedelta(seconds=5)
# The servers of a pool are probed once no scheduler has been known for this
# time, as each probe opens connections.
PROBE_DELAY = datetime.timedelta(milliseconds=1500)
# Pairs of a pool and a host whose place in the order is kept. The owner of a
# pool sorts all hosts ten times a second.
SPREAD_CACHE_SIZE = 4096


@dataclasses.dataclass(slots=True)
class Claim:
    """A pool that this host schedules.

    ``former_owner`` is the address of the former owner if that one was linked
    when the claim was made; it may still be letting its runs end.
    ``incarnations`` counts the incarnations of each backend server that were
    acquired within the claim. ``fenced_since`` is since when servers refuse
    its fence, as they have seen a higher one; ``is_fenced_off`` is set if all
    of them do.
    """

    pool: str
    fence: int
    since: datetime.datetime
    former_owner: str | None
    fenced_since: datetime.datetime | None = None
    is_fenced_off: bool = False
    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)

    def next_order_fence(self, backend_id: str) -> int:
        """Return the fence for an incarnation that is newly acquired."""
        incarnation = self.incarnations.get(backend_id, 0)
        self.incarnations[backend_id] = incarnation + 1
        return pool_rows.order_fence(self.fence, incarnation)


class Obstacle(msgspec.Struct, frozen=True):
    """Why this host does not take over a pool that no host schedules.

    ``host`` is the address of the host that is expected to take it over.
    """

    reason: str
    host: str | None = None


# The rows of pools have not been read yet.
ROWS_UNKNOWN = Obstacle("rows unknown")
# Other hosts are known, and this one has no link to any.
ISOLATED = Obstacle("isolated")
# The backend servers of the pool cannot be reached, or not for long enough.
NOT_REACHED = Obstacle("not reached")
# The servers refused the last claim of this host, so that another host may
# schedule them that this one has no link to.
FENCED_OFF = Obstacle("fenced off")


@dataclasses.dataclass(slots=True)
class _PoolState:
    version: int = 0
    row: pool_rows.PoolRow | None = None
    is_writing: bool = False
    written_at: datetime.datetime | None = None
    unowned_since: datetime.datetime | None = None
    foreign_owner_since: datetime.datetime | None = None
    probed_at: datetime.datetime | None = None
    is_reachable: bool = False
    # The latest claim of this host, which may have been given up since.
    latest_claim: Claim | None = None
    # Since when no host is known that schedules the pool, why this one does
    # not take it over, and the reason that was logged last.
    unscheduled_since: datetime.datetime | None = None
    obstacle: Obstacle | None = None
    logged_obstacle: Obstacle | None = None
    inquiry: inquiries.Inquiry = dataclasses.field(
        default_factory=inquiries.Inquiry
    )
    # The version that a take-over after an inquiry replaces.
    replaced_version: int | None = None
    # Whether the last claim was refused by all servers. The pool is claimed
    # again only after an inquiry.
    is_fenced_off: bool = False


class Ownership:
    """Decides which pools this host schedules."""

    def __init__(self, hosts: dispatch_hosts.Hosts) -> None:
        self._hosts = hosts
        self._pools: dict[str, _PoolState] = {}
        self._are_rows_known = False
        self.claims: dict[str, Claim] = {}
        self.is_leaving = False

    @property
    def pools(self) -> list[str]:
        """The known pools."""
        return list(self._pools)

    def add_pool(self, pool: str) -> None:
        """Record that a pool exists."""
        self._pools.setdefault(pool, _PoolState())

    def owner_address(self, pool: str) -> str | None:
        """Return the address of the host that schedules a pool, if known."""
        best_fence, best = -1, None
        claim = self.claims.get(pool)
        if claim is not None and not self.is_leaving:
            best_fence, best = claim.fence, self._hosts.local_host.address
        for peer in self._hosts.all():
            if peer.link is None or peer.status is None or peer.is_leaving:
                continue
            for load in peer.status.loads:
                if load.pool == pool and load.fence > best_fence:
                    best_fence, best = load.fence, peer.record.address
        return best

    def needed_hosts(self, now: datetime.datetime) -> set[str]:
        """Return the addresses of the hosts that this one has to link to.

        They are the owner and the standby of each pool. Once both are gone,
        they include all hosts that precede this one in the row, so that this
        host knows which of them are left. If none of them is, they include
        those that may write the next row. If a pool has no row yet, they are
        all hosts.
        """
        needed: set[str] = set()
        for pool, state in self._pools.items():
            if state.row is None:
                needed |= {peer.record.address for peer in self._hosts.all()}
                continue
            order = state.row.order
            first = order[:OWNER_AND_STANDBY]
            needed |= {record.address for record in first}
            if any(self._is_eligible(record, now) for record in first):
                continue
            for record in order[OWNER_AND_STANDBY:]:
                if record == self._hosts.local_host:
                    break
                needed.add(record.address)
            else:
                needed |= self._next_candidates(pool, now)
        return needed

    def _next_candidates(self, pool: str, now: datetime.datetime) -> set[str]:
        """Return the addresses of the first hosts that precede this one.

        The store also lists hosts that are gone for good. Those that cannot
        be reached are replaced by the next ones.
        """
        preceding = itertools.takewhile(
            lambda record: record != self._hosts.local_host,
            self._preferred_order(pool, now),
        )
        return {
            record.address
            for record in itertools.islice(preceding, LINKED_CANDIDATES_MAX)
        }

    def watched_hosts(self) -> set[str]:
        """Return the owners and standbys of pools where this host is either.

        Each of them has to notice quickly when the other one is gone.
        """
        watched: set[str] = set()
        for state in self._pools.values():
            if state.row is None:
                continue
            addresses = {
                record.address
                for record in state.row.order[:OWNER_AND_STANDBY]
            }
            if self._hosts.local_host.address in addresses:
                watched |= addresses
        return watched

    @property
    def may_schedule(self) -> bool:
        """Whether this host schedules a pool, or may create the row of one.

        It may also schedule if the pool of its own zone is not known: that
        pool may have no backend server yet.
        """
        if self.claims or self._hosts.local_host.zone not in self._pools:
            return True
        return any(state.row is None for state in self._pools.values())

    # Rows in the store.

    def rows_listed(
        self,
        rows: dict[str, tuple[int, pool_rows.PoolRow | None]],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Handle a listing of the rows of all pools."""
        self._are_rows_known = True
        for pool, (version, row) in rows.items():
            self._record_row(pool, version, row, now)
        return self.decide(now)

    def written(
        self,
        pool: str,
        version: int | None,
        row: pool_rows.PoolRow | None,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Handle the outcome of the write of a row."""
        state = self._pools.setdefault(pool, _PoolState())
        state.is_writing = False
        if version is None:
            return []
        if not version:
            # The row was removed.
            state.version, state.row = 0, None
        self._record_row(pool, version, row, now)
        return self.decide(now)

    def _record_row(
        self,
        pool: str,
        version: int,
        row: pool_rows.PoolRow | None,
        now: datetime.datetime,
    ) -> None:
        """Record a pool's row if it is newer; a malformed one is None.

        Such a row is replaced, under the condition of its version.
        """
        state = self._pools.setdefault(pool, _PoolState())
        if version > state.version:
            has_taken_over = (
                state.replaced_version is not None
                and row is not None
                and row.owner == self._hosts.local_host
            )
            state.replaced_version = None
            state.version = version
            state.row = row
            state.inquiry.row_changed_at = now
            if has_taken_over:
                self._confirm_take_over(pool, state, now)
            state.unowned_since = None
            for record in () if row is None else row.order:
                self._hosts.update_record(record, now)

    def _confirm_take_over(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> None:
        """Record that the inquiry about a pool has made this host its owner.

        A present claim is renewed under the fence of the new row. Servers
        that obey the former fence are kept.
        """
        state.is_fenced_off = False
        if pool in self.claims:
            fence = pool_rows.fence(state.version, 0)
            claim = Claim(pool, fence, now, former_owner=None)
            self.claims[pool] = state.latest_claim = claim

    def record_fencing(
        self, pool: str, fenced: int, servers: int, now: datetime.datetime
    ) -> None:
        """Record how many of the servers of a claim refuse its fence."""
        claim = self.claims[pool]
        if not fenced:
            claim.fenced_since = None
        elif claim.fenced_since is None:
            claim.fenced_since = now
        claim.is_fenced_off = 0 < fenced == servers

    def probed(self, pool: str, is_reachable: bool) -> None:
        """Record whether a pool's backend servers can be reached from here."""
        state = self._pools.setdefault(pool, _PoolState())
        state.is_reachable = is_reachable

    # Decisions.

    def decide(self, now: datetime.datetime) -> effects.Effects:
        """Claim and give up pools, and write the rows that are due."""
        done: effects.Effects = []
        for pool, state in self._pools.items():
            state.obstacle = None
            for step in (self._decide_pool, self._watch_pool):
                done += failures.confine(pool, step, pool, state, now)
        return done

    def _watch_pool(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> effects.Effects:
        """Record whether a host is known that schedules a pool.

        If none is for a while, log why this one does not.
        """
        if self.is_leaving or self.owner_address(pool) is not None:
            state.unscheduled_since = state.logged_obstacle = None
            state.is_fenced_off = False
            return []
        if state.unscheduled_since is None:
            state.unscheduled_since = now
            if state.unowned_since is None:
                state.is_reachable = False
        duration = now - state.unscheduled_since
        if (
            duration < UNSCHEDULED_LOG_DELAY
            or state.obstacle == state.logged_obstacle
            or state.obstacle is None
        ):
            return []
        state.logged_obstacle = state.obstacle
        return [
            effects.Log(
                "pool.unscheduled",
                {
                    "pool": pool,
                    "duration_ms": model.milliseconds(duration),
                    "reason": state.obstacle.reason,
                    "waits_for": state.obstacle.host,
                    "row_version": state.version,
                },
            )
        ]

    def _decide_pool(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> effects.Effects:
        claim = self.claims.get(pool)
        if claim is not None and self._is_superseded(claim, state):
            return self._lose_claim(claim)
        if not self._are_rows_known:
            state.obstacle = ROWS_UNKNOWN
            return []
        if self.is_leaving:
            return []
        if claim is not None and claim.is_fenced_off:
            state.is_fenced_off = True
            return self._lose_claim(claim)
        done: effects.Effects = []
        inquire_since = state.unscheduled_since
        if claim is not None:
            done = self._refresh_row(pool, state, now)
            inquire_since = None
            if now - claim.since >= RENEWAL_INTERVAL:
                inquire_since = claim.fenced_since
        elif state.row is None:
            done = self._create_row(pool, state, now)
        elif state.is_fenced_off:
            state.obstacle = FENCED_OFF
        else:
            done = self._take_over(pool, state, now)
        if done or inquire_since is None:
            return done
        return self._inquire(pool, state, inquire_since, now)

    def _lose_claim(self, claim: Claim) -> effects.Effects:
        """Give a pool up that another host schedules."""
        del self.claims[claim.pool]
        return [
            effects.Log(
                "pool.lost",
                {
                    "pool": claim.pool,
                    "fence": claim.fence,
                    "is_fenced_off": claim.is_fenced_off,
                },
            )
        ]

    def _inquire(
        self,
        pool: str,
        state: _PoolState,
        unscheduled_since: datetime.datetime,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Take over a pool that no host schedules, whatever the reason.

        The row shows whether one does that this host has no link to. A claim
        is renewed in the same way if some of its servers refuse it.
        """
        if not state.is_reachable and pool not in self.claims:
            return []
        local_host = self._hosts.local_host
        delay = inquiries.INQUIRY_DELAY
        if local_host.zone != pool:
            delay = inquiries.FOREIGN_INQUIRY_DELAY
        order = self._preferred_order(pool, now, first=local_host)
        if state.row is None:
            # No host can have claimed the pool.
            if now - unscheduled_since < delay:
                return []
            return self._write_row(pool, state, order, now)
        step = state.inquiry.next_step(
            state.row, local_host, unscheduled_since, now, delay
        )
        match step:
            case inquiries.Step.INQUIRE:
                done = self._write_row(
                    pool, state, state.row.order, now, inquirer=local_host
                )
            case inquiries.Step.TAKE_OVER:
                done = self._write_row(pool, state, order, now)
                if done:
                    state.replaced_version = state.version
            case _:
                return []
        if not done:
            return []
        log = effects.Log(
            "pool.inquired",
            {
                "pool": pool,
                "step": step.value,
                "row_version": state.version,
                "unscheduled_ms": model.milliseconds(now - unscheduled_since),
            },
        )
        return [log, *done]

    def _is_superseded(self, claim: Claim, state: _PoolState) -> bool:
        """Return whether a linked host has a better claim."""
        if self._is_claimed_above(claim.pool, claim.fence):
            return True
        row = state.row
        if row is None or pool_rows.fence(state.version, 0) <= claim.fence:
            return False
        return row.owner != self._hosts.local_host and self._hosts.is_linked(
            row.owner
        )

    def _is_claimed_above(self, pool: str, fence: int) -> bool:
        """Return whether a linked host schedules a pool with a higher fence.

        It may have a lower rank than this host, which was cut off or paused
        when the pool was taken over.
        """
        return any(
            load.pool == pool and load.fence > fence
            for peer in self._hosts.all()
            if peer.link is not None and peer.status is not None
            for load in peer.status.loads
        )

    def _create_row(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> effects.Effects:
        """Write the first row of a pool."""
        order = self._preferred_order(pool, now)
        if order[0] != self._hosts.local_host:
            state.obstacle = _awaits(order[0])
            return []
        if (
            self._hosts.local_host.zone != pool
            and not self._may_take_over_other_zone(pool, state, now)
        ):
            return []
        return self._write_row(pool, state, order, now)

    def _take_over(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> effects.Effects:
        """Claim a pool if no eligible host precedes this one in its row.

        If the row has an eligible host of another zone, or none at all, a new
        row may be written instead.
        """
        row = state.row
        assert row is not None
        local_host = self._hosts.local_host
        for rank, record in enumerate(row.order):
            if record == local_host:
                fence = pool_rows.fence(state.version, rank)
                if self._is_claimed_above(pool, fence):
                    state.unowned_since = None
                    return []
                if rank and local_host.zone != pool:
                    if not self._may_take_over_other_zone(pool, state, now):
                        return []
                return self._claim_pool(pool, state, rank, now)
            if self._is_eligible(record, now):
                state.unowned_since = None
                state.obstacle = _awaits(record)
                return self._reclaim(pool, state, record, now)
        # None of the hosts in the row is left.
        order = self._preferred_order(pool, now)
        if order[0] != local_host:
            state.obstacle = _awaits(order[0])
            return []
        if self._hosts.is_isolated():
            state.obstacle = ISOLATED
            return []
        if local_host.zone != pool and not self._may_take_over_other_zone(
            pool, state, now
        ):
            return []
        return self._write_row(pool, state, order, now)

    def _is_eligible(
        self, record: model.HostRecord, now: datetime.datetime
    ) -> bool:
        if not self._hosts.is_alive(record, now):
            return False
        peer = self._hosts.get(record.address)
        return peer is None or not peer.is_leaving

    def _reclaim(
        self,
        pool: str,
        state: _PoolState,
        owner: model.HostRecord,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Reclaim the pool of this host's zone from another zone's host."""
        local_host = self._hosts.local_host
        if owner.zone == pool or local_host.zone != pool:
            # The usual case, which does not need the order of all hosts.
            state.foreign_owner_since = None
            return []
        order = self._preferred_order(pool, now)
        if order[0] != local_host:
            state.foreign_owner_since = None
            return []
        if state.foreign_owner_since is None:
            state.foreign_owner_since = now
        if now - state.foreign_owner_since < RECLAIM_DELAY:
            return []
        return self._write_row(pool, state, order, now)

    def _may_take_over_other_zone(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> bool:
        """Return whether this host may take over a pool of another zone.

        It may not while it is isolated or cannot reach the pool: the zone may
        just be partitioned from this host.
        """
        is_reachable = self._is_pool_reachable(state, now)
        if self._hosts.is_isolated():
            state.obstacle = ISOLATED
            return False
        return is_reachable

    def _is_pool_reachable(
        self, state: _PoolState, now: datetime.datetime
    ) -> bool:
        """Return whether a pool without a scheduler can be reached from here.

        It has to be without one for a while. The first call starts the delay
        and requests probes of the pool's backend servers.
        """
        if state.unowned_since is None:
            state.unowned_since = now
            state.is_reachable = False
        if (
            now - state.unowned_since < FOREIGN_ZONE_DELAY
            or not state.is_reachable
        ):
            state.obstacle = NOT_REACHED
            return False
        return True

    def pools_to_probe(self, now: datetime.datetime) -> list[str]:
        """Return the pools to probe now, and record that they are probed."""
        due = []
        for pool, state in self._pools.items():
            if pool in self.claims or not self._is_probe_wanted(state, now):
                continue
            if (
                state.probed_at is None
                or now - state.probed_at > WRITE_INTERVAL
            ):
                state.probed_at = now
                due.append(pool)
        return due

    def _is_probe_wanted(
        self, state: _PoolState, now: datetime.datetime
    ) -> bool:
        if state.unowned_since is not None:
            return True
        since = state.unscheduled_since
        return since is not None and now - since >= PROBE_DELAY

    def _claim_pool(
        self,
        pool: str,
        state: _PoolState,
        rank: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        row = state.row
        assert row is not None
        # An isolated host may be the only one that is left in a zone that is
        # cut off, or be cut off itself, and then it reaches no server either.
        if (
            rank
            and self._hosts.is_isolated()
            and not self._is_pool_reachable(state, now)
        ):
            return []
        former = self._find_former_owner(pool, row, rank)
        fence = pool_rows.fence(state.version, rank)
        claim = Claim(pool, fence, now, former)
        if state.latest_claim is not None and (
            state.latest_claim.fence == fence
        ):
            # The same row is claimed again: its fences are not used twice.
            claim.incarnations = state.latest_claim.incarnations
        self.claims[pool] = state.latest_claim = claim
        state.unowned_since = None
        return [
            effects.Log(
                "pool.claimed",
                {
                    "pool": pool,
                    "fence": fence,
                    "row_version": state.version,
                    "rank": rank,
                    "former": former,
                },
            ),
            *self._refresh_row(pool, state, now),
        ]

    def _find_former_owner(
        self, pool: str, row: pool_rows.PoolRow, rank: int
    ) -> str | None:
        """Return the address of a linked host that may still have servers.

        A leaving host may have given the pool up before it wrote this host's
        name into the row, so the row alone does not tell.
        """
        owner = self.owner_address(pool)
        if owner is not None:
            return owner
        for peer in self._hosts.all():
            if peer.is_releasing(pool):
                return peer.record.address
        return next(
            (
                record.address
                for record in row.order[:rank]
                if self._hosts.is_linked(record)
            ),
            None,
        )

    def _refresh_row(
        self, pool: str, state: _PoolState, now: datetime.datetime
    ) -> effects.Effects:
        """Write a pool's row again if it does not name the right hosts.

        This also answers an inquiry.
        """
        local_host = self._hosts.local_host
        order = self._preferred_order(pool, now, first=local_host)
        if (
            state.row is not None
            and state.row.order == order
            and state.row.inquirer in (None, local_host)
        ):
            return []
        return self._write_row(pool, state, order, now)

    def _write_row(
        self,
        pool: str,
        state: _PoolState,
        order: tuple[model.HostRecord, ...],
        now: datetime.datetime,
        inquirer: model.HostRecord | None = None,
    ) -> effects.Effects:
        if state.written_at is not None:
            limit = WRITE_LIMIT if state.is_writing else WRITE_INTERVAL
            if now - state.written_at < limit:
                return []
        state.is_writing = True
        state.written_at = now
        row = pool_rows.PoolRow(order, inquirer)
        return [effects.WritePool(pool, row, state.version)]

    def _preferred_order(
        self,
        pool: str,
        now: datetime.datetime,
        first: model.HostRecord | None = None,
    ) -> tuple[model.HostRecord, ...]:
        """Return the eligible hosts of a pool in the order of preference.

        Hosts of its zone precede all others; after that, hosts with more
        processors precede those with fewer.
        """
        local_host = self._hosts.local_host
        live = [local_host] + [
            peer.record
            for peer in self._hosts.all()
            if self._is_eligible(peer.record, now)
        ]
        live.sort(key=lambda each: _preference_key(pool, each))
        if first is not None:
            live.remove(first)
            live.insert(0, first)
        # The limit includes the owner: one fence of a version stays unused.
        return tuple(live[: pool_rows.SUCCESSORS_MAX])

    # Backend servers.

    def may_acquire(
        self,
        pool: str,
        incarnation: model.BackendIncarnation,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a backend server of a claimed pool may be acquired.

        Its former owner, if alive, first lets the runs there end.
        """
        claim = self.claims[pool]
        if claim.former_owner is None:
            return True
        peer = self._hosts.get(claim.former_owner)
        if peer is None or peer.link is None:
            return True
        if peer.has_released(pool, incarnation):
            return True
        return now - claim.since > HANDOVER_TIME


def _awaits(host: model.HostRecord) -> Obstacle:
    return Obstacle("another host precedes", host.address)


def _preference_key(
    pool: str, record: model.HostRecord
) -> tuple[bool, float, int]:
    spread = _spread(pool, record.address)
    return (record.zone != pool, -record.processors, spread)


@functools.lru_cache(maxsize=SPREAD_CACHE_SIZE)
def _spread(pool: str, address: str) -> int:
    """Return a number that orders hosts differently for each pool."""
    return xxhash.xxh64_intdigest(f"{pool}/{address}".encode())
