"""Mechanisms broken on purpose, each to be caught by the judge."""

from unittest import mock

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ownership
from waxwingwalk.dispatch import run_tracker


def room_freed_at_the_stop():
    """Free a run's room when its stop is answered."""
    original = run_tracker.RunTracker.stopped

    def stopped(self, incarnation, key, outcome, now):
        backend = self.get(incarnation)
        run = backend.runs.get(key) if backend else None
        if run is not None and outcome is model.CallOutcome.ACCEPTED:
            self._end_run(backend, run, run_tracker.TaskEnd.GONE, now)
        return original(self, incarnation, key, outcome, now)

    return mock.patch.object(run_tracker.RunTracker, "stopped", stopped)


def foreign_runs_ignored():
    """Use a server at once, whatever a former scheduler left there."""
    original = run_tracker.RunTracker._verify

    def verify(self, backend, running, now):
        return original(self, backend, (), now)

    return mock.patch.object(run_tracker.RunTracker, "_verify", verify)


def lapse_not_awaited():
    """Start tasks elsewhere as soon as a server is silent."""

    def latest_lapse_time(self, now):
        return now

    return mock.patch.object(
        backends.Backend, "latest_lapse_time", latest_lapse_time
    )


def started_forgotten():
    """Refuse jobs as not run although tasks of them were started."""
    original = job_record.JobRecord.__setattr__

    def setattr_(self, name, value):
        original(self, name, False if name == "has_started" else value)

    return mock.patch.object(job_record.JobRecord, "__setattr__", setattr_)


def draining_ignored():
    """Start tasks on servers that are leaving."""
    original = backends.Backend.is_usable

    def is_usable(self, now):
        report = self.report
        self.report = report.__class__(
            incarnation=report.incarnation,
            service=report.service,
            address=report.address,
            zone=report.zone,
            advertised_state=model.AdvertisedState.READY,
            capacity=report.capacity,
            labels=report.labels,
        )
        try:
            return original(self, now)
        finally:
            self.report = report

    return mock.patch.object(backends.Backend, "is_usable", is_usable)


def room_not_counted():
    """Start tasks whether or not they fit."""

    def free(self):
        return self.report.capacity

    return mock.patch.object(backends.Backend, "free", property(free))


def done_too_early():
    """Answer a job as done when one of its tasks is."""

    def is_done(self):
        return True

    return mock.patch.object(
        job_record.JobRecord, "is_done", property(is_done)
    )


def fence_not_raised():
    """Order each new life and each new claim with the same fence."""

    def next_order_fence(self, backend_id):
        return 1

    return mock.patch.object(
        ownership.Claim, "next_order_fence", next_order_fence
    )


ALL = (
    room_freed_at_the_stop,
    foreign_runs_ignored,
    lapse_not_awaited,
    started_forgotten,
    draining_ignored,
    room_not_counted,
    done_too_early,
    fence_not_raised,
)
