import datetime
import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from waxwingwalk.dispatch import run_times
from waxwingwalk.dispatch import speeds


def seconds(count):
    """Return a duration of ``count`` seconds."""
    return datetime.timedelta(seconds=count)


class RunTimeEstimatorTests(unittest.TestCase):
    def test_declarations_are_used_unchanged_at_first(self):
        estimator = run_times.RunTimeEstimator()
        self.assertEqual(estimator.expected("q", seconds(0.3)), seconds(0.3))

    def test_noisy_declarations_are_shrunk_towards_the_mean(self):
        estimator = run_times.RunTimeEstimator()
        generator = random.Random(1)
        errors, corrected = [], []
        for _ in range(2000):
            observed = 0.2 * generator.lognormvariate(0, 0.4)
            declared = observed * generator.lognormvariate(0, 0.4)
            expected = estimator.expected(
                "q", seconds(declared)
            ).total_seconds()
            errors.append(abs(math.log(declared / observed)))
            corrected.append(abs(math.log(expected / observed)))
            estimator.learn("q", seconds(declared), seconds(observed))
        self.assertLess(sum(corrected), sum(errors))

    def test_accurate_declarations_are_kept(self):
        estimator = run_times.RunTimeEstimator()
        generator = random.Random(1)
        for _ in range(500):
            observed = seconds(0.2 * generator.lognormvariate(0, 0.4))
            estimator.learn("q", observed, observed)
        expected = estimator.expected("q", seconds(0.5)).total_seconds()
        self.assertAlmostEqual(expected, 0.5, places=3)

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0, 100), strategies.floats(0, 100)
            ),
            max_size=60,
        ),
        strategies.floats(0, 100),
    )
    def test_expected_times_are_finite_and_not_negative(
        self, history, declared
    ):
        estimator = run_times.RunTimeEstimator()
        for past_declared, observed in history:
            estimator.learn("q", seconds(past_declared), seconds(observed))
        expected = estimator.expected("q", seconds(declared))
        self.assertGreaterEqual(expected, datetime.timedelta())


class LearnedSlownessTests(unittest.TestCase):
    def test_slowness_follows_a_server_that_turns_slow(self):
        learned_slowness = speeds.LearnedSlowness()
        for _ in range(20):
            learned_slowness.learn(seconds(0.1), seconds(0.1))
        for _ in range(10):
            learned_slowness.learn(seconds(0.6), seconds(0.1))
        self.assertGreater(learned_slowness.slowness, 4)

    def test_unfinished_run_shows_a_slow_server(self):
        self.assertEqual(
            speeds.overdue_slowness(seconds(0.2), seconds(0.1)), 0
        )
        self.assertEqual(speeds.overdue_slowness(seconds(1), seconds(0.1)), 10)
