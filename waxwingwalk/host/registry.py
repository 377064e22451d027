"""The rows of dispatch hosts and of pools in the store."""

import asyncio
import datetime

from returns import result

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.host import logs
from waxwingwalk.host import records
from waxwingwalk.store import follower
from waxwingwalk.store import rows as store_rows

# Delay between attempts to register while the store does not answer.
REGISTER_RETRY = datetime.timedelta(milliseconds=300)


class HostRegistry:
    """Reads and writes the rows of hosts and pools."""

    def __init__(
        self,
        local_host: model.HostRecord,
        store: store_rows.RowStore,
        log: logs.HostLog,
    ) -> None:
        self._local_host = local_host
        self._store = store
        self._log = log

    async def register(self) -> None:
        """Write this host's row, retrying until that has succeeded."""
        write = store_rows.RowWrite(
            records.HOSTS_TABLE,
            self._local_host.address,
            records.encode(self._local_host),
            None,
        )
        while True:
            written = await self._store.write([write])
            if isinstance(written, result.Success):
                self._log.info(
                    "host.registered", host=self._local_host.address
                )
                return
            await asyncio.sleep(REGISTER_RETRY.total_seconds())

    async def unregister(self) -> None:
        """Remove this host's row.

        If that fails, peers detect over their links that the host is gone.
        """
        write = store_rows.RowWrite(
            records.HOSTS_TABLE, self._local_host.address, None, None
        )
        removed = await self._store.write([write])
        if not isinstance(removed, result.Success):
            self._log.info(
                "host.still_registered", reason=removed.failure().value
            )

    async def write_pool(self, order: effects.WritePool) -> events.PoolWritten:
        """Write a pool's row, then read and return the current row.

        It is read whether or not the write succeeded.
        """
        write = store_rows.RowWrite(
            records.POOLS_TABLE,
            order.pool,
            records.encode(order.row),
            order.if_version,
        )
        written = await self._store.write([write])
        if not isinstance(written, result.Success):
            self._log.info(
                "pool.write_failed",
                pool=order.pool,
                reason=written.failure().value,
            )
        read = await self._store.read(records.POOLS_TABLE)
        if not isinstance(read, result.Success):
            return events.PoolWritten(order.pool, None, None)
        rows = {row.key: row for row in read.unwrap().rows}
        known = self.decode_pools(rows).get(order.pool)
        if known is None:
            return events.PoolWritten(order.pool, 0, None)
        return events.PoolWritten(order.pool, *known)

    def decode_pools(
        self, rows: follower.TableRows
    ) -> dict[str, tuple[int, pool_rows.PoolRow | None]]:
        """Decode the rows of pools; malformed ones are logged, and None."""
        decoded: dict[str, tuple[int, pool_rows.PoolRow | None]] = {}
        for key, row in rows.items():
            match records.decode_pool(row.value or b""):
                case result.Success(pool):
                    decoded[key] = (row.version, pool)
                case result.Failure(error):
                    decoded[key] = (row.version, None)
                    self._log.info("row.malformed", key=key, error=error)
        return decoded

    def decode_hosts(
        self, rows: follower.TableRows
    ) -> tuple[model.HostRecord, ...]:
        """Decode the rows of hosts; malformed rows are logged and left out."""
        decoded = []
        for key, row in rows.items():
            match records.decode_host(row.value or b""):
                case result.Success(record):
                    decoded.append(record)
                case result.Failure(error):
                    self._log.info("row.malformed", key=key, error=error)
        return tuple(decoded)
