"""Team quotas, divided exactly among the live entry processes.

Every process gets the whole part of an even share. What is left over goes to
the processes that rank highest for the team by rendezvous hashing. All
processes compute the same division from the same members, and no message is
sent for it. A process whose part is nothing forwards the team's jobs to the
one that ranks highest.
"""

from collections.abc import Sequence
import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaShare:
    """A process's part of a quota, and the address that ranks highest."""

    tasks: int
    home: str


def divide(
    team: str, quota: int, members: Sequence[str], address: str
) -> QuotaShare:
    """Return the part of the quota that the process at an address has.

    ``members`` are the addresses of the live processes, at least one. A
    process that is not among them has no part.
    """
    ranked = sorted(members, key=lambda member: _score(team, member))
    share, rest = divmod(quota, len(ranked))
    if address not in ranked:
        return QuotaShare(0, ranked[0])
    extra = 1 if ranked.index(address) < rest else 0
    return QuotaShare(share + extra, ranked[0])


def _score(team: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{team}|{address}".encode())
