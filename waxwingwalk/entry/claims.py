"""Claims of callers' keys in the table service.

A claim is written on condition that its row does not exist yet. Claims that
are requested within a short time are written in one batch. If the reply to a
write is lost, the row is read back before the claim is settled; no task of
the job starts until then.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import datetime
import hashlib

from returns import result

from waxwingwalk.core import effects
from waxwingwalk.core import identity
from waxwingwalk.core import results
from waxwingwalk.store import base

CLAIMS_TABLE = "claims"
# How long claims are collected for one batch.
BATCH_DELAY = datetime.timedelta(milliseconds=4)
# Interval at which an unsettled claim is read back, and the number of reads
# after which it counts as failed.
READ_BACK_INTERVAL = datetime.timedelta(milliseconds=200)
READ_BACKS_MAX = 3
BATCH_MAX = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """Outcome of a claim.

    ``code`` is None if the job may start. ``holder`` is the other process
    that holds the claim, if any.
    """

    code: results.ResultCode | None
    holder: identity.ProcessId | None = None


def row_key(team: str, key: str) -> str:
    """Return the key of a claim's row, a digest of fixed length."""
    return hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()


def evaluate_claim(
    row: base.Row | None,
    job_id: str,
    process: identity.ProcessId,
    has_ended_unstarted: Callable[[str], bool],
) -> ClaimResult:
    """Decide from a claim's row whether a job may start.

    It may if the row names this job, or an earlier job of this process that
    is known to have started no task.
    """
    if row is None:
        return ClaimResult(results.ResultCode.STORE_UNAVAILABLE)
    holder = identity.ProcessId(
        str(row.value.get("address")), str(row.value.get("incarnation"))
    )
    claimed_by = str(row.value.get("job"))
    if holder == process:
        if claimed_by == job_id or has_ended_unstarted(claimed_by):
            return ClaimResult(None)
        return ClaimResult(results.ResultCode.EARLIER_ATTEMPT)
    return ClaimResult(results.ResultCode.EARLIER_ATTEMPT, holder)


@dataclasses.dataclass(slots=True)
class _Pending:
    effect: effects.ClaimKey
    write: base.Write


Settle = Callable[[str, ClaimResult], None]


class KeyClaims:
    """Writes claims in batches and reports the outcome of each."""

    def __init__(
        self,
        table: base.TableService,
        process: identity.ProcessId,
        *,
        settle: Settle,
        has_ended_unstarted: Callable[[str], bool],
        now: Callable[[], datetime.datetime],
    ) -> None:
        self._table = table
        self._process = process
        self._settle = settle
        self._has_ended_unstarted = has_ended_unstarted
        self._now = now
        self._pending: list[_Pending] = []
        self._flush_task: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def claim(self, effect: effects.ClaimKey) -> None:
        """Claim a key; the outcome is passed to ``settle``."""
        value = {
            "address": self._process.address,
            "incarnation": self._process.incarnation,
            "job": effect.job_id,
            "claimed_at": self._now().isoformat(),
        }
        key = row_key(effect.team, effect.key)
        write = base.Write(CLAIMS_TABLE, key, value, 0)
        self._pending.append(_Pending(effect, write))
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.create_task(self._flush_after_delay())

    async def _flush_after_delay(self) -> None:
        await asyncio.sleep(BATCH_DELAY.total_seconds())
        while self._pending:
            batch = self._pending[:BATCH_MAX]
            del self._pending[:BATCH_MAX]
            task = asyncio.create_task(self._write(batch))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _write(self, batch: list[_Pending]) -> None:
        writes = [each.write for each in batch]
        written = await self._table.write(writes, is_atomic=False)
        match written:
            case result.Success(outcomes) if len(outcomes) == len(batch):
                for each, outcome in zip(batch, outcomes, strict=True):
                    self._settle_from_row(each, outcome.row)
            case result.Failure(
                base.PlatformFailure.NOT_SENT | base.PlatformFailure.REFUSED
            ):
                for each in batch:
                    self._settle_from_row(each, None)
            case _:
                await self._read_back(batch)

    async def _read_back(self, batch: list[_Pending]) -> None:
        """Settle claims whose write got no reply, by reading their rows."""
        keys = [(each.write.table, each.write.key) for each in batch]
        for _ in range(READ_BACKS_MAX):
            await asyncio.sleep(READ_BACK_INTERVAL.total_seconds())
            read = await self._table.read(keys)
            if isinstance(read, result.Success):
                rows = read.unwrap()
                for each, row in zip(batch, rows, strict=True):
                    self._settle_from_row(each, row)
                return
        for each in batch:
            self._settle_from_row(each, None)

    def _settle_from_row(
        self, pending: _Pending, row: base.Row | None
    ) -> None:
        job_id = pending.effect.job_id
        claim_result = evaluate_claim(
            row, job_id, self._process, self._has_ended_unstarted
        )
        self._settle(job_id, claim_result)
