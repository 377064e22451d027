"""Which runs are stopped as stuck, and which go on."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import settings
from waxwingwalk.dispatch import stuck_runs

ESTIMATE = builders.milliseconds(100)
Outcome = model.CallOutcome


def run(**fields):
    """Return what is known of a run of queue ``q``."""
    values = {"queue": "q", "estimate": ESTIMATE, "elapsed": ESTIMATE * 5}
    return stuck_runs.ObservedRun(**(values | fields))


def factor(policy, **fields):
    """Return the limit as a multiple of the estimate."""
    return policy.limit(run(**fields)) / ESTIMATE


class FixedFactorTests(unittest.TestCase):
    def test_limit_follows_the_estimate_but_not_the_evidence(self):
        policy = stuck_runs.FixedFactor()
        self.assertEqual(factor(policy, later_in_time=9), 4)

    def test_short_run_is_not_stuck_before_the_minimum(self):
        limit = stuck_runs.FixedFactor().limit(
            run(estimate=builders.milliseconds(10))
        )
        self.assertEqual(limit, stuck_runs.MIN_STUCK_TIME)


class LearnedTailTests(unittest.TestCase):
    def setUp(self):
        self.policy = stuck_runs.LearnedTail()

    def learn(self, *ratios, is_restart=False):
        for ratio in ratios:
            self.policy.learn("q", ratio, is_restart=is_restart)

    def test_limit_is_the_fixed_one_while_nothing_is_known(self):
        self.assertEqual(factor(self.policy), stuck_runs.STUCK_FACTOR)

    def test_run_is_not_stuck_where_later_ones_end_in_time(self):
        """Its task takes long by itself, and would elsewhere, too."""
        self.assertEqual(factor(self.policy, later_in_time=1), 12)

    def test_run_is_stuck_where_later_ones_are_late(self):
        self.learn(*[7.0] * 100)
        self.assertEqual(factor(self.policy, later_in_time=1, later_late=2), 4)

    def test_limit_follows_the_tail_of_the_queue(self):
        self.learn(*[1.0] * 97, *[6.0] * 3)
        self.assertEqual(factor(self.policy), 9)
        self.assertEqual(factor(self.policy, queue="other"), 4)

    def test_limit_is_bounded_for_any_tail(self):
        self.learn(*[100.0] * 200)
        self.assertEqual(factor(self.policy), stuck_runs.HARD_FACTOR)

    def test_tasks_whose_restarts_took_as_long_are_left_alone(self):
        self.learn(*[7.0] * 4, is_restart=True)
        self.assertEqual(factor(self.policy), 12)

    def test_tasks_whose_restarts_ended_sooner_are_stopped(self):
        self.learn(*[1.0] * 4, is_restart=True)
        self.assertEqual(factor(self.policy), 4)

    def test_restart_that_is_stuck_again_counts_against_restarts(self):
        for _ in range(4):
            self.policy.learn_stuck("q", is_restart=True)
        self.assertEqual(factor(self.policy), 12)

    def test_restart_may_take_longer_than_the_first_run(self):
        self.assertEqual(factor(self.policy, is_restart=True), 8)

    def test_run_without_progress_is_stuck_while_its_queue_makes_some(self):
        stalled = {"stalled": ESTIMATE * 3, "queue_rises": 20}
        self.assertEqual(
            self.policy.limit(run(**stalled)), stuck_runs.MIN_STUCK_TIME
        )

    def test_progress_that_no_run_reports_tells_nothing(self):
        """Servers may list 0 or 100 for each run."""
        self.assertEqual(factor(self.policy, stalled=ESTIMATE * 50), 4)

    def test_run_that_is_nearly_done_goes_on(self):
        left = {"remaining": ESTIMATE / 2, "later_late": 3}
        self.assertEqual(factor(self.policy, **left), 12)


class ProgressTests(unittest.TestCase):
    def setUp(self):
        self.run = backends.Run(
            builders.order(), builders.at(0), builders.at(0)
        )
        self.run.accepted_at = builders.at(0)

    def read(self, *percents):
        for number, percent in enumerate(percents, 1):
            self.run.record_percent(percent, builders.at(100 * number))

    def left(self, at):
        return self.run.remaining_by_progress(builders.at(at))

    def test_remaining_time_follows_the_progress(self):
        self.read(10, 20, 30)
        self.assertEqual(self.left(300), builders.milliseconds(700))
        self.assertEqual(self.left(400), builders.milliseconds(600))

    def test_fixed_progress_tells_no_remaining_time(self):
        for percent in (0, 50, 100):
            with self.subTest(percent=percent):
                self.setUp()
                self.read(*[percent] * 5)
                self.assertIsNone(self.left(500))

    def test_remaining_time_is_estimated_without_progress(self):
        self.assertEqual(
            self.run.remaining(builders.at(40)), builders.milliseconds(60)
        )
        self.assertEqual(
            self.run.remaining(builders.at(40), 2.0),
            builders.milliseconds(160),
        )

    def test_overdue_run_is_not_expected_to_end_at_once(self):
        self.assertEqual(
            self.run.remaining(builders.at(300)), builders.milliseconds(200)
        )

    def test_time_without_progress_counts_from_poll_to_poll(self):
        self.read(0, 10, 10, 10)
        self.assertEqual(self.run.stalled, builders.milliseconds(200))


class ComparisonTests(unittest.TestCase):
    """Runs on a server are compared with those started after them."""

    def setUp(self):
        self.build(settings.DispatchSettings(run_progress=True))

    def build(self, dispatch_settings):
        self.tracker = run_tracker.RunTracker(
            observed_time.ObservedTime(), settings=dispatch_settings
        )
        self.report = builders.report()
        self.tracker.acquire(self.report, 7, builders.START)
        self.poll(1)
        self.backend = self.tracker.get(self.report.incarnation)

    def poll(self, at, *, running=(), ended=(), percents=()):
        return self.tracker.polled(
            self.report.incarnation,
            Outcome.ACCEPTED,
            1000 + at,
            tuple(running),
            tuple(ended),
            builders.at(at),
            None,
            percents,
        )

    def start(self, index, at):
        order = builders.order(index=index)
        self.tracker.start(order, self.backend, builders.at(at))
        self.tracker.started(
            self.report.incarnation,
            order.key,
            Outcome.ACCEPTED,
            1000 + at,
            builders.at(at),
        )
        return order.key

    def end(self, key, serial, at, running):
        ended = model.EndedRun(serial, key.task, key.run, model.RunEnd.DONE)
        self.poll(at, running=running, ended=[ended])

    def test_long_task_does_not_make_its_server_look_slow(self):
        long_run = self.start(0, 2)
        self.end(self.start(1, 10), 1, 110, [long_run])
        self.assertTrue(self.tracker.find_run(long_run).is_long_by_itself)
        self.assertLess(self.backend.slowness(builders.at(700)), 1.2)
        self.end(long_run, 2, 702, [])
        self.assertLess(self.backend.slowness(builders.at(703)), 1.2)

    def test_server_whose_runs_are_all_late_looks_slow(self):
        first = self.start(0, 2)
        self.end(self.start(1, 10), 1, 510, [first])
        self.assertFalse(self.tracker.find_run(first).is_long_by_itself)
        self.assertGreater(self.backend.slowness(builders.at(700)), 5)

    def test_earlier_runs_tell_nothing_of_a_later_one(self):
        first = self.start(0, 2)
        second = self.start(1, 90)
        self.end(first, 1, 102, [second])
        self.assertFalse(self.tracker.find_run(second).is_long_by_itself)

    def test_without_the_setting_nothing_is_compared(self):
        self.build(settings.DispatchSettings())
        first = self.start(0, 2)
        self.end(self.start(1, 10), 1, 110, [first])
        self.assertFalse(self.tracker.find_run(first).is_long_by_itself)
        self.assertGreater(self.backend.slowness(builders.at(700)), 5)

    def test_progress_of_unknown_runs_is_ignored(self):
        key = self.start(0, 2)
        other = model.RunKey("other.0.0.0", 1)
        done = self.poll(50, running=[other, key], percents=(10, 20))
        self.assertEqual(self.tracker.find_run(key).percent, 20)
        self.assertEqual(self.tracker.progress_rises["q"], 1)
        self.assertEqual(builders.of_type(done, effects.Log), [])
