"""``waxwingwalk platform``: a stand-in for the platform."""

import asyncio

import cleo.helpers
import uvloop

from waxwingwalk.management import base
from waxwingwalk.testing import platform


class PlatformCommand(base.BaseCommand):
    """Runs a stand-in platform that keeps all data in memory."""

    name = "platform"
    description = "Run a stand-in platform for testing."
    options = [
        cleo.helpers.option("port", "p", "Port.", flag=False, default="7900")
    ]

    def handle(self) -> int:
        uvloop.run(self._serve(int(self.option("port"))))
        return base.EXIT_OK

    async def _serve(self, port: int) -> None:
        stand_in = platform.Platform()
        await stand_in.start(port=port)
        self.line(f"platform at {stand_in.url}")
        await asyncio.Event().wait()
