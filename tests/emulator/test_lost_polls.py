"""Polls that never reach a backend server."""

import datetime
import unittest

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class LosingFleet(emulated_fleet.Fleet):
    """A fleet in which the next poll can be lost."""

    loses_next_poll = False

    def _execute_order(self, backend, order, reply):
        if isinstance(order, effects.PollBackend) and self.loses_next_poll:
            self.loses_next_poll = False
            return
        super()._execute_order(backend, order, reply)


class LostPollTests(unittest.TestCase):
    def setUp(self):
        self.fleet = LosingFleet(seed=1)
        self.host = self.fleet.add_host("host", "north")
        self.fleet.add_backend("server-0", "north", CAPACITY)
        self.fleet.run(milliseconds(3000))

    def test_end_is_acknowledged_after_its_acknowledgement_was_lost(self):
        self.fleet.submit(
            "job", self.host, 1, milliseconds(50), TASK_RESOURCES
        )
        self.fleet.run(milliseconds(100))
        self.fleet.loses_next_poll = True
        self.fleet.run(milliseconds(5000))
        self.assertFalse(self.fleet.loses_next_poll)
        (poll,) = self.poll_server()
        self.assertEqual(poll.ended, ())

    def poll_server(self):
        """Return the reply to a poll that acknowledges nothing."""
        server = self.fleet.backends["server-0"]
        order = effects.PollBackend(
            server.report.incarnation, "", 2**60, 0, None, model.ZERO
        )
        replies = []
        server.poll(order, replies.append)
        return replies
