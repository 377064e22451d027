"""What operators are shown of the state, as JSON members."""

import datetime
from typing import Any

from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import job as jobs
from waxwingwalk.settings import tree as settings_tree


def effective_value(value: settings_tree.EffectiveValue) -> dict[str, Any]:
    """Return a setting with its value as text, and where it is from."""
    shown = value.value
    if isinstance(shown, datetime.timedelta):
        shown = f"{shown.total_seconds():g} s"
    return {"name": value.name, "value": shown, "origin": value.origin}


def hosts(state: core_state.State) -> list[dict[str, Any]]:
    """Return the entry processes that this one knows."""
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
    """Return the backend servers as this process sees them."""
    shown = []
    for backend in state.registry.all():
        spec = backend.spec
        slowness = {
            service: round(
                state.estimator.slowness(service, spec.backend_id), 3
            )
            for service in sorted(spec.services)
        }
        shown.append(
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
    return shown


def story(job: jobs.Job) -> list[str]:
    """Return what became of a job, a line for each step."""
    begun = job.spec.submitted_at

    def after(at: datetime.datetime) -> str:
        return f"+{(at - begun).total_seconds():.3f} s"

    lines = [
        f"{begun.isoformat()} submitted by {job.spec.team} for "
        f"{job.spec.service}, {len(job.spec.tasks)} tasks"
    ]
    for placed in job.placements:
        lines.append(
            f"{after(placed.sent_at)} task {placed.index} "
            f"to {placed.backend_id}: {placed.reason}, "
            f"estimate {placed.estimate:.3f} s, "
            f"runner-up {placed.runner_up or 'none'}"
        )
    if job.answer is not None and job.ended_at is not None:
        code = job.answer.code
        lines.append(f"{after(job.ended_at)} {int(code)} {code.name}")
    return lines
