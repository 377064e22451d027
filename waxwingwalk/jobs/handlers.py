"""Handlers of replies from backend servers."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.jobs import ending
from waxwingwalk.jobs import job as jobs
from waxwingwalk.routing import health
from waxwingwalk.routing import overdue

Effects = list[effects.Effect]


def handle_reply(
    state: core_state.State,
    event: events.TaskReplied,
    now: datetime.datetime,
) -> Effects:
    """Record the end of an attempt, and dispatch to the slot it frees."""
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
    done += _release_slot(state, job, event, now)
    done += health.record_reply(state, event, outcome, job, attempt, now)
    if not job.is_ended:
        done += _apply_outcome(state, job, event, outcome, now)
    elif not job.running:
        ending.forget_if_due(state, job, now)
    backend = state.registry.get(event.backend_id)
    return done + dispatch.dispatch(state, spec.service, now, backend)


def handle_status(
    state: core_state.State,
    event: events.TaskStatusRead,
    now: datetime.datetime,
) -> Effects:
    """Record a task's status; end its job at once if the task is lost."""
    done, is_lost = overdue.record_status(state, event, now)
    job = state.jobs.get(event.job_id)
    if is_lost and job is not None and not job.is_ended:
        state.counters.tasks_lost += 1
        detail = f"task {event.index}: no longer known where it was sent"
        code = results.ResultCode.TASK_LOST
        done += ending.end(state, job, code, detail, now)
    return done


def _is_foreign(state: core_state.State, event: events.TaskReplied) -> bool:
    if event.outcome in (
        model.TaskOutcome.LOST,
        model.TaskOutcome.NOT_SENT,
    ):
        return False
    expected = identity.task_name(event.job_id, event.index)
    return (
        event.reply_task != expected
        or event.reply_incarnation != state.process.incarnation
    )


def _release_slot(
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
        queue.unblock_team(team)
    if event.running is not None:
        state.sharing.record_usage(event.backend_id, event.running, now)
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
            return ending.end(state, job, results.ResultCode.COMPLETE, "", now)
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
            if outcome is model.TaskOutcome.NOT_RUN:
                job.refused.add(event.index)
            state.queue(job.spec.service).requeue(job, event.index)
            return []
    detail = f"task {event.index}: {event.detail}"
    return ending.end(state, job, code, detail, now)


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
