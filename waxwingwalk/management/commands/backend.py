"""``waxwingwalk backend``: a stand-in backend server."""

import asyncio

import aiohttp
import cleo.helpers
import uvloop

from waxwingwalk.management import base
from waxwingwalk.testing import backend

RENEW_SECONDS = 1.0


class BackendCommand(base.BaseCommand):
    """Runs a backend server that sleeps for as long as tasks say."""

    name = "backend"
    description = "Run a stand-in backend server, for trials."
    options = [
        cleo.helpers.option("id", None, "Its id.", flag=False),
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
            return self.fail("--id NAME is needed")
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
                await asyncio.sleep(RENEW_SECONDS)


async def _register(
    session: aiohttp.ClientSession, url: str, server: backend.BackendServer
) -> None:
    """Put the server on the host list; the platform may be down."""
    try:
        async with session.put(url, json=server.host_list_entry()) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        return
