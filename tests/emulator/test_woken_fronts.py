"""Hosts that wake and schedule no pool themselves."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
WORK_MS = 300


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class WokenFrontTests(unittest.TestCase):
    """A host that schedules no pool wakes; others run its callers' jobs."""

    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        for zone in ("north", "south"):
            self.fleet.add_host(f"{zone}-owner", zone)
            self.fleet.add_backend(f"{zone}-0", zone, CAPACITY)
            # The standbys of the pool. Links to them are never idle.
            for number in range(3):
                self.fleet.add_host(f"{zone}-standby-{number}", zone)
        self.fleet.run(milliseconds(3000))
        self.front = self.fleet.add_host("front", "north")
        self.fleet.run(milliseconds(3000))
        self.assertEqual(list(self.front.reducer.ownership.claims), [])

    def test_nothing_starts_for_a_caller_that_went_elsewhere(self):
        self.fleet.freeze_host(self.front)
        caller = self.fleet.submit(
            "job",
            self.front,
            1,
            milliseconds(WORK_MS),
            TASK_RESOURCES,
            timeout=milliseconds(5000),
        )
        self.fleet.run(milliseconds(100))
        south = self.fleet.hosts["south-owner"]
        self.fleet.reset_caller(caller, retry_at=south)
        self.fleet.run(milliseconds(1400))
        self.fleet.wake_host(self.front)
        self.fleet.run(milliseconds(4000))
        self.assertEqual(self.fleet.checker.violations, [])
        self.assertIs(caller.answer.outcome, model.JobOutcome.DONE)
