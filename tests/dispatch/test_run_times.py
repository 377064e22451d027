import datetime
import math
import random
import unittest

from hypothesis import given
from hypothesis import strategies

from waxwingwalk.dispatch import run_times
from waxwingwalk.dispatch import speeds


def seconds(count):
    """Return a duration."""
    return datetime.timedelta(seconds=count)


class RunTimesTests(unittest.TestCase):
    def test_declarations_are_believed_at_first(self):
        learned = run_times.RunTimeEstimator()
        self.assertEqual(learned.expected("q", seconds(0.3)), seconds(0.3))

    def test_noisy_declarations_are_drawn_towards_the_usual(self):
        learned = run_times.RunTimeEstimator()
        generator = random.Random(1)
        errors, corrected = [], []
        for _ in range(2000):
            was = 0.2 * generator.lognormvariate(0, 0.4)
            said = was * generator.lognormvariate(0, 0.4)
            expected = learned.expected("q", seconds(said)).total_seconds()
            errors.append(abs(math.log(said / was)))
            corrected.append(abs(math.log(expected / was)))
            learned.learn("q", seconds(said), seconds(was))
        self.assertLess(sum(corrected), sum(errors))

    def test_true_declarations_stay(self):
        learned = run_times.RunTimeEstimator()
        generator = random.Random(1)
        for _ in range(500):
            was = seconds(0.2 * generator.lognormvariate(0, 0.4))
            learned.learn("q", was, was)
        expected = learned.expected("q", seconds(0.5)).total_seconds()
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
    def test_expected_times_are_positive_and_finite(self, history, declared):
        learned = run_times.RunTimeEstimator()
        for said, was in history:
            learned.learn("q", seconds(said), seconds(was))
        expected = learned.expected("q", seconds(declared))
        self.assertGreaterEqual(expected, datetime.timedelta())


class LearnedSlownessTests(unittest.TestCase):
    def test_pace_follows_a_server_that_turns_slow(self):
        learned_slowness = speeds.LearnedSlowness()
        for _ in range(20):
            learned_slowness.learn(seconds(0.1), seconds(0.1))
        for _ in range(10):
            learned_slowness.learn(seconds(0.6), seconds(0.1))
        self.assertGreater(learned_slowness.slowness, 4)

    def test_run_under_way_shows_a_slow_server(self):
        self.assertEqual(
            speeds.overdue_slowness(seconds(0.2), seconds(0.1)), 0
        )
        self.assertEqual(speeds.overdue_slowness(seconds(1), seconds(0.1)), 10)
