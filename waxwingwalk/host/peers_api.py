"""The HTTP applications for peers and for operators' tools."""

import dataclasses
from typing import Any
import uuid

from aiohttp import hdrs
from aiohttp import web
import orjson

from waxwingwalk.core import results
from waxwingwalk.dispatch import explanation
from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import links as host_links

EXPLAIN_PLACEMENT_PATH = "/explain-placement"
QUESTION_BYTES_MAX = 4096


class PeersApi:
    """Serves links of other hosts, operators' questions, and metrics."""

    def __init__(
        self, engine: host_engine.Engine, links: host_links.HostLinks
    ) -> None:
        self._engine = engine
        self._links = links

    def application(self) -> web.Application:
        """Return the application for peers."""
        app = web.Application()
        app.router.add_get(host_links.PATH, self._links.accept)
        app.router.add_post(EXPLAIN_PLACEMENT_PATH, self.explain_placement)
        return app

    async def explain_placement(self, request: web.Request) -> web.Response:
        """Return where a job would be placed now, and why."""
        # Imported here because few hosts are asked, and pydantic takes 0.25 s
        # of processor time at a start.
        import pydantic

        from waxwingwalk.host import placement_questions

        body = await request.content.read(QUESTION_BYTES_MAX + 1)
        if len(body) > QUESTION_BYTES_MAX:
            limit = f"longer than {QUESTION_BYTES_MAX} bytes"
            return _refuse([{"path": "body", "message": limit}])
        engine = self._engine
        now = engine.clock.now()
        try:
            question = (
                placement_questions.PlacementQuestion.model_validate_json(body)
            )
            job = placement_questions.to_job(
                question, engine.reducer.catalog, uuid.uuid4().hex, now
            )
        except pydantic.ValidationError as error:
            return _refuse(
                [
                    {
                        "path": ".".join(map(str, each["loc"])) or "body",
                        "message": each["msg"],
                    }
                    for each in error.errors()
                ]
            )
        except placement_questions.QuestionError as error:
            return _refuse([{"path": error.field, "message": str(error)}])
        explained = explanation.explain(engine.reducer, job, now)
        return _reply(
            results.ResultCode.OK,
            "",
            queue=job.queue,
            service=job.service,
            priority=job.priority,
            **dataclasses.asdict(explained),
        )

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


def _refuse(errors: list[dict[str, str]]) -> web.Response:
    """Return the response to a question that cannot be answered."""
    return _reply(
        results.ResultCode.INVALID_REQUEST,
        results.CODES[results.ResultCode.INVALID_REQUEST].meaning,
        errors=errors,
    )


def _reply(
    code: results.ResultCode, detail: str, **fields: Any
) -> web.Response:
    return web.Response(
        body=orjson.dumps(
            {"code": int(code), "name": code.name, "detail": detail} | fields
        ),
        status=results.CODES[code].http_status,
        content_type="application/json",
    )
