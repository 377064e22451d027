"""Factories of model objects for the tests of dispatch."""

import datetime

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
SERVICE = "refunds"


def milliseconds(count):
    """Return a duration of ``count`` milliseconds."""
    return datetime.timedelta(milliseconds=count)


def at(count):
    """Return the time ``count`` milliseconds after START."""
    return START + milliseconds(count)


def report(backend_id="server-1", *, started_ms=1, zone="north", **fields):
    """Return the report of a backend server."""
    values = {
        "service": SERVICE,
        "address": f"{backend_id}:80",
        "advertised_state": model.AdvertisedState.READY,
        "capacity": CAPACITY,
        "labels": frozenset(),
    }
    incarnation = model.BackendIncarnation(backend_id, started_ms)
    return model.BackendReport(
        incarnation=incarnation, zone=zone, **(values | fields)
    )


def order(job_id="j", index=0, run=1, **fields):
    """Return the order for a run of a task."""
    values = {
        "queue": "q",
        "service": SERVICE,
        "spec": "spec",
        "resources": TASK_RESOURCES,
        "estimate": milliseconds(100),
        "label": None,
        "max_per_backend": None,
        "requester_link": None,
    }
    ref = model.TaskRef(job_id, 0, index)
    return backends.TaskOrder(ref=ref, run=run, **(values | fields))


def job(job_id="j", *, tasks=1, estimate=100, now=START, **fields):
    """Return a job of one step."""
    step = model.Step(tasks, TASK_RESOURCES, milliseconds(estimate))
    values = {
        "queue": "q",
        "service": SERVICE,
        "priority": 0,
        "attempts": 3,
        "spec": "spec",
        "stretch": 1.6,
        "steps": (step,),
        "due": now + milliseconds(1.6 * estimate + 60),
        "expires": now + milliseconds(3000),
    }
    return model.Job(job_id=job_id, **(values | fields))


def polled(reported, server_clock_ms=1000, *, running=(), ended=()):
    """Return a successful poll of a backend server."""
    return events.BackendPolled(
        reported.incarnation,
        model.CallOutcome.ACCEPTED,
        server_clock_ms,
        tuple(running),
        tuple(ended),
    )


def of_type(effects, kind):
    """Return the effects of a type."""
    return [each for each in effects if isinstance(each, kind)]
