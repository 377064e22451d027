"""Health of backend servers, derived from the replies to tasks."""

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
# Ejection time after a rejected task or a failed connection; each further
# failed connection doubles it, up to the maximum.
CONNECT_EJECTION_TIME = datetime.timedelta(seconds=0.5)
CONNECT_EJECTION_TIME_MAX = datetime.timedelta(seconds=30)
# Upper bound when the ejection time of a faulty backend server is doubled.
EJECTION_TIME_MAX = datetime.timedelta(minutes=10)
# How long a backend server stays suspect after an overdue task was found
# or its rack became suspect.
SUSPECT_TIME = datetime.timedelta(seconds=3)
SUSPECT_STATE = "suspect"
EJECTED_STATE = "set_aside"


def record_reply(
    state: core_state.State,
    event: events.TaskReplied,
    outcome: model.TaskOutcome,
    job: jobs.Job,
    attempt: jobs.Attempt,
    now: datetime.datetime,
) -> Effects:
    """Update the health of a backend server from an attempt's outcome.

    If the server has restarted since, the outcome tells nothing of its health.
    """
    backend = state.registry.get(event.backend_id)
    if backend is None:
        return []
    backend.running -= 1
    done: Effects = []
    if event.leaving:
        done += _record_leaving(state, attempt)
    if not attempt.is_at(backend.spec):
        return done
    match outcome:
        case model.TaskOutcome.DONE:
            _record_completed(state, backend, event, job, attempt, now)
        case model.TaskOutcome.FAILED:
            if not job.is_ended:
                done += _record_failed(state, backend, job, now)
        case model.TaskOutcome.LOST:
            # A task is abandoned at its deadline whatever its server does, so
            # that only an earlier loss counts against the server.
            if now < job.spec.deadline and not job.is_ended:
                done += _record_failed(state, backend, job, now)
        case model.TaskOutcome.NOT_SENT:
            _record_unreachable(backend, now)
            done += _mark_rack_suspect(state, backend, now)
        case model.TaskOutcome.NOT_RUN:
            backend.last_reply_at = now
            backend.eject(now, CONNECT_EJECTION_TIME)
    return done


def _task_class(job: jobs.Job) -> str:
    return f"{job.spec.service}/{job.spec.team}"


def _record_completed(
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
        observed=(now - attempt.sent_at).total_seconds(),
    )


def _record_failed(
    state: core_state.State,
    backend: backends.Backend,
    job: jobs.Job,
    now: datetime.datetime,
) -> Effects:
    is_faulty = state.detector.task_failed(
        backend.backend_id, _task_class(job)
    )
    if not is_faulty and not backend.is_on_probation:
        return []
    return eject(state, backend, now)


def eject(
    state: core_state.State,
    backend: backends.Backend,
    now: datetime.datetime,
) -> Effects:
    """Eject a faulty backend server, and notify the peers."""
    base_ejection_time = state.settings.process().set_aside_pause
    ejection_time = base_ejection_time
    if backend.ejection_time is not None:
        ejection_time = min(backend.ejection_time * 2, EJECTION_TIME_MAX)
        ejection_time = max(ejection_time, base_ejection_time)
    backend.eject(now, ejection_time)
    state.detector.forget(backend.backend_id)
    state.counters.backends_set_aside += 1
    notice = messages.BackendNotice(
        backend.backend_id,
        backend.spec.incarnation,
        EJECTED_STATE,
        ejection_time.total_seconds(),
    )
    log = effects.Log(
        "backend_server.set_aside",
        {
            "backend_server": backend.backend_id,
            "seconds": ejection_time.total_seconds(),
        },
    )
    return [log, *broadcast.broadcast_to_peers(state, notice)]


def _record_unreachable(
    backend: backends.Backend, now: datetime.datetime
) -> None:
    doubled = CONNECT_EJECTION_TIME * 2 ** min(backend.connect_failures, 10)
    backend.connect_failures += 1
    backend.eject(now, min(doubled, CONNECT_EJECTION_TIME_MAX))


def _mark_rack_suspect(
    state: core_state.State,
    failed: backends.Backend,
    now: datetime.datetime,
) -> Effects:
    """Mark a rack as suspect once several of its servers are unreachable.

    A rack tends to fail as a unit: the servers that have not been tried yet
    are probably down too, and a task is lost if its server dies while it
    runs.
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


def _record_leaving(state: core_state.State, attempt: jobs.Attempt) -> Effects:
    """Mark a server that reports that it is leaving; notify the peers."""
    backend_id = attempt.backend_id
    if not state.registry.mark_leaving(backend_id, attempt.incarnation):
        return []
    notice = messages.BackendNotice(
        backend_id, attempt.incarnation, model.BackendState.LEAVING.value
    )
    return broadcast.broadcast_to_peers(state, notice)


def leaving_notices(state: core_state.State, address: str) -> Effects:
    """Return notices that tell a peer of every leaving backend server."""
    leaving = model.BackendState.LEAVING
    return [
        effects.SendToPeer(
            address,
            messages.BackendNotice(
                backend.backend_id, backend.spec.incarnation, leaving.value
            ),
        )
        for backend in state.registry.all()
        if backend.spec.state is leaving
    ]


def receive_notice(
    state: core_state.State,
    notice: messages.BackendNotice,
    now: datetime.datetime,
) -> Effects:
    """Apply a peer's notice about a backend server.

    A notice that the server is suspect or ejected is ignored if the server
    has answered this process recently, or gets no new tasks anyway.
    """
    if notice.state == model.BackendState.LEAVING.value:
        state.registry.mark_leaving(notice.backend_id, notice.incarnation)
        return []
    backend = state.registry.get(notice.backend_id)
    if backend is None:
        return []
    if notice.incarnation == backend.spec.incarnation:
        duration = datetime.timedelta(seconds=notice.seconds)
        if answered_recently(backend, now) or not backend.accepts_work(now):
            return []
        if notice.state == SUSPECT_STATE:
            backend.suspect_until = now + duration
        else:
            backend.eject(now, duration)
    return []


def answered_recently(
    backend: backends.Backend, now: datetime.datetime
) -> bool:
    """Return whether it completed or rejected a task in the last 0.2 s."""
    if backend.last_reply_at is None:
        return False
    return now - backend.last_reply_at < datetime.timedelta(seconds=0.2)
