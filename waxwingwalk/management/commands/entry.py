"""``waxwingwalk entry``: the entry daemon."""

import pathlib

import aiomisc
import cleo.helpers
from returns import result
import structlog
import uvloop

from waxwingwalk.entry import config
from waxwingwalk.entry import logs
from waxwingwalk.management import base
import waxwingwalk.wiring as wiring

# The drain ends by its own deadline; this only bounds a hang.
SHUTDOWN_TIMEOUT_SECONDS = 3700


class EntryCommand(base.BaseCommand):
    """Runs an entry process until SIGTERM drains it."""

    name = "entry"
    description = "Run an entry process."
    options = [
        cleo.helpers.option(
            "settings", "s", "The process's settings file.", flag=False
        )
    ]

    def handle(self) -> int:
        path = self.option("settings")
        if not path:
            return self.fail("--settings FILE is needed")
        loaded = config.load(pathlib.Path(path))
        if not isinstance(loaded, result.Success):
            return self.fail("; ".join(loaded.failure()))
        settings = loaded.unwrap()
        secrets = config.load_secrets(settings.access)
        if not isinstance(secrets, result.Success):
            return self.fail("; ".join(secrets.failure()))
        logger = logs.configure(settings.log_level)
        with aiomisc.entrypoint(
            loop_factory=uvloop.new_event_loop,
            log_config=False,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        ) as loop:
            entrypoint = aiomisc.entrypoint.get_current()
            loop.run_until_complete(
                _serve(entrypoint, settings, secrets.unwrap(), logger)
            )
        return base.EXIT_OK


async def _serve(
    entrypoint: aiomisc.entrypoint,
    settings: config.EntryConfig,
    secrets: config.Secrets,
    logger: structlog.typing.FilteringBoundLogger,
) -> None:
    entry = wiring.build_entry(settings, secrets, logger)
    logger.info(
        "process.started",
        process=str(entry.engine.state.process),
        callers=entry.callers_address,
        operators=entry.operators_address,
        peers=entry.peers_address,
    )
    await entrypoint.start_services(entry.service)
    await entrypoint.closing()
