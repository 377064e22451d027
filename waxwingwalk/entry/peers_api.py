"""HTTP API for peers: links, forwarded requests, settings."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from waxwingwalk.entry import access
from waxwingwalk.entry import engine as entry_engine
from waxwingwalk.entry import forwarding
from waxwingwalk.entry import links
from waxwingwalk.entry import open_requests
from waxwingwalk.entry import submission

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class PeersApi:
    """Request handlers of the peers' listener.

    All of them require the shared secret.
    """

    def __init__(
        self,
        engine: entry_engine.Engine,
        submissions: submission.Submissions,
        peer_links: links.PeerLinks,
        unanswered: open_requests.OpenRequests,
        secret: str,
    ) -> None:
        self._engine = engine
        self._submissions = submissions
        self._links = peer_links
        self._unanswered = unanswered
        self._secret = secret

    def application(self, body_max: int) -> web.Application:
        """Return the web application of this API."""

        @web.middleware
        async def check_secret(
            request: web.Request, handler: Handler
        ) -> web.StreamResponse:
            if not access.has_token(request, self._secret):
                return web.Response(status=401)
            return await handler(request)

        app = web.Application(
            middlewares=[self._unanswered.middleware, check_secret],
            client_max_size=body_max,
        )
        app.router.add_get(links.LINK_PATH, self._links.accept)
        app.router.add_get("/v1/settings", self._settings)
        app.router.add_post("/v1/forward/{action}", self._forward)
        return app

    async def _settings(self, request: web.Request) -> web.Response:
        revision = self._engine.state.settings.revision
        if revision is None:
            return web.Response(status=404)
        return web.Response(
            text=revision.document(), content_type="application/json"
        )

    async def _forward(self, request: web.Request) -> web.Response:
        """Handle a forwarded request unless it is for another incarnation."""
        target = request.headers.get(forwarding.TARGET_HEADER)
        if target != self._engine.state.process.incarnation:
            return web.Response(status=421)
        body = await self._unanswered.read_body(request)
        action = request.match_info["action"]
        if action == "submit":
            reply = await self._submissions.submit(
                body, team=None, is_forwarded=True
            )
        else:
            reply = await self._submissions.handle_job_request(
                action, body.decode(errors="replace"), is_forwarded=True
            )
        return reply.response()
