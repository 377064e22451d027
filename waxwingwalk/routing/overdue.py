"""Overdue tasks: status queries, suspect servers and lease renewal."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs
from waxwingwalk.membership import broadcast
from waxwingwalk.routing import backends
from waxwingwalk.routing import health

Effects = list[effects.Effect]
# Tasks whose lease is to be renewed, by the id and address of their server.
Renewals = dict[tuple[str, str], list[tuple[str, int]]]
# The least time before a task is overdue, however short its estimate.
OVERDUE_MIN = datetime.timedelta(seconds=0.5)
# If a backend server answers other tasks, the status of an overdue task is
# queried after this many times the usual delay.
ANSWERING_DELAY_FACTOR = 4


def query_overdue_tasks(
    state: core_state.State, now: datetime.datetime
) -> Effects:
    """Query the status of overdue tasks; renew expiring task leases."""
    done: Effects = []
    renewals: Renewals = {}
    factor = state.settings.process().overdue_factor
    _clear_suspects(state, now)
    for (job_id, index), attempt in state.attempts.items():
        backend = state.registry.get(attempt.backend_id)
        if backend is None or state.jobs[job_id].is_ended:
            continue
        if _is_query_due(backend, attempt, factor, now):
            done += _mark_suspect(state, backend, attempt, now)
            done.append(
                effects.ReadTaskStatus(
                    job_id, index, attempt.number, attempt.address
                )
            )
        _collect_renewal(state, job_id, index, attempt, renewals, now)
    return done + _renewal_effects(state, renewals, now)


def _clear_suspects(state: core_state.State, now: datetime.datetime) -> None:
    for backend in state.registry.all():
        if backend.suspect_until is not None and now > backend.suspect_until:
            backend.suspect_until = None


def _mark_suspect(
    state: core_state.State,
    backend: backends.Backend,
    attempt: jobs.Attempt,
    now: datetime.datetime,
) -> Effects:
    """Mark a server as suspect if it has not answered since a task was sent.

    A single long task is no reason if other tasks complete meanwhile, nor is
    a task that was sent before the server restarted.
    """
    if not attempt.is_at(backend.spec) or _answered_since(backend, attempt):
        return []
    is_new_suspect = backend.suspect_until is None
    backend.suspect_until = now + health.SUSPECT_TIME
    if not is_new_suspect:
        return []
    notice = messages.BackendNotice(
        backend.backend_id,
        backend.spec.incarnation,
        health.SUSPECT_STATE,
        health.SUSPECT_TIME.total_seconds(),
    )
    return broadcast.broadcast_to_peers(state, notice)


def _is_query_due(
    backend: backends.Backend,
    attempt: jobs.Attempt,
    factor: float,
    now: datetime.datetime,
) -> bool:
    """Return whether to query the status of a task now.

    If so, the time of the query is recorded.

    While a backend server answers other tasks, an overdue task most likely
    just runs long, so that its status is queried later.
    """
    estimate = datetime.timedelta(seconds=attempt.estimate)
    delay = max(OVERDUE_MIN, factor * estimate)
    if _answered_since(backend, attempt):
        delay *= ANSWERING_DELAY_FACTOR
    if now < (attempt.status_queried_at or attempt.sent_at) + delay:
        return False
    attempt.status_queried_at = now
    return True


def _answered_since(backend: backends.Backend, attempt: jobs.Attempt) -> bool:
    if not attempt.is_at(backend.spec):
        return False
    last = backend.last_reply_at
    return last is not None and last > attempt.sent_at


def _collect_renewal(
    state: core_state.State,
    job_id: str,
    index: int,
    attempt: jobs.Attempt,
    renewals: Renewals,
    now: datetime.datetime,
) -> None:
    service = state.jobs[job_id].spec.service
    lease = state.settings.service(service).task_lease
    if attempt.lease_until - now < lease / 2:
        attempt.lease_until = now + lease
        server = (attempt.backend_id, attempt.address)
        renewals.setdefault(server, []).append((job_id, index))


def _renewal_effects(
    state: core_state.State,
    renewals: Renewals,
    now: datetime.datetime,
) -> Effects:
    done: Effects = []
    for (backend_id, address), tasks in renewals.items():
        service = state.jobs[tasks[0][0]].spec.service
        lease = state.settings.service(service).task_lease
        done.append(effects.RenewLeases(backend_id, address, tasks, lease))
    return done


def restart_silence(state: core_state.State) -> None:
    """Count the silence of backend servers from their next missing reply."""
    for attempt in state.attempts.values():
        attempt.silent_since = None


def record_status(
    state: core_state.State,
    event: events.TaskStatusRead,
    now: datetime.datetime,
) -> tuple[Effects, bool]:
    """Process the status of an overdue task.

    Returns the effects and whether the task must be considered lost: the
    backend server does not know it, or has answered no query for the duration
    of the task's lease, which could not be renewed meanwhile. The attempt
    itself stays open until its own reply or timeout.

    A backend server that does not know the task or does not answer is ejected,
    unless it has recently completed or rejected another task, accepts no task
    at present, or has restarted since the task was sent.
    """
    attempt = state.attempts.get((event.job_id, event.index))
    if attempt is None or attempt.number != event.attempt:
        return [], False
    backend = state.registry.get(attempt.backend_id)
    if event.is_known or backend is None:
        attempt.silent_since = None
        return [], False
    done: Effects = []
    if (
        attempt.is_at(backend.spec)
        and backend.accepts_work(now)
        and not health.answered_recently(backend, now)
    ):
        done = health.eject(state, backend, now)
    if event.is_known is False:
        return done, True
    if attempt.silent_since is None:
        attempt.silent_since = now
    service = state.jobs[event.job_id].spec.service
    lease = state.settings.service(service).task_lease
    return done, now - attempt.silent_since >= lease
