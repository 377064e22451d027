"""Claims of callers' keys in the table service.

A claim is a row that must not exist yet. Claims that arise together go in one
write. After a lost reply the row is read back before anything is decided:
until then no task of the job starts.
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
# How long claims are collected before they are written together.
BATCH_PAUSE = datetime.timedelta(milliseconds=4)
# How often an unsettled claim is read back, and how often at most.
READ_BACK_PAUSE = datetime.timedelta(milliseconds=200)
READ_BACKS_MAX = 3
BATCH_MAX = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a claim is ours (``code`` is None), and who else holds it."""

    code: results.ResultCode | None
    holder: identity.ProcessId | None = None


def row_key(team: str, key: str) -> str:
    """Return the key of a claim's row, bounded in length."""
    return hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()


def judge(
    row: base.Row | None,
    job_id: str,
    process: identity.ProcessId,
    is_job_free: Callable[[str], bool],
) -> Verdict:
    """Decide from a claim's row whether a job may start.

    It may if the row names this very job, or an earlier one of this same
    process that is known to have started nothing.
    """
    if row is None:
        return Verdict(results.ResultCode.STORE_UNAVAILABLE)
    holder = identity.ProcessId(
        str(row.value.get("address")), str(row.value.get("incarnation"))
    )
    claimed_by = str(row.value.get("job"))
    if holder == process:
        if claimed_by == job_id or is_job_free(claimed_by):
            return Verdict(None)
        return Verdict(results.ResultCode.EARLIER_ATTEMPT)
    return Verdict(results.ResultCode.EARLIER_ATTEMPT, holder)


@dataclasses.dataclass(slots=True)
class _Pending:
    effect: effects.ClaimKey
    write: base.Write


Settle = Callable[[str, Verdict], None]


class KeyClaims:
    """Writes claims in batches and settles each."""

    def __init__(
        self,
        table: base.TableService,
        process: identity.ProcessId,
        *,
        settle: Settle,
        is_job_free: Callable[[str], bool],
        now: Callable[[], datetime.datetime],
    ) -> None:
        self._table = table
        self._process = process
        self._settle = settle
        self._is_job_free = is_job_free
        self._now = now
        self._pending: list[_Pending] = []
        self._flush: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def claim(self, effect: effects.ClaimKey) -> None:
        """Claim a key; the verdict is given to ``settle``."""
        value = {
            "address": self._process.address,
            "incarnation": self._process.incarnation,
            "job": effect.job_id,
            "claimed_at": self._now().isoformat(),
        }
        key = row_key(effect.team, effect.key)
        write = base.Write(CLAIMS_TABLE, key, value, 0)
        self._pending.append(_Pending(effect, write))
        if self._flush is None or self._flush.done():
            self._flush = asyncio.create_task(self._flush_soon())

    async def _flush_soon(self) -> None:
        await asyncio.sleep(BATCH_PAUSE.total_seconds())
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
                    self._decide(each, outcome.row)
            case result.Failure(
                base.PlatformFailure.NOT_SENT | base.PlatformFailure.REFUSED
            ):
                for each in batch:
                    self._decide(each, None)
            case _:
                await self._read_back(batch)

    async def _read_back(self, batch: list[_Pending]) -> None:
        """Settle claims whose write got no reply."""
        keys = [(each.write.table, each.write.key) for each in batch]
        for _ in range(READ_BACKS_MAX):
            await asyncio.sleep(READ_BACK_PAUSE.total_seconds())
            read = await self._table.read(keys)
            if isinstance(read, result.Success):
                rows = read.unwrap()
                for each, row in zip(batch, rows, strict=True):
                    self._decide(each, row)
                return
        for each in batch:
            self._decide(each, None)

    def _decide(self, pending: _Pending, row: base.Row | None) -> None:
        job_id = pending.effect.job_id
        verdict = judge(row, job_id, self._process, self._is_job_free)
        self._settle(job_id, verdict)
