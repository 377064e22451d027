"""Keys that an entry process issues, and their signatures.

An issued key contains its issuer's address and incarnation. Only that
incarnation runs jobs with the key; it keeps the key's state in memory, so that
no store is needed. The signature is an HMAC with the peers' shared secret, so
that every entry process can reject a forged key.
"""

import dataclasses
import datetime
import hashlib
import hmac
import re

from returns import result

from waxwingwalk.core import identity
from waxwingwalk.core import results

_PREFIX = "wk1"
_PATTERN = re.compile(
    r"wk1~(?P<address>[^~]{1,64})~(?P<incarnation>[0-9a-f]{8,32})"
    r"~(?P<serial>[0-9]{1,18})~(?P<expiry>[0-9]{1,12})"
    r"~(?P<signature>[0-9a-f]{32})"
)
SIGNATURE_LENGTH = 32


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key with a valid signature; its issuer's clock set the expiry."""

    issuer: identity.ProcessId
    serial: int
    expires_at: datetime.datetime


class KeyIssuer:
    """Issues keys in blocks, and verifies keys of any issuer."""

    def __init__(self, process: identity.ProcessId, secret: str) -> None:
        self._process = process
        self._secret = secret.encode()
        self._serial = 0
        self._blocks: list[tuple[datetime.datetime, int]] = []

    def issue(
        self,
        team: str,
        count: int,
        *,
        lifetime: datetime.timedelta,
        limit: int,
        now: datetime.datetime,
    ) -> list[str] | None:
        """Return new keys; None if more than ``limit`` would be unexpired."""
        self._blocks = [block for block in self._blocks if block[0] > now]
        outstanding = sum(size for _, size in self._blocks)
        if outstanding + count > limit:
            return None
        expires_at = now + lifetime
        self._blocks.append((expires_at, count))
        first = self._serial + 1
        self._serial += count
        return [
            self._sign(team, serial, expires_at)
            for serial in range(first, first + count)
        ]

    def _sign(
        self, team: str, serial: int, expires_at: datetime.datetime
    ) -> str:
        expiry = int(expires_at.timestamp())
        address = self._process.address
        incarnation = self._process.incarnation
        body = f"{_PREFIX}~{address}~{incarnation}~{serial}~{expiry}"
        return f"{body}~{self._signature(team, body)}"

    def _signature(self, team: str, body: str) -> str:
        digest = hmac.new(
            self._secret, f"{team}\0{body}".encode(), hashlib.sha256
        )
        return digest.hexdigest()[:SIGNATURE_LENGTH]

    def verify(
        self, team: str, key: str
    ) -> result.Result[IssuedKey, results.ResultCode]:
        """Parse a key; fail unless it was issued to this team."""
        match = _PATTERN.fullmatch(key)
        if match is None:
            return result.Failure(results.ResultCode.KEY_INVALID)
        body, _, signature = key.rpartition("~")
        if not hmac.compare_digest(signature, self._signature(team, body)):
            return result.Failure(results.ResultCode.KEY_INVALID)
        issuer = identity.ProcessId(match["address"], match["incarnation"])
        expires_at = datetime.datetime.fromtimestamp(
            int(match["expiry"]), datetime.UTC
        )
        return result.Success(
            IssuedKey(issuer, int(match["serial"]), expires_at)
        )


def is_issued(key: str) -> bool:
    """Return whether a key has the prefix of issued keys."""
    return key.startswith(f"{_PREFIX}~")
