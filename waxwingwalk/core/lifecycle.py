"""Handlers of ticks and of the process's shutdown."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.jobs import ending
from waxwingwalk.jobs import intake
from waxwingwalk.jobs import keys
from waxwingwalk.membership import handlers as membership_handlers
from waxwingwalk.routing import overdue

Effects = list[effects.Effect]
# Interval of the checks that need not run on every tick: placement refresh,
# overdue tasks and task leases.
CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
# Time without a tick after which this process counts as having been paused.
# Peers and backend servers may have answered meanwhile: that time does not
# count against them, and overdue tasks are looked for at the next check.
PAUSE_MIN = datetime.timedelta(seconds=1)
KEY_SWEEP_INTERVAL = datetime.timedelta(seconds=10)


def tick(
    state: core_state.State,
    event: events.Ticked,
    now: datetime.datetime,
) -> Effects:
    """Carry out everything that has become due."""
    done: Effects = []
    pause = now - state.last_tick
    state.last_tick = now
    if pause > PAUSE_MIN:
        state.membership.restart_probe_timeouts(now)
        overdue.restart_silence(state)
        state.checked_at = now
    if pause > state.settings.process().peer_timeout:
        done += _reset_after_pause(state, now)
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
    return done + _advance_drain(state, now)


def _reset_after_pause(
    state: core_state.State, now: datetime.datetime
) -> Effects:
    """Reset slot sharing after this process was paused.

    The pause was longer than the peer timeout, so peers may have declared
    this process gone and granted its slots to others. All slots are dropped
    except those in use, which are reported to the owners.
    """
    state.counters.wakes_after_pause += 1
    return [effects.Log("process.woke", {}), *state.reset_slot_sharing(now)]


def start_drain(
    state: core_state.State,
    event: events.DrainRequested,
    now: datetime.datetime,
) -> Effects:
    """Stop accepting jobs, finish the active ones, then exit."""
    if state.drain is not None:
        return force_drain(state, events.DrainForced(), now)
    state.drain = core_state.Drain(now + event.deadline)
    log = effects.Log("drain.started", {"jobs": state.active_jobs})
    done = membership_handlers.leave(state, now)
    return [log, *done, *_advance_drain(state, now)]


def force_drain(
    state: core_state.State,
    event: events.DrainForced,
    now: datetime.datetime,
) -> Effects:
    """End every job now, with an answer that names the shutdown."""
    if state.drain is None:
        state.drain = core_state.Drain(now)
    state.drain.deadline = now
    return _advance_drain(state, now)


def _advance_drain(state: core_state.State, now: datetime.datetime) -> Effects:
    drain_state = state.drain
    if drain_state is None or drain_state.is_finished:
        return []
    done: Effects = []
    if now >= drain_state.deadline:
        done += _end_all_jobs(state, now)
    if state.active_jobs == 0:
        drain_state.is_finished = True
        done += [effects.Log("drain.ended", {}), effects.Exit()]
    return done


def _end_all_jobs(state: core_state.State, now: datetime.datetime) -> Effects:
    done: Effects = []
    for job in list(state.jobs.values()):
        if job.is_ended:
            continue
        code = results.code_for_ending(
            job.started,
            unstarted=results.ResultCode.DRAIN_UNSTARTED,
            otherwise=results.ResultCode.DRAIN_ENDED,
        )
        retry_after = None
        if code is results.ResultCode.DRAIN_UNSTARTED:
            retry_after = intake.UNAVAILABLE_RETRY
        done += ending.end(state, job, code, "", now, retry_after)
    return done
