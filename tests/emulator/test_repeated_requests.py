"""Requests that their callers repeat, and what is left of the former ones."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
WORK_MS = 300


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class RepeatedRequestTests(unittest.TestCase):
    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        self.fleet.add_host("north-owner", "north")
        self.fleet.add_backend("north-0", "north", CAPACITY)
        self.fleet.run(milliseconds(2000))
        self.front = self.fleet.add_host("front", "north")
        self.fleet.run(milliseconds(2000))
        self.assertEqual(self.scheduled_pools(self.front), [])

    def scheduled_pools(self, host):
        return list(host.reducer.ownership.claims)

    def submit(self, timeout_ms):
        return self.fleet.submit(
            "job",
            self.front,
            1,
            milliseconds(WORK_MS),
            TASK_RESOURCES,
            timeout=milliseconds(timeout_ms),
        )

    def test_answer_to_a_cancelled_request_does_not_answer_the_next_one(self):
        self.fleet.abandon_job(self.submit(timeout_ms=WORK_MS // 10))
        caller = self.submit(timeout_ms=4000)
        self.fleet.run(milliseconds(3000))
        self.fleet.check_refused_jobs()
        self.assertEqual(self.fleet.checker.violations, [])
        self.assertIs(caller.answer.outcome, model.JobOutcome.DONE)
