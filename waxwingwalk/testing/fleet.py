"""Small fleet in one process: platform, backend servers, entry processes.

Used by the demo command and by tests of failures. Each part listens on a free
loopback port.

::

    async with Fleet(zones=("a", "b"), entries=3) as fleet:
        await fleet.add_backend(BackendOptions(backend_id="b1", zone="a"))
        await fleet.wait_until_ready()
        reply = await fleet.submit(0, {"service": "refunds", ...})
"""

import asyncio
from collections.abc import Sequence
import logging
import math
import pathlib
import tempfile
import time
from types import TracebackType
from typing import Any

import aiohttp
import orjson
import structlog

from waxwingwalk.entry import config
from waxwingwalk.testing import backend as backend_stand_in
from waxwingwalk.testing import platform as platform_stand_in
import waxwingwalk.wiring as wiring

READY_TIMEOUT = 20.0
POLL_INTERVAL = 0.02
SECRET = "a-secret-for-loopback-only"


class Fleet:
    """Stand-ins and entry processes with a common lifetime."""

    def __init__(
        self,
        zones: Sequence[str] = ("zone-1",),
        entries: int = 1,
        logger: structlog.typing.FilteringBoundLogger | None = None,
        settings: dict[str, Any] | None = None,
        secrets: config.Secrets | None = None,
    ) -> None:
        self._zones = zones
        self._entry_count = entries
        self._logger = logger or _build_silent_logger()
        self._settings = settings or {}
        self._secrets = secrets or config.Secrets(peers=SECRET)
        self._folder = tempfile.TemporaryDirectory(prefix="waxwingwalk-")
        self.platform = platform_stand_in.Platform()
        self.backends: dict[str, backend_stand_in.BackendServer] = {}
        self.entries: list[wiring.EntryProcess] = []
        self._ended: set[str] = set()
        # Pairs of peer addresses; messages from the first to the second are
        # lost.
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Fleet":
        self.session = aiohttp.ClientSession()
        await self.platform.start()
        for index in range(self._entry_count):
            await self.add_entry(self._zones[index % len(self._zones)])
        if self._settings:
            await self.change_settings(self._settings)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for entry in self.entries:
            await self.kill_entry(entry)
        for server in self.backends.values():
            await server.close()
        await self.platform.close()
        await self.session.close()
        self._folder.cleanup()

    async def add_entry(
        self,
        zone: str,
        peers_port: int = 0,
        platform_url: str | None = None,
    ) -> wiring.EntryProcess:
        """Start an entry process in a zone; the live ones are its seeds."""
        secret = pathlib.Path(self._folder.name, "peers.secret")
        secret.write_text(SECRET)
        entry_config = config.EntryConfig(
            place=config.PlaceConfig(region="region", availability_zone=zone),
            callers=config.ListenerConfig(port=0),
            operators=config.ListenerConfig(port=0),
            peers=config.ListenerConfig(port=peers_port),
            platform=config.PlatformConfig(
                url=platform_url or self.platform.url
            ),
            access=config.AccessConfig(peers_secret_file=secret),
            seeds=[entry.peers_address for entry in self.live_entries()],
        )
        started_entries: list[wiring.EntryProcess] = []

        def delay(address: str) -> float:
            pair = (started_entries[0].peers_address, address)
            return math.inf if pair in self.blocked_pairs else 0.0

        entry = wiring.build_entry(
            entry_config, self._secrets, self._logger, delay=delay
        )
        started_entries.append(entry)
        await entry.service.start()
        self.entries.append(entry)
        return entry

    def mark_ended(self, entry: wiring.EntryProcess) -> None:
        """Record that an entry process has ended and needs no abort."""
        self._ended.add(str(entry.engine.state.process))

    async def kill_entry(self, entry: wiring.EntryProcess) -> None:
        """Abort an entry process without a shutdown."""
        if str(entry.engine.state.process) not in self._ended:
            self.mark_ended(entry)
            await entry.service.abort()

    def block_messages(
        self, senders: list[int], receivers: list[int], *, both: bool = True
    ) -> None:
        """Drop messages between entry processes, given by index."""
        for sender in senders:
            for receiver in receivers:
                first = self.entries[sender].peers_address
                second = self.entries[receiver].peers_address
                self.blocked_pairs.add((first, second))
                if both:
                    self.blocked_pairs.add((second, first))

    async def add_backend(
        self, options: backend_stand_in.BackendOptions
    ) -> backend_stand_in.BackendServer:
        """Start a backend server and add it to the host list."""
        server = backend_stand_in.BackendServer(options)
        await server.start()
        self.backends[options.backend_id] = server
        self.list_backend(server)
        return server

    def list_backend(self, server: backend_stand_in.BackendServer) -> None:
        """Update the entry of a backend server in the host list."""
        self.platform.put_host("backend_servers", server.host_list_entry())

    async def wait_until_ready(self) -> None:
        """Wait until all entry processes are ready.

        Each has to know the settings, all backend servers and all peers, and
        to have slots granted.
        """
        deadline = time.monotonic() + READY_TIMEOUT
        while not all(self._is_ready(entry) for entry in self.live_entries()):
            if time.monotonic() > deadline:
                raise TimeoutError("the fleet did not become ready")
            await asyncio.sleep(POLL_INTERVAL)

    def live_entries(self) -> list[wiring.EntryProcess]:
        """Return the entry processes that have not ended."""
        return [
            entry
            for entry in self.entries
            if str(entry.engine.state.process) not in self._ended
        ]

    def _is_ready(self, entry: wiring.EntryProcess) -> bool:
        state = entry.engine.state
        known = {backend.backend_id for backend in state.registry.all()}
        hints = state.sharing.free_hints()
        return (
            state.settings.is_ready
            and known >= self.backends.keys()
            and len(state.membership.live_addresses())
            >= len(self.live_entries())
            and all(hints.values())
        )

    async def submit(self, entry: int, job: dict[str, Any]) -> dict[str, Any]:
        """Submit a job to an entry process and return the reply."""
        return await self.request(entry, "POST", "/v1/jobs", job)

    async def request(
        self,
        entry: int,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        is_operator: bool = False,
    ) -> dict[str, Any]:
        """Send a request to an entry process and return the reply."""
        process = self.entries[entry]
        address = process.callers_address
        if is_operator:
            address = process.operators_address
        async with self.session.request(
            method, f"http://{address}{path}", json=body
        ) as response:
            reply: dict[str, Any] = orjson.loads(await response.read())
            return reply

    async def change_settings(
        self, changes: dict[str, Any], entry: int = 0
    ) -> dict[str, Any]:
        """Change settings through the operators' API of an entry process."""
        body = {"changes": changes, "reason": "fleet", "author": "fleet"}
        return await self.request(
            entry, "POST", "/v1/settings/changes", body, is_operator=True
        )

    def starts(self) -> dict[str, int]:
        """Return the number of starts of each task on all servers."""
        total: dict[str, int] = {}
        for server in self.backends.values():
            for name, count in server.starts.items():
                total[name] = total.get(name, 0) + count
        return total


def _build_silent_logger() -> structlog.typing.FilteringBoundLogger:
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        structlog.ReturnLogger(),
        processors=[],
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL),
    )
    return logger
