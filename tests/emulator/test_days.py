import unittest

from tests.emulator import variants
from waxwingwalk.emulator import scenario

FAULTS = 8
SEEDS = range(12)
# Days on which a broken variant has to be caught at least once. Not every day
# has the faults that show it.
VARIANT_SEEDS = range(60)
# Where a rare breach showed last, to find it fast.
LIKELY_SEED = {"lapse_not_awaited": 41}


class RandomDayTests(unittest.TestCase):
    def test_no_promise_is_broken(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = scenario.Scenario(seed, FAULTS).run()
                self.assertEqual(played.breaches, ())
                self.assertGreater(played.done, 0)

    def test_day_without_faults_serves_every_caller_that_stays(self):
        played = scenario.Scenario(0, faults=0).run()
        answered = played.done + played.refused + played.failed
        self.assertEqual(answered, played.jobs - played.left)
        self.assertEqual(played.lost, 0)

    def test_same_seed_plays_the_same_day(self):
        first = scenario.Scenario(5, FAULTS).run()
        self.assertEqual(first, scenario.Scenario(5, FAULTS).run())


class JudgeTests(unittest.TestCase):
    def test_broken_mechanisms_are_caught(self):
        for variant in variants.ALL:
            name = variant.__name__
            seeds = [LIKELY_SEED.get(name, 0), *VARIANT_SEEDS]
            with self.subTest(variant=name), variant():
                is_caught = any(
                    scenario.Scenario(seed, FAULTS).run().breaches
                    for seed in seeds
                )
                self.assertTrue(is_caught)
