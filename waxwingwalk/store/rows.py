"""Versioned rows with conditional writes and a feed of changes.

Dispatch hosts use this interface, entry processes the one in ``base``.
"""

from collections.abc import Sequence
import datetime
import enum
from typing import Protocol

import msgspec
from returns import result


class StoreFailure(enum.Enum):
    """Why a call to the store failed.

    A call that was REFUSED had no effect. One that is UNKNOWN may have taken
    effect, or may do so later. HISTORY_GONE requires a full read of the table.
    MALFORMED means that the reply to a read could not be parsed.
    """

    REFUSED = "refused"
    UNKNOWN = "unknown"
    HISTORY_GONE = "history gone"
    MALFORMED = "malformed"


class StoredRow(msgspec.Struct, frozen=True):
    """A row in the store; ``value`` is None if the row was removed."""

    key: str
    version: int
    value: bytes | None


class Rows(msgspec.Struct, frozen=True):
    """Rows of a table and the store's newest version when they were read."""

    rows: tuple[StoredRow, ...]
    version: int


class RowWrite(msgspec.Struct, frozen=True):
    """A row to be written if its version is ``if_version``.

    0 means that it must not exist, None that the write is unconditional. If
    ``value`` is None, the row is removed.
    """

    table: str
    key: str
    value: bytes | None
    if_version: int | None


class WriteOutcome(msgspec.Struct, frozen=True):
    """Whether a transaction was applied.

    ``version`` is the version of the written rows; ``conflicting_rows`` are
    the current rows that did not meet their conditions.
    """

    is_applied: bool
    version: int
    conflicting_rows: tuple[StoredRow, ...]


class RowStore(Protocol):
    """The rows that the hosts share in the platform's store."""

    async def write(
        self, writes: Sequence[RowWrite]
    ) -> result.Result[WriteOutcome, StoreFailure]:
        """Write all rows or none."""
        ...

    async def read(self, table: str) -> result.Result[Rows, StoreFailure]:
        """Read a whole table."""
        ...

    async def changes(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[Rows, StoreFailure]:
        """Return rows changed after a version; wait up to ``wait`` for one."""
        ...
