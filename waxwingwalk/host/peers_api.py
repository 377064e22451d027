"""What a dispatch host serves to its peers and to operators' tools."""

from aiohttp import hdrs
from aiohttp import web

from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import links as host_links


class PeersApi:
    """Links of other hosts, and metrics."""

    def __init__(
        self, engine: host_engine.Engine, links: host_links.HostLinks
    ) -> None:
        self._engine = engine
        self._links = links

    def application(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get(host_links.PATH, self._links.accept)
        return app

    def metrics_application(self) -> web.Application:
        """Return the application for those who collect metrics."""
        app = web.Application()
        app.router.add_get("/metrics", self.metrics)
        return app

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics as text."""
        engine = self._engine
        content, headers = engine.metrics.render(
            engine.reducer,
            engine.log.suppressed,
            engine.clock.now(),
            request.headers.getall(hdrs.ACCEPT, []),
        )
        return web.Response(body=content, headers=headers)
