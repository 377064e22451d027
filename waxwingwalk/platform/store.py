"""Client of the platform's store."""

import asyncio
import base64
import binascii
from collections.abc import Sequence
import contextlib
import datetime
import time
from typing import Any

import aiohttp
import msgspec
import orjson
from returns import result

from waxwingwalk.core import decoding
from waxwingwalk.host import metrics
from waxwingwalk.store import follower
from waxwingwalk.store import rows as store_rows

# A transaction takes 8 ms, but many times as long while the store is slow.
CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
# Time that a call of the feed may take in addition to its requested wait.
FEED_REPLY_TIME = datetime.timedelta(milliseconds=500)
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# The part of the store's tables that also holds the operators' rows.
SHARED_PART = ""
# Characters of Base64 that are decoded before the event loop runs again, which
# takes 2 ms; a multiple of four. Only the operators' document is longer.
VALUE_STEP = 2**18

Failure = store_rows.StoreFailure


class _Row(msgspec.Struct):
    key: str
    ver: decoding.Version
    # In Base64; absent if the row was removed.
    value: str | None = None
    tombstone: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    ver: decoding.Version = 0
    has_more: bool = False


class _RawRows(msgspec.Struct):
    """A page whose rows are not decoded."""

    rows: list[msgspec.Raw] = []
    ver: decoding.Version = 0
    has_more: bool = False


_rows_decoder: decoding.Decoder[_Rows] = decoding.Decoder(_Rows)
_raw_rows_decoder: decoding.Decoder[_RawRows] = decoding.Decoder(_RawRows)
_row_decoder: decoding.Decoder[_Row] = decoding.Decoder(_Row)


class PlatformStore:
    """Calls the store over HTTP."""

    def __init__(
        self,
        address: str,
        host_metrics: metrics.HostMetrics,
        log: follower.FollowerLog | None = None,
    ) -> None:
        self._url = f"http://{address}"
        self._metrics = host_metrics
        self._log = log
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar()
        )

    def set_address(self, address: str) -> None:
        """Send later calls to another address."""
        self._url = f"http://{address}"

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def write(
        self, writes: Sequence[store_rows.RowWrite]
    ) -> result.Result[store_rows.WriteOutcome, Failure]:
        """Write all rows or none."""
        body = {
            "expected": [
                {**_row_id(each), "ver": each.if_version}
                for each in writes
                if each.if_version is not None
            ],
            "writes": [
                {
                    **_row_id(each),
                    "value": base64.b64encode(each.value).decode(),
                }
                for each in writes
                if each.value is not None
            ],
            "remove": [_row_id(each) for each in writes if each.value is None],
        }
        reply = await self._call("POST", "/rows-tx", "write", body=body)
        if not isinstance(reply, result.Success):
            return result.Failure(reply.failure())
        status, content = reply.unwrap()
        table = await self._parse_rows(content, writes[0].table)
        if table is None:
            return result.Failure(Failure.UNKNOWN)
        return result.Success(
            store_rows.WriteOutcome(status == 200, table.version, table.rows)
        )

    async def read(
        self, table: str
    ) -> result.Result[store_rows.Rows, Failure]:
        """Read a whole table, page by page.

        The version is that of the first page, so that the feed repeats the
        changes made since then.
        """
        found: list[store_rows.StoredRow] = []
        version: int | None = None
        params = {"table": table, "part": SHARED_PART}
        while True:
            reply = await self._call("GET", "/rows-get", "read", params=params)
            if not isinstance(reply, result.Success):
                return result.Failure(reply.failure())
            page = self._parse_page(reply.unwrap()[1], table)
            if page is None:
                return result.Failure(Failure.MALFORMED)
            found += await _to_stored_rows(page)
            version = page.ver if version is None else version
            if not page.has_more or not page.rows:
                return result.Success(store_rows.Rows(tuple(found), version))
            # Keys are in byte order. The smallest key that can follow the last
            # one is that key and a zero byte.
            params = {**params, "from": page.rows[-1].key + "\x00"}

    async def changes(
        self, table: str, after: int, wait: datetime.timedelta
    ) -> result.Result[store_rows.Rows, Failure]:
        """Return the rows of a table that changed after a version."""
        milliseconds = int(wait / datetime.timedelta(milliseconds=1))
        reply = await self._call(
            "GET",
            "/rows-feed",
            "feed",
            params={
                "table": table,
                "after": str(after),
                "wait_ms": str(milliseconds),
            },
            timeout=wait + FEED_REPLY_TIME,
        )
        if not isinstance(reply, result.Success):
            return result.Failure(reply.failure())
        status, content = reply.unwrap()
        if status == 410:
            return result.Failure(Failure.HISTORY_GONE)
        changed = await self._parse_rows(content, table)
        if changed is None:
            return result.Failure(Failure.MALFORMED)
        return result.Success(changed)

    def _parse_page(self, content: bytes, table: str) -> _Rows | None:
        """Return a page without malformed rows, None if it is no page."""
        with contextlib.suppress(decoding.MalformedError):
            return _rows_decoder.decode(content)
        try:
            raw = _raw_rows_decoder.decode(content)
        except decoding.MalformedError:
            return None
        page = _Rows(ver=raw.ver, has_more=raw.has_more)
        for each in raw.rows:
            try:
                page.rows.append(_row_decoder.decode(bytes(each)))
            except decoding.MalformedError as error:
                if self._log is not None:
                    self._log.info(
                        "row.malformed", table=table, key="", error=str(error)
                    )
        return page

    async def _parse_rows(
        self, content: bytes, table: str
    ) -> store_rows.Rows | None:
        page = self._parse_page(content, table)
        if page is None:
            return None
        return store_rows.Rows(tuple(await _to_stored_rows(page)), page.ver)

    async def _call(
        self,
        method: str,
        path: str,
        kind: str,
        *,
        body: dict[str, Any] | None = None,
        params: dict[str, str] | None = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> result.Result[tuple[int, bytes], Failure]:
        """Send a request; return its status and content, or a failure."""
        started = time.monotonic()
        reply = await self._send(method, path, body, params, timeout)
        outcome = "ok"
        if not isinstance(reply, result.Success):
            outcome = reply.failure().value
        elapsed = datetime.timedelta(seconds=time.monotonic() - started)
        self._metrics.record_store_call(kind, outcome, elapsed)
        return reply

    async def _send(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        params: dict[str, str] | None,
        timeout: datetime.timedelta,
    ) -> result.Result[tuple[int, bytes], Failure]:
        limits = aiohttp.ClientTimeout(
            total=timeout.total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        headers = {"Content-Type": "application/json"} if body else None
        data = None if body is None else orjson.dumps(body)
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=data,
                params=params,
                headers=headers,
                timeout=limits,
                allow_redirects=False,
            ) as response:
                content = await response.read()
                if response.status in (200, 410, 412):
                    return result.Success((response.status, content))
                if response.status in (400, 403, 429, 503, 507):
                    return result.Failure(Failure.REFUSED)
                return result.Failure(Failure.UNKNOWN)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return result.Failure(Failure.REFUSED)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return result.Failure(Failure.UNKNOWN)


def _row_id(write: store_rows.RowWrite) -> dict[str, str]:
    return {"table": write.table, "part": SHARED_PART, "key": write.key}


async def _to_stored_rows(page: _Rows) -> list[store_rows.StoredRow]:
    return [
        store_rows.StoredRow(
            row.key,
            row.ver,
            None if row.tombstone else await _decode_value(row.value or ""),
        )
        for row in page.rows
    ]


async def _decode_value(text: str) -> bytes:
    """Return a row's bytes, empty if the text is not valid Base64."""
    decoded = []
    try:
        for start in range(0, len(text), VALUE_STEP):
            if start:
                await asyncio.sleep(0)
            step = text[start : start + VALUE_STEP]
            if "=" in step and start + VALUE_STEP < len(text):
                # Padding may only stand at the end.
                return b""
            decoded.append(base64.b64decode(step, validate=True))
    except (binascii.Error, ValueError):
        return b""
    return b"".join(decoded)
