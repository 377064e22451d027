"""JSON representations of the state for the HTTP APIs."""

import datetime
from typing import Any

from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs
from waxwingwalk.settings import tree as settings_tree


def effective_value(value: settings_tree.EffectiveValue) -> dict[str, Any]:
    """Return the name, value and origin of a setting.

    Durations are formatted as text.
    """
    display_value = value.value
    if isinstance(display_value, datetime.timedelta):
        display_value = f"{display_value.total_seconds():g} s"
    return {"name": value.name, "value": display_value, "origin": value.origin}


def hosts(state: core_state.State) -> list[dict[str, Any]]:
    """Return the entry processes that this process knows."""
    return [
        {
            "address": member.record.address,
            "incarnation": member.record.incarnation,
            "zone": member.record.zone,
            "region": member.record.region,
            "state": member.record.state,
            "is_self": member.record.address == state.process.address,
        }
        for member in state.membership.all()
    ]


def backends(
    state: core_state.State, now: datetime.datetime
) -> list[dict[str, Any]]:
    """Return this process's view of the backend servers."""
    rendered = []
    for backend in state.registry.all():
        spec = backend.spec
        slowness = {
            service: round(
                state.estimator.slowness(service, spec.backend_id), 3
            )
            for service in sorted(spec.services)
        }
        rendered.append(
            {
                "id": spec.backend_id,
                "address": spec.address,
                "zone": spec.zone,
                "rack": spec.rack,
                "state": spec.state.value,
                "slots": spec.slots,
                "running": backend.running,
                "accepts_work": backend.accepts_work(now),
                "slowness": slowness,
            }
        )
    return rendered


def timeline(job: jobs.Job) -> list[str]:
    """Return the history of a job, one line per step."""
    submitted_at = job.spec.submitted_at

    def offset(at: datetime.datetime) -> str:
        return f"+{(at - submitted_at).total_seconds():.3f} s"

    lines = [
        f"{submitted_at.isoformat()} submitted by {job.spec.team} for "
        f"{job.spec.service}, {len(job.spec.tasks)} tasks"
    ]
    for placement in job.placements:
        lines.append(
            f"{offset(placement.sent_at)} task {placement.index} "
            f"to {placement.backend_id}: {placement.reason}, "
            f"estimate {placement.estimate:.3f} s, "
            f"runner-up {placement.runner_up or 'none'}"
        )
    if job.answer is not None and job.ended_at is not None:
        code = job.answer.code
        lines.append(f"{offset(job.ended_at)} {int(code)} {code.name}")
    return lines
