"""HTTP API for operators: settings, hosts, backend servers, metrics."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import signal
from typing import Any

from aiohttp import web
import pydantic
from returns import result

from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.entry import access
from waxwingwalk.entry import callers_api
from waxwingwalk.entry import engine as entry_engine
from waxwingwalk.entry import metrics
from waxwingwalk.entry import open_requests
from waxwingwalk.entry import replies
from waxwingwalk.entry import requests
from waxwingwalk.entry import views
from waxwingwalk.settings import store as settings_store
from waxwingwalk.settings import tree as settings_tree

Code = results.ResultCode
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
HISTORY_DEFAULT = 20
HISTORY_MAX = 200
# Largest request body, in bytes. This also bounds the number of paths in one
# change.
BODY_MAX = 4 * 2**20


class OperatorsApi:
    """Request handlers of the operators' listener."""

    def __init__(
        self,
        engine: entry_engine.Engine,
        store: settings_store.SettingsStore,
        exporter: metrics.MetricsExporter,
        unanswered: open_requests.OpenRequests,
        tokens: Mapping[str, str] | None,
    ) -> None:
        self._engine = engine
        self._store = store
        self._exporter = exporter
        self._unanswered = unanswered
        self._tokens = tokens

    def application(self) -> web.Application:
        """Return the web application of this API."""
        app = web.Application(
            middlewares=[self._unanswered.middleware],
            client_max_size=BODY_MAX,
        )
        routes: list[tuple[str, str, Handler]] = [
            ("GET", "/v1/settings", self._get_settings),
            ("GET", "/v1/settings/effective", self._effective),
            ("GET", "/v1/settings/history", self._history),
            ("POST", "/v1/settings/changes", self._change),
            ("POST", "/v1/settings/rollback", self._roll_back),
            ("GET", "/v1/hosts", self._hosts),
            ("POST", "/v1/drain", self._drain),
            ("GET", "/v1/backend-servers", self._backends),
            ("GET", "/metrics", self._metrics),
        ]
        for method, path, handler in routes:
            app.router.add_route(method, path, self._require_token(handler))
        callers_api.add_health_routes(app, self._engine)
        return app

    def _require_token(self, handler: Handler) -> Handler:
        async def authenticated(request: web.Request) -> web.StreamResponse:
            if self._tokens is not None:
                operator = access.find_token_holder(request, self._tokens)
                if operator is None:
                    return replies.Reply(Code.UNAUTHORIZED).response()
                request["operator"] = operator
            return await handler(request)

        return authenticated

    async def _get_settings(self, request: web.Request) -> web.Response:
        revision = self._engine.state.settings.revision
        if revision is None:
            return replies.Reply(Code.NOT_READY).response()
        members = {"revision": revision.model_dump()}
        return replies.Reply(Code.OK, members).response()

    async def _effective(self, request: web.Request) -> web.Response:
        settings = self._engine.state.settings
        if settings.revision is None:
            return replies.Reply(Code.NOT_READY).response()
        query = request.query
        local = settings.context()
        context = settings_tree.Context(
            region=query.get("region", local.region),
            service=query.get("service"),
            host_class=query.get("host_class", local.host_class),
            availability_zone=query.get("zone", local.availability_zone),
            team=query.get("team"),
        )
        values = settings_tree.effective(settings.revision.tree, context)
        members = {"settings": [views.effective_value(v) for v in values]}
        return replies.Reply(Code.OK, members).response()

    async def _history(self, request: web.Request) -> web.Response:
        text = request.query.get("count", str(HISTORY_DEFAULT))
        count = _parse_count(text)
        if not 1 <= count <= HISTORY_MAX:
            detail = f"count must be from 1 to {HISTORY_MAX}"
            members = {"detail": detail}
            return replies.Reply(Code.INVALID_REQUEST, members).response()
        async with self._unanswered.until_end():
            read = await self._store.history(count)
        if not isinstance(read, result.Success):
            return replies.Reply(Code.SETTINGS_STORE_UNAVAILABLE).response()
        revisions = [
            revision.model_dump(exclude={"tree"}) for revision in read.unwrap()
        ]
        return replies.Reply(Code.OK, {"revisions": revisions}).response()

    async def _change(self, request: web.Request) -> web.Response:
        body = await self._unanswered.read_body(request)
        try:
            change = requests.ChangeRequest.model_validate_json(body)
        except pydantic.ValidationError as error:
            return _invalid(error)
        return await self._settle_change(
            self._store.change(
                change.changes,
                author=request.get("operator", change.author),
                reason=change.reason,
                based_on=change.based_on,
            )
        )

    async def _roll_back(self, request: web.Request) -> web.Response:
        body = await self._unanswered.read_body(request)
        try:
            rollback = requests.RollBackRequest.model_validate_json(body)
        except pydantic.ValidationError as error:
            return _invalid(error)
        return await self._settle_change(
            self._store.roll_back(
                rollback.revision,
                author=request.get("operator", rollback.author),
                reason=rollback.reason,
            )
        )

    async def _settle_change(
        self, change: Coroutine[Any, Any, settings_store.ChangeResult]
    ) -> web.Response:
        """Wait for a change's outcome; it is unknown if the process ends."""
        try:
            async with self._unanswered.until_end():
                outcome = await change
        except open_requests.ProcessEndedError:
            return replies.Reply(Code.SETTINGS_UNSETTLED).response()
        return self._apply_change_result(outcome)

    def _apply_change_result(
        self, outcome: settings_store.ChangeResult
    ) -> web.Response:
        """Apply an accepted revision here and at the peers.

        Return the reply to the operator.
        """
        if isinstance(outcome, result.Success):
            revision = outcome.unwrap()
            document = revision.document()
            self._engine.apply(events.SettingsRead(document, is_new=True))
            members: dict[str, Any] = {"revision": revision.number}
            return replies.Reply(Code.OK, members).response()
        refusal = outcome.failure()
        errors = [
            {"path": error.path, "message": error.message}
            for error in refusal.errors
        ]
        return replies.Reply(refusal.code, {"errors": errors}).response()

    async def _hosts(self, request: web.Request) -> web.Response:
        members = {"hosts": views.hosts(self._engine.state)}
        return replies.Reply(Code.OK, members).response()

    async def _backends(self, request: web.Request) -> web.Response:
        now = self._engine.clock.now()
        listed = views.backends(self._engine.state, now)
        members = {"backend_servers": listed}
        return replies.Reply(Code.OK, members).response()

    async def _drain(self, request: web.Request) -> web.Response:
        signal.raise_signal(signal.SIGTERM)
        return replies.Reply(Code.OK).response()

    async def _metrics(self, request: web.Request) -> web.Response:
        content, headers = self._exporter.render(
            request.headers.getall("Accept", [])
        )
        return web.Response(body=content, headers=headers)


def _parse_count(text: str) -> int:
    """Return the number in a text, 0 if there is none."""
    try:
        return int(text) if text.isdigit() else 0
    except ValueError:
        return 0


def _invalid(error: pydantic.ValidationError) -> web.Response:
    members = {"detail": requests.describe_errors(error)}
    return replies.Reply(Code.INVALID_REQUEST, members).response()
