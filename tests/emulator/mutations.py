"""Deliberate faults in dispatch that the guarantee checker has to detect."""

from unittest import mock

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import front
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ownership
from waxwingwalk.dispatch import run_tracker


def resources_freed_on_stop():
    """Free the resources of a run when its stop is acknowledged."""
    original = run_tracker.RunTracker.stopped

    def stopped(self, incarnation, key, outcome, now):
        backend = self.get(incarnation)
        run = backend.runs.get(key) if backend else None
        if run is not None and outcome is model.CallOutcome.ACCEPTED:
            self._end_run(backend, run, model.TaskEnd.GONE, "stopped", now)
        return original(self, incarnation, key, outcome, now)

    return mock.patch.object(run_tracker.RunTracker, "stopped", stopped)


def foreign_runs_ignored():
    """Ignore the runs that a former scheduler left on a server."""
    original = run_tracker.RunTracker._verify

    def verify(self, backend, running, now):
        return original(self, backend, (), now)

    return mock.patch.object(run_tracker.RunTracker, "_verify", verify)


def lease_expiry_not_awaited():
    """Start tasks elsewhere without awaiting the end of the lease."""

    def latest_lapse_time(self, now):
        return now

    return mock.patch.object(
        backends.Backend, "latest_lapse_time", latest_lapse_time
    )


def start_not_recorded():
    """Refuse jobs as not run although some of their tasks started."""
    original = job_record.JobRecord.__setattr__

    def setattr_(self, name, value):
        original(self, name, False if name == "has_started" else value)

    return mock.patch.object(job_record.JobRecord, "__setattr__", setattr_)


def draining_ignored():
    """Start tasks on draining servers."""
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


def capacity_not_checked():
    """Start tasks without checking the capacity."""

    def free(self):
        return self.report.capacity

    return mock.patch.object(backends.Backend, "free", property(free))


def job_done_too_early():
    """Answer a job as done when any of its tasks is done."""

    def is_done(self):
        return True

    return mock.patch.object(
        job_record.JobRecord, "is_done", property(is_done)
    )


def fence_not_increased():
    """Use the same fence for all incarnations and claims."""

    def next_order_fence(self, backend_id):
        return 1

    return mock.patch.object(
        ownership.Claim, "next_order_fence", next_order_fence
    )


def callers_not_answered_at_exit():
    """Let jobs and callers outlast the host that the callers are at."""

    def no_effects(self, *times):
        return []

    return mock.patch.multiple(
        front.Front, limit_jobs=no_effects, answer_all=no_effects
    )


ALL = (
    resources_freed_on_stop,
    foreign_runs_ignored,
    lease_expiry_not_awaited,
    start_not_recorded,
    draining_ignored,
    capacity_not_checked,
    job_done_too_early,
    fence_not_increased,
    callers_not_answered_at_exit,
)


def evacuation_ignored():
    """Start tasks in evacuated zones, and route jobs there."""

    def is_evacuated(self, zone):
        return False

    return mock.patch.object(
        evacuation.Evacuation, "is_evacuated", is_evacuated
    )


def evacuation_only_routed():
    """Route no jobs to evacuated zones, but go on to start tasks there."""

    def without_evacuated(self, usable, now):
        return usable

    return mock.patch.object(
        run_tracker.RunTracker, "_without_evacuated", without_evacuated
    )


def evacuation_not_learned_from_peers():
    """Learn of evacuations only from the store."""

    def merge(self, notices, now):
        return []

    return mock.patch.object(evacuation.Evacuation, "merge", merge)


# Faults that show only while a zone is evacuated.
EVACUATION = (
    evacuation_ignored,
    evacuation_only_routed,
    evacuation_not_learned_from_peers,
)
