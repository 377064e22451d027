"""Backend servers whose capacity shrinks and grows while they run."""

import dataclasses
import datetime
import unittest
from unittest import mock

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
SHRUNK = model.Resources(processors=8000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=6800, memory=64)
SERVERS = 3
ZONES = ("north", "south")
JOB_INTERVAL_MS = 40
SHRINK_AT_MS = 1000
# The interval at which a host that schedules no pool reads the list.
IDLE_LIST_INTERVAL = datetime.timedelta(seconds=5)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


def capacity_not_updated():
    """Go by the capacity that a server had when it was acquired."""

    def update_report(self, report):
        known = self.report.capacity
        self.report = dataclasses.replace(report, capacity=known)

    return mock.patch.object(backends.Backend, "update_report", update_report)


class CapacityTests(unittest.TestCase):
    def build(self, zones=ZONES, hosts=2):
        self.fleet = emulated_fleet.Fleet(seed=1)
        self.fleet.idle_list_interval = IDLE_LIST_INTERVAL
        for zone in zones:
            for number in range(hosts):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(SERVERS):
                name = f"{zone}-server-{number}"
                self.fleet.add_backend(name, zone, CAPACITY)
        self.fleet.run(milliseconds(3000))

    def submit_jobs(self, seconds, at="north"):
        """Submit more work than the servers can do."""
        for number in range(int(seconds * 1000 / JOB_INTERVAL_MS)):
            self.fleet.timeline.call_later(
                milliseconds(number * JOB_INTERVAL_MS),
                lambda name=f"job-{number}": self.submit(name, at),
            )

    def submit(self, job_id, zone):
        hosts = [
            each
            for each in self.fleet.hosts.values()
            if each.is_up and each.zone == zone
        ]
        if hosts:
            self.fleet.submit(
                job_id, hosts[0], 2, milliseconds(200), TASK_RESOURCES
            )

    def shrink(self, capacity=SHRUNK):
        for name in self.fleet.backends:
            self.fleet.resize_backend(name, capacity)

    def owners(self):
        return [
            each
            for each in self.fleet.hosts.values()
            if each.reducer is not None and each.reducer.ownership.claims
        ]

    def play(self):
        self.submit_jobs(seconds=14)
        self.fleet.run(milliseconds(SHRINK_AT_MS))
        self.shrink()
        self.fleet.run(milliseconds(13_000))
        return self.fleet.checker.violations

    def test_shrunk_capacity_is_observed(self):
        self.build()
        self.assertEqual(self.play(), [])
        self.assertGreater(self.fleet.checker.starts, 50)

    def test_checker_detects_orders_beyond_a_shrunk_capacity(self):
        with capacity_not_updated():
            self.build()
            self.assertNotEqual(self.play(), [])

    def test_capacity_that_has_grown_soon_after_it_shrank_may_be_used(self):
        self.build()
        self.shrink()
        self.fleet.run(milliseconds(500))
        smaller = model.Resources(processors=4000, memory=65_536)
        self.shrink(smaller)
        self.fleet.run(milliseconds(1500))
        self.shrink(CAPACITY)
        self.submit_jobs(seconds=1)
        self.fleet.run(milliseconds(1500))
        self.assertEqual(self.fleet.checker.violations, [])
        self.assertGreater(self.fleet.checker.starts, 20)

    def test_shrunk_capacity_is_observed_after_a_hand_over(self):
        for delay_ms in (100, 1000, 2500, 4100):
            with self.subTest(delay_ms=delay_ms):
                self.build(zones=("north",), hosts=3)
                self.submit_jobs(seconds=14)
                self.fleet.run(milliseconds(SHRINK_AT_MS))
                self.shrink()
                self.fleet.run(milliseconds(delay_ms))
                for host in self.owners():
                    self.fleet.kill_host(host)
                self.fleet.run(milliseconds(10_000))
                self.assertEqual(self.fleet.checker.violations, [])
                self.assertGreater(self.fleet.checker.starts, 50)

    def test_shrunk_capacity_is_observed_by_a_scheduler_without_the_store(
        self,
    ):
        self.build(hosts=3)
        for host in self.owners():
            self.fleet.cut_store_of(host)
        self.fleet.run(milliseconds(500))
        self.assertEqual(self.play(), [])
        self.assertGreater(self.fleet.checker.starts, 50)

    def test_shrunk_capacity_is_observed_while_few_hosts_reach_the_store(
        self,
    ):
        self.build(hosts=3)
        for host in list(self.fleet.hosts.values())[:-1]:
            self.fleet.cut_store_of(host)
        self.assertEqual(self.play(), [])
        self.assertGreater(self.fleet.checker.starts, 50)

    def test_shrunk_capacity_is_observed_for_offered_tasks(self):
        self.build()
        self.submit_jobs(seconds=14)
        self.fleet.run(milliseconds(SHRINK_AT_MS))
        for name in self.fleet.backends:
            if name.startswith("south"):
                self.fleet.resize_backend(name, SHRUNK)
        self.fleet.run(milliseconds(13_000))
        self.assertEqual(self.fleet.checker.violations, [])
        used = {
            report.incarnation.backend_id
            for report in self.fleet.listed_backends.values()
            if report.capacity == SHRUNK
        }
        self.assertEqual(len(used), SERVERS)

    def test_capacity_that_grows_again_is_used(self):
        self.build()
        self.shrink()
        self.fleet.run(milliseconds(5000))
        self.shrink(CAPACITY)
        self.fleet.run(milliseconds(1000))
        before = self.fleet.checker.starts
        for number in range(SERVERS * len(ZONES)):
            self.submit(f"pair-{number}", "north")
        self.fleet.run(milliseconds(100))
        # Two tasks fit on each server again.
        started = self.fleet.checker.starts - before
        self.assertEqual(started, 2 * SERVERS * len(ZONES))
