"""Health of backend servers, judged from the replies to tasks."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs
from waxwingwalk.membership import members
from waxwingwalk.routing import backends

Effects = list[effects.Effect]
# The pause after a refused connection; it doubles up to the longest pause.
CONNECT_PAUSE = datetime.timedelta(seconds=0.5)
CONNECT_PAUSE_MAX = datetime.timedelta(seconds=30)
SET_ASIDE_MAX = datetime.timedelta(minutes=10)
# A task is not overdue before this, however short its estimate.
OVERDUE_MIN = datetime.timedelta(seconds=0.5)
# A task is given up after this many look-ups in a row without a reply.
SILENT_LOOK_UPS_MAX = 2
# Overdue tasks of a backend server that answers are asked about this much
# later.
ANSWERING_PATIENCE = 4
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
    return [log, *tell_peers(state, notice)]


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
    return tell_peers(state, notice)


def tell_peers(state: core_state.State, message: messages.Message) -> Effects:
    """Send a message to every member that is present."""
    return [
        effects.SendToPeer(member.record.address, message)
        for member in state.membership.peers()
        if member.record.state != members.GONE
    ]


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
        if _did_well(backend, now) or not backend.accepts_work(now):
            return []
        if notice.state == SUSPECT_STATE:
            backend.suspect_until = now + pause
        else:
            backend.set_aside(now, pause)
    return []


def _did_well(backend: backends.Backend, now: datetime.datetime) -> bool:
    """Whether the backend server ran a task well only just now."""
    if backend.last_reply_at is None:
        return False
    return now - backend.last_reply_at < datetime.timedelta(seconds=0.2)


def look_up_overdue(
    state: core_state.State, now: datetime.datetime
) -> Effects:
    """Ask about tasks that should have ended; renew leases of the rest."""
    done: Effects = []
    renewals: dict[str, list[tuple[str, int]]] = {}
    factor = state.settings.process().overdue_factor
    _clear_suspects(state, now)
    for (job_id, index), attempt in state.attempts.items():
        backend = state.registry.get(attempt.backend_id)
        if backend is None or state.jobs[job_id].is_ended:
            continue
        if _is_look_up_due(backend, attempt, factor, now):
            done += _suspect(state, backend, attempt, now)
            done.append(
                effects.ReadTaskStatus(
                    job_id, index, attempt.number, backend.spec.address
                )
            )
        _collect_renewal(state, job_id, index, attempt, renewals, now)
    return done + _renewal_effects(state, renewals, now)


def _clear_suspects(state: core_state.State, now: datetime.datetime) -> None:
    for backend in state.registry.all():
        if backend.suspect_until is not None and now > backend.suspect_until:
            backend.suspect_until = None


def _suspect(
    state: core_state.State,
    backend: backends.Backend,
    attempt: jobs.Attempt,
    now: datetime.datetime,
) -> Effects:
    """Avoid a backend server that ran nothing well since a task was sent.

    One long task among others that end well is no reason.
    """
    if _answered_since(backend, attempt):
        return []
    is_news = backend.suspect_until is None
    backend.suspect_until = now + SUSPECT_TIME
    if not is_news:
        return []
    notice = messages.BackendNotice(
        backend.backend_id,
        backend.spec.incarnation,
        SUSPECT_STATE,
        SUSPECT_TIME.total_seconds(),
    )
    return tell_peers(state, notice)


def _is_look_up_due(
    backend: backends.Backend,
    attempt: jobs.Attempt,
    factor: float,
    now: datetime.datetime,
) -> bool:
    """Whether to ask about a task now.

    While a backend server answers other tasks, a late one is most likely just
    long, and is asked about later.
    """
    estimate = datetime.timedelta(seconds=attempt.estimate)
    patience = max(OVERDUE_MIN, factor * estimate)
    if _answered_since(backend, attempt):
        patience *= ANSWERING_PATIENCE
    if now < (attempt.look_up_at or attempt.sent_at) + patience:
        return False
    attempt.look_up_at = now
    return True


def _answered_since(backend: backends.Backend, attempt: jobs.Attempt) -> bool:
    last = backend.last_reply_at
    return last is not None and last > attempt.sent_at


def _collect_renewal(
    state: core_state.State,
    job_id: str,
    index: int,
    attempt: jobs.Attempt,
    renewals: dict[str, list[tuple[str, int]]],
    now: datetime.datetime,
) -> None:
    service = state.jobs[job_id].spec.service
    lease = state.settings.service(service).task_lease
    if attempt.lease_until - now < lease / 2:
        attempt.lease_until = now + lease
        renewals.setdefault(attempt.backend_id, []).append((job_id, index))


def _renewal_effects(
    state: core_state.State,
    renewals: dict[str, list[tuple[str, int]]],
    now: datetime.datetime,
) -> Effects:
    done: Effects = []
    for backend_id, tasks in renewals.items():
        backend = state.registry.get(backend_id)
        assert backend is not None
        service = state.jobs[tasks[0][0]].spec.service
        lease = state.settings.service(service).task_lease
        done.append(
            effects.RenewLeases(backend_id, backend.spec.address, tasks, lease)
        )
    return done


def note_status(
    state: core_state.State,
    event: events.TaskStatusRead,
    now: datetime.datetime,
) -> tuple[Effects, bool]:
    """Judge a backend server by what it says of an overdue task.

    Returns the effects and whether the task must be given up as lost: the
    backend server does not know it, or was silent too often. The attempt
    itself stays open until its own reply or timeout.
    """
    attempt = state.attempts.get((event.job_id, event.index))
    if attempt is None or attempt.number != event.attempt:
        return [], False
    backend = state.registry.get(attempt.backend_id)
    if event.is_known or backend is None:
        attempt.silent_look_ups = 0
        return [], False
    done: Effects = []
    if backend.accepts_work(now) and not _did_well(backend, now):
        done = set_aside(state, backend, now)
    if event.is_known is False:
        return done, True
    attempt.silent_look_ups += 1
    return done, attempt.silent_look_ups >= SILENT_LOOK_UPS_MAX
