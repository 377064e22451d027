"""Handlers of time and of the process's own end."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.jobs import ending
from waxwingwalk.jobs import keys
from waxwingwalk.membership import handlers as membership_handlers
from waxwingwalk.routing import overdue

Effects = list[effects.Effect]
# How often slow checks run: overdue tasks and leases.
CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
KEY_SWEEP_INTERVAL = datetime.timedelta(seconds=10)


def tick(
    state: core_state.State,
    event: events.Ticked,
    now: datetime.datetime,
) -> Effects:
    """Do what time has made due."""
    done: Effects = []
    pause = now - state.last_tick
    state.last_tick = now
    if pause > state.settings.process().peer_timeout:
        done += _wake(state, now)
    done += ending.expire(state, now)
    done += membership_handlers.tick(state, now)
    done += state.sharing.tick(now)
    done += dispatch.dispatch_changed(state, now)
    if now - state.checked_at >= CHECK_INTERVAL:
        state.checked_at = now
        for service in state.queues:
            state.placement(service).refresh(service)
        done += overdue.query_overdue_tasks(state, now)
    if now - state.keys_swept_at >= KEY_SWEEP_INTERVAL:
        state.keys_swept_at = now
        keys.forget_expired(state, now)
    return done + _drain_step(state, now)


def _wake(state: core_state.State, now: datetime.datetime) -> Effects:
    """Start afresh after a pause in which peers counted this process out.

    Slots that were held have been given to others meanwhile: all are dropped
    but those in use, and the owners are told.
    """
    state.counters.wakes_after_pause += 1
    return [effects.Log("process.woke", {}), *state.renew_sharing(now)]


def drain(
    state: core_state.State,
    event: events.DrainRequested,
    now: datetime.datetime,
) -> Effects:
    """Accept nothing more; finish what is in progress, then exit."""
    if state.drain is not None:
        return force(state, events.DrainForced(), now)
    state.drain = core_state.Drain(now + event.deadline)
    log = effects.Log("drain.started", {"jobs": state.active_jobs})
    done = membership_handlers.leave(state, now)
    return [log, *done, *_drain_step(state, now)]


def force(
    state: core_state.State,
    event: events.DrainForced,
    now: datetime.datetime,
) -> Effects:
    """End every job now, each with an answer that says so."""
    if state.drain is None:
        state.drain = core_state.Drain(now)
    state.drain.deadline = now
    return _drain_step(state, now)


def _drain_step(state: core_state.State, now: datetime.datetime) -> Effects:
    drain_state = state.drain
    if drain_state is None or drain_state.is_over:
        return []
    done: Effects = []
    if now >= drain_state.deadline:
        done += _end_all(state, now)
    if state.active_jobs == 0:
        drain_state.is_over = True
        done += [effects.Log("drain.ended", {}), effects.Exit()]
    return done


def _end_all(state: core_state.State, now: datetime.datetime) -> Effects:
    done: Effects = []
    for job in list(state.jobs.values()):
        if job.is_ended:
            continue
        code = results.code_for_ending(
            job.started,
            unstarted=results.ResultCode.DRAIN_UNSTARTED,
            otherwise=results.ResultCode.DRAIN_ENDED,
        )
        done += ending.end(state, job, code, "", now)
    return done
