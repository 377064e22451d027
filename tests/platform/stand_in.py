"""A stand-in for the users' platform: its store and its workers, over HTTP.

It implements the part of the platform's published protocol that waxwingwalk
uses.
"""

import asyncio
import base64
import itertools

from aiohttp import web
import orjson

STOP_SECONDS = 0.02
RUN_SECONDS = 0.05


class Store:
    """A store in memory, with faults set by the test."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history_from = 0
        self.status = None
        self.is_silent = False
        self.requests = []
        self._changed = asyncio.Event()

    def application(self):
        """Return the application."""
        app = web.Application(middlewares=[self._fault])
        app.router.add_post("/rows-tx", self._write)
        app.router.add_get("/rows-get", self._read)
        app.router.add_get("/rows-feed", self._feed)
        return app

    @web.middleware
    async def _fault(self, request, handler):
        if self.status is not None:
            return web.Response(status=self.status)
        if self.is_silent:
            await asyncio.sleep(30)
        return await handler(request)

    def put(self, table, key, value):
        """Write a row as an operator or a worker does."""
        self.version += 1
        if not isinstance(value, bytes):
            value = orjson.dumps(value)
        self.rows[table, key] = (self.version, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, table, key):
        """Remove a row as the platform does."""
        known = self.rows.get((table, key))
        if known is not None and known[1] is not None:
            self.version += 1
            self.rows[table, key] = (self.version, None)
            self._changed.set()
            self._changed = asyncio.Event()

    async def _write(self, request):
        body = await request.json()
        self.requests.append(body)
        for row in body["expected"]:
            known = self.rows.get((row["table"], row["key"]), (0, None))
            if known[0] != row["ver"]:
                found = [] if not known[0] else [self._row(row["key"], known)]
                content = {"rows": found, "ver": self.version, "now_ms": 1}
                return web.json_response(content, status=412)
        for row in body["writes"]:
            value = base64.b64decode(row["value"])
            self.put(row["table"], row["key"], value)
        for row in body["remove"]:
            self.remove(row["table"], row["key"])
        return web.json_response({"ver": self.version, "now_ms": 1})

    def _row(self, key, known):
        version, value = known
        row = {"key": key, "ver": version}
        if value is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(value).decode()}

    async def _read(self, request):
        table = request.query["table"]
        start = request.query.get("from", "")
        rows = [
            self._row(key, known)
            for (name, key), known in sorted(self.rows.items())
            if name == table and key >= start and known[1] is not None
        ]
        limit = 2
        content = {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "ver": self.version,
            "now_ms": 1,
        }
        return web.json_response(content)

    async def _feed(self, request):
        after = int(request.query["after"])
        wait = int(request.query["wait_ms"]) / 1000
        if after < self.history_from:
            return web.Response(status=410)
        table = request.query["table"]
        end = asyncio.get_running_loop().time() + wait
        while True:
            changed = self._changed
            rows = sorted(
                (known[0], self._row(key, known))
                for (name, key), known in self.rows.items()
                if name == table and known[0] > after
            )
            left = end - asyncio.get_running_loop().time()
            if rows or left <= 0:
                content = {
                    "rows": [row for _, row in rows],
                    "ver": self.version,
                    "now_ms": 1,
                }
                return web.json_response(content)
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue


class Worker:
    """A worker that runs each task for ``RUN_SECONDS``.

    ``planned_replies`` gives status and content of replies by path.
    """

    def __init__(self, worker_id, born=1):
        self.worker_id = worker_id
        self.born = born
        self.fence = 0
        self.running = {}
        self.ended = []
        self.starts = []
        self.planned_replies = {}
        self._serial = itertools.count(1)
        self._changed = asyncio.Event()

    def application(self):
        """Return the application."""
        app = web.Application()
        app.router.add_post("/run-start", self._start)
        app.router.add_post("/run-stop", self._stop)
        app.router.add_post("/hold", self._hold)
        return app

    def _refuse(self, request, body):
        """Return a refusal or a planned reply, None if there is none."""
        if request.headers["Expect-Instance"] != self.worker_id:
            return web.Response(status=421)
        planned = self.planned_replies.get(request.path)
        if planned is not None:
            status, content = planned
            return web.Response(status=status, body=orjson.dumps(content))
        if body["fence"] < self.fence:
            return self._reply(409, reason="fence")
        self.fence = body["fence"]
        return None

    def _reply(self, status=200, **fields):
        clock = int(asyncio.get_running_loop().time() * 1000)
        return web.json_response({"clock_ms": clock, **fields}, status=status)

    async def _start(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        self.starts.append(body)
        key = (body["task"], body["run"])
        self.running[key] = asyncio.get_running_loop().call_later(
            RUN_SECONDS, self._end_run, key, "done"
        )
        return self._reply()

    async def _stop(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        key = (body["task"], body["run"])
        if key in self.running:
            self.running[key].cancel()
            asyncio.get_running_loop().call_later(
                STOP_SECONDS, self._end_run, key, "stopped"
            )
        return self._reply()

    def _end_run(self, key, end):
        if self.running.pop(key, None) is not None:
            self.ended.append([next(self._serial), *key, end, ""])
            self._changed.set()
            self._changed = asyncio.Event()

    async def _hold(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        acknowledged = body["acked_upto"]
        self.ended = [row for row in self.ended if row[0] > acknowledged]
        if not self.ended and body.get("wait_ms"):
            changed = self._changed
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        running = [[*key, "", 50] for key in self.running]
        return self._reply(running=running, ended=self.ended, born=self.born)


def worker_row(address, **fields):
    """Return the row with which a worker registers."""
    return {
        "backend": "refunds",
        "address": address,
        "zone": "north",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "room": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 1,
        "seq": 4,
        "born": 1,
    } | fields


def config(version=1, **route):
    """Return the operators' configuration, with one route."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "shop.example",
                "prefix": "/refund/",
                "kind": "non_idempotent",
                "timeout_ms": 1500,
                "slo_ms": 60,
                "priority": 0,
                "backend": "refunds",
                "attempts": 3,
                "stretch": 1.6,
            }
            | route
        ],
        "backends": [{"name": "refunds", "health_path": "/health"}],
        "limits": {"max_body_bytes": 262144},
    }
