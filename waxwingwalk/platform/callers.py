"""The platform's API for callers, and its readiness check."""

import asyncio
import datetime
import re
from typing import Annotated
from typing import Any
import weakref

from aiohttp import web
import msgspec
import orjson
from returns import result

from waxwingwalk.connections import bodies
from waxwingwalk.connections import limits
from waxwingwalk.connections import protocol
from waxwingwalk.core import decoding
from waxwingwalk.core import results
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.host import engine as host_engine

# Header with the time that the caller waits for the response, in milliseconds.
DEADLINE_HEADER = "Deadline-Ms"
JOB_ID = re.compile(r"[0-9a-f]{16}")
SPEC_MAX = 4000
# Objects in the JSON of a job: itself, its steps, and braces in its spec.
OBJECTS_MAX = 1 + model.TASKS_MAX + SPEC_MAX
# Retry-After of refusals while the host has no configuration.
NOT_READY_RETRY = datetime.timedelta(seconds=1)

ResultCode = results.ResultCode


class _Step(msgspec.Struct):
    count: Annotated[int, msgspec.Meta(ge=1, le=model.TASKS_MAX)] = 1
    # Thousandths of a core.
    cpu: decoding.Amount = 0
    mem_mb: decoding.Amount = 0
    gpu: decoding.Amount = 0
    est_ms: Annotated[
        float, msgspec.Meta(ge=0, le=decoding.MILLISECONDS_MAX)
    ] = 0.0
    after: list[int] = []
    requires: str | None = None
    preferred_rack: str | None = None
    max_per_server: decoding.Integer | None = None
    # The fields below are parsed, but jobs that use them are refused.
    gang: bool = False
    same_rack: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(msgspec.Struct):
    spec: str
    steps: Annotated[list[_Step], msgspec.Meta(min_length=1)]
    # If true, the answer is only sent in the response and is not stored.
    best_effort: bool = False
    # Number of times that the steps run, for scheduled jobs.
    times: decoding.Integer = 0


_job_decoder: decoding.Decoder[_Job] = decoding.Decoder(_Job)


class CallersApi:
    """Accepts jobs over HTTP and responds when they have ended."""

    def __init__(self, engine: host_engine.Engine) -> None:
        self._engine = engine
        # The tasks of connections that carried a request before the drain.
        self._used_connections: weakref.WeakSet[asyncio.Task[None]] = (
            weakref.WeakSet()
        )

    def application(self) -> web.Application:
        """Return the application for callers."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    def readiness(self) -> web.Application:
        """Return the application for the platform's readiness check."""
        app = web.Application()
        app.router.add_get("/ready", self._handle_readiness)
        return app

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        is_ready = self._engine.reducer.is_ready
        return web.Response(status=200 if is_ready else 503)

    async def _handle(self, request: web.Request) -> web.Response:
        if self._engine.reducer.drain_deadline is None:
            self._used_connections.add(request.task)
        response = await self._route(request)
        if self._engine.reducer.drain_deadline is not None:
            # Close the connection, so that the caller opens its next one to
            # another host.
            response.force_close()
        return response

    async def _route(self, request: web.Request) -> web.Response:
        catalog = self._engine.reducer.catalog
        if catalog is None:
            return _error_response(
                ResultCode.NOT_READY, retry_after=NOT_READY_RETRY
            )
        host = request.headers.get("Host", "").partition(":")[0]
        queue = catalog.find(host, request.path)
        if queue is None:
            return _error_response(ResultCode.UNKNOWN_SERVICE)
        rest = request.path.removeprefix(queue.prefix)
        if not rest and request.method == "GET":
            return _json_response(200, {"pending": self._count_pending(queue)})
        if JOB_ID.fullmatch(rest) is None:
            return _error_response(
                ResultCode.INVALID_REQUEST,
                f"a job's id is 16 hexadecimal digits, not {rest[:32]!r}",
            )
        match request.method:
            case "POST":
                return await self._submit(request, queue, rest)
            case "GET" if self._engine.is_waiting(rest):
                return _json_response(200, {"state": "running"})
            case "DELETE" if self._engine.cancel(rest):
                return _json_response(200, {"state": "cancelled"})
            case "GET" | "DELETE":
                return _error_response(ResultCode.JOB_NOT_STORED)
            case _:
                return _error_response(
                    ResultCode.INVALID_REQUEST,
                    f"{request.method} is not served here",
                )

    def _count_pending(self, queue: model.Queue) -> int:
        """Return how many jobs scheduled by this host have not started."""
        return sum(
            1
            for record in self._engine.reducer.scheduler.jobs.values()
            if record.job.queue == queue.name and not record.has_started
        )

    async def _submit(
        self, request: web.Request, queue: model.Queue, job_id: str
    ) -> web.Response:
        arrived_at = self._engine.clock.now()
        limit = self._request_limits.body_bytes
        try:
            content = await self._read_body(request, limit)
        except bodies.BodyTooLargeError:
            return self._refuse_job(
                job_id,
                ResultCode.BODY_TOO_LARGE,
                f"the body has more than {limit} bytes",
            )
        if content is None:
            return _error_response(
                ResultCode.DRAINING, retry_after=NOT_READY_RETRY
            )
        decoded = decode_job(content)
        # The body is not kept while the job runs.
        del content
        if not isinstance(decoded, result.Success):
            return self._refuse_job(job_id, *decoded.failure())
        steps = len(decoded.unwrap().steps)
        size = limits.JOB_BYTES + limits.STEP_BYTES * steps
        if not protocol.serve(request, size):
            return self._refuse_job(
                job_id,
                ResultCode.QUEUE_FULL,
                "no memory is left for the job",
                NOT_READY_RETRY,
            )
        try:
            return await self._run(
                request, queue, job_id, arrived_at, decoded.unwrap()
            )
        finally:
            protocol.end_request(request)

    def _refuse_job(
        self,
        job_id: str,
        code: ResultCode,
        reason: str,
        retry_after: datetime.timedelta | None = None,
    ) -> web.Response:
        self._engine.log.info(
            "job.refused", job=job_id, code=int(code), reason=reason
        )
        return _error_response(code, reason, retry_after)

    async def _run(
        self,
        request: web.Request,
        queue: model.Queue,
        job_id: str,
        arrived_at: datetime.datetime,
        content: _Job,
    ) -> web.Response:
        """Run a job whose caller has waited since its head arrived."""
        wait = _parse_wait(request.headers.get(DEADLINE_HEADER), queue)
        drain_deadline = self._engine.reducer.drain_deadline
        if drain_deadline is not None:
            self._engine.log.info(
                "drain.request_read",
                job=job_id,
                left_ms=model.milliseconds(drain_deadline - arrived_at),
                is_reused=request.task in self._used_connections,
            )
        job = build_job(
            content, queue, job_id, arrived_at, wait, self._engine.clock.now()
        )
        # The job in the form of the request is not kept, either.
        del content
        answer = await self._engine.run_job(job)
        self._engine.log.info(
            "job.answered",
            job=job_id,
            queue=queue.name,
            outcome=answer.outcome.value,
            reason=answer.reason,
            catalog_version=self._catalog_version,
            elapsed_ms=model.milliseconds(
                self._engine.clock.now() - arrived_at
            ),
            wait_ms=model.milliseconds(wait),
        )
        return _to_response(answer)

    async def _read_body(
        self, request: web.Request, limit: int
    ) -> bytes | None:
        """Return the body, None if the listener closes before it arrives.

        What arrives later than that is discarded.
        """
        if request.content.is_eof():
            return await bodies.read(request, limit)
        reading = asyncio.ensure_future(bodies.read(request, limit))
        closing = asyncio.ensure_future(self._engine.closing.wait())
        try:
            await asyncio.wait(
                [reading, closing], return_when=asyncio.FIRST_COMPLETED
            )
            return reading.result() if reading.done() else None
        finally:
            reading.cancel()
            closing.cancel()

    @property
    def _request_limits(self) -> limits.RequestLimits:
        catalog = self._engine.reducer.catalog
        return limits.RequestLimits() if catalog is None else catalog.limits

    @property
    def _catalog_version(self) -> int:
        catalog = self._engine.reducer.catalog
        return 0 if catalog is None else catalog.version


def decode_job(
    content: bytes,
) -> result.Result[_Job, tuple[ResultCode, str]]:
    """Return the submitted job, or the code and reason of its refusal."""
    if content.count(b"{") > OBJECTS_MAX:
        # The objects would take a hundred times the memory of the body.
        return result.Failure(
            (
                ResultCode.PAYLOAD_TOO_LARGE,
                f"the job has more than {model.TASKS_MAX} steps",
            )
        )
    try:
        job = _job_decoder.decode(content)
    except decoding.MalformedError as error:
        return result.Failure((ResultCode.INVALID_REQUEST, str(error)))
    size = len(job.spec.encode())
    if size > SPEC_MAX:
        return result.Failure(
            (
                ResultCode.PAYLOAD_TOO_LARGE,
                f"spec has {size} bytes, at most {SPEC_MAX} are taken",
            )
        )
    tasks = sum(step.count for step in job.steps)
    if tasks > model.TASKS_MAX:
        return result.Failure(
            (
                ResultCode.PAYLOAD_TOO_LARGE,
                f"the job has {tasks} tasks, at most {model.TASKS_MAX} are "
                "taken",
            )
        )
    if sum(step.est_ms for step in job.steps) > decoding.MILLISECONDS_MAX:
        return result.Failure(
            (
                ResultCode.INVALID_REQUEST,
                "est_ms of all steps is more than "
                f"{decoding.MILLISECONDS_MAX}",
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
    feature = _find_unsupported_feature(job)
    if feature is not None:
        return result.Failure(
            (ResultCode.NOT_SUPPORTED, f"{feature} is not served")
        )
    return result.Success(job)


def _find_unsupported_feature(job: _Job) -> str | None:
    """Return a feature of the job that is not supported, None if all are."""
    if not job.best_effort:
        return "a stored job"
    if job.times:
        return "times"
    for name in ("gang", "same_rack", "long_running", "fills"):
        if any(getattr(step, name) for step in job.steps):
            return name
    return None


def _parse_wait(header: str | None, queue: model.Queue) -> datetime.timedelta:
    """Return the caller's waiting time, the queue's time-out by default."""
    try:
        milliseconds = int(header) if header else 0
    except ValueError:
        milliseconds = 0
    if milliseconds <= 0:
        return queue.timeout
    return datetime.timedelta(
        milliseconds=min(milliseconds, decoding.MILLISECONDS_MAX)
    )


def build_job(
    content: _Job,
    queue: model.Queue,
    job_id: str,
    arrived_at: datetime.datetime,
    wait: datetime.timedelta,
    complete_at: datetime.datetime | None = None,
) -> model.Job:
    """Return the job that a caller has submitted to a queue.

    The caller has waited since ``arrived_at``. The job's objective counts
    from ``complete_at``, when its body had arrived, as nothing could be done
    for it before.
    """
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
    critical_path = model.critical_path_time(
        steps, [step.estimate for step in steps]
    )
    return model.Job(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        priority=queue.priority,
        attempts=queue.attempts,
        spec=content.spec,
        stretch=queue.stretch,
        steps=steps,
        due=(complete_at or arrived_at)
        + queue.stretch * critical_path
        + queue.objective,
        expires=arrived_at + wait,
    )


def _to_response(answer: effects.AnswerJob) -> web.Response:
    outcomes = model.JobOutcome
    match answer.outcome:
        case outcomes.DONE:
            return _json_response(200, {"state": "done"})
        case outcomes.FAILED:
            return _json_response(200, {"state": "failed"})
        case outcomes.CANCELLED:
            return _json_response(200, {"state": "cancelled"})
        case outcomes.NOT_RUN:
            return _error_response(
                ResultCode.DEADLINE_UNREACHABLE,
                answer.reason,
                answer.retry_after,
            )
        case _:
            return _error_response(ResultCode.TASK_LOST, answer.reason)


def _error_response(
    code: ResultCode,
    detail: str = "",
    retry_after: datetime.timedelta | None = None,
) -> web.Response:
    info = results.CODES[code]
    response = _json_response(
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


def _json_response(status: int, content: dict[str, Any]) -> web.Response:
    return web.Response(
        status=status,
        body=orjson.dumps(content),
        content_type="application/json",
    )
