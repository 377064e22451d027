"""Stand-in platform, as docs/ref/platform.md describes it.

It keeps tables, a host list and a small object store in memory, and can
inject the faults of the real platform.
"""

import asyncio
import collections
import dataclasses
import enum
from typing import Any

from aiohttp import web
import orjson
import xxhash

LIST_KINDS = ("entry_hosts", "backend_servers")


class PlatformFault(enum.Enum):
    """Faults of the stand-in platform."""

    NONE = "none"
    DOWN = "refuse every request"
    SILENT = "never answer"
    LOSE_REQUEST = "lose requests before they take effect"
    LOSE_REPLY = "apply requests and lose their replies"


@dataclasses.dataclass(slots=True)
class _Row:
    version: int
    value: dict[str, Any]

    def to_reply(self) -> dict[str, Any]:
        return {"version": self.version, "value": self.value}


class Platform:
    """The platform on a loopback port."""

    def __init__(self) -> None:
        self.fault = PlatformFault.NONE
        # Delay of each table, object or host list request, in seconds.
        self.latency = 0.0
        # Ports on which requests get no answer.
        self.unreachable_ports: set[int] = set()
        self.requests: collections.Counter[str] = collections.Counter()
        self.address = ""
        self._rows: dict[tuple[str, str], _Row] = {}
        self._objects: dict[str, bytes] = {}
        self._hosts: dict[str, dict[str, dict[str, Any]]] = {
            kind: {} for kind in LIST_KINDS
        }
        self._runner: web.AppRunner | None = None

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{self.address}"

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening and set ``address``."""
        app = web.Application(client_max_size=2**26)
        app.router.add_post("/v1/table/write", self._write)
        app.router.add_post("/v1/table/read", self._read)
        app.router.add_get("/v1/hosts", self._list_hosts)
        app.router.add_put("/v1/hosts/{kind}", self._put_host)
        app.router.add_put("/v1/objects/{name}", self._put_object)
        app.router.add_get("/v1/objects/{name}", self._get_object)
        app.router.add_put("/v1/fault", self._put_fault)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        self.address = await self.listen(address, port)

    async def listen(self, address: str = "127.0.0.1", port: int = 0) -> str:
        """Listen on another port and return its address.

        Each port can be made unreachable separately.
        """
        assert self._runner is not None
        site = web.TCPSite(self._runner, address, port)
        await site.start()
        host, bound_port = self._runner.addresses[-1][:2]
        return f"{host}:{bound_port}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def put_host(self, kind: str, entry: dict[str, Any]) -> None:
        """Add or replace an entry of the host list."""
        name = entry.get("id") or entry["address"]
        self._hosts[kind][name] = entry

    def seed(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Store a row at version 1, bypassing the conditional write."""
        self._rows[table, key] = _Row(1, value)

    def row(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the value of a row, or None if there is none."""
        row = self._rows.get((table, key))
        return None if row is None else row.value

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return the values of all rows of a table."""
        return [
            row.value for (name, _), row in self._rows.items() if name == table
        ]

    async def _begin_request(self, kind: str, request: web.Request) -> None:
        """Count a request and apply the faults that precede its effect."""
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        if port in self.unreachable_ports:
            await asyncio.Event().wait()
        self.requests[kind] += 1
        if self.latency:
            await asyncio.sleep(self.latency)
        match self.fault:
            case PlatformFault.DOWN:
                raise web.HTTPServiceUnavailable
            case PlatformFault.SILENT | PlatformFault.LOSE_REQUEST:
                await asyncio.Event().wait()

    async def _build_response(self, content: Any) -> web.Response:
        if self.fault is PlatformFault.LOSE_REPLY:
            await asyncio.Event().wait()
        return web.json_response(
            body=orjson.dumps(content), content_type="application/json"
        )

    async def _write(self, request: web.Request) -> web.Response:
        content = orjson.loads(await request.read())
        await self._begin_request("write", request)
        writes = content["writes"]
        matches = [self._version_matches(write) for write in writes]
        is_refused = content["atomic"] and not all(matches)
        results = []
        for write, is_match in zip(writes, matches, strict=True):
            if is_match and not is_refused:
                self._apply(write)
                status = "written"
            else:
                status = "conflict"
            results.append({"status": status, "row": self._read_row(write)})
        return await self._build_response({"results": results})

    def _version_matches(self, write: dict[str, Any]) -> bool:
        row = self._rows.get((write["table"], write["key"]))
        version = 0 if row is None else row.version
        return bool(version == write["if_version"])

    def _apply(self, write: dict[str, Any]) -> None:
        key = (write["table"], write["key"])
        version = write["if_version"] + 1
        self._rows[key] = _Row(version, write["value"])

    def _read_row(self, key: dict[str, Any]) -> dict[str, Any] | None:
        row = self._rows.get((key["table"], key["key"]))
        return None if row is None else row.to_reply()

    async def _read(self, request: web.Request) -> web.Response:
        content = orjson.loads(await request.read())
        await self._begin_request("read", request)
        rows = [self._read_row(key) for key in content["reads"]]
        return await self._build_response({"rows": rows})

    async def _list_hosts(self, request: web.Request) -> web.Response:
        await self._begin_request("hosts", request)
        listed = {
            kind: list(entries.values())
            for kind, entries in self._hosts.items()
        }
        tag = f'"{xxhash.xxh3_64_hexdigest(orjson.dumps(listed))}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        response = await self._build_response(listed)
        response.headers["ETag"] = tag
        return response

    async def _put_host(self, request: web.Request) -> web.Response:
        self.put_host(
            request.match_info["kind"], orjson.loads(await request.read())
        )
        return web.json_response({})

    async def _put_object(self, request: web.Request) -> web.Response:
        await self._begin_request("put_object", request)
        self._objects[request.match_info["name"]] = await request.read()
        return await self._build_response({})

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._begin_request("get_object", request)
        content = self._objects.get(request.match_info["name"])
        if content is None:
            raise web.HTTPNotFound
        return web.Response(body=content)

    async def _put_fault(self, request: web.Request) -> web.Response:
        content = orjson.loads(await request.read())
        self.fault = PlatformFault[content["fault"]]
        self.latency = float(content.get("latency", 0.0))
        return web.json_response({})
