"""Replies of the HTTP APIs; each contains a result code."""

import dataclasses
import math
from typing import Any

from aiohttp import web
import orjson

from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.jobs import intake


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The code and JSON members of a reply, independent of HTTP."""

    code: results.ResultCode
    members: dict[str, Any] = dataclasses.field(default_factory=dict)

    def body(self) -> bytes:
        """Return the reply as JSON text."""
        content = {
            "code": int(self.code),
            "name": self.code.name,
            "detail": results.CODES[self.code].meaning,
        }
        return orjson.dumps({**content, **self.members})

    def response(self) -> web.Response:
        """Return the reply as an HTTP response."""
        response = web.Response(
            body=self.body(),
            status=results.CODES[self.code].http_status,
            content_type="application/json",
        )
        seconds = self.members.get("retry_after_seconds")
        if seconds is not None:
            response.headers["Retry-After"] = str(math.ceil(seconds))
        return response


def draining() -> Reply:
    """Return the refusal of a request that nothing was done for."""
    retry_after = intake.UNAVAILABLE_RETRY.total_seconds()
    return Reply(
        results.ResultCode.DRAINING, {"retry_after_seconds": retry_after}
    )


def from_answer(answer: model.Answer) -> Reply:
    """Return the reply for an answer."""
    members: dict[str, Any] = {
        "detail": answer.detail,
        "job": answer.job_id,
        "tasks_started": answer.started,
    }
    if answer.code is results.ResultCode.COMPLETE:
        members["results"] = answer.results
    if answer.retry_after is not None:
        seconds = answer.retry_after.total_seconds()
        members["retry_after_seconds"] = round(seconds, 3)
    return Reply(answer.code, members)
