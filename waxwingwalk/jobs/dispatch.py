"""Dispatch: assigns waiting tasks to idle slots."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import ending
from waxwingwalk.jobs import job as jobs
from waxwingwalk.jobs import queue as job_queue
from waxwingwalk.routing import backends
from waxwingwalk.routing import base

# Positions in a job's list of unsent tasks.
LONGEST = -1
SHORTEST = 0


def dispatch(
    state: core_state.State,
    service: str,
    now: datetime.datetime,
    only: backends.Backend | None = None,
) -> list[effects.Effect]:
    """Send tasks of a service while there are idle slots.

    ``only`` restricts dispatch to the one backend server whose load has
    changed; the others are considered at the next full dispatch.

    The backend server of a task is chosen late, when it has an idle slot. The
    tasks that remain in the queue are reported to the slot sharing as demand.

    Jobs past their deadline are ended first: in a process that was paused,
    other events may come before the tick that would end them.
    """
    queue = state.queues.get(service)
    if queue is None:
        return []
    done = ending.expire(state, now)
    while sends := _place_round(state, queue, service, now, only):
        done += sends
        if only is not None:
            break
    waiting = 0 if queue.is_blocked else queue.task_count
    done += state.sharing.demand(service, waiting, queue.waiting_teams, now)
    return done


def _place_round(
    state: core_state.State,
    queue: job_queue.ServiceQueue,
    service: str,
    now: datetime.datetime,
    only: backends.Backend | None,
) -> list[effects.Effect]:
    """Send tasks until no idle slot is left.

    The round also ends when the placement policy lets the next job wait.
    """
    job = queue.first()
    if job is None:
        return []
    idle = [
        backend
        for backend in state.sharing.idle(service, only)
        if backend.accepts_work(now)
    ]
    placement_round = state.placement(service).round(service, idle)
    done: list[effects.Effect] = []
    while job is not None:
        chosen = _place(placement_round, queue, job)
        if chosen is None:
            break
        position, choice = chosen
        done.append(_send(state, queue, job, position, choice, now))
        backend = choice.backend
        is_idle = state.sharing.acquire(backend) and backend.accepts_work(now)
        placement_round.record_placement(backend, is_idle=is_idle)
        job = queue.first()
    return done


def _place(
    placement_round: base.PlacementRound,
    queue: job_queue.ServiceQueue,
    job: jobs.Job,
) -> tuple[int, base.Choice] | None:
    """Choose a task of the job, by position, and a backend server for it.

    The longest task is tried first. If the placement policy lets it wait for
    a faster backend server, the shortest task may still end earlier by
    starting now.
    """
    for position in (LONGEST, SHORTEST):
        index = job.pending[position]
        request = base.PlacementRequest(
            job.spec.tasks[index],
            job.spec.service,
            job.estimates[index],
            queue.task_count,
        )
        choice = placement_round.choose(request)
        if choice is not None:
            return position, choice
        if len(job.pending) == 1:
            break
    return None


def dispatch_changed(
    state: core_state.State, now: datetime.datetime
) -> list[effects.Effect]:
    """Dispatch the tasks of services whose idle slots have changed."""
    done: list[effects.Effect] = []
    for service in sorted(state.sharing.pop_changed_services()):
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
    now: datetime.datetime,
) -> effects.Effect:
    index = queue.pop_task(job, position)
    spec = job.spec
    backend = choice.backend
    options = state.settings.service(spec.service)
    backend.running += 1
    team = spec.team
    state.team_running[team] = state.team_running.get(team, 0) + 1
    job.attempts += 1
    job.started += 1
    job.running.add(index)
    runner_up = choice.runner_up.backend_id if choice.runner_up else None
    attempt = jobs.Attempt(
        number=job.attempts,
        index=index,
        backend_id=backend.backend_id,
        incarnation=backend.spec.incarnation,
        address=backend.spec.address,
        sent_at=now,
        estimate=choice.estimate,
        reason=choice.reason,
        runner_up=runner_up,
        lease_until=now + options.task_lease,
    )
    state.attempts[spec.job_id, index] = attempt
    job.placements.append(attempt)
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
        timeout=min(options.task_timeout, spec.deadline - now),
        reason=choice.reason,
        runner_up=runner_up,
        occupancy=backend.occupancy,
        estimate=choice.estimate,
        use_new_connection=index in job.refused,
    )
