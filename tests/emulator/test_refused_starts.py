"""Tasks that every backend server refuses to start."""

import datetime
import unittest
from unittest import mock

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import backend as emulated_backend
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
# Far fewer than a start for each round trip.
STARTS_MAX = 60
REFUSALS = (model.CallOutcome.INVALID, model.CallOutcome.NO_ROOM)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class RefusedStartTests(unittest.TestCase):
    def play(self, outcome):
        """Return the number of orders for a task that is refused for 3 s."""
        fleet = emulated_fleet.Fleet(seed=1)
        host = fleet.add_host("host", "north")
        for number in range(3):
            fleet.add_backend(f"server-{number}", "north", CAPACITY)
        fleet.run(milliseconds(3000))
        orders = []

        def refuse(backend, order):
            orders.append(order)
            return outcome

        with mock.patch.object(
            emulated_backend.EmulatedBackend, "_start", refuse
        ):
            fleet.do_callers_repeat = False
            fleet.submit("job", host, 1, milliseconds(100), TASK_RESOURCES)
            fleet.run(milliseconds(4000))
        return len(orders)

    def test_refused_task_is_not_ordered_at_the_rate_of_round_trips(self):
        for outcome in REFUSALS:
            with self.subTest(outcome=outcome):
                self.assertLessEqual(self.play(outcome), STARTS_MAX)
