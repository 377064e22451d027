"""The rows by which hosts agree on who schedules a pool."""

import dataclasses

from waxwingwalk.dispatch import model

# Fences that one version of a row hands out: the owner's and successors'.
FENCES_PER_VERSION = 64
# Lives of one backend server that one claim can tell apart.
INCARNATIONS_PER_CLAIM = 4096
SUCCESSORS_MAX = FENCES_PER_VERSION - 1


@dataclasses.dataclass(frozen=True, slots=True)
class PoolRow:
    """Who may schedule a pool, in order of precedence.

    The first is the owner. Each later one may take over, without asking
    the store, once all before it are dead: its fence is already above
    theirs.
    """

    order: tuple[model.HostRecord, ...]

    @property
    def owner(self) -> model.HostRecord:
        """The host that schedules unless it is dead."""
        return self.order[0]


def fence(version: int, rank: int) -> int:
    """Return the fence of the host at ``rank`` in a row's version.

    Versions are drawn from one counter of the store, so that a fence from a
    newer version of any row is above all fences of older ones.
    """
    return version * FENCES_PER_VERSION + rank


def order_fence(claim_fence: int, incarnation: int) -> int:
    """Return the fence of orders to the ``incarnation``-th life of a server.

    A server that starts again has seen no fence, and orders to its former
    life may still be on their way: the new life is ordered with a higher one.
    """
    return claim_fence * INCARNATIONS_PER_CLAIM + min(
        incarnation, INCARNATIONS_PER_CLAIM - 1
    )


def claim_fence(order_fence: int) -> int:
    """Return the fence of the claim that an order's fence belongs to."""
    return order_fence // INCARNATIONS_PER_CLAIM
