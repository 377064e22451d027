"""Stand-in backend server, as docs/ref/backend-server.md describes it.

It runs every task that it receives, without checks for duplicates or free
slots. It counts the starts of each task, so that tests can check which tasks
ran.

The payload of a task controls it: ``run_seconds`` is the work at speed 1,
``value`` the result; ``fail`` makes the task fail.
"""

import asyncio
import collections
import dataclasses
import enum
from typing import Any

from aiohttp import web
import orjson

from waxwingwalk.testing import workload

DEFAULT_RUN_SECONDS = 0.05
# How long the next task has run when a response is repeated.
REPEAT_DELAY_SECONDS = 0.05
# Number of finished tasks whose status can still be queried.
FINISHED_MAX = 10_000


class Fault(enum.Enum):
    """Faults of a stand-in backend server."""

    NONE = "none"
    FAIL_ALL = "fail all"
    SILENT = "accept and never answer"
    RESET = "reset after the request was read"
    RUN_AND_RESET = "run the task, then reset"
    NOT_RUN = "say not run"
    OTHER_TASK = "answer with another task's name"
    OTHER_INCARNATION = "answer another incarnation"
    MALFORMED = "answer nonsense"
    TWICE = "answer twice"
    REPEAT_LATER = "answer, and again once the next task is running"
    NOT_RUN_REPEAT_LATER = "say not run, and again like REPEAT_LATER"
    LATE = "end tasks late"


@dataclasses.dataclass(slots=True)
class BackendOptions:
    """Options of a stand-in backend server.

    ``delays`` maps the zone of an entry process to the one-way network delay
    in seconds; ``late_seconds`` is the delay that ``Fault.LATE`` adds.
    """

    backend_id: str = "backend-1"
    zone: str = "zone-1"
    rack: str = "rack-1"
    services: tuple[str, ...] = ("refunds",)
    slots: int = 8
    speed: float = 1.0
    late_seconds: float = 3.0
    delays: dict[str, float] = dataclasses.field(default_factory=dict)


class BackendServer:
    """A backend server on a loopback port."""

    def __init__(self, options: BackendOptions) -> None:
        self.options = options
        self.fault = Fault.NONE
        self.is_leaving = False
        self.starts: collections.Counter[str] = collections.Counter()
        self.start_times: list[float] = []
        # The largest number of connections open at once.
        self.max_connections = 0
        self.incarnation = f"{options.backend_id}-1"
        self.address = ""
        self._sharing = workload.ProcessorSharing(options.slots, options.speed)
        self._tasks: dict[str, asyncio.Task[dict[str, Any]]] = {}
        self._finished: collections.OrderedDict[str, dict[str, Any]] = (
            collections.OrderedDict()
        )
        self._transports: set[Any] = set()
        self._silenced_transports: set[Any] = set()
        # Replies that are repeated during the next task of a connection.
        self._repeats: dict[Any, Any] = {}
        self._is_awake = asyncio.Event()
        self._is_awake.set()
        self._runner: web.AppRunner | None = None

    async def start(self, address: str = "127.0.0.1", port: int = 0) -> None:
        """Start listening and set ``address``."""
        app = web.Application(client_max_size=2**26)
        app.router.add_post("/v1/tasks", self._run)
        app.router.add_post("/v1/tasks/status", self._status)
        app.router.add_post("/v1/tasks/stop", self._stop)
        app.router.add_post("/v1/tasks/throttle", self._acknowledge)
        app.router.add_post("/v1/tasks/checkpoint", self._acknowledge)
        app.router.add_post("/v1/leases", self._acknowledge)
        app.router.add_get("/v1/usage", self._read_usage)
        app.router.add_get("/v1/starts", self._read_starts)
        self._runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=0.01
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, address, port, backlog=1024)
        await site.start()
        host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound_port}"

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        for task in list(self._tasks.values()):
            task.cancel()
        for transport in list(self._transports):
            transport.abort()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def host_list_entry(self) -> dict[str, Any]:
        """Return the entry for the host list."""
        options = self.options
        return {
            "id": options.backend_id,
            "address": self.address,
            "zone": options.zone,
            "rack": options.rack,
            "incarnation": self.incarnation,
            "services": list(options.services),
            "slots": options.slots,
            "connections": 64,
            "processors": 16,
            "memory": 64 * 2**30,
            "accelerators": 0,
            "state": "leaving" if self.is_leaving else "live",
        }

    @property
    def running(self) -> int:
        """The number of running tasks."""
        return self._sharing.running

    def silence_open_connections(self) -> None:
        """Stop answering task requests on open connections, permanently.

        Affects the connections that have carried a task request. Other
        requests and new connections are not affected.
        """
        self._silenced_transports |= self._transports

    def pause(self) -> None:
        """Answer no task or status request until :meth:`resume`."""
        self._is_awake.clear()

    def resume(self) -> None:
        """Answer again, also the requests that arrived meanwhile."""
        self._is_awake.set()

    def set_speed(self, speed: float) -> None:
        """Change the speed, also for running tasks."""
        self._sharing.set_speed(speed)

    async def _run(self, request: web.Request) -> web.StreamResponse:
        transport = request.transport
        self._transports.add(transport)
        self._count_connections()
        content = orjson.loads(await request.read())
        if transport in self._silenced_transports:
            await asyncio.Event().wait()
        self._repeat_earlier_response(request)
        delay = self.options.delays.get(content.get("zone", ""), 0.0)
        if delay:
            await asyncio.sleep(delay)
        reply = await self._reply_to(content, request)
        if delay:
            await asyncio.sleep(delay)
        await self._is_awake.wait()
        if transport in self._silenced_transports:
            await asyncio.Event().wait()
        return web.json_response(
            body=orjson.dumps(reply), content_type="application/json"
        )

    async def _reply_to(
        self, content: dict[str, Any], request: web.Request
    ) -> Any:
        name = content["task"]
        match self.fault:
            case Fault.SILENT:
                self._record_start(name)
                await asyncio.Event().wait()
            case Fault.RESET:
                await self._abort_connection(request)
            case Fault.NOT_RUN:
                return self._build_reply(content, "not_run")
            case Fault.NOT_RUN_REPEAT_LATER:
                refusal = self._build_reply(content, "not_run")
                self._repeats[request.transport] = refusal
                return refusal
            case Fault.MALFORMED:
                self._record_start(name)
                return {"status": 7}
        reply = await self._start(name, content)
        match self.fault:
            case Fault.RUN_AND_RESET:
                await self._abort_connection(request)
            case Fault.OTHER_TASK:
                return {**reply, "task": f"{name}0"}
            case Fault.OTHER_INCARNATION:
                return {**reply, "incarnation": "0" * 12}
            case Fault.TWICE:
                self._write_extra_response(request, reply)
            case Fault.REPEAT_LATER:
                self._repeats[request.transport] = reply
        return reply

    def _count_connections(self) -> None:
        assert self._runner is not None
        assert self._runner.server is not None
        now_open = len(self._runner.server.connections)
        self.max_connections = max(self.max_connections, now_open)

    async def _abort_connection(self, request: web.Request) -> None:
        """Reset the connection and never return."""
        assert request.transport is not None
        request.transport.abort()
        await asyncio.Event().wait()

    def _repeat_earlier_response(self, request: web.Request) -> None:
        reply = self._repeats.pop(request.transport, None)
        if reply is not None:
            asyncio.get_running_loop().call_later(
                REPEAT_DELAY_SECONDS,
                self._write_extra_response,
                request,
                reply,
            )

    def _write_extra_response(self, request: web.Request, reply: Any) -> None:
        """Write a complete response besides the regular one."""
        body = orjson.dumps(reply)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        if request.transport is not None:
            request.transport.write(head.encode() + body)

    def _record_start(self, name: str) -> None:
        self.starts[name] += 1
        self.start_times.append(asyncio.get_running_loop().time())

    async def _start(
        self, name: str, content: dict[str, Any]
    ) -> dict[str, Any]:
        self._record_start(name)
        task = asyncio.ensure_future(self._work(content))
        self._tasks[name] = task
        try:
            reply = await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            reply = self._build_reply(content, "failed", error="stopped")
        finally:
            if task.done():
                self._tasks.pop(name, None)
        self._finished[name] = reply
        if len(self._finished) > FINISHED_MAX:
            self._finished.popitem(last=False)
        return reply

    async def _work(self, content: dict[str, Any]) -> dict[str, Any]:
        payload = content.get("payload")
        if not isinstance(payload, dict):
            payload = {"value": payload}
        if self.fault is Fault.FAIL_ALL or payload.get("fail"):
            return self._build_reply(content, "failed", error="task failed")
        seconds = float(payload.get("run_seconds", DEFAULT_RUN_SECONDS))
        await self._sharing.run(seconds)
        if self.fault is Fault.LATE:
            await asyncio.sleep(self.options.late_seconds)
        return self._build_reply(content, "done", value=payload.get("value"))

    def _build_reply(
        self,
        content: dict[str, Any],
        status: str,
        *,
        value: Any = None,
        error: str = "",
    ) -> dict[str, Any]:
        return {
            "task": content["task"],
            "incarnation": content["incarnation"],
            "status": status,
            "result": value,
            "error": error,
            "leaving": self.is_leaving,
            "running": self._sharing.running,
        }

    async def _status(self, request: web.Request) -> web.Response:
        name = orjson.loads(await request.read())["task"]
        await self._is_awake.wait()
        if self.fault is Fault.SILENT:
            await asyncio.Event().wait()
        if name in self._finished:
            return web.json_response(self._finished[name])
        status = "running" if name in self._tasks else "unknown"
        content = {"task": name, "incarnation": ""}
        return web.json_response(self._build_reply(content, status))

    async def _stop(self, request: web.Request) -> web.Response:
        for name in orjson.loads(await request.read())["tasks"]:
            task = self._tasks.get(name)
            if task is not None:
                task.cancel()
        return web.json_response({})

    async def _acknowledge(self, request: web.Request) -> web.Response:
        await request.read()
        return web.json_response({})

    async def _read_starts(self, request: web.Request) -> web.Response:
        """Return the number of starts of each task.

        Real backend servers do not serve this path.
        """
        return web.json_response(dict(self.starts))

    async def _read_usage(self, request: web.Request) -> web.Response:
        return web.json_response({"running": self._sharing.running})
