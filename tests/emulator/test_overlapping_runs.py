import dataclasses
import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulator_fleet

# A server has room for one task at a time.
CAPACITY = model.Resources(processors=8_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=6_800, memory=64)
WORK = datetime.timedelta(seconds=20)
STEP = datetime.timedelta(milliseconds=5)
# A message that takes this long is still accepted by its receiver.
MESSAGE_DELAYS = (0.15, 0.3, 0.45, 0.59)
NORTH, SOUTH = "north-0", "south-0"


def seconds(count):
    return datetime.timedelta(seconds=count)


class LostPeerTests(unittest.TestCase):
    """A task of a host in the north runs on a server of one in the south."""

    def build(self, phase):
        self.fleet = emulator_fleet.Fleet(1)
        self.fleet.do_callers_repeat = False
        self.host = self.fleet.add_host(NORTH, "north")
        self.fleet.add_host(SOUTH, "south")
        for zone in ("north", "south"):
            self.fleet.add_backend(f"server-{zone}", zone, CAPACITY)
        self.fleet.run(seconds(3))
        self.fleet.submit(
            f"{1:016x}",
            self.host,
            2,
            WORK,
            TASK_RESOURCES,
            timeout=seconds(60),
        )
        self.fleet.run(seconds(1 + phase))
        self.assertTrue(self.fleet.backends["server-south"].runs)

    def lose_link(self):
        """Lose the messages between the hosts, those from the south first.

        The last ones from the north are late.
        """
        for delay in MESSAGE_DELAYS:
            self.fleet.path_delays[NORTH, SOUTH] = seconds(delay)
            self.fleet.run(seconds(0.6))
        (number,) = (
            number
            for number, link in self.host.links.items()
            if link.opener is self.host
        )
        self.fleet.silent_paths.add((SOUTH, NORTH))
        self.fleet.run(seconds(0.44))
        self.assertIn(number, self.host.links)
        self.fleet.silent_paths.add((NORTH, SOUTH))
        while number in self.host.links:
            self.fleet.run(STEP)

    def test_task_starts_again_only_after_its_run_at_a_lost_peer(self):
        # The lease of the run is renewed at different times before the loss.
        for phase in (0.0, 0.06, 0.12, 0.16, 0.2, 0.24, 0.28):
            with self.subTest(phase=phase):
                self.build(phase)
                self.lose_link()
                self.fleet.stops_are_lost.add("server-south")
                self.fleet.add_backend("server-free", "north", CAPACITY)
                self.fleet.run(seconds(5))
                self.assertEqual(self.fleet.checker.violations, [])
                self.assertTrue(self.fleet.backends["server-free"].runs)

    def test_other_starts_do_not_renew_the_lease_of_a_stopped_run(self):
        self.build(0)
        large = model.Resources(processors=16_000, memory=65_536)
        south = self.fleet.backends["server-south"]
        south.report = self.fleet.listed_backends["server-south"] = (
            dataclasses.replace(south.report, capacity=large)
        )
        self.lose_link()
        self.fleet.stops_are_lost.add("server-south")
        self.fleet.add_backend("server-free", "north", CAPACITY)
        for number in range(2, 40):
            self.fleet.submit(
                f"{number:016x}",
                self.fleet.hosts[SOUTH],
                1,
                seconds(0.05),
                TASK_RESOURCES,
            )
            self.fleet.run(seconds(0.1))
        self.assertEqual(self.fleet.checker.violations, [])
        self.assertTrue(self.fleet.backends["server-free"].runs)
