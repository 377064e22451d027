"""Replies of two polls in flight that overtake each other."""

import unittest

from tests.dispatch import builders
from tests.dispatch import test_fast_settlement
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import run_tracker

Outcome = model.CallOutcome
FENCE = 7
TICK = 25


class OvertakenPollTests(unittest.TestCase):
    def setUp(self):
        self.observed = observed_time.ObservedTime()
        self.tracker = run_tracker.RunTracker(
            self.observed, settings=test_fast_settlement.FAST
        )
        self.report = builders.report()
        self.incarnation = self.report.incarnation
        self.tracker.acquire(self.report, FENCE, builders.START)
        self.answer(1, 1)
        self.backend = self.tracker.get(self.incarnation)

    def answer(self, number, at, clock_ms=None, running=(), ended=()):
        return self.tracker.polled(
            self.incarnation,
            Outcome.ACCEPTED,
            1000 + at if clock_ms is None else clock_ms,
            tuple(running),
            tuple(ended),
            builders.at(at),
            number,
        )

    def tick_until(self, start, end):
        done = []
        for at in range(start, end, TICK):
            self.observed.ticked(builders.at(at), TICK * model.MILLISECOND)
            done += self.tracker.tick(builders.at(at))
        return done

    def polls(self, done):
        return builders.of_type(done, effects.PollBackend)

    def test_overtaken_reply_without_ends_leaves_them_to_acknowledge(self):
        """An end that was read stayed unacknowledged on an idle server."""
        order = builders.order(estimate=builders.milliseconds(100))
        self.tracker.start(order, self.backend, builders.at(2))
        self.tracker.started(
            self.incarnation,
            order.key,
            Outcome.ACCEPTED,
            1004,
            builders.at(4),
        )
        self.answer(self.backend.poll_number, 5, running=[order.key])
        waiting = self.backend.poll_number
        # The run should have ended; the waiting poll may have been lost.
        (check,) = self.polls(self.tick_until(300, 500))
        end = model.EndedRun(1, order.key.task, 1, model.RunEnd.DONE)
        self.answer(waiting, 500, 1499, ended=[end])
        self.assertEqual(self.backend.runs, {})
        # The server replied to the check before the run had ended.
        self.answer(check.number, 501, 1498, running=[order.key])
        (poll,) = self.polls(self.tick_until(525, 900))
        self.assertEqual(poll.acknowledged, 1)
        self.assertEqual(self.polls(self.answer(poll.number, 901)), [])
        self.assertEqual(self.polls(self.tick_until(925, 1500)), [])


if __name__ == "__main__":
    unittest.main()
