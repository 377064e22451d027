"""Job submission: accepts a job and claims its key, or refuses it."""

import datetime
import heapq

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.jobs import ending
from waxwingwalk.jobs import job as jobs
from waxwingwalk.jobs import keys
from waxwingwalk.routing import base

Effects = list[effects.Effect]
QUEUE_FULL_RETRY = datetime.timedelta(seconds=1)
UNAVAILABLE_RETRY = datetime.timedelta(seconds=0.1)


def submit(
    state: core_state.State,
    event: events.JobSubmitted,
    now: datetime.datetime,
) -> Effects:
    """Accept a job, or refuse it before any of its tasks is sent."""
    spec = event.spec
    estimates = _estimates(state, spec)
    refusal = _refusal(state, spec, sum(estimates), now)
    if refusal is not None:
        state.counters.jobs_refused += 1
        return [effects.DeliverAnswer(refusal), _refusal_log(spec, refusal)]
    state.counters.jobs_accepted += 1
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
        state.estimator.base_run_time(
            spec.service, spec.team, task.declared_run_time.total_seconds()
        )
        for task in spec.tasks
    ]


def _refusal(
    state: core_state.State,
    spec: model.JobSpec,
    work: float,
    now: datetime.datetime,
) -> model.Answer | None:
    code = results.ResultCode
    if state.drain is not None:
        return _refuse(spec, code.DRAINING, retry_after=UNAVAILABLE_RETRY)
    if not state.settings.is_ready:
        return _refuse(spec, code.NOT_READY, retry_after=UNAVAILABLE_RETRY)
    if not state.registry.offering(spec.service):
        return _refuse(spec, code.UNKNOWN_SERVICE)
    if not _could_fit(state, spec):
        return _refuse(spec, code.NEVER_FITS)
    options = state.settings.service(spec.service)
    queue = state.queue(spec.service)
    if queue.task_count + len(spec.tasks) > options.queue_max_tasks:
        return _refuse(spec, code.QUEUE_FULL, retry_after=QUEUE_FULL_RETRY)
    retry_after = _admission_refusal(state, spec, work, now)
    if retry_after is not None:
        return _refuse(
            spec, code.DEADLINE_UNREACHABLE, retry_after=retry_after
        )
    return None


def _could_fit(state: core_state.State, spec: model.JobSpec) -> bool:
    """Return whether each task fits some known backend server."""
    sizes = {
        (task.processors, task.memory, task.accelerators): task
        for task in spec.tasks
    }
    return all(
        state.has_backend_for(task, spec.service) for task in sizes.values()
    )


def _admission_refusal(
    state: core_state.State,
    spec: model.JobSpec,
    work: float,
    now: datetime.datetime,
) -> datetime.timedelta | None:
    options = state.settings.service(spec.service)
    request = base.AdmissionRequest(
        work=work,
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
    """Activate a job whose key was claimed, or end it if that failed."""
    job = state.jobs.get(event.job_id)
    if job is None or job.phase is not jobs.JobPhase.CLAIMING:
        return []
    if event.code is None:
        return _activate(state, job, now)
    job.key_holder = event.holder
    return ending.end(state, job, event.code, "", now)
