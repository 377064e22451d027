"""Which entry process owns a backend server: rendezvous hashing."""

import xxhash

from waxwingwalk.core import model
from waxwingwalk.membership import members


def owner_of(
    backend: model.BackendSpec, membership: members.Membership
) -> str | None:
    """Return the address of the owner, or None if there is no live member.

    Members in the backend server's availability zone go first, then members
    in its region or beyond. The member with the highest hash wins, so that a
    change of members moves only what the changed member owned.
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
