"""Client library for asyncio programs."""

import asyncio
from collections.abc import Sequence
import datetime
import random
from types import TracebackType
from typing import Any

import aiohttp
import orjson
import pydantic
import tenacity

from waxwingwalk.client import budget
from waxwingwalk.client import model
from waxwingwalk.core import clock
from waxwingwalk.core import results

Code = results.ResultCode
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# How long the client waits for a job's answer after the job's deadline.
ANSWER_GRACE = datetime.timedelta(seconds=2)
BACKOFF_MIN_SECONDS = 0.05
BACKOFF_MAX_SECONDS = 2.0
# Refusals that may be temporary: no task ran, and another submission may
# succeed.
TEMPORARY = frozenset(
    {
        Code.QUEUE_FULL,
        Code.DRAINING,
        Code.NOT_READY,
        Code.STORE_UNAVAILABLE,
        Code.DRAIN_UNSTARTED,
        Code.KEYS_EXHAUSTED,
    }
)


class Client:
    """Submits jobs through any of several entry addresses.

    A submission is retried while its deadline and the retry budget allow:
    after a refusal in ``TEMPORARY``, always; after a lost connection or an
    unknown outcome, only if the job may be resubmitted.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        team: str,
        token: str | None = None,
        time: clock.Clock | None = None,
        retry_budget: budget.RetryBudget | None = None,
    ) -> None:
        self._addresses = list(addresses)
        self._team = team
        self._token = token
        self._clock = time or clock.SystemClock()
        self._budget = retry_budget or budget.RetryBudget()
        self._backoff = tenacity.wait_random_exponential(
            multiplier=BACKOFF_MIN_SECONDS, max=BACKOFF_MAX_SECONDS
        )
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        headers = {"Content-Type": "application/json"}
        if self._token is not None:
            headers["Authorization"] = f"Bearer {self._token}"
        self._session = aiohttp.ClientSession(headers=headers)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._session is not None:
            await self._session.close()

    async def submit(self, job: model.Job) -> model.Answer:
        """Submit a job and wait for its complete answer."""
        self._budget.earn()
        deadline = self._clock.now() + job.deadline
        may_have_run = False
        submissions = 0
        addresses = random.sample(self._addresses, len(self._addresses))
        while True:
            address = addresses[submissions % len(addresses)]
            submissions += 1
            reply = await self._submit_once(address, job, deadline)
            may_have_run |= reply.code.family is not results.Family.NOT_RUN
            answer = _build_answer(reply, may_have_run, submissions)
            delay = self._retry_delay(job, reply, submissions)
            if delay is None or self._clock.now() + delay >= deadline:
                return answer
            if not self._budget.spend():
                return answer
            await asyncio.sleep(delay.total_seconds())

    def _retry_delay(
        self, job: model.Job, reply: model.ReplyModel, submissions: int
    ) -> datetime.timedelta | None:
        """Return the delay before a resubmission; None if there is none."""
        is_unknown = reply.code.family is results.Family.UNKNOWN
        is_retryable = reply.code in TEMPORARY or (
            is_unknown and job.may_be_resubmitted
        )
        if not is_retryable:
            return None
        state = tenacity.RetryCallState(
            retry_object=tenacity.AsyncRetrying(),
            fn=None,
            args=(),
            kwargs={},
        )
        state.attempt_number = submissions
        seconds = self._backoff(state)
        if reply.retry_after_seconds is not None:
            seconds += reply.retry_after_seconds
        return datetime.timedelta(seconds=seconds)

    async def _submit_once(
        self, address: str, job: model.Job, deadline: datetime.datetime
    ) -> model.ReplyModel:
        remaining = deadline - self._clock.now()
        body = {
            "service": job.service,
            "team": self._team,
            "tasks": [task.content() for task in job.tasks],
            "deadline_seconds": max(0.001, remaining.total_seconds()),
            "idempotent": job.is_idempotent,
            "key": job.key,
        }
        wait = remaining + ANSWER_GRACE
        return await self._call("POST", address, "/v1/jobs", body, wait)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: dict[str, Any] | None,
        wait: datetime.timedelta,
        code_if_unreachable: Code = Code.NOT_READY,
    ) -> model.ReplyModel:
        """Send a request; a failure is returned as a reply with a code.

        The reply has ``code_if_unreachable`` if no connection could be opened,
        so that the request was not sent.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, wait.total_seconds()),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        data = None if body is None else orjson.dumps(body)
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=data,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
            return model.ReplyModel.model_validate_json(content)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return model.ReplyModel(
                code=code_if_unreachable,
                detail=f"{address} cannot be reached",
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return model.ReplyModel(
                code=Code.FORWARD_LOST,
                detail=f"no reply from {address}: {type(error).__name__}",
            )
        except pydantic.ValidationError:
            return model.ReplyModel(
                code=Code.FORWARD_LOST,
                detail=f"malformed reply from {address}",
            )

    async def status(
        self, job_id: str, *, wait: datetime.timedelta | None = None
    ) -> model.ReplyModel:
        """Return a job's state, or wait up to ``wait`` for its answer."""
        timeout = (wait or datetime.timedelta()) + ANSWER_GRACE
        path = job_id if wait is None else f"{job_id}?wait=true"
        return await self._call_job("GET", path, timeout)

    async def cancel(self, job_id: str) -> model.ReplyModel:
        """Cancel a job; the reply is its answer."""
        return await self._call_job("DELETE", job_id, ANSWER_GRACE)

    async def explain(self, job_id: str) -> model.ReplyModel:
        """Return a job's history, as recorded by its coordinator."""
        return await self._call_job("GET", f"{job_id}/explain", ANSWER_GRACE)

    async def _call_job(
        self, method: str, path: str, wait: datetime.timedelta
    ) -> model.ReplyModel:
        """Send a request about a job that was submitted earlier."""
        return await self._call(
            method,
            self._random_address(),
            f"/v1/jobs/{path}",
            None,
            wait,
            Code.COORDINATOR_UNREACHABLE,
        )

    async def issue_keys(self, count: int) -> list[str]:
        """Return a block of new keys; empty if the request failed."""
        body = {"team": self._team, "count": count}
        reply = await self._call(
            "POST", self._random_address(), "/v1/keys", body, ANSWER_GRACE
        )
        return reply.keys

    def _random_address(self) -> str:
        return random.choice(self._addresses)


def _build_answer(
    reply: model.ReplyModel, may_have_run: bool, submissions: int
) -> model.Answer:
    retry_after = None
    if reply.retry_after_seconds is not None:
        retry_after = datetime.timedelta(seconds=reply.retry_after_seconds)
    return model.Answer(
        code=reply.code,
        detail=reply.detail,
        job_id=reply.job,
        results=reply.results,
        may_have_run=may_have_run,
        submissions=submissions,
        retry_after=retry_after,
    )
