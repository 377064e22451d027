"""Load balancing between zones: where a whole job goes, what a zone lends.

All fronts receive the same advertised loads. If each chose the best pool, they
would all choose the same one until the next status. A front therefore compares
its own zone's pool with two others, drawn with weights that follow their free
capacity and the age of the information.
"""

from collections.abc import Iterable
import dataclasses
import datetime
import hashlib
import math
from typing import Protocol

from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

# A status older than FRESH_AGE has less weight, one older than STALE_AGE none.
FRESH_AGE = datetime.timedelta(seconds=1)
STALE_AGE = datetime.timedelta(milliseconds=2500)
# Messages to another zone and back, with their handling at both hosts.
HOP = datetime.timedelta(milliseconds=6)
# The own zone's pool is used without a comparison while it is expected to
# start a job at once, so that calm zones are served as before.
CALM_WAIT = datetime.timedelta(milliseconds=5)
# Another zone has to promise an earlier end by this time: what is known of it
# is older, and its own callers come first.
ADVANTAGE = datetime.timedelta(milliseconds=10)
# The least weight of a pool without free capacity, as a share of its size.
MIN_WEIGHT = 0.02
# The wait at a pool none of whose servers is usable. Servers that restart are
# back after some seconds.
NO_SERVER_WAIT = datetime.timedelta(seconds=5)
# Demand is counted in slices of this length over the last DEMAND_SLICES.
DEMAND_SLICE = datetime.timedelta(milliseconds=250)
DEMAND_SLICES = 8
# Reasons of refusals after which another zone may serve a job.
CAPACITY_REASONS = frozenset({"backlog", "too late", "queue full"})


@dataclasses.dataclass(frozen=True, slots=True)
class PoolView:
    """What a front knows of a pool; ``age`` is that of the information.

    ``free`` and ``capacity`` are in thousandths of a core, None if the
    scheduler does not advertise them. ``demand`` is the work that arrives, as
    a share of what the servers can process, and ``sent`` what this front has
    sent there since, in thousandths of a core.
    """

    address: str
    is_local: bool
    backlog: datetime.timedelta
    age: datetime.timedelta = model.ZERO
    free: int | None = None
    capacity: int | None = None
    demand: float = 0.0
    sent: int = 0

    @property
    def freshness(self) -> float:
        """The weight of the information, from 1 to 0."""
        if self.age <= FRESH_AGE:
            return 1.0
        left = (STALE_AGE - self.age) / (STALE_AGE - FRESH_AGE)
        return max(0.0, left)

    @property
    def left(self) -> int:
        """The free capacity, less what was sent since it was advertised."""
        return max(0, (self.free or 0) - self.sent)

    def wait(
        self, processors: int, estimate: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the expected wait of a job that needs ``processors``.

        What does not fit now waits until tasks of about the same length have
        ended, and a backlog has grown by the excess of the demand since. A
        pool without usable servers advertises no backlog.
        """
        if self.capacity == 0:
            return NO_SERVER_WAIT
        growth = max(0.0, self.demand - 1.0) * self.age
        missing = max(0, processors + self.sent - (self.free or 0))
        queued = model.ZERO
        if self.capacity:
            queued = estimate * (missing / self.capacity)
        hop = model.ZERO if self.is_local else HOP
        return self.backlog + growth + queued + hop


class PoolChoice(Protocol):
    """Chooses the pool of a job."""

    def choose(
        self,
        pools: list[PoolView],
        job_id: str,
        processors: int,
        estimate: datetime.timedelta,
    ) -> PoolView | None:
        """Return the pool for a job, None if none is known."""


class TwoChoices:
    """Compares the own zone's pool with two that are drawn by a job's id.

    ::

        TwoChoices().choose(pools, "0000000000000001", 60_000, estimate)
    """

    def choose(
        self,
        pools: list[PoolView],
        job_id: str,
        processors: int,
        estimate: datetime.timedelta,
    ) -> PoolView | None:
        local = [each for each in pools if each.is_local]
        others = [each for each in pools if not each.is_local]
        if local:
            calmest = min(
                local, key=lambda each: each.wait(processors, estimate)
            )
            wait = calmest.wait(processors, estimate)
            candidates = self._draw(others, job_id)
            if wait <= CALM_WAIT or not candidates:
                return calmest
            best = min(
                candidates, key=lambda each: each.wait(processors, estimate)
            )
            if best.wait(processors, estimate) + ADVANTAGE < wait:
                return best
            return calmest
        # A pool of which nothing recent is known is better than none.
        candidates = self._draw(others, job_id) or others
        return min(
            candidates,
            key=lambda each: each.wait(processors, estimate),
            default=None,
        )

    def _draw(self, pools: list[PoolView], job_id: str) -> list[PoolView]:
        """Return up to two pools, drawn with their weights."""
        weights = [_weight(each) for each in pools]
        drawn: list[PoolView] = []
        for number in range(min(2, sum(each > 0 for each in weights))):
            mark = _fraction(f"{job_id}.{number}") * sum(weights)
            for index, weight in enumerate(weights):
                mark -= weight
                if weight > 0 and mark <= 0:
                    drawn.append(pools[index])
                    weights[index] = 0.0
                    break
        return drawn


def _weight(pool: PoolView) -> float:
    if pool.capacity is None:
        return pool.freshness * MIN_WEIGHT
    return pool.freshness * max(pool.left, MIN_WEIGHT * pool.capacity, 1.0)


def _fraction(key: str) -> float:
    """Return a number from 0 to 1 that is the same for a key everywhere."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return (int.from_bytes(digest, "big") + 1) / 2**32


def exponential(key: str) -> float:
    """Return an exponentially distributed number that follows from a key.

    Divided by weights, the least of several is drawn with these weights.
    """
    return -math.log(_fraction(key))


class DemandMeter:
    """Measures the work that arrives, and how it changes.

    Work is in core-milliseconds, in thousandths of a core as everywhere.
    """

    def __init__(self) -> None:
        self._slices = [0.0] * DEMAND_SLICES
        self._current: int | None = None

    def record(self, work: float, now: datetime.datetime) -> None:
        """Record the work of a job that has arrived."""
        self._advance(now)
        self._slices[-1] += work

    def rate(self, now: datetime.datetime) -> float:
        """Return the work that arrived per millisecond, lately."""
        return self._mean(now, DEMAND_SLICES // 2, DEMAND_SLICES)

    def growth(
        self, now: datetime.datetime, time: datetime.timedelta
    ) -> float:
        """Return by how much the rate will have grown after a time."""
        half = DEMAND_SLICES // 2
        recent = self.rate(now)
        change = recent - self._mean(now, 0, half)
        return change * (time / (half * DEMAND_SLICE))

    def _mean(self, now: datetime.datetime, first: int, last: int) -> float:
        self._advance(now)
        length = (last - first) * (DEMAND_SLICE / model.MILLISECOND)
        return sum(self._slices[first:last]) / length

    def _advance(self, now: datetime.datetime) -> None:
        number = int(now.timestamp() / DEMAND_SLICE.total_seconds())
        if self._current is None:
            self._current = number
        steps = min(max(0, number - self._current), DEMAND_SLICES)
        self._slices = [*self._slices[steps:], *[0.0] * steps]
        self._current = max(number, self._current)


def lendable(free: int, growth: float) -> int:
    """Return the capacity that a zone can lend, in thousandths of a core.

    It keeps free what its own demand is expected to grow by during a task.
    """
    return max(0, free - max(0, int(growth)))


def limit_free(
    free: Iterable[messages.FreeRoom], limit: int
) -> list[messages.FreeRoom]:
    """Return the first servers whose capacity does not exceed a limit."""
    kept = []
    for each in free:
        if each.room.processors <= limit:
            limit -= each.room.processors
            kept.append(each)
    return kept
