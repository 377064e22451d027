"""The platform's interface for callers, and its readiness check."""

import datetime
import re
from typing import Any

from aiohttp import web
import orjson
import pydantic
from returns import result

from waxwingwalk.core import results
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.host import engine as host_engine

# How long the caller waits for the response, in milliseconds.
DEADLINE_HEADER = "Deadline-Ms"
JOB_ID = re.compile(r"[0-9a-f]{16}")
SPEC_MAX = 4000
# A refusal before the host has read any configuration.
NOT_READY_RETRY = datetime.timedelta(seconds=1)

ResultCode = results.ResultCode


class _Step(pydantic.BaseModel):
    count: int = pydantic.Field(1, ge=1, le=100_000)
    # Thousandths of a core.
    cpu: int = pydantic.Field(0, ge=0)
    mem_mb: int = pydantic.Field(0, ge=0)
    gpu: int = pydantic.Field(0, ge=0)
    est_ms: float = pydantic.Field(0, ge=0)
    after: list[int] = []
    requires: str | None = None
    preferred_rack: str | None = None
    max_per_server: int | None = None
    # What follows is understood and not served yet.
    gang: bool = False
    same_rack: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(pydantic.BaseModel):
    spec: str
    steps: list[_Step] = pydantic.Field(min_length=1)
    # The response is the answer; nothing is stored.
    best_effort: bool = False
    # How many times the steps run, for scheduled jobs.
    times: int = 0


class CallersApi:
    """Takes jobs over HTTP and answers when they have ended."""

    def __init__(self, engine: host_engine.Engine) -> None:
        self._engine = engine

    def application(self) -> web.Application:
        """Return the application for callers."""
        app = web.Application(client_max_size=2**20)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    def readiness(self) -> web.Application:
        """Return the application for the platform's readiness check."""
        app = web.Application()
        app.router.add_get("/ready", self._ready)
        return app

    async def _ready(self, request: web.Request) -> web.Response:
        is_ready = self._engine.reducer.is_ready
        return web.Response(status=200 if is_ready else 503)

    async def _handle(self, request: web.Request) -> web.Response:
        response = await self._route(request)
        if self._engine.reducer.drain_deadline is not None:
            # Have the caller open its next connection to another host.
            response.force_close()
        return response

    async def _route(self, request: web.Request) -> web.Response:
        catalog = self._engine.reducer.catalog
        if catalog is None:
            return _refusal(ResultCode.NOT_READY, retry_after=NOT_READY_RETRY)
        host = request.headers.get("Host", "").partition(":")[0]
        queue = catalog.find(host, request.path)
        if queue is None:
            return _refusal(ResultCode.UNKNOWN_SERVICE)
        rest = request.path.removeprefix(queue.prefix)
        if not rest and request.method == "GET":
            return _json(200, {"pending": self._pending(queue)})
        if JOB_ID.fullmatch(rest) is None:
            return _refusal(
                ResultCode.INVALID_REQUEST,
                f"a job's id is 16 hexadecimal digits, not {rest[:32]!r}",
            )
        match request.method:
            case "POST":
                return await self._submit(request, queue, rest)
            case "GET" if self._engine.is_waiting(rest):
                return _json(200, {"state": "running"})
            case "DELETE" if self._engine.cancel(rest):
                return _json(200, {"state": "cancelled"})
            case "GET" | "DELETE":
                return _refusal(ResultCode.JOB_NOT_STORED)
            case _:
                return _refusal(
                    ResultCode.INVALID_REQUEST,
                    f"{request.method} is not served here",
                )

    def _pending(self, queue: model.Queue) -> int:
        return sum(
            1
            for record in self._engine.reducer.scheduler.jobs.values()
            if record.job.queue == queue.name and not record.has_started
        )

    async def _submit(
        self, request: web.Request, queue: model.Queue, job_id: str
    ) -> web.Response:
        arrived = self._engine.clock.now()
        decoded = decode_job(await request.read())
        if not isinstance(decoded, result.Success):
            code, detail = decoded.failure()
            self._engine.log.info(
                "job.refused", job=job_id, code=int(code), reason=detail
            )
            return _refusal(code, detail)
        wait = _wait(request.headers.get(DEADLINE_HEADER), queue)
        job = _job(decoded.unwrap(), queue, job_id, arrived, wait)
        answer = await self._engine.run_job(job)
        self._engine.log.info(
            "job.answered",
            job=job_id,
            queue=queue.name,
            outcome=answer.outcome.value,
            reason=answer.reason,
            catalog_version=self._catalog_version,
            elapsed_ms=model.milliseconds(self._engine.clock.now() - arrived),
            wait_ms=model.milliseconds(wait),
        )
        return _answer(answer)

    @property
    def _catalog_version(self) -> int:
        catalog = self._engine.reducer.catalog
        return 0 if catalog is None else catalog.version


def decode_job(
    content: bytes,
) -> result.Result[_Job, tuple[ResultCode, str]]:
    """Return the submitted job, or the code and reason to refuse it."""
    try:
        job = _Job.model_validate_json(content)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(each) for each in first["loc"])
        return result.Failure(
            (ResultCode.INVALID_REQUEST, f"{place}: {first['msg']}")
        )
    size = len(job.spec.encode())
    if size > SPEC_MAX:
        return result.Failure(
            (
                ResultCode.PAYLOAD_TOO_LARGE,
                f"spec has {size} bytes, at most {SPEC_MAX} are taken",
            )
        )
    for number, step in enumerate(job.steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            return result.Failure(
                (
                    ResultCode.INVALID_REQUEST,
                    f"steps.{number}.after names no earlier step",
                )
            )
    feature = _unsupported(job)
    if feature is not None:
        return result.Failure(
            (ResultCode.NOT_SUPPORTED, f"{feature} is not served")
        )
    return result.Success(job)


def _unsupported(job: _Job) -> str | None:
    """Return what of a job's features is not served, if any."""
    if not job.best_effort:
        return "a stored job"
    if job.times:
        return "times"
    for name in ("gang", "same_rack", "long_running", "fills"):
        if any(getattr(step, name) for step in job.steps):
            return name
    return None


def _wait(header: str | None, queue: model.Queue) -> datetime.timedelta:
    """Return how long the caller waits."""
    try:
        milliseconds = int(header) if header else 0
    except ValueError:
        milliseconds = 0
    if milliseconds <= 0:
        return queue.timeout
    return datetime.timedelta(milliseconds=milliseconds)


def _job(
    content: _Job,
    queue: model.Queue,
    job_id: str,
    arrived: datetime.datetime,
    wait: datetime.timedelta,
) -> model.Job:
    steps = tuple(
        model.Step(
            count=step.count,
            room=model.Resources(step.cpu, step.mem_mb, step.gpu),
            estimate=datetime.timedelta(milliseconds=step.est_ms),
            after=tuple(step.after),
            label=step.requires,
            preferred_rack=step.preferred_rack,
            max_per_backend=step.max_per_server,
        )
        for step in content.steps
    )
    chain = model.critical_path_time(steps, [step.estimate for step in steps])
    return model.Job(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        priority=queue.priority,
        attempts=queue.attempts,
        spec=content.spec,
        stretch=queue.stretch,
        steps=steps,
        due=arrived + queue.stretch * chain + queue.objective,
        expires=arrived + wait,
    )


def _answer(answer: effects.AnswerJob) -> web.Response:
    outcomes = model.JobOutcome
    match answer.outcome:
        case outcomes.DONE:
            return _json(200, {"state": "done"})
        case outcomes.FAILED:
            return _json(200, {"state": "failed"})
        case outcomes.CANCELLED:
            return _json(200, {"state": "cancelled"})
        case outcomes.NOT_RUN:
            return _refusal(
                ResultCode.DEADLINE_UNREACHABLE,
                answer.reason,
                answer.retry_after,
            )
        case _:
            return _refusal(ResultCode.TASK_LOST, answer.reason)


def _refusal(
    code: ResultCode,
    detail: str = "",
    retry_after: datetime.timedelta | None = None,
) -> web.Response:
    info = results.CODES[code]
    response = _json(
        info.http_status,
        {
            "code": int(code),
            "name": code.name,
            "error": detail or info.meaning,
        },
    )
    if retry_after is not None:
        seconds = -(-retry_after // datetime.timedelta(seconds=1))
        response.headers["Retry-After"] = str(max(1, seconds))
    return response


def _json(status: int, content: dict[str, Any]) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(content),
        content_type="application/json",
    )
