"""Client of the platform's HTTP API, as entry processes use it.

The API is described in docs/ref/platform.md.
"""

from collections.abc import Sequence
import datetime
from typing import Any

import aiohttp
import orjson
import pydantic
from returns import result

from waxwingwalk.store import base

REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


class _RowModel(pydantic.BaseModel):
    version: int
    value: dict[str, Any]


class _WriteResultModel(pydantic.BaseModel):
    status: str
    row: _RowModel | None = None


class _WriteReply(pydantic.BaseModel):
    results: list[_WriteResultModel]


class _ReadReply(pydantic.BaseModel):
    rows: list[_RowModel | None]


def _to_row(model: _RowModel | None) -> base.Row | None:
    return None if model is None else base.Row(model.version, model.value)


class HttpPlatform:
    """Client of the table service and the host list at one base URL."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url
        self._session = session
        self._hosts_tag = ""
        self._timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT.total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )

    async def write(
        self, writes: Sequence[base.Write], *, is_atomic: bool
    ) -> result.Result[list[base.WriteResult], base.PlatformFailure]:
        body = {
            "atomic": is_atomic,
            "writes": [
                {
                    "table": write.table,
                    "key": write.key,
                    "value": write.value,
                    "if_version": write.if_version,
                }
                for write in writes
            ],
        }
        reply = await self._call("POST", "/v1/table/write", body)
        return reply.bind(
            lambda content: _parse_write_reply(content, len(writes))
        )

    async def read(
        self, keys: Sequence[base.RowKey]
    ) -> result.Result[list[base.Row | None], base.PlatformFailure]:
        body = {"reads": [{"table": table, "key": key} for table, key in keys]}
        reply = await self._call("POST", "/v1/table/read", body)
        return reply.bind(
            lambda content: _parse_read_reply(content, len(keys))
        )

    async def hosts(
        self,
    ) -> result.Result[dict[str, Any] | None, base.PlatformFailure]:
        headers = {"If-None-Match": self._hosts_tag} if self._hosts_tag else {}
        reply = await self._call("GET", "/v1/hosts", None, headers)
        if reply == result.Success(b""):
            return result.Success(None)
        return reply.bind(_parse_hosts)

    async def _call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        headers: dict[str, str] | None = None,
    ) -> result.Result[bytes, base.PlatformFailure]:
        """Send a request; an unchanged resource gives empty content."""
        data = None if body is None else orjson.dumps(body)
        try:
            async with self._session.request(
                method,
                self._url + path,
                data=data,
                headers=headers,
                timeout=self._timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
                if response.status in (200, 304):
                    self._hosts_tag = response.headers.get(
                        "ETag", self._hosts_tag
                    )
                    return result.Success(content)
                if response.status == 503:
                    return result.Failure(base.PlatformFailure.REFUSED)
                return result.Failure(base.PlatformFailure.LOST)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return result.Failure(base.PlatformFailure.NOT_SENT)
        except (aiohttp.ClientError, TimeoutError):
            return result.Failure(base.PlatformFailure.LOST)


def _parse_write_reply(
    content: bytes, count: int
) -> result.Result[list[base.WriteResult], base.PlatformFailure]:
    try:
        reply = _WriteReply.model_validate_json(content)
    except pydantic.ValidationError:
        return result.Failure(base.PlatformFailure.LOST)
    if len(reply.results) != count:
        return result.Failure(base.PlatformFailure.LOST)
    return result.Success(
        [
            base.WriteResult(each.status == "written", _to_row(each.row))
            for each in reply.results
        ]
    )


def _parse_read_reply(
    content: bytes, count: int
) -> result.Result[list[base.Row | None], base.PlatformFailure]:
    try:
        reply = _ReadReply.model_validate_json(content)
    except pydantic.ValidationError:
        return result.Failure(base.PlatformFailure.LOST)
    if len(reply.rows) != count:
        return result.Failure(base.PlatformFailure.LOST)
    return result.Success([_to_row(each) for each in reply.rows])


def _parse_hosts(
    content: bytes,
) -> result.Result[dict[str, Any], base.PlatformFailure]:
    try:
        hosts = orjson.loads(content)
    except orjson.JSONDecodeError:
        return result.Failure(base.PlatformFailure.LOST)
    if not isinstance(hosts, dict):
        return result.Failure(base.PlatformFailure.LOST)
    return result.Success(hosts)
