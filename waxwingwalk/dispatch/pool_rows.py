"""Rows in the store that name the hosts that may schedule a pool."""

import msgspec

from waxwingwalk.dispatch import model

# Number of fences in one version of a row, for the owner and the successors.
FENCES_PER_VERSION = 64
# Number of incarnations of a backend server that one claim can distinguish.
INCARNATIONS_PER_CLAIM = 4096
SUCCESSORS_MAX = FENCES_PER_VERSION - 1


class PoolRow(msgspec.Struct, frozen=True):
    """The hosts that may schedule a pool, in order of precedence.

    The first one is the owner. Each later one may take over, without asking
    the store, once all hosts before it are dead or leaving: its fence is
    already higher than theirs. ``inquirer`` asks whether any host schedules
    the pool; the one that does writes the row again without it.
    """

    order: tuple[model.HostRecord, ...]
    inquirer: model.HostRecord | None = None

    @property
    def owner(self) -> model.HostRecord:
        """The host that schedules the pool unless it is dead or leaving."""
        return self.order[0]


def fence(version: int, rank: int) -> int:
    """Return the fence of the host at ``rank`` in a version of a row.

    Versions of all rows come from one counter of the store, so a fence of a
    newer version of any row is higher than all fences of older versions.
    """
    return version * FENCES_PER_VERSION + rank


def order_fence(claim_fence: int, incarnation: int) -> int:
    """Return the fence of orders to an incarnation of a backend server.

    ``incarnation`` counts the incarnations of the server within the claim. A
    restarted server has seen no fence, and orders to its former incarnation
    may still be in transit, so each new incarnation has a higher fence.
    """
    return claim_fence * INCARNATIONS_PER_CLAIM + min(
        incarnation, INCARNATIONS_PER_CLAIM - 1
    )


def claim_fence(order_fence: int) -> int:
    """Return the fence of the claim to which the fence of an order belongs."""
    return order_fence // INCARNATIONS_PER_CLAIM
