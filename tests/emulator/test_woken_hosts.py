"""Hosts that wake after a pause in which callers may have left."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
# Of three tasks, one waits for capacity on the only server of the zone.
TASKS = 3
WORK_MS = 300


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class WokenHostTests(unittest.TestCase):
    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        self.host = self.fleet.add_host("host", "north")
        self.fleet.add_backend("north-0", "north", CAPACITY)
        self.fleet.run(milliseconds(1000))
        self.fleet.isolated_zones.add("north")
        self.other = self.fleet.add_host("other", "south")
        for number in range(2):
            self.fleet.add_backend(f"south-{number}", "south", CAPACITY)
        self.fleet.run(milliseconds(2000))

    def submit(self, timeout_ms):
        return self.fleet.submit(
            "job",
            self.host,
            TASKS,
            milliseconds(WORK_MS),
            TASK_RESOURCES,
            timeout=milliseconds(timeout_ms),
        )

    def assert_single_runs(self, caller):
        self.fleet.run(milliseconds(4000))
        self.assertEqual(self.fleet.checker.violations, [])
        self.assertIs(caller.answer.outcome, model.JobOutcome.DONE)

    def test_woken_host_starts_nothing_for_a_caller_that_went_elsewhere(self):
        self.fleet.freeze_host(self.host)
        caller = self.submit(timeout_ms=5000)
        self.fleet.run(milliseconds(100))
        self.fleet.reset_caller(caller, retry_at=self.other)
        self.fleet.run(milliseconds(1400))
        self.fleet.wake_host(self.host)
        self.assert_single_runs(caller)

    def test_woken_host_goes_on_with_the_job_of_a_caller_that_waits(self):
        caller = self.submit(timeout_ms=5000)
        self.fleet.run(milliseconds(100))
        self.fleet.freeze_host(self.host)
        self.fleet.run(milliseconds(700))
        self.fleet.wake_host(self.host)
        self.assert_single_runs(caller)
