"""Servers that restart again while an order may still be carried out."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import run_tracker

Outcome = model.CallOutcome
FENCE = 7
TICK = 25


class RepeatedRestartTests(unittest.TestCase):
    def test_unanswered_order_is_guarded_against_at_a_second_restart(self):
        """An open order was forgotten when its run moved.

        An incarnation after the next one knew no fence when it came.
        """
        tracker = run_tracker.RunTracker()
        report = builders.report()
        tracker.acquire(report, FENCE, builders.START)
        tracker.polled(
            report.incarnation, Outcome.ACCEPTED, 1000, (), (), builders.at(1)
        )
        order = builders.order()
        tracker.start(order, tracker.get(report.incarnation), builders.at(2))
        second = builders.report(started_ms=2)
        tracker.follow_restart(
            report.incarnation, second, FENCE + 1, builders.at(20)
        )
        tracker.polled(
            second.incarnation, Outcome.ACCEPTED, 5, (), (), builders.at(22)
        )
        (ended,) = tracker.ended
        self.assertEqual(ended.end, model.TaskEnd.GONE)
        # The call to the first incarnation fails after that.
        tracker.started(
            report.incarnation,
            order.key,
            Outcome.UNKNOWN,
            None,
            builders.at(352),
        )
        done = []
        for at in range(375, 700, TICK):
            done += tracker.tick(builders.at(at))
        self.assertNotEqual(builders.of_type(done, effects.PollBackend), [])
        tracker.polled(
            second.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(750)
        )
        self.assertTrue(
            tracker.may_start_late(order.ref.name, builders.at(751))
        )


if __name__ == "__main__":
    unittest.main()
