"""Dispatch: joins waiting tasks with idle slots."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs
from waxwingwalk.jobs import queue as job_queue
from waxwingwalk.routing import backends
from waxwingwalk.routing import base

# Positions in a job's list of unsent tasks.
LONGEST = -1
SHORTEST = 0


def dispatch(
    state: core_state.State, service: str, now: datetime.datetime
) -> list[effects.Effect]:
    """Send tasks of a service while there are idle slots.

    A backend server is chosen only now that it has a slot to give. What is
    left waiting is stated to the slot sharing as demand.
    """
    queue = state.queues.get(service)
    if queue is None:
        return []
    done: list[effects.Effect] = []
    placement = state.placement(service)
    while True:
        job = queue.first()
        if job is None:
            break
        idle = [
            backend
            for backend in state.sharing.idle(service)
            if backend.accepts_work(now)
        ]
        if not idle:
            break
        placed = _place(placement, queue, job, idle)
        if placed is None:
            break
        position, choice = placed
        done.append(_send(state, queue, job, position, choice, len(idle), now))
    waiting = 0 if queue.is_blocked else queue.task_count
    done += state.sharing.demand(service, waiting, queue.waiting_teams, now)
    return done


def _place(
    placement: base.Placement,
    queue: job_queue.ServiceQueue,
    job: jobs.Job,
    idle: list[backends.Backend],
) -> tuple[int, base.Choice] | None:
    """Choose a task of the job, by position, and a backend server for it.

    The longest task goes first. If it had better wait for a faster backend
    server, the shortest one may still gain by starting now.
    """
    for position in (LONGEST, SHORTEST):
        index = job.pending[position]
        request = base.PlacementRequest(
            job.spec.tasks[index],
            job.spec.service,
            job.estimates[index],
            queue.task_count,
        )
        choice = placement.choose(request, idle)
        if choice is not None:
            return position, choice
        if len(job.pending) == 1:
            break
    return None


def dispatch_changed(
    state: core_state.State, now: datetime.datetime
) -> list[effects.Effect]:
    """Dispatch the services whose idle slots have changed."""
    done: list[effects.Effect] = []
    for service in sorted(state.sharing.served_services()):
        queue = state.queues.get(service)
        if queue is not None and queue.task_count > 0:
            done += dispatch(state, service, now)
    return done


def _send(
    state: core_state.State,
    queue: job_queue.ServiceQueue,
    job: jobs.Job,
    position: int,
    choice: base.Choice,
    idle_count: int,
    now: datetime.datetime,
) -> effects.Effect:
    index = queue.take(job, position)
    spec = job.spec
    backend = choice.backend
    options = state.settings.service(spec.service)
    state.sharing.take(backend.backend_id)
    backend.running += 1
    team = spec.team
    state.team_running[team] = state.team_running.get(team, 0) + 1
    job.attempts += 1
    job.started += 1
    job.running.add(index)
    state.attempts[spec.job_id, index] = jobs.Attempt(
        number=job.attempts,
        backend_id=backend.backend_id,
        sent_at=now,
        estimate=choice.estimate,
        lease_until=now + options.task_lease,
    )
    state.counters.tasks_sent += 1
    return effects.SendTask(
        job_id=spec.job_id,
        index=index,
        attempt=job.attempts,
        backend_id=backend.backend_id,
        address=backend.spec.address,
        service=spec.service,
        payload=spec.tasks[index].payload,
        lease=options.task_lease,
        timeout=_timeout(options.task_timeout, backend, spec.deadline, now),
        reason=choice.reason,
        runner_up=(choice.runner_up.backend_id if choice.runner_up else None),
        idle_slots=idle_count,
        estimate=choice.estimate,
    )


def _timeout(
    task_timeout: datetime.timedelta,
    backend: backends.Backend,
    deadline: datetime.datetime,
    now: datetime.datetime,
) -> datetime.timedelta:
    return min(task_timeout, deadline - now)
