"""The HTTP applications for peers and for operators' tools."""

from aiohttp import hdrs
from aiohttp import web

from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import links as host_links


class PeersApi:
    """Serves links of other hosts, and metrics."""

    def __init__(
        self, engine: host_engine.Engine, links: host_links.HostLinks
    ) -> None:
        self._engine = engine
        self._links = links

    def application(self) -> web.Application:
        """Return the application for peers."""
        app = web.Application()
        app.router.add_get(host_links.PATH, self._links.accept)
        return app

    def metrics_application(self) -> web.Application:
        """Return the application for metrics collectors."""
        app = web.Application()
        app.router.add_get("/metrics", self.metrics)
        return app

    async def metrics(self, request: web.Request) -> web.Response:
        """Return the metrics in a text format of Prometheus."""
        engine = self._engine
        content, headers = engine.metrics.render(
            engine.reducer,
            engine.log.suppressed,
            engine.clock.now(),
            request.headers.getall(hdrs.ACCEPT, []),
        )
        return web.Response(body=content, headers=headers)
