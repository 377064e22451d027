"""Handlers of the events in a job's life."""

import datetime
import heapq

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.jobs import job as jobs
from waxwingwalk.jobs import keys
from waxwingwalk.routing import base
from waxwingwalk.routing import health

Effects = list[effects.Effect]
QUEUE_FULL_RETRY = datetime.timedelta(seconds=1)
DRAINING_RETRY = datetime.timedelta(seconds=0.1)


def submit(
    state: core_state.State,
    event: events.JobSubmitted,
    now: datetime.datetime,
) -> Effects:
    """Accept a job, or refuse it before anything ran."""
    spec = event.spec
    refusal = _refusal(state, spec, now)
    if refusal is not None:
        state.counters.jobs_refused += 1
        return [effects.DeliverAnswer(refusal), _refusal_log(spec, refusal)]
    state.counters.jobs_accepted += 1
    estimates = _estimates(state, spec)
    phase = jobs.JobPhase.ACTIVE
    if spec.key is not None:
        keys.remember(state, spec)
        if not spec.is_key_issued:
            phase = jobs.JobPhase.CLAIMING
    job = jobs.new_job(spec, phase, estimates)
    state.jobs[spec.job_id] = job
    heapq.heappush(state.deadlines, (spec.deadline, spec.job_id))
    if phase is jobs.JobPhase.CLAIMING:
        assert spec.key is not None
        return [effects.ClaimKey(spec.job_id, spec.team, spec.key)]
    return _activate(state, job, now)


def _estimates(state: core_state.State, spec: model.JobSpec) -> list[float]:
    return [
        state.estimator.base(
            spec.service, spec.team, task.declared_run_time.total_seconds()
        )
        for task in spec.tasks
    ]


def _refusal(
    state: core_state.State, spec: model.JobSpec, now: datetime.datetime
) -> model.Answer | None:
    code = results.ResultCode
    if state.drain is not None:
        return _refuse(spec, code.DRAINING, retry_after=DRAINING_RETRY)
    if not state.settings.is_ready:
        return _refuse(spec, code.NOT_READY, retry_after=DRAINING_RETRY)
    if not state.registry.offering(spec.service):
        return _refuse(spec, code.UNKNOWN_SERVICE)
    if not _could_fit(state, spec):
        return _refuse(spec, code.NEVER_FITS)
    options = state.settings.service(spec.service)
    queue = state.queue(spec.service)
    if queue.task_count + len(spec.tasks) > options.queue_max_tasks:
        return _refuse(spec, code.QUEUE_FULL, retry_after=QUEUE_FULL_RETRY)
    retry_after = _admission_refusal(state, spec, now)
    if retry_after is not None:
        return _refuse(
            spec, code.DEADLINE_UNREACHABLE, retry_after=retry_after
        )
    return None


def _could_fit(state: core_state.State, spec: model.JobSpec) -> bool:
    """Tell whether each task fits some known backend server."""
    sizes = {
        (task.processors, task.memory, task.accelerators): task
        for task in spec.tasks
    }
    return all(
        state.backend_for(task, spec.service) for task in sizes.values()
    )


def _admission_refusal(
    state: core_state.State, spec: model.JobSpec, now: datetime.datetime
) -> datetime.timedelta | None:
    options = state.settings.service(spec.service)
    estimates = _estimates(state, spec)
    request = base.AdmissionRequest(
        work=sum(estimates),
        longest=0.0,
        queued_work=state.queue(spec.service).work,
        slots=sum(
            backend.spec.slots
            for backend in state.registry.offering(spec.service)
            if backend.spec.state is model.BackendState.LIVE
        ),
        budget=(spec.deadline - now).total_seconds(),
    )
    return state.policies.admission(options.admission).refusal(request)


def _refuse(
    spec: model.JobSpec,
    code: results.ResultCode,
    retry_after: datetime.timedelta | None = None,
) -> model.Answer:
    return model.Answer(
        spec.job_id,
        code,
        detail=results.CODES[code].meaning,
        retry_after=retry_after,
    )


def _refusal_log(spec: model.JobSpec, answer: model.Answer) -> effects.Effect:
    return effects.Log(
        "job.refused",
        {
            "job": spec.job_id,
            "service": spec.service,
            "team": spec.team,
            "tasks": len(spec.tasks),
            "code": int(answer.code),
        },
    )


def _activate(
    state: core_state.State, job: jobs.Job, now: datetime.datetime
) -> Effects:
    job.phase = jobs.JobPhase.ACTIVE
    state.queue(job.spec.service).add(job)
    return dispatch.dispatch(state, job.spec.service, now)


def settle_claim(
    state: core_state.State,
    event: events.ClaimSettled,
    now: datetime.datetime,
) -> Effects:
    """Start a job whose key is ours, or refuse it."""
    job = state.jobs.get(event.job_id)
    if job is None or job.phase is not jobs.JobPhase.CLAIMING:
        return []
    if event.code is None:
        return _activate(state, job, now)
    job.key_holder = event.holder
    return end(state, job, event.code, "", now)


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


def reply(
    state: core_state.State,
    event: events.TaskReplied,
    now: datetime.datetime,
) -> Effects:
    """Take in the end of an attempt, and fill the slot that it frees."""
    ref = (event.job_id, event.index)
    attempt = state.attempts.get(ref)
    if attempt is None or attempt.number != event.attempt:
        state.counters.late_replies += 1
        return [_dropped_log(event, "late")]
    del state.attempts[ref]
    done: Effects = []
    outcome = event.outcome
    if _is_foreign(state, event):
        state.counters.foreign_replies += 1
        outcome = model.TaskOutcome.LOST
        done.append(_dropped_log(event, "foreign"))
    job = state.jobs[event.job_id]
    spec = job.spec
    done += _release(state, job, event, now)
    done += health.note_reply(state, event, outcome, job, attempt, now)
    if not job.is_ended:
        done += _apply_outcome(state, job, event, outcome, now)
    elif not job.running:
        _forget_if_due(state, job, now)
    backend = state.registry.get(event.backend_id)
    return done + dispatch.dispatch(state, spec.service, now, backend)


def read_status(
    state: core_state.State,
    event: events.TaskStatusRead,
    now: datetime.datetime,
) -> Effects:
    """Give a job up at once when one of its tasks turns out to be lost."""
    done, is_lost = health.note_status(state, event, now)
    job = state.jobs.get(event.job_id)
    if is_lost and job is not None and not job.is_ended:
        state.counters.tasks_lost += 1
        detail = f"task {event.index}: no longer known where it was sent"
        code = results.ResultCode.TASK_LOST
        done += end(state, job, code, detail, now)
    return done


def _is_foreign(state: core_state.State, event: events.TaskReplied) -> bool:
    if event.outcome in (
        model.TaskOutcome.LOST,
        model.TaskOutcome.NOT_SENT,
    ):
        return False
    expected = state.task_name(event.job_id, event.index)
    return (
        event.reply_task != expected
        or event.reply_incarnation != state.process.incarnation
    )


def _release(
    state: core_state.State,
    job: jobs.Job,
    event: events.TaskReplied,
    now: datetime.datetime,
) -> Effects:
    team = job.spec.team
    job.running.discard(event.index)
    state.team_running[team] -= 1
    if state.team_running[team] == 0:
        del state.team_running[team]
    for queue in state.queues.values():
        queue.retry_team(team)
    if event.running is not None:
        state.sharing.note_usage(event.backend_id, event.running, now)
    return state.sharing.release(event.backend_id, now)


def _apply_outcome(
    state: core_state.State,
    job: jobs.Job,
    event: events.TaskReplied,
    outcome: model.TaskOutcome,
    now: datetime.datetime,
) -> Effects:
    match outcome:
        case model.TaskOutcome.DONE:
            state.counters.tasks_done += 1
            job.results[event.index] = event.result
            job.done += 1
            if job.done < len(job.results):
                return []
            return end(state, job, results.ResultCode.COMPLETE, "", now)
        case model.TaskOutcome.FAILED:
            state.counters.tasks_failed += 1
            code = results.ResultCode.TASK_FAILED
        case model.TaskOutcome.LOST:
            state.counters.tasks_lost += 1
            code = results.ResultCode.TASK_LOST
            if now >= job.spec.deadline:
                code = results.ResultCode.DEADLINE_EXCEEDED
        case _:
            state.counters.tasks_not_started += 1
            job.started -= 1
            state.queue(job.spec.service).put_back(job, event.index)
            return []
    detail = f"task {event.index}: {event.detail}"
    return end(state, job, code, detail, now)


def _dropped_log(event: events.TaskReplied, why: str) -> effects.Effect:
    return effects.Log(
        "reply.dropped",
        {
            "why": why,
            "job": event.job_id,
            "task": event.index,
            "backend_server": event.backend_id,
            "reply_task": event.reply_task,
        },
    )


def end(
    state: core_state.State,
    job: jobs.Job,
    code: results.ResultCode,
    detail: str,
    now: datetime.datetime,
) -> Effects:
    """Give a job its final answer, and stop what is left of it."""
    is_complete = code is results.ResultCode.COMPLETE
    if job.phase is jobs.JobPhase.ACTIVE:
        state.queue(job.spec.service).remove(job)
    stops = _stops(state, job)
    job.phase = jobs.JobPhase.ENDED
    job.ended_at = now
    job.pending = []
    job.answer = model.Answer(
        job.spec.job_id,
        code,
        detail=detail or results.CODES[code].meaning,
        results=job.results if is_complete else [],
        started=job.started,
    )
    job.results = []
    job.estimates = []
    state.ended.append(job.spec.job_id)
    if is_complete:
        state.counters.jobs_complete += 1
    else:
        state.counters.jobs_ended_otherwise += 1
    return [effects.DeliverAnswer(job.answer), _ended_log(job, now), *stops]


def _stops(state: core_state.State, job: jobs.Job) -> Effects:
    stops: Effects = []
    for index in sorted(job.running):
        attempt = state.attempts[job.spec.job_id, index]
        backend = state.registry.get(attempt.backend_id)
        if backend is not None:
            stops.append(
                effects.StopTask(
                    job.spec.job_id,
                    index,
                    attempt.backend_id,
                    backend.spec.address,
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
    """End jobs whose deadline has passed; forget answers kept too long."""
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
        if not _forget_if_due(state, job, now):
            break
    return done


def _forget_if_due(
    state: core_state.State, job: jobs.Job, now: datetime.datetime
) -> bool:
    """Drop the oldest ended job once its answer has been kept enough."""
    if not state.ended or state.ended[0] != job.spec.job_id:
        return False
    assert job.ended_at is not None
    retention = state.settings.service(job.spec.service).answer_retention
    if now - job.ended_at < retention or job.running:
        return False
    state.ended.popleft()
    del state.jobs[job.spec.job_id]
    return True
