"""The entry process as an aiomisc service."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import datetime
import gc
import socket
from typing import Any

from aiohttp import web
import aiomisc
from returns import result

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.connections import sites
from waxwingwalk.core import events
from waxwingwalk.entry import engine as entry_engine
from waxwingwalk.entry import links
from waxwingwalk.entry import open_requests
from waxwingwalk.settings import store as settings_store
from waxwingwalk.store import base as store_base
from waxwingwalk.store import host_list

TICK_INTERVAL = datetime.timedelta(milliseconds=50)
# Allocations minus deallocations that trigger a collection of the youngest
# generation.
GC_THRESHOLD = 20_000
# Time to send the last messages to peers, and the responses to requests that
# arrive at the end.
FLUSH_TIME = datetime.timedelta(milliseconds=200)
# Time that callers have to read their responses at the end of a drain.
RESPONSE_TIME_MAX = datetime.timedelta(seconds=1)
# Interval of requests to the store until there is a first revision.
INITIAL_SETTINGS_INTERVAL = datetime.timedelta(milliseconds=500)
# Interval of checks of connections whose requests make no progress.
CONNECTIONS_INTERVAL = datetime.timedelta(seconds=1)
# Length of the errors of a host list that are logged, in characters.
REPORTED_ERRORS_MAX = 1000

Step = Callable[[], Coroutine[Any, Any, datetime.timedelta]]


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """An application, and the socket on which its clients connect."""

    kind: limits.Listener
    socket: socket.socket
    app: web.Application


class EntryService(aiomisc.Service):
    """Serves the three listeners and runs the periodic steps."""

    def __init__(
        self,
        engine: entry_engine.Engine,
        peer_links: links.PeerLinks,
        unanswered: open_requests.OpenRequests,
        hosts: store_base.HostList,
        store: settings_store.SettingsStore,
        seeds: list[str],
        listeners: list[Listener],
        guard: guards.Guard,
        close_callbacks: list[Callable[[], Coroutine[Any, Any, None]]],
    ) -> None:
        super().__init__()
        self._engine = engine
        self._links = peer_links
        self._unanswered = unanswered
        self._hosts = hosts
        self._store = store
        self._seeds = seeds
        self._listeners = listeners
        self._guard = guard
        self._close_callbacks = close_callbacks
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the listeners and the periodic steps."""
        self._engine.apply(events.PeersListed(self._seeds))
        for each in self._listeners:
            runner = web.AppRunner(
                each.app, access_log=None, shutdown_timeout=1
            )
            await runner.setup()
            await sites.GuardedSite(
                runner, each.socket, self._guard, each.kind
            ).start()
            self._runners.append(runner)
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        for step in (
            self._tick,
            self._read_hosts,
            self._read_settings,
            self._check_connections,
        ):
            self._tasks.append(
                asyncio.create_task(self._run_periodically(step))
            )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain: answer the requests in progress, then close everything.

        Requests that still wait at the drain's deadline are ended with an
        answer that says what may have happened.
        """
        deadline = self._engine.state.settings.process().drain_timeout
        self._engine.apply(events.DrainRequested(deadline))
        await self._engine.exited.wait()
        await self._wait_for_responses(self._drain_deadline)
        self._unanswered.end()
        limit = self._engine.clock.now() + RESPONSE_TIME_MAX
        await self._wait_for_responses(lambda: limit)
        await asyncio.sleep(FLUSH_TIME.total_seconds())
        await self.abort()

    def _drain_deadline(self) -> datetime.datetime:
        """Return the deadline; a second signal brings it forward."""
        drain = self._engine.state.drain
        return self._engine.clock.now() if drain is None else drain.deadline

    async def _wait_for_responses(
        self, deadline: Callable[[], datetime.datetime]
    ) -> None:
        """Wait until the requests in progress are answered, or a deadline."""
        while self._unanswered.in_progress > 0 or self._has_unsent_bytes():
            if self._engine.clock.now() >= deadline():
                return
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    def _has_unsent_bytes(self) -> bool:
        """Return whether a response has not been passed to the system yet."""
        return any(
            connection.transport.get_write_buffer_size() > 0
            for runner in self._runners
            if runner.server is not None
            for connection in runner.server.connections
            if connection.transport is not None
        )

    def end_drain(self) -> None:
        """End the drain now, with an answer to every caller that waits."""
        self._engine.apply(events.DrainForced())

    async def abort(self) -> None:
        """Close everything at once, without draining.

        To callers and peers this looks like a crash.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._engine.close()
        for close in self._close_callbacks:
            await close()

    async def _run_periodically(self, step: Step) -> None:
        """Run a step repeatedly; it returns the time until its next run.

        If it raises an exception, the step runs again after TICK_INTERVAL.
        """
        while True:
            pause = TICK_INTERVAL
            try:
                pause = await step()
            except Exception as error:
                self._engine.report_failure(step.__name__, error)
            await asyncio.sleep(pause.total_seconds())

    async def _tick(self) -> datetime.timedelta:
        self._engine.apply(events.Ticked())
        return TICK_INTERVAL

    async def _check_connections(self) -> datetime.timedelta:
        self._guard.check()
        return CONNECTIONS_INTERVAL

    async def _read_hosts(self) -> datetime.timedelta:
        read = await self._hosts.hosts()
        listed = read.value_or(None)
        if listed is not None:
            self._apply_host_list(listed)
        return self._engine.state.settings.process().host_list_interval

    def _apply_host_list(self, listed: dict[str, Any]) -> None:
        """Apply the valid rows of a list.

        A backend server whose row is malformed stays as it is known.
        """
        parsed = host_list.parse(listed)
        if not isinstance(parsed, result.Success):
            self._report_malformed_list(parsed.failure())
            return
        hosts = parsed.unwrap()
        if hosts.errors:
            self._report_malformed_list("; ".join(hosts.errors))
        registry = self._engine.state.registry
        known = [registry.get(each) for each in hosts.malformed_ids]
        kept = [backend.spec for backend in known if backend is not None]
        addresses = [*self._seeds, *hosts.entry_addresses]
        self._engine.apply(events.PeersListed(addresses))
        self._engine.apply(events.BackendsListed([*hosts.backends, *kept]))

    def _report_malformed_list(self, errors: str) -> None:
        error = ValueError(errors[:REPORTED_ERRORS_MAX])
        self._engine.report_failure("host list", error)

    async def _read_revision(self, number: int) -> None:
        read = await self._store.revision(number)
        revision = read.value_or(None)
        if revision is not None:
            document = revision.document()
            self._engine.apply(events.SettingsRead(document))

    async def _read_settings(self) -> datetime.timedelta:
        """Query the store for a newer revision.

        Until there is a first revision, the store is queried more often.
        """
        settings = self._engine.state.settings
        read = await self._store.head()
        head = read.value_or(None)
        if head is not None and head.number > settings.number:
            await self._read_revision(head.number)
        if not settings.is_ready:
            return INITIAL_SETTINGS_INTERVAL
        return settings.process().settings_interval
