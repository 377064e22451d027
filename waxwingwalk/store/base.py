"""Interfaces of the platform for entry processes, and their failures.

Dispatch hosts use the interface in ``rows`` instead.
"""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

from returns import result


class PlatformFailure(enum.Enum):
    """Why a call to the platform gave no reply.

    A write that is LOST may have taken effect; one that was NOT_SENT or
    REFUSED has not.
    """

    NOT_SENT = "not sent"
    REFUSED = "refused"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table; versions count from 1."""

    version: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write: version 0 means that the row must not exist."""

    table: str
    key: str
    value: dict[str, Any]
    if_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """Whether a write took effect, and the row as it is now."""

    is_written: bool
    row: Row | None


RowKey = tuple[str, str]


class TableService(Protocol):
    """The transactional tables of the platform."""

    async def write(
        self, writes: Sequence[Write], *, is_atomic: bool
    ) -> result.Result[list[WriteResult], PlatformFailure]:
        """Write all rows or none if ``is_atomic``, else each independently."""
        ...

    async def read(
        self, keys: Sequence[RowKey]
    ) -> result.Result[list[Row | None], PlatformFailure]:
        """Read rows by table and key."""
        ...


class HostList(Protocol):
    """The platform's list of hosts, which is updated with a delay."""

    async def hosts(
        self,
    ) -> result.Result[dict[str, Any] | None, PlatformFailure]:
        """Return ``entry_hosts`` and ``backend_servers``, unvalidated.

        None means that the list has not changed since the last call.
        """
        ...
