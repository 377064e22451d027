"""Polls that arrive later than orders which were sent with them."""

import datetime
import unittest

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class SlowPollFleet(emulated_fleet.Fleet):
    """A fleet in which a poll may arrive after a start sent with it."""

    poll_delay = milliseconds(0)

    def _execute_order(self, backend, order, reply):
        execute = super()._execute_order
        if isinstance(order, effects.PollBackend) and self.poll_delay:
            self.timeline.call_later(
                self.poll_delay, lambda: execute(backend, order, reply)
            )
        else:
            execute(backend, order, reply)


class SlowPollTests(unittest.TestCase):
    def setUp(self):
        self.fleet = SlowPollFleet(seed=1)
        self.host = self.fleet.add_host("host", "north")
        self.fleet.add_backend("server-0", "north", CAPACITY)
        self.fleet.run(milliseconds(3000))

    def submit(self, job_id, work_ms):
        return self.fleet.submit(
            job_id,
            self.host,
            1,
            milliseconds(work_ms),
            TASK_RESOURCES,
            timeout=milliseconds(6000),
        )

    def test_end_is_not_acknowledged_unread_at_a_restarted_server(self):
        self.submit("first", work_ms=20)
        self.fleet.run(milliseconds(40))
        self.fleet.crash_backend("server-0")
        self.fleet.restart_backend("server-0")
        self.fleet.poll_delay = milliseconds(30)
        before = self.fleet.checker.starts
        caller = self.submit("second", work_ms=20)
        self.fleet.run(milliseconds(3000))
        self.assertIs(caller.answer.outcome, model.JobOutcome.DONE)
        # A task that is done does not start again.
        self.assertEqual(self.fleet.checker.starts - before, 1)
