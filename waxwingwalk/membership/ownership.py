"""Assigns backend servers to owning entry processes by rendezvous hashing."""

import xxhash

from waxwingwalk.core import model
from waxwingwalk.membership import members


def owner_of(
    backend: model.BackendSpec, membership: members.Membership
) -> str | None:
    """Return the address of the owner, or None if there is no live member.

    Members in the backend server's availability zone are preferred. If there
    is none, all live members are candidates, in any region. The candidate with
    the highest hash is the owner, so that a membership change reassigns only
    the backend servers that the changed member owned or takes over.
    """
    live = [
        member.record
        for member in membership.all()
        if member.record.state == members.LIVE
    ]
    same_zone = [each for each in live if each.zone == backend.zone]
    candidates = [each.address for each in same_zone or live]
    if not candidates:
        return None
    return max(candidates, key=lambda address: _score(backend, address))


def _score(backend: model.BackendSpec, address: str) -> int:
    return xxhash.xxh64_intdigest(f"{backend.backend_id}|{address}".encode())
