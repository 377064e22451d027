"""``waxwingwalk backend``: a stand-in backend server."""

import asyncio

import aiohttp
import cleo.helpers
import uvloop

from waxwingwalk.management import base
from waxwingwalk.testing import backend

REGISTRATION_INTERVAL_SECONDS = 1.0


class BackendCommand(base.BaseCommand):
    """Runs a backend server for testing.

    Its tasks do no work but take the time given in their payload, divided by
    the speed.
    """

    name = "backend"
    description = "Run a stand-in backend server for testing."
    options = [
        cleo.helpers.option(
            "id", None, "Id of the backend server.", flag=False
        ),
        cleo.helpers.option("port", "p", "Port.", flag=False, default="0"),
        cleo.helpers.option(
            "zone", "z", "Availability zone.", flag=False, default="zone-1"
        ),
        cleo.helpers.option(
            "service", None, "Service.", flag=False, default="refunds"
        ),
        cleo.helpers.option(
            "speed", None, "Relative speed.", flag=False, default="1"
        ),
        cleo.helpers.option("slots", None, "Slots.", flag=False, default="8"),
        cleo.helpers.option(
            "platform",
            None,
            "URL of the platform.",
            flag=False,
            default="http://127.0.0.1:7900",
        ),
    ]

    def handle(self) -> int:
        name = self.option("id")
        if not name:
            return self.fail("--id NAME is required")
        options = backend.BackendOptions(
            backend_id=name,
            zone=self.option("zone"),
            services=(self.option("service"),),
            speed=float(self.option("speed")),
            slots=int(self.option("slots")),
        )
        uvloop.run(self._serve(options, int(self.option("port"))))
        return base.EXIT_OK

    async def _serve(self, options: backend.BackendOptions, port: int) -> None:
        server = backend.BackendServer(options)
        await server.start(port=port)
        self.line(f"{options.backend_id} at {server.address}")
        url = f"{self.option('platform')}/v1/hosts/backend_servers"
        async with aiohttp.ClientSession() as session:
            while True:
                await _register(session, url, server)
                await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)


async def _register(
    session: aiohttp.ClientSession, url: str, server: backend.BackendServer
) -> None:
    """Add the server to the host list.

    Errors are ignored: the platform may be down, and the caller tries again
    after REGISTRATION_INTERVAL_SECONDS.
    """
    try:
        async with session.put(url, json=server.host_list_entry()) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
