import datetime
import unittest

from tests.emulator import mutations
from waxwingwalk.emulator import scenario

FAULTS = 8
PATH_FAULT_COUNT = 20
SEEDS = range(12)
# Each mutation has to be detected with at least one of these seeds; not every
# seed draws the faults that expose it.
MUTATION_SEEDS = range(60)
# Seeds that most recently exposed a rarely detected mutation; run first.
LIKELY_SEED = {"lease_expiry_not_awaited": 41}
# Servers restart under their ids at this interval, in seconds, one by one.
RESTART_INTERVAL = 1.1
RESTARTS = 10
# Servers restart behind cuts at this interval, in seconds, and calls of them
# take up to CALL_DELAY longer.
CUT_INTERVAL = 2.4
CUTS = 5
CALL_DELAY = datetime.timedelta(milliseconds=300)
# Seeds that found overlapping runs.
RESTART_SEEDS = (18, 20, 29)


class ScenarioTests(unittest.TestCase):
    def test_no_guarantee_is_violated(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = scenario.Scenario(seed, FAULTS).run()
                self.assertEqual(result.violations, ())
                self.assertGreater(result.done, 0)

    def test_no_guarantee_is_violated_on_lossy_paths(self):
        kinds = scenario.FAULTS + 2 * scenario.PATH_FAULTS
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = scenario.Scenario(
                    seed, PATH_FAULT_COUNT, kinds=kinds
                ).run()
                self.assertEqual(result.violations, ())
                self.assertGreater(result.done, 0)

    def test_no_guarantee_is_violated_when_servers_restart_quickly(self):
        planned = [
            (number * RESTART_INTERVAL, *scenario.RESTART_FAULTS)
            for number in range(RESTARTS)
        ]
        for seed in RESTART_SEEDS:
            with self.subTest(seed=seed):
                result = scenario.Scenario(
                    seed, planned=planned, do_callers_repeat=False
                ).run()
                self.assertEqual(result.violations, ())
                self.assertGreater(result.done, 0)

    def test_no_guarantee_is_violated_when_servers_restart_behind_cuts(self):
        planned = [
            (number * CUT_INTERVAL, *scenario.CUT_RESTART_FAULTS)
            for number in range(CUTS)
        ]
        for seed in SEEDS:
            with self.subTest(seed=seed):
                played = scenario.Scenario(seed, planned=planned)
                played.fleet.call_delay = CALL_DELAY
                result = played.run()
                self.assertEqual(result.violations, ())
                self.assertGreater(result.done, 0)

    def test_every_waiting_caller_is_served_without_faults(self):
        result = scenario.Scenario(0, faults=0).run()
        answered = result.done + result.refused + result.failed
        self.assertEqual(answered, result.jobs - result.left)
        self.assertEqual(result.lost, 0)

    def test_same_seed_gives_the_same_result(self):
        first = scenario.Scenario(5, FAULTS).run()
        self.assertEqual(first, scenario.Scenario(5, FAULTS).run())


class GuaranteeCheckerTests(unittest.TestCase):
    def test_mutations_are_detected(self):
        for mutation in mutations.ALL:
            name = mutation.__name__
            seeds = [LIKELY_SEED.get(name, 0), *MUTATION_SEEDS]
            with self.subTest(mutation=name), mutation():
                is_caught = any(
                    scenario.Scenario(seed, FAULTS).run().violations
                    for seed in seeds
                )
                self.assertTrue(is_caught)
