"""Rows with versions, changed under conditions and followed by a feed."""

from collections.abc import Sequence
import dataclasses
import datetime
import enum
from typing import Protocol

from returns import result


class StoreFailure(enum.Enum):
    """Why a call to the store gave no answer.

    After REFUSED nothing was done; after UNKNOWN it may have been, or may
    yet be. HISTORY_GONE asks for a full read.
    """

    REFUSED = "refused"
    UNKNOWN = "unknown"
    HISTORY_GONE = "history gone"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as the store holds it; ``value`` is None where it was removed."""

    key: str
    version: int
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows of a table and the store's newest version when they were read."""

    rows: tuple[StoredRow, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A row to be written if its version is ``if_version``.

    0 means that it must not exist, None that anything goes. With no value
    the row is removed.
    """

    table: str
    key: str
    value: bytes | None
    if_version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """Whether a transaction was applied.

    ``version`` is that of the rows written, ``current`` the rows that stood
    against it.
    """

    is_applied: bool
    version: int
    current: tuple[StoredRow, ...]


class RowStore(Protocol):
    """The platform's rows, in the part that the hosts share."""

    async def write(
        self, writes: Sequence[RowWrite]
    ) -> result.Result[Written, StoreFailure]:
        """Write rows, all or none."""
        ...

    async def read(self, table: str) -> result.Result[Rows, StoreFailure]:
        """Read a whole table."""
        ...

    async def changes(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[Rows, StoreFailure]:
        """Return rows that changed after a version, waiting for the first."""
        ...
