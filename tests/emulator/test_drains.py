"""Hosts that shut down while their callers wait."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
# Two tasks fill a server.
TASK_RESOURCES = model.Resources(processors=8_000, memory=64)
WORK_MS = 400
# Jobs arrive at twice the rate at which the servers complete them.
JOB_INTERVAL_MS = 25
JOBS = 400
DRAIN_LIMIT_MS = 5000
# Hosts shut down in turn, this long after each other.
ROLL_INTERVAL_MS = 700
START_DELAY_MS = 6500
SEEDS = range(6)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class DrainTests(unittest.TestCase):
    def build(self, seed):
        """Build two zones of three hosts and four servers each."""
        self.fleet = emulated_fleet.Fleet(seed)
        for zone in ("north", "south"):
            for number in range(3):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(4):
                self.fleet.add_backend(f"{zone}-{number}", zone, CAPACITY)
        self.fleet.run(milliseconds(3000))

    def submit(self, number):
        # The balancer forwards requests also to hosts that are not ready.
        up = [each for each in self.fleet.hosts.values() if each.is_up]
        if not up:
            return
        self.fleet.submit(
            f"{number:016x}",
            self.fleet.random.choice(up),
            2,
            milliseconds(WORK_MS),
            TASK_RESOURCES,
        )

    def restart(self, host):
        self.fleet.drain_host(host, milliseconds(DRAIN_LIMIT_MS))
        self.fleet.timeline.call_later(
            milliseconds(START_DELAY_MS),
            lambda: self.fleet.start_host(host),
        )

    def test_host_that_restarts_under_overload_answers_every_caller(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.build(seed)
                for number in range(JOBS):
                    self.fleet.timeline.call_later(
                        milliseconds(number * JOB_INTERVAL_MS),
                        lambda number=number: self.submit(number),
                    )
                for number, host in enumerate(self.fleet.hosts.values()):
                    self.fleet.timeline.call_later(
                        milliseconds(1000 + number * ROLL_INTERVAL_MS),
                        lambda host=host: self.restart(host),
                    )
                self.fleet.run(milliseconds(JOBS * JOB_INTERVAL_MS + 8000))
                self.fleet.check_refused_jobs()
                self.assertEqual(self.fleet.checker.violations, [])
