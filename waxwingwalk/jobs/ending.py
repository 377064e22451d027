"""Ends jobs: answers, cancellation, deadlines and retention."""

import datetime
import heapq

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs

Effects = list[effects.Effect]


def cancel(
    state: core_state.State,
    event: events.JobCancelled,
    now: datetime.datetime,
) -> Effects:
    """End a job at its caller's request."""
    job = state.jobs.get(event.job_id)
    if job is None or job.is_ended:
        return []
    code = results.code_for_ending(
        job.started,
        unstarted=results.ResultCode.CANCELLED_UNSTARTED,
        otherwise=results.ResultCode.CANCELLED,
    )
    return end(state, job, code, "", now)


def end(
    state: core_state.State,
    job: jobs.Job,
    code: results.ResultCode,
    detail: str,
    now: datetime.datetime,
    retry_after: datetime.timedelta | None = None,
) -> Effects:
    """Set the final answer of a job and stop its remaining tasks."""
    is_complete = code is results.ResultCode.COMPLETE
    if job.phase is jobs.JobPhase.ACTIVE:
        state.queue(job.spec.service).remove(job)
    stops = _stop_effects(state, job)
    job.phase = jobs.JobPhase.ENDED
    job.ended_at = now
    job.pending = []
    job.answer = model.Answer(
        job.spec.job_id,
        code,
        detail=detail or results.CODES[code].meaning,
        results=job.results if is_complete else [],
        started=job.started,
        retry_after=retry_after,
    )
    job.results = []
    job.estimates = []
    state.ended.append(job.spec.job_id)
    if is_complete:
        state.counters.jobs_complete += 1
    else:
        state.counters.jobs_ended_otherwise += 1
    return [effects.DeliverAnswer(job.answer), _ended_log(job, now), *stops]


def _stop_effects(state: core_state.State, job: jobs.Job) -> Effects:
    stops: Effects = []
    for index in sorted(job.running):
        attempt = state.attempts[job.spec.job_id, index]
        stops.append(
            effects.StopTask(
                job.spec.job_id, index, attempt.backend_id, attempt.address
            )
        )
    return stops


def _ended_log(job: jobs.Job, now: datetime.datetime) -> effects.Effect:
    assert job.answer is not None
    elapsed = (now - job.spec.submitted_at).total_seconds()
    return effects.Log(
        "job.ended",
        {
            "job": job.spec.job_id,
            "service": job.spec.service,
            "team": job.spec.team,
            "tasks": len(job.spec.tasks),
            "code": int(job.answer.code),
            "seconds": round(elapsed, 4),
        },
    )


def expire(state: core_state.State, now: datetime.datetime) -> Effects:
    """End jobs past their deadline; drop answers past their retention."""
    done: Effects = []
    while state.deadlines and state.deadlines[0][0] <= now:
        _, job_id = heapq.heappop(state.deadlines)
        job = state.jobs.get(job_id)
        if job is not None and not job.is_ended:
            code = results.code_for_ending(
                job.started,
                unstarted=results.ResultCode.DEADLINE_UNSTARTED,
                otherwise=results.ResultCode.DEADLINE_EXCEEDED,
            )
            done += end(state, job, code, "", now)
    while state.ended:
        job = state.jobs[state.ended[0]]
        if not forget_if_due(state, job, now):
            break
    return done


def forget_if_due(
    state: core_state.State, job: jobs.Job, now: datetime.datetime
) -> bool:
    """Drop a job if it is the oldest ended one and its retention is over.

    A job with running tasks is kept, as their replies refer to it. Return
    whether the job was dropped.
    """
    if not state.ended or state.ended[0] != job.spec.job_id:
        return False
    assert job.ended_at is not None
    retention = state.settings.service(job.spec.service).answer_retention
    if now - job.ended_at < retention or job.running:
        return False
    state.ended.popleft()
    del state.jobs[job.spec.job_id]
    return True
