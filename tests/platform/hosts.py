"""Dispatch hosts and the stand-in platform, all in one process."""

import contextlib
import datetime
import io
import socket

import aiohttp
from aiohttp import test_utils
from returns import result

from tests.platform import stand_in
from waxwingwalk.core import clock
from waxwingwalk.host import config
from waxwingwalk.host import logs
from waxwingwalk.platform import wiring


class MemoryWriter:
    """Keeps log lines in memory."""

    def __init__(self):
        self.dropped = 0
        self.content = io.BytesIO()

    def write(self, line):
        """Keep a line."""
        self.content.write(line)

    def flush(self):
        """Do nothing."""

    def __contains__(self, text):
        return text.encode() in self.content.getvalue()


def free_addresses(count):
    """Return loopback addresses on which no socket listens."""
    with contextlib.ExitStack() as stack:
        sockets = [
            stack.enter_context(socket.create_server(("127.0.0.1", 0)))
            for _ in range(count)
        ]
        return [f"127.0.0.1:{each.getsockname()[1]}" for each in sockets]


class Deployment:
    """A store, workers and dispatch hosts."""

    def __init__(self):
        self.store = stand_in.Store()
        self.workers = []
        self.configs = []
        self.logs = []
        self._servers = []
        self._hosts = []
        self.store_address = ""
        self.session = None

    async def start(
        self, workers=1, hosts=1, zones=("north",), grace_seconds=6
    ):
        """Start the store, workers and hosts, each in the next zone."""
        self.session = aiohttp.ClientSession()
        self.store_address = await self._serve(self.store.application())
        for number in range(workers):
            worker = stand_in.Worker(f"w-{number}")
            address = await self._serve(worker.application())
            self.workers.append(worker)
            zone = zones[number % len(zones)]
            row = stand_in.worker_row(address, zone=zone)
            self.store.put("servers", worker.worker_id, row)
        self.store.put("servers", "broken", b"\xff")
        self.store.put("servers", "foreign", {"state": "resting"})
        self.store.put("op", "config", stand_in.config())
        for number in range(hosts):
            await self.start_host(
                number,
                zone=zones[number % len(zones)],
                grace_seconds=grace_seconds,
            )

    async def _serve(self, application):
        server = test_utils.TestServer(application)
        await server.start_server()
        self._servers.append(server)
        return f"127.0.0.1:{server.port}"

    async def start_host(
        self, number, seeds=(), zone="north", grace_seconds=6
    ):
        """Start a host, which opens links to seeds before it has a list."""
        callers, readiness, peers, metrics_address = free_addresses(4)
        settings = config.HostConfig(
            name=f"host-{number}",
            zone=zone,
            region="wales",
            callers=callers,
            readiness=readiness,
            peers=peers,
            metrics=metrics_address,
            store=self.store_address,
            seeds=seeds,
            processors=1.0,
            grace=datetime.timedelta(seconds=grace_seconds),
            linger=datetime.timedelta(milliseconds=100),
        )
        writer = MemoryWriter()
        time = clock.SystemClock()
        host = wiring.build(
            settings,
            time,
            logs.HostLog(time, writer),
            lambda: result.Success(settings),
        )
        await host.start()
        self.configs.append(settings)
        self.logs.append(writer)
        self._hosts.append(host)

    async def stop_host(self, number):
        """Drain a host."""
        await self._hosts.pop(number).stop()

    async def stop(self):
        """Drain and close everything."""
        while self._hosts:
            await self.stop_host(0)
        await self.session.close()
        for server in self._servers:
            await server.close()

    async def call(self, method, path, *, number=0, host=None, **options):
        """Send a request of a caller; return status, content and headers."""
        headers = {"Host": host or "shop.example"}
        headers |= options.pop("headers", {})
        url = f"http://{self.configs[number].callers}{path}"
        async with self.session.request(
            method, url, headers=headers, **options
        ) as response:
            content = await response.read()
            return response.status, content, response.headers

    async def get(self, address, path):
        """Send a GET to another listener; return status and content."""
        async with self.session.get(f"http://{address}{path}") as response:
            return response.status, await response.text()
