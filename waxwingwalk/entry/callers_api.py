"""HTTP API for callers: jobs, keys and health."""

from collections.abc import Mapping

from aiohttp import web

import waxwingwalk
from waxwingwalk.core import results
from waxwingwalk.entry import access
from waxwingwalk.entry import engine as entry_engine
from waxwingwalk.entry import open_requests
from waxwingwalk.entry import replies
from waxwingwalk.entry import submission


class CallersApi:
    """Request handlers of the callers' listener."""

    def __init__(
        self,
        engine: entry_engine.Engine,
        submissions: submission.Submissions,
        unanswered: open_requests.OpenRequests,
        tokens: Mapping[str, str] | None,
    ) -> None:
        self._engine = engine
        self._submissions = submissions
        self._unanswered = unanswered
        self._tokens = tokens

    def application(self, body_max: int) -> web.Application:
        """Return the web application of this API."""
        app = web.Application(
            middlewares=[self._unanswered.middleware],
            client_max_size=body_max,
        )
        app.router.add_post("/v1/jobs", self._submit)
        app.router.add_get("/v1/jobs/{job}", self._status)
        app.router.add_delete("/v1/jobs/{job}", self._cancel)
        app.router.add_get("/v1/jobs/{job}/explain", self._explain)
        app.router.add_post("/v1/keys", self._issue_keys)
        add_health_routes(app, self._engine)
        return app

    def _authenticate(self, request: web.Request) -> tuple[bool, str | None]:
        """Return whether the caller is authorized, and its team.

        The team is None if no tokens are configured.
        """
        if self._tokens is None:
            return True, None
        team = access.find_token_holder(request, self._tokens)
        return team is not None, team

    async def _submit(self, request: web.Request) -> web.Response:
        is_allowed, team = self._authenticate(request)
        if not is_allowed:
            return replies.Reply(results.ResultCode.UNAUTHORIZED).response()
        body_max = self._engine.state.settings.process().body_max
        try:
            body = await self._unanswered.read_body(
                request.clone(client_max_size=body_max)
            )
        except web.HTTPRequestEntityTooLarge:
            return replies.Reply(results.ResultCode.BODY_TOO_LARGE).response()
        reply = await self._submissions.submit(body, team=team)
        return reply.response()

    async def _handle_job_request(
        self, request: web.Request, action: str
    ) -> web.Response:
        is_allowed, _ = self._authenticate(request)
        if not is_allowed:
            return replies.Reply(results.ResultCode.UNAUTHORIZED).response()
        job_id = request.match_info["job"]
        reply = await self._submissions.handle_job_request(action, job_id)
        return reply.response()

    async def _status(self, request: web.Request) -> web.Response:
        is_waiting = request.query.get("wait") == "true"
        return await self._handle_job_request(
            request, "wait" if is_waiting else "status"
        )

    async def _cancel(self, request: web.Request) -> web.Response:
        return await self._handle_job_request(request, "cancel")

    async def _explain(self, request: web.Request) -> web.Response:
        return await self._handle_job_request(request, "explain")

    async def _issue_keys(self, request: web.Request) -> web.Response:
        is_allowed, team = self._authenticate(request)
        if not is_allowed:
            return replies.Reply(results.ResultCode.UNAUTHORIZED).response()
        body = await self._unanswered.read_body(request)
        return self._submissions.issue_keys(body, team=team).response()


def add_health_routes(
    app: web.Application, engine: entry_engine.Engine
) -> None:
    """Add the health, readiness and version routes; they need no token."""

    async def health(request: web.Request) -> web.Response:
        return replies.Reply(results.ResultCode.OK).response()

    async def ready(request: web.Request) -> web.Response:
        state = engine.state
        if state.drain is not None:
            return replies.Reply(results.ResultCode.DRAINING).response()
        if not state.settings.is_ready:
            return replies.Reply(results.ResultCode.NOT_READY).response()
        return replies.Reply(results.ResultCode.OK).response()

    async def version(request: web.Request) -> web.Response:
        members = {
            "version": waxwingwalk.VERSION,
            "process": str(engine.state.process),
            "revision": engine.state.settings.number,
        }
        return replies.Reply(results.ResultCode.OK, members).response()

    app.router.add_get("/health", health)
    app.router.add_get("/ready", ready)
    app.router.add_get("/version", version)
