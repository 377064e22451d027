"""Keeps a copy of a table up to date, also across outages of the store."""

import asyncio
from collections.abc import Callable
import datetime
from typing import Protocol

from returns import result

from waxwingwalk.store import rows as store_rows

# How long a call of the feed waits for a change. With the time for the reply,
# this must stay below the two seconds in which a configuration must take
# effect, even if a connection has failed silently.
SHORT_WAIT = datetime.timedelta(milliseconds=1000)
# A feed that only affects which host schedules may detect a failed connection
# later, because hosts detect the failure of peers over their links.
LONG_WAIT = datetime.timedelta(seconds=5)
# How often a follower that waits for its interval checks whether the interval
# has become shorter.
INTERVAL_CHECK_DELAY = datetime.timedelta(milliseconds=100)
# Delay after a failed call, doubled up to the maximum.
RETRY_DELAY = datetime.timedelta(milliseconds=100)
RETRY_DELAY_MAX = datetime.timedelta(milliseconds=400)

TableRows = dict[str, store_rows.StoredRow]


class FollowerLog(Protocol):
    """The log, as a follower uses it."""

    def info(self, event: str, **fields: object) -> None: ...

    def error(self, event: str, **fields: object) -> None: ...


class TableFollower:
    """Reads a table once, then its feed, and again if the feed has a gap.

    The feed is called at most once per ``interval()``, so that a table that
    changes constantly causes few calls. The interval may become shorter while
    the follower waits for it.

    ::

        follower = TableFollower(store, "hosts", update_rows, log)
        await follower.run()  # until cancelled
    """

    def __init__(
        self,
        store: store_rows.RowStore,
        table: str,
        notify: Callable[[TableRows], None],
        log: FollowerLog,
        *,
        wait: datetime.timedelta = SHORT_WAIT,
        interval: Callable[[], datetime.timedelta] = datetime.timedelta,
    ) -> None:
        self._store = store
        self._wait = wait
        self._interval = interval
        self._table = table
        self._notify = notify
        self._log = log
        self._rows: TableRows = {}
        self._version: int | None = None
        self._is_failing = False

    @property
    def version(self) -> int:
        """The version of the store up to which changes are known, or 0.

        While rows are reported, they are the rows of this version.
        """
        return self._version or 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        pause = RETRY_DELAY
        while True:
            try:
                if self._version is None:
                    outcome = await self._read_table()
                else:
                    outcome = await self._read_changes(self._version)
            except Exception as error:
                self._report_failure("reading", error)
                outcome = store_rows.StoreFailure.MALFORMED
            if outcome is None:
                pause = RETRY_DELAY
                self._record_success()
                await self._wait_for_interval()
                continue
            self._record_failure(outcome)
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, RETRY_DELAY_MAX)

    async def _wait_for_interval(self) -> None:
        waited = datetime.timedelta()
        while waited < self._interval():
            await asyncio.sleep(INTERVAL_CHECK_DELAY.total_seconds())
            waited += INTERVAL_CHECK_DELAY

    async def _read_table(self) -> store_rows.StoreFailure | None:
        reply = await self._store.read(self._table)
        if not isinstance(reply, result.Success):
            return reply.failure()
        table = reply.unwrap()
        self._rows = {row.key: row for row in table.rows}
        self._version = table.version
        self._report_rows()
        return None

    async def _read_changes(
        self, version: int
    ) -> store_rows.StoreFailure | None:
        reply = await self._store.changes(self._table, version, self._wait)
        if not isinstance(reply, result.Success):
            if reply.failure() is store_rows.StoreFailure.HISTORY_GONE:
                self._log.info(
                    "store.history_gone", table=self._table, version=version
                )
                self._version = None
                return None
            return reply.failure()
        changed = reply.unwrap()
        self._version = max(version, changed.version)
        if changed.rows:
            for row in changed.rows:
                if row.value is None:
                    self._rows.pop(row.key, None)
                else:
                    self._rows[row.key] = row
            self._report_rows()
        return None

    def _report_rows(self) -> None:
        """Report the rows; an error in their handling does not end the loop.

        The rows that follow may be in order again.
        """
        try:
            self._notify(self._rows)
        except Exception as error:
            self._report_failure("rows", error)

    def _report_failure(self, step: str, error: Exception) -> None:
        self._log.error(
            "internal.error",
            where=f"{step} of {self._table}",
            error=f"{type(error).__name__}: {error}",
            exc_info=error,
        )

    def _record_failure(self, failure: store_rows.StoreFailure) -> None:
        if not self._is_failing:
            self._is_failing = True
            self._log.info(
                "store.lost",
                table=self._table,
                reason=failure.value,
                version=self._version,
            )

    def _record_success(self) -> None:
        if self._is_failing:
            self._is_failing = False
            self._log.info(
                "store.regained", table=self._table, version=self._version
            )
