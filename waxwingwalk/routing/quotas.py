"""Team quotas, divided exactly among the live entry processes.

Each process gets an equal share, rounded down. The remainder goes, one task
each, to the processes that rank first for the team by rendezvous hashing.
All processes compute the same division from the same member list, so that no
messages are needed. A process whose share is zero forwards the team's jobs to
the process that ranks first.
"""

from collections.abc import Sequence
import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaShare:
    """The share of one process, and the address that ranks first."""

    tasks: int
    home: str


def divide(
    team: str, quota: int, members: Sequence[str], address: str
) -> QuotaShare:
    """Return the share of the quota that the process at ``address`` has.

    ``members`` are the addresses of the live processes, at least one. The
    share of a process that is not a member is zero.
    """
    ranked = sorted(members, key=lambda member: _score(team, member))
    share, rest = divmod(quota, len(ranked))
    if address not in ranked:
        return QuotaShare(0, ranked[0])
    extra = 1 if ranked.index(address) < rest else 0
    return QuotaShare(share + extra, ranked[0])


def _score(team: str, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{team}|{address}".encode())
