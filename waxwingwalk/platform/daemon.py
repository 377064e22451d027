"""The dispatch daemon on the users' platform."""

import asyncio
import datetime
import logging
import sys

import aiomisc
from returns import result
import uvloop

from waxwingwalk.core import clock
from waxwingwalk.host import config as host_config
from waxwingwalk.host import logs
from waxwingwalk.host import service
from waxwingwalk.host import termination
from waxwingwalk.platform import boot
from waxwingwalk.platform import wiring

# A drain ends within the grace. A shutdown that takes this much longer hangs.
SHUTDOWN_MARGIN = datetime.timedelta(seconds=60)


class Daemon(aiomisc.Service):
    """Builds and starts the host once the event loop is running."""

    def __init__(
        self, config: host_config.HostConfig, settings: boot.SettingsFile
    ) -> None:
        super().__init__()
        self._config = config
        self._settings = settings
        self._host: service.HostService | None = None

    async def start(self) -> None:
        """Build the host and start it."""
        termination.Termination(self._end_drain).catch_signals()
        time = clock.SystemClock()
        log = logs.HostLog(
            time, logs.NonBlockingWriter(), self._config.log_level
        )
        logging.getLogger().addHandler(logs.LibraryHandler(log))
        self._host = wiring.build(self._config, time, log, self._settings.load)
        await self._host.start()

    def _end_drain(self) -> None:
        if self._host is not None:
            self._host.end_drain()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain the host and stop it."""
        if self._host is not None:
            limit = self._config.grace + SHUTDOWN_MARGIN
            async with asyncio.timeout(limit.total_seconds()):
                await self._host.stop(exception)


def main() -> int:
    """Run until SIGTERM; return the exit status."""
    settings = boot.SettingsFile()
    match settings.load():
        case result.Success(config):
            daemon = Daemon(config, settings)
        case result.Failure(error):
            print(f"error: {error}", file=sys.stderr)
            return 1
    with aiomisc.entrypoint(
        daemon,
        loop_factory=uvloop.new_event_loop,
        log_config=False,
        catch_signals=(),
    ) as loop:
        loop.run_forever()
    return 0
