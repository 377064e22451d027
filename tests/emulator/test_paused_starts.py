"""Hosts that are paused between the decision on a start and its sending."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
WORK_MS = 3000


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class PausedStartTests(unittest.TestCase):
    """The scheduler decides on a start, and is paused before it is sent.

    Its caller goes to another host. The server restarts meanwhile, so that it
    refuses the order neither by its fence nor by the end of its lease.
    """

    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        for number in range(3):
            self.fleet.add_host(f"host-{number}", "north")
        self.fleet.add_backend("server-0", "north", CAPACITY)
        self.fleet.run(milliseconds(3000))
        (self.scheduler,) = [
            each
            for each in self.fleet.hosts.values()
            if each.reducer.ownership.claims
        ]
        self.other = [
            each
            for each in self.fleet.hosts.values()
            if each is not self.scheduler
        ][0]

    def play(self, pause_ms):
        """Pause the scheduler; return the violations."""
        self.fleet.freeze_host_after_event(self.scheduler)
        caller = self.fleet.submit(
            "job",
            self.scheduler,
            1,
            milliseconds(WORK_MS),
            TASK_RESOURCES,
            timeout=milliseconds(10_000),
        )
        # The task is started for the caller on the other server.
        self.fleet.add_backend("server-1", "north", CAPACITY)
        self.fleet.drain_backend("server-0")
        self.fleet.run(milliseconds(100))
        self.fleet.reset_caller(caller, retry_at=self.other)
        self.fleet.run(milliseconds(pause_ms - 100))
        self.fleet.crash_backend("server-0")
        self.fleet.run(milliseconds(100))
        self.fleet.restart_backend("server-0")
        self.fleet.wake_host(self.scheduler)
        self.fleet.run(milliseconds(6000))
        return self.fleet.checker.violations

    def test_paused_host_does_not_send_its_start_to_a_restarted_server(self):
        self.assertEqual(self.play(pause_ms=2500), [])


if __name__ == "__main__":
    unittest.main()
