"""``waxwingwalk entry``: the entry daemon."""

import asyncio
import pathlib

import aiomisc
import cleo.helpers
from returns import result
import structlog
import uvloop

from waxwingwalk.entry import config
from waxwingwalk.entry import logs
from waxwingwalk.entry import server
from waxwingwalk.host import termination
from waxwingwalk.management import base
import waxwingwalk.wiring as wiring

# A drain ends within drain_timeout, which is at most 3600 s; this limit takes
# effect only if the shutdown hangs.
SHUTDOWN_TIMEOUT_SECONDS = 3700


class EntryCommand(base.BaseCommand):
    """Runs an entry process, which drains and exits on SIGTERM."""

    name = "entry"
    description = "Run an entry process."
    options = [
        cleo.helpers.option(
            "settings", "s", "Settings file of the process.", flag=False
        )
    ]

    def handle(self) -> int:
        path = self.option("settings")
        if not path:
            return self.fail("--settings FILE is required")
        loaded = config.load(pathlib.Path(path))
        if not isinstance(loaded, result.Success):
            return self.fail("; ".join(loaded.failure()))
        settings = loaded.unwrap()
        secrets = config.load_secrets(settings.access)
        if not isinstance(secrets, result.Success):
            return self.fail("; ".join(secrets.failure()))
        logger = logs.configure(settings.log_level)
        daemon = EntryDaemon(settings, secrets.unwrap(), logger)
        with aiomisc.entrypoint(
            daemon,
            loop_factory=uvloop.new_event_loop,
            log_config=False,
            catch_signals=(),
        ) as loop:
            loop.run_forever()
        return base.EXIT_OK


class EntryDaemon(aiomisc.Service):
    """Builds and starts the entry process within the event loop."""

    def __init__(
        self,
        settings: config.EntryConfig,
        secrets: config.Secrets,
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        super().__init__()
        self._settings = settings
        self._secrets = secrets
        self._logger = logger
        self._service: server.EntryService | None = None

    async def start(self) -> None:
        """Build the entry process and start its service."""
        termination.Termination(self._end_drain).catch_signals()
        entry = wiring.build_entry(self._settings, self._secrets, self._logger)
        self._service = entry.service
        self._logger.info(
            "process.started",
            process=str(entry.engine.state.process),
            callers=entry.callers_address,
            operators=entry.operators_address,
            peers=entry.peers_address,
        )
        await entry.service.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and stop the service."""
        if self._service is not None:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_SECONDS):
                await self._service.stop(exception)

    def _end_drain(self) -> None:
        if self._service is not None:
            self._service.end_drain()
