"""The dispatch host as an aiomisc service."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
import contextlib
import dataclasses
import datetime
import gc
import signal
from typing import Any
from typing import Protocol

import aiomisc
from returns import result

from waxwingwalk.connections import guards
from waxwingwalk.dispatch import events
from waxwingwalk.host import config as host_config
from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import links as host_links
from waxwingwalk.host import listeners as host_listeners
from waxwingwalk.host import records
from waxwingwalk.host import registry as host_registry
from waxwingwalk.store import follower
from waxwingwalk.store import rows as store_rows

LOG_FLUSH_INTERVAL = datetime.timedelta(milliseconds=100)
# Allocations minus deallocations that trigger a collection of the youngest
# generation.
GC_THRESHOLD = 20_000
# Interval of checks of the settings file, which may change without SIGHUP.
SETTINGS_INTERVAL = datetime.timedelta(seconds=5)
# Interval of checks of connections whose requests make no progress.
CONNECTIONS_INTERVAL = datetime.timedelta(seconds=1)
# Settings that take effect only at the next start.
RESTART_SETTINGS = (
    "zone",
    "callers",
    "readiness",
    "peers",
    "advertised",
    "metrics",
    "log_level",
    "memory",
    "descriptors",
)
# Maximum length of a validation error in a log line, in characters.
ERROR_MAX = 500
# Number of unanswered jobs that a log line lists.
REPORTED_JOBS_MAX = 20
# Part of the time before SIGKILL that is reserved for sending last answers.
DRAIN_MARGIN = datetime.timedelta(milliseconds=1000)
# Time to send the answers that callers get at the limit of the drain.
ANSWER_TIME = datetime.timedelta(milliseconds=200)


class Closable(Protocol):
    """A component that holds connections."""

    async def close(self) -> None: ...


class RelocatableStore(store_rows.RowStore, Protocol):
    """A store client whose address can change while the process runs."""

    def set_address(self, address: str) -> None: ...


ConfigLoader = Callable[[], result.Result[host_config.HostConfig, str]]


class HostService(aiomisc.Service):
    """Listens, follows the store, sends ticks, and shuts down in order."""

    def __init__(
        self,
        config: host_config.HostConfig,
        engine: host_engine.Engine,
        links: host_links.HostLinks,
        registry: host_registry.HostRegistry,
        store: RelocatableStore,
        guard: guards.Guard,
        callers_listeners: Sequence[host_listeners.Listener],
        listeners: Sequence[host_listeners.Listener],
        followers: Sequence[follower.TableFollower],
        closables: Sequence[Closable],
        reload: ConfigLoader,
    ) -> None:
        super().__init__()
        self._config = config
        self._engine = engine
        self._links = links
        self._registry = registry
        self._store = store
        self._guard = guard
        self._callers_listeners = callers_listeners
        self._listeners = listeners
        self._followers = followers
        self._closables = closables
        self._reload = reload
        self._tasks: list[asyncio.Task[None]] = []
        self._drain_forced = asyncio.Event()

    async def start(self) -> None:
        """Open the listeners and start the loops."""
        for listener in (*self._listeners, *self._callers_listeners):
            await listener.open()
        self._engine.log.info(
            "process.started",
            host=self._config.name,
            zone=self._config.zone,
            incarnation=self._engine.reducer.local_host.incarnation,
            callers=self._config.callers,
            peers=self._config.peers,
            store=self._config.store,
        )
        own_addresses = {self._config.peers, self._config.peer_address}
        self._links.set_link_targets(
            frozenset(self._config.seeds) - own_addresses
        )
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD)
        log = self._engine.log
        table_followers = [
            follower.TableFollower(
                self._store,
                records.HOSTS_TABLE,
                self._apply_host_rows,
                log,
                wait=follower.LONG_WAIT,
            ),
            follower.TableFollower(
                self._store,
                records.POOLS_TABLE,
                self._apply_pool_rows,
                log,
                wait=follower.LONG_WAIT,
            ),
        ]
        loops: list[Coroutine[Any, Any, None]] = [
            self._registry.register(),
            self._run_ticks(),
            self._watch_settings(),
            self._watch_connections(),
            *(each.run() for each in [*table_followers, *self._followers]),
        ]
        for loop in loops:
            self._start_task(loop)
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._reload_settings
        )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._report_failure)
        self._tasks.append(task)

    def _report_failure(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._engine.report_failure("loop", task.exception())

    def _apply_host_rows(self, rows: follower.TableRows) -> None:
        self._engine.apply(
            events.HostsListed(self._registry.decode_hosts(rows))
        )

    def _apply_pool_rows(self, rows: follower.TableRows) -> None:
        self._engine.apply(
            events.PoolsListed(self._registry.decode_pools(rows))
        )

    async def _run_ticks(self) -> None:
        flushed_at = self._engine.clock.now()
        while True:
            interval = self._engine.reducer.tick_interval
            due = self._engine.clock.now() + interval
            await asyncio.sleep(interval.total_seconds())
            now = self._engine.clock.now()
            try:
                self._engine.metrics.record_event_loop_lag(now - due)
                self._engine.apply(events.Ticked())
                if now - flushed_at >= LOG_FLUSH_INTERVAL:
                    flushed_at = now
                    self._engine.log.flush()
            except Exception as error:
                self._engine.report_failure("tick", error)

    async def _watch_connections(self) -> None:
        while True:
            await asyncio.sleep(CONNECTIONS_INTERVAL.total_seconds())
            try:
                self._guard.check()
            except Exception as error:
                self._engine.report_failure("connections", error)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL.total_seconds())
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply a changed settings file; an invalid one is rejected."""
        loaded = self._reload()
        if not isinstance(loaded, result.Success):
            self._engine.log.error(
                "settings.rejected", error=loaded.failure()[:ERROR_MAX]
            )
            return
        config, previous = loaded.unwrap(), self._config
        if config == previous:
            return
        self._config = config
        self._store.set_address(config.store)
        changed = [
            field.name
            for field in dataclasses.fields(config)
            if getattr(config, field.name) != getattr(previous, field.name)
        ]
        self._engine.log.info(
            "settings.reloaded",
            changed=changed,
            needs_restart=[
                each for each in changed if each in RESTART_SETTINGS
            ],
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain: hand over pools, finish running jobs, then close."""
        limit = self._config.grace - DRAIN_MARGIN
        started_at = self._engine.clock.now()
        unregister = asyncio.create_task(self._registry.unregister())
        await asyncio.gather(self._engine.drain(limit), self._linger())
        remaining = limit - (self._engine.clock.now() - started_at)
        if self._drain_forced.is_set():
            remaining = datetime.timedelta()
        await self._close_callers_listeners(
            max(remaining, datetime.timedelta()) + ANSWER_TIME
        )
        unregister.cancel()
        self._engine.log.info("process.stopped", host=self._config.name)
        await self._close()

    def end_drain(self) -> None:
        """End the drain now, with an answer to every caller that waits."""
        if self._drain_forced.is_set():
            return
        self._drain_forced.set()
        self._engine.log.info(
            "drain.forced", jobs=len(self._engine.waiting_jobs)
        )
        self._engine.apply(events.DrainRequested(datetime.timedelta()))

    async def _linger(self) -> None:
        """Wait until new connections go to other hosts."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._config.linger.total_seconds()):
                await self._drain_forced.wait()

    async def _close_callers_listeners(
        self, limit: datetime.timedelta
    ) -> None:
        """Stop accepting requests, and answer those that were read.

        The links stay open for this, as the requests may have been forwarded
        to other hosts.
        """
        self._engine.closing.set()
        await asyncio.gather(
            *(
                each.close(limit, self._answer_remaining)
                for each in self._callers_listeners
            )
        )

    def _answer_remaining(self) -> None:
        waiting = self._engine.waiting_jobs
        self._engine.log.info(
            "drain.cut_off",
            jobs=len(waiting),
            unanswered=waiting[:REPORTED_JOBS_MAX],
        )
        self._engine.answer_remaining()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.close()
        await asyncio.gather(
            *(each.close(ANSWER_TIME) for each in self._listeners)
        )
        await self._engine.close()
        await asyncio.gather(*(each.close() for each in self._closables))
        self._engine.log.flush()
