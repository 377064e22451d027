"""Settings revisions in the table service, in one total order.

The head row holds only the number of the newest revision, so that checking
for a newer one is cheap. Each revision has a row of its own. Both rows are
written in one atomic write that is conditional on the version of the head
row. Of two concurrent changes, one therefore fails and is applied again on
top of the other.
"""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Any

from returns import result

from waxwingwalk.core import results
from waxwingwalk.settings import adopted
from waxwingwalk.settings import exceptions
from waxwingwalk.settings import tree as settings_tree
from waxwingwalk.store import base

TABLE = "settings"
HEAD = "head"
# Maximum number of attempts to write a change while concurrent changes are
# written first.
WRITE_ATTEMPTS_MAX = 20

ChangeResult = result.Result[adopted.Revision, "ChangeRefusal"]


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The number of the newest revision and the version of the head row."""

    number: int
    version: int


class ChangeRefusal:
    """The reason for refusing a change, with all errors or conflicts."""

    def __init__(
        self,
        code: results.ResultCode,
        errors: list[exceptions.SettingsError] | None = None,
    ) -> None:
        self.code = code
        self.errors = errors or []

    def __repr__(self) -> str:
        return f"<ChangeRefusal {self.code.name} {self.errors}>"


def revision_key(number: int) -> str:
    """Return the row key of a revision."""
    return f"revision-{number:012d}"


class SettingsStore:
    """Reads and changes the settings in the table service."""

    def __init__(
        self,
        table: base.TableService,
        now: Callable[[], datetime.datetime],
        new_change_id: Callable[[], str],
    ) -> None:
        self._table = table
        self._now = now
        self._new_change_id = new_change_id

    async def head(self) -> result.Result[Head, base.PlatformFailure]:
        """Return the head row."""
        read = await self._table.read([(TABLE, HEAD)])
        return read.map(lambda rows: _parse_head(rows[0]))

    async def newest(
        self,
    ) -> result.Result[tuple[adopted.Revision, int], base.PlatformFailure]:
        """Return the newest revision and the version of the head row."""
        read = await self.head()
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        head = read.unwrap()
        found = await self.revision(head.number)
        if not isinstance(found, result.Success):
            return result.Failure(found.failure())
        revision = found.unwrap()
        if revision is None:
            return result.Failure(base.PlatformFailure.LOST)
        return result.Success((revision, head.version))

    async def revision(
        self, number: int
    ) -> result.Result[adopted.Revision | None, base.PlatformFailure]:
        """Return a revision by its number; None if there is none."""
        if number == 0:
            return result.Success(adopted.EMPTY)
        read = await self._table.read([(TABLE, revision_key(number))])
        return read.map(lambda rows: _parse_revision(rows[0]))

    async def change(
        self,
        changes: dict[str, Any],
        *,
        author: str,
        reason: str,
        based_on: int | None,
    ) -> ChangeResult:
        """Apply changes as a new revision.

        Changing a path that has been changed since the revision ``based_on``
        is a conflict; changes of other paths are merged. If ``based_on`` is
        None, there is no check for conflicts.
        """
        change_id = self._new_change_id()
        for _ in range(WRITE_ATTEMPTS_MAX):
            read = await self.newest()
            if not isinstance(read, result.Success):
                return _refused(results.ResultCode.SETTINGS_STORE_UNAVAILABLE)
            head, version = read.unwrap()
            conflicts = await self._conflicts(changes, based_on, head)
            if conflicts:
                return _refused(
                    results.ResultCode.SETTINGS_CONFLICT, conflicts
                )
            built = settings_tree.apply_changes(head.tree, changes)
            if not isinstance(built, result.Success):
                return _refused(
                    results.ResultCode.SETTINGS_INVALID, built.failure()
                )
            revision = adopted.Revision(
                number=head.number + 1,
                change_id=change_id,
                author=author,
                at=self._now().isoformat(),
                reason=reason,
                changes=changes,
                tree=built.unwrap(),
            )
            outcome = await self._write(revision, version)
            if outcome is not None:
                return outcome
        return _refused(results.ResultCode.SETTINGS_CONFLICT)

    async def _write(
        self, revision: adopted.Revision, version: int
    ) -> ChangeResult | None:
        """Write a revision; return None if another one was written first."""
        value = revision.model_dump()
        key = revision_key(revision.number)
        writes = [
            base.Write(TABLE, HEAD, {"number": revision.number}, version),
            base.Write(TABLE, key, value, 0),
        ]
        written = await self._table.write(writes, is_atomic=True)
        match written:
            case result.Success(outcomes):
                if all(outcome.is_written for outcome in outcomes):
                    return result.Success(revision)
                return None
            case result.Failure(base.PlatformFailure.LOST):
                return await self._resolve_unknown_outcome(revision)
        return _refused(results.ResultCode.SETTINGS_STORE_UNAVAILABLE)

    async def _resolve_unknown_outcome(
        self, revision: adopted.Revision
    ) -> ChangeResult | None:
        """Determine whether a write without a reply took effect.

        It did if the row with the revision's number contains the id of this
        change. If there is no such row, the write may still be in flight: the
        outcome remains unknown, and the write is not repeated.
        Return None if the row contains another change.
        """
        read = await self.revision(revision.number)
        if not isinstance(read, result.Success):
            return _refused(results.ResultCode.SETTINGS_UNSETTLED)
        found = read.unwrap()
        if found is None:
            return _refused(results.ResultCode.SETTINGS_UNSETTLED)
        if found.change_id == revision.change_id:
            return result.Success(revision)
        return None

    async def _conflicts(
        self,
        changes: dict[str, Any],
        based_on: int | None,
        head: adopted.Revision,
    ) -> list[exceptions.SettingsError]:
        if based_on is None or based_on == head.number:
            return []
        read = await self.revision(based_on)
        known = read.value_or(None)
        if known is None:
            message = "cannot be compared: the base revision was not found"
            return [exceptions.SettingsError("*", message)]
        differing = settings_tree.diff(known.tree, head.tree)
        return [
            exceptions.SettingsError(
                path,
                f"was {differing[path][0]!r} at revision {based_on}, is "
                f"{differing[path][1]!r} at revision {head.number}",
            )
            for path in changes
            if path in differing
        ]

    async def roll_back(
        self, number: int, *, author: str, reason: str
    ) -> ChangeResult:
        """Create a new revision with the tree of an earlier one."""
        read = await self.newest()
        earlier = await self.revision(number)
        if not isinstance(read, result.Success) or not isinstance(
            earlier, result.Success
        ):
            return _refused(results.ResultCode.SETTINGS_STORE_UNAVAILABLE)
        old = earlier.unwrap()
        if old is None:
            return _refused(results.ResultCode.NOT_FOUND)
        head, _ = read.unwrap()
        differing = settings_tree.diff(head.tree, old.tree)
        changes = {path: values[1] for path, values in differing.items()}
        return await self.change(
            changes,
            author=author,
            reason=reason or f"roll back to revision {number}",
            based_on=head.number,
        )

    async def history(
        self, count: int
    ) -> result.Result[list[adopted.Revision], base.PlatformFailure]:
        """Return the newest revisions, newest first."""
        read = await self.head()
        if not isinstance(read, result.Success):
            return result.Failure(read.failure())
        newest = read.unwrap().number
        numbers = range(newest, max(0, newest - count), -1)
        keys = [(TABLE, revision_key(number)) for number in numbers]
        if not keys:
            return result.Success([])
        rows = await self._table.read(keys)
        return rows.map(
            lambda found: [
                revision for row in found if (revision := _parse_revision(row))
            ]
        )


def _parse_revision(row: base.Row | None) -> adopted.Revision | None:
    return None if row is None else adopted.Revision(**row.value)


def _parse_head(row: base.Row | None) -> Head:
    if row is None:
        return Head(0, 0)
    return Head(int(row.value["number"]), row.version)


def _refused(
    code: results.ResultCode,
    errors: list[exceptions.SettingsError] | None = None,
) -> result.Failure[ChangeRefusal]:
    return result.Failure(ChangeRefusal(code, errors))
