"""Health of backend servers, judged from the replies to tasks."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs
from waxwingwalk.membership import broadcast
from waxwingwalk.routing import backends

Effects = list[effects.Effect]
# The pause after a refused connection; it doubles up to the longest pause.
CONNECT_PAUSE = datetime.timedelta(seconds=0.5)
CONNECT_PAUSE_MAX = datetime.timedelta(seconds=30)
SET_ASIDE_MAX = datetime.timedelta(minutes=10)
# How long a backend server stays suspect after a task was found overdue.
SUSPECT_TIME = datetime.timedelta(seconds=3)
SUSPECT_STATE = "suspect"
SET_ASIDE_STATE = "set_aside"


def note_reply(
    state: core_state.State,
    event: events.TaskReplied,
    outcome: model.TaskOutcome,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now: datetime.datetime,
) -> Effects:
    """Learn from the end of an attempt how its backend server does."""
    backend = state.registry.get(event.backend_id)
    if backend is None:
        return []
    backend.running -= 1
    done: Effects = []
    if event.leaving:
        done += note_leaving(state, backend, now)
    match outcome:
        case model.TaskOutcome.DONE:
            _note_done(state, backend, event, job, attempt, now)
        case model.TaskOutcome.FAILED:
            if not job.is_ended:
                done += _note_failed(state, backend, job, now)
        case model.TaskOutcome.LOST:
            # At its deadline a task is given up, whatever its server does.
            if now < job.spec.deadline and not job.is_ended:
                done += _note_failed(state, backend, job, now)
        case model.TaskOutcome.NOT_SENT:
            _note_unreachable(backend, now)
            done += _suspect_rack(state, backend, now)
        case model.TaskOutcome.NOT_RUN:
            backend.last_reply_at = now
            backend.set_aside(now, CONNECT_PAUSE)
    return done


def _task_class(job: jobs.Job) -> str:
    return f"{job.spec.service}/{job.spec.team}"


def _note_done(
    state: core_state.State,
    backend: backends.Backend,
    event: events.TaskReplied,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now: datetime.datetime,
) -> None:
    backend.last_reply_at = now
    backend.suspect_until = None
    if backend.is_on_probation or backend.connect_failures:
        backend.readmit()
    state.detector.task_done(backend.backend_id, _task_class(job))
    if job.is_ended:
        return
    declared = job.spec.tasks[event.index].declared_run_time
    state.estimator.observe(
        job.spec.service,
        job.spec.team,
        backend.backend_id,
        declared=declared.total_seconds(),
        seen=(now - attempt.sent_at).total_seconds(),
    )


def _note_failed(
    state: core_state.State,
    backend: backends.Backend,
    job: jobs.Job,
    now: datetime.datetime,
) -> Effects:
    is_bad = state.detector.task_failed(backend.backend_id, _task_class(job))
    if not is_bad and not backend.is_on_probation:
        return []
    return set_aside(state, backend, now)


def set_aside(
    state: core_state.State,
    backend: backends.Backend,
    now: datetime.datetime,
) -> Effects:
    """Hold work back from a bad backend server, and tell the peers."""
    first_pause = state.settings.process().set_aside_pause
    pause = first_pause
    if backend.set_aside_pause is not None:
        pause = min(backend.set_aside_pause * 2, SET_ASIDE_MAX)
        pause = max(pause, first_pause)
    backend.set_aside(now, pause)
    state.detector.forget(backend.backend_id)
    state.counters.backends_set_aside += 1
    notice = messages.BackendNotice(
        backend.backend_id,
        backend.spec.incarnation,
        SET_ASIDE_STATE,
        pause.total_seconds(),
    )
    log = effects.Log(
        "backend_server.set_aside",
        {
            "backend_server": backend.backend_id,
            "seconds": pause.total_seconds(),
        },
    )
    return [log, *broadcast.broadcast_to_peers(state, notice)]


def _note_unreachable(
    backend: backends.Backend, now: datetime.datetime
) -> None:
    doubled = CONNECT_PAUSE * 2 ** min(backend.connect_failures, 10)
    backend.connect_failures += 1
    backend.set_aside(now, min(doubled, CONNECT_PAUSE_MAX))


def _suspect_rack(
    state: core_state.State,
    failed: backends.Backend,
    now: datetime.datetime,
) -> Effects:
    """Avoid a whole rack once several of its servers are unreachable.

    Racks fail as one: the servers that have not been tried yet are probably
    gone too, and a task sent to one that dies meanwhile is lost.
    """
    rack = failed.spec.rack
    if not rack:
        return []
    others = [
        backend
        for backend in state.registry.all()
        if backend.spec.rack == rack and backend is not failed
    ]
    if not any(backend.connect_failures for backend in others):
        return []
    suspects = [
        backend
        for backend in others
        if not backend.connect_failures and backend.suspect_until is None
    ]
    for backend in suspects:
        backend.suspect_until = now + SUSPECT_TIME
    if not suspects:
        return []
    return [effects.Log("rack.suspect", {"rack": rack})]


def note_leaving(
    state: core_state.State,
    backend: backends.Backend,
    now: datetime.datetime,
) -> Effects:
    """Send no more work to a backend server that says that it leaves."""
    incarnation = backend.spec.incarnation
    if not state.registry.mark_leaving(backend.backend_id, incarnation):
        return []
    notice = messages.BackendNotice(
        backend.backend_id, incarnation, model.BackendState.LEAVING.value
    )
    return broadcast.broadcast_to_peers(state, notice)


def receive_notice(
    state: core_state.State,
    notice: messages.BackendNotice,
    now: datetime.datetime,
) -> Effects:
    """Take a peer's word about a backend server."""
    backend = state.registry.get(notice.backend_id)
    if backend is None:
        return []
    if notice.state == model.BackendState.LEAVING.value:
        state.registry.mark_leaving(notice.backend_id, notice.incarnation)
    elif notice.incarnation == backend.spec.incarnation:
        pause = datetime.timedelta(seconds=notice.seconds)
        if did_well(backend, now) or not backend.accepts_work(now):
            return []
        if notice.state == SUSPECT_STATE:
            backend.suspect_until = now + pause
        else:
            backend.set_aside(now, pause)
    return []


def did_well(backend: backends.Backend, now: datetime.datetime) -> bool:
    """Whether the backend server ran a task well only just now."""
    if backend.last_reply_at is None:
        return False
    return now - backend.last_reply_at < datetime.timedelta(seconds=0.2)
