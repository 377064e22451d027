"""A stand-in of the platform, as docs/ref/platform.md describes it.

Tables, a lagging host list and a small object store, all in memory, with the
faults that the real one shows.
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
    """What the stand-in does wrong."""

    NONE = "none"
    DOWN = "refuse every request"
    SILENT = "never answer"
    LOSE_REQUEST = "lose requests before they take effect"
    LOSE_REPLY = "apply requests and lose their replies"


@dataclasses.dataclass(slots=True)
class _Row:
    version: int
    value: dict[str, Any]

    def shown(self) -> dict[str, Any]:
        return {"version": self.version, "value": self.value}


class Platform:
    """The platform on a loopback port."""

    def __init__(self) -> None:
        self.fault = PlatformFault.NONE
        # Seconds that each table or object request takes.
        self.latency = 0.0
        # Ports at which the platform cannot be reached.
        self.cut_ports: set[int] = set()
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
        """Listen; the address is then in ``address``."""
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
        """Listen on a further port, which can be cut by itself."""
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
        """Put a row in place before anyone asks for it."""
        self._rows[table, key] = _Row(1, value)

    def row(self, table: str, key: str) -> dict[str, Any] | None:
        """Return the value of a row, for tests."""
        found = self._rows.get((table, key))
        return None if found is None else found.value

    def rows(self, table: str) -> list[dict[str, Any]]:
        """Return all values of a table, for tests."""
        return [
            row.value for (name, _), row in self._rows.items() if name == table
        ]

    async def _before(self, kind: str, request: web.Request) -> None:
        """Count a request, and fail it if it must not take effect."""
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        if port in self.cut_ports:
            await asyncio.Event().wait()
        self.requests[kind] += 1
        if self.latency:
            await asyncio.sleep(self.latency)
        match self.fault:
            case PlatformFault.DOWN:
                raise web.HTTPServiceUnavailable
            case PlatformFault.SILENT | PlatformFault.LOSE_REQUEST:
                await asyncio.Event().wait()

    async def _answer(self, content: Any) -> web.Response:
        if self.fault is PlatformFault.LOSE_REPLY:
            await asyncio.Event().wait()
        return web.json_response(
            body=orjson.dumps(content), content_type="application/json"
        )

    async def _write(self, request: web.Request) -> web.Response:
        content = orjson.loads(await request.read())
        await self._before("write", request)
        writes = content["writes"]
        fits = [self._fits(write) for write in writes]
        is_refused = content["atomic"] and not all(fits)
        results = []
        for write, does_fit in zip(writes, fits, strict=True):
            if does_fit and not is_refused:
                self._apply(write)
                status = "written"
            else:
                status = "conflict"
            results.append({"status": status, "row": self._shown(write)})
        return await self._answer({"results": results})

    def _fits(self, write: dict[str, Any]) -> bool:
        row = self._rows.get((write["table"], write["key"]))
        version = 0 if row is None else row.version
        return bool(version == write["if_version"])

    def _apply(self, write: dict[str, Any]) -> None:
        key = (write["table"], write["key"])
        version = write["if_version"] + 1
        self._rows[key] = _Row(version, write["value"])

    def _shown(self, key: dict[str, Any]) -> dict[str, Any] | None:
        row = self._rows.get((key["table"], key["key"]))
        return None if row is None else row.shown()

    async def _read(self, request: web.Request) -> web.Response:
        content = orjson.loads(await request.read())
        await self._before("read", request)
        rows = [self._shown(key) for key in content["reads"]]
        return await self._answer({"rows": rows})

    async def _list_hosts(self, request: web.Request) -> web.Response:
        await self._before("hosts", request)
        listed = {
            kind: list(entries.values())
            for kind, entries in self._hosts.items()
        }
        tag = f'"{xxhash.xxh3_64_hexdigest(orjson.dumps(listed))}"'
        if request.headers.get("If-None-Match") == tag:
            return web.Response(status=304, headers={"ETag": tag})
        response = await self._answer(listed)
        response.headers["ETag"] = tag
        return response

    async def _put_host(self, request: web.Request) -> web.Response:
        self.put_host(
            request.match_info["kind"], orjson.loads(await request.read())
        )
        return web.json_response({})

    async def _put_object(self, request: web.Request) -> web.Response:
        await self._before("put_object", request)
        self._objects[request.match_info["name"]] = await request.read()
        return await self._answer({})

    async def _get_object(self, request: web.Request) -> web.Response:
        await self._before("get_object", request)
        content = self._objects.get(request.match_info["name"])
        if content is None:
            raise web.HTTPNotFound
        return web.Response(body=content)

    async def _put_fault(self, request: web.Request) -> web.Response:
        content = orjson.loads(await request.read())
        self.fault = PlatformFault[content["fault"]]
        self.latency = float(content.get("latency", 0.0))
        return web.json_response({})
