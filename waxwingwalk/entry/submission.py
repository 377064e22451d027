"""Handles submissions: validation, keys, forwarding, waiting."""

import asyncio
import datetime
from typing import Any

import orjson
import pydantic
from returns import result
import xxhash

from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.entry import claims
from waxwingwalk.entry import engine as entry_engine
from waxwingwalk.entry import forwarding
from waxwingwalk.entry import issued_keys
from waxwingwalk.entry import replies
from waxwingwalk.entry import requests
from waxwingwalk.entry import views
from waxwingwalk.jobs import keys

Code = results.ResultCode
WAIT_MAX = datetime.timedelta(hours=1)
_NO_WAIT = datetime.timedelta()


class Submissions:
    """Handles requests about jobs, from callers and forwarded by peers."""

    def __init__(
        self,
        engine: entry_engine.Engine,
        issuer: issued_keys.KeyIssuer,
        forwarder: forwarding.Forwarder,
    ) -> None:
        self._engine = engine
        self._issuer = issuer
        self._forwarder = forwarder

    def settle_claim(
        self, job_id: str, claim_result: claims.ClaimResult
    ) -> None:
        """Apply the outcome of a claim."""
        self._engine.apply(
            events.ClaimSettled(job_id, claim_result.code, claim_result.holder)
        )

    def has_ended_unstarted(self, job_id: str) -> bool:
        """Return whether a job of this process ended with no task started."""
        job = self._engine.state.jobs.get(job_id)
        if job is None or job.answer is None:
            return False
        return job.answer.code.family is results.Family.NOT_RUN

    async def submit(
        self, body: bytes, *, team: str | None, is_forwarded: bool = False
    ) -> replies.Reply:
        """Run a submission; ``team`` is the team of the caller's token."""
        parsed = requests.parse_job(body)
        if not isinstance(parsed, result.Success):
            return _invalid(parsed.failure())
        request = parsed.unwrap()
        if team is not None and request.team != team:
            return replies.Reply(Code.UNAUTHORIZED)
        refusal = self._check_limits(request, len(body))
        if refusal is not None:
            return refusal
        return await self._route(request, body, is_forwarded)

    def _check_limits(
        self, request: requests.JobRequest, body_size: int
    ) -> replies.Reply | None:
        settings = self._engine.state.settings
        options = settings.service(request.service)
        if len(request.tasks) > options.job_max_tasks:
            detail = (
                f"{len(request.tasks)} tasks, {options.job_max_tasks} allowed"
            )
            return replies.Reply(Code.TOO_MANY_TASKS, {"detail": detail})
        if body_size <= options.payload_max:
            return None
        for index, task in enumerate(request.tasks):
            if len(orjson.dumps(task.payload)) > options.payload_max:
                detail = f"task {index}: more than {options.payload_max} bytes"
                members = {"detail": detail}
                return replies.Reply(Code.PAYLOAD_TOO_LARGE, members)
        return None

    async def _route(
        self,
        request: requests.JobRequest,
        body: bytes,
        is_forwarded: bool,
    ) -> replies.Reply:
        """Run the job here, or forward it.

        A job with an issued key runs at the key's issuer. Any other job runs
        here, unless this process holds no part of the team's quota; it is
        then forwarded to a process that does.
        """
        if request.key is None or not issued_keys.is_issued(request.key):
            home = self._engine.state.quota_home(request.team)
            if home is not None and not (is_forwarded or self._is_draining):
                return await self._run_at_quota_home(home, request, body)
            return await self._run(request, body, None, is_forwarded)
        verified = self._issuer.verify(request.team, request.key)
        if not isinstance(verified, result.Success):
            return replies.Reply(verified.failure())
        key = verified.unwrap()
        if key.issuer == self._engine.state.process:
            return await self._run(request, body, key, is_forwarded)
        if is_forwarded:
            return replies.Reply(Code.KEY_INCARNATION_GONE)
        if self._is_draining:
            return replies.draining()
        return await self._forward(
            key.issuer, request, body, Code.KEY_INCARNATION_GONE
        )

    @property
    def _is_draining(self) -> bool:
        """Whether this process shuts down and forwards no new jobs."""
        return self._engine.state.drain is not None

    async def _run_at_quota_home(
        self,
        home: identity.ProcessId,
        request: requests.JobRequest,
        body: bytes,
    ) -> replies.Reply:
        """Run a job at a process that holds a part of its team's quota.

        If that process cannot be reached, the job was not sent. It then runs
        here, one task at a time.
        """
        unreachable = Code.COORDINATOR_UNREACHABLE
        reply = await self._forward(home, request, body, unreachable)
        if reply.code is unreachable:
            return await self._run(request, body, None, False)
        return reply

    async def _forward(
        self,
        target: identity.ProcessId,
        request: requests.JobRequest,
        body: bytes,
        code_if_gone: Code,
    ) -> replies.Reply:
        if self._engine.state.membership.is_gone(target):
            return replies.Reply(code_if_gone)
        wait = self._time_to_deadline(request) if request.wait else _NO_WAIT
        return await self._forwarder.forward(
            target,
            "submit",
            body,
            wait=wait,
            code_if_gone=code_if_gone,
            code_if_lost=Code.FORWARD_LOST,
        )

    def _time_to_deadline(
        self, request: requests.JobRequest
    ) -> datetime.timedelta:
        if request.deadline_seconds is not None:
            return datetime.timedelta(seconds=request.deadline_seconds)
        options = self._engine.state.settings.service(request.service)
        return options.job_deadline

    async def _run(
        self,
        request: requests.JobRequest,
        body: bytes,
        issued: issued_keys.IssuedKey | None,
        is_forwarded: bool,
    ) -> replies.Reply:
        """Run the job here, or join the run that its key belongs to."""
        spec = self._build_spec(request, issued)
        if spec.key is not None:
            lookup = keys.look_up(
                self._engine.state, spec.team, spec.key, spec.fingerprint
            )
            match lookup.earlier:
                case keys.EarlierRun.REUSED:
                    return replies.Reply(Code.KEY_REUSED)
                case keys.EarlierRun.EXPIRED:
                    return replies.Reply(Code.ANSWER_EXPIRED)
                case keys.EarlierRun.JOINED:
                    return await self._wait_for_answer(
                        lookup.job_id, request, body, is_forwarded
                    )
        if issued is not None and issued.expires_at < spec.submitted_at:
            return replies.Reply(Code.KEY_EXPIRED)
        future = self._engine.wait_for(spec.job_id)
        self._engine.apply(events.JobSubmitted(spec))
        return await self._wait_for_answer(
            spec.job_id, request, body, is_forwarded, future
        )

    async def _wait_for_answer(
        self,
        job_id: str,
        request: requests.JobRequest,
        body: bytes,
        is_forwarded: bool,
        future: asyncio.Future[model.Answer] | None = None,
    ) -> replies.Reply:
        """Wait for a job's answer, here or at the holder of its key."""
        future = future or self._engine.wait_for(job_id)
        if not request.wait and not future.done():
            return _accepted(job_id)
        answer = await future
        job = self._engine.state.jobs.get(job_id)
        holder = None if job is None else job.key_holder
        if holder is None or is_forwarded:
            return replies.from_answer(answer)
        return await self._forward(holder, request, body, Code.EARLIER_ATTEMPT)

    def _build_spec(
        self,
        request: requests.JobRequest,
        issued: issued_keys.IssuedKey | None,
    ) -> model.JobSpec:
        now = self._engine.clock.now()
        spec = model.JobSpec(
            job_id=self._engine.state.next_job_id(),
            service=request.service,
            team=request.team,
            tasks=[task.spec() for task in request.tasks],
            submitted_at=now,
            deadline=now + self._time_to_deadline(request),
            idempotent=request.idempotent,
        )
        if request.key is not None:
            spec.key = request.key
            spec.is_key_issued = issued is not None
            spec.fingerprint = _fingerprint(request)
        if issued is not None:
            spec.key_expires_at = issued.expires_at
        return spec

    # Requests about jobs that were submitted earlier.

    async def handle_job_request(
        self, action: str, job_id: str, *, is_forwarded: bool = False
    ) -> replies.Reply:
        """Handle status, wait, cancel or explain at the job's coordinator."""
        parsed = identity.parse_job_id(job_id)
        if parsed is None:
            return _invalid(f"'{job_id}' is not a job id")
        if parsed.coordinator == self._engine.state.process:
            return await self._handle_own_job(action, parsed)
        membership = self._engine.state.membership
        if is_forwarded or membership.is_gone(parsed.coordinator):
            return replies.Reply(Code.COORDINATOR_LOST)
        # A forwarded request carries the peers' secret, and a job id may name
        # any address.
        if membership.get(parsed.coordinator.address) is None:
            return forwarding.unreachable()
        wait = WAIT_MAX if action == "wait" else _NO_WAIT
        return await self._forwarder.forward(
            parsed.coordinator,
            action,
            job_id.encode(),
            wait=wait,
            code_if_gone=Code.COORDINATOR_LOST,
            code_if_lost=Code.COORDINATOR_UNREACHABLE,
        )

    async def _handle_own_job(
        self, action: str, job_id: identity.JobId
    ) -> replies.Reply:
        state = self._engine.state
        job = state.jobs.get(str(job_id))
        if job is None:
            was_known = 0 < job_id.serial <= state.serial
            code = Code.ANSWER_EXPIRED if was_known else Code.NO_SUCH_JOB
            return replies.Reply(code)
        if action == "cancel":
            self._engine.apply(events.JobCancelled(str(job_id)))
        if action == "wait":
            return replies.from_answer(
                await self._engine.wait_for(str(job_id))
            )
        if action == "explain":
            return replies.Reply(Code.OK, {"story": views.timeline(job)})
        if job.answer is not None:
            return replies.from_answer(job.answer)
        return replies.Reply(
            Code.RUNNING,
            {
                "job": str(job_id),
                "tasks": len(job.results),
                "tasks_done": job.done,
                "tasks_started": job.started,
            },
        )

    def issue_keys(self, body: bytes, *, team: str | None) -> replies.Reply:
        """Issue a block of keys to a team."""
        try:
            request = requests.KeysRequest.model_validate_json(body)
        except pydantic.ValidationError as error:
            return _invalid(requests.describe_errors(error))
        if team is not None and request.team != team:
            return replies.Reply(Code.UNAUTHORIZED)
        if self._is_draining:
            return replies.draining()
        options = self._engine.state.settings.process()
        issued = self._issuer.issue(
            request.team,
            request.count,
            lifetime=options.issued_key_lifetime,
            limit=options.issued_keys_max,
            now=self._engine.clock.now(),
        )
        if issued is None:
            members: dict[str, Any] = {"retry_after_seconds": 5.0}
            return replies.Reply(Code.KEYS_EXHAUSTED, members)
        return replies.Reply(Code.OK, {"keys": issued})


def _invalid(detail: str) -> replies.Reply:
    return replies.Reply(Code.INVALID_REQUEST, {"detail": detail})


def _accepted(job_id: str) -> replies.Reply:
    return replies.Reply(Code.ACCEPTED, {"job": job_id})


def _fingerprint(request: requests.JobRequest) -> str:
    content = request.model_dump(include={"service", "team", "tasks"})
    canonical = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_128_hexdigest(canonical)
