"""Guarantees and served load while jobs are balanced between zones."""

import datetime
import unittest

from waxwingwalk.dispatch import settings
from waxwingwalk.emulator import fault_load
from waxwingwalk.emulator import scenario

BALANCED = settings.DispatchSettings(zone_balance=True)
ALL = settings.DispatchSettings(
    zone_balance=True, fast_settlement=True, run_progress=True
)
SEEDS = range(6)
LOAD_SEEDS = (1, 2, 3)
LENGTH = datetime.timedelta(seconds=6)
# What a deployment that was already served may lose.
LOSS_MAX = 0.03


class ZoneBalanceScenarioTests(unittest.TestCase):
    def test_no_guarantee_is_violated(self):
        """A job that is routed again must not run twice, nor be misjudged."""
        kinds = scenario.FAULTS + scenario.PATH_FAULTS
        for dispatch_settings in (BALANCED, ALL):
            for seed in SEEDS:
                with self.subTest(seed=seed, settings=dispatch_settings):
                    result = scenario.Scenario(
                        seed, 14, kinds=kinds, settings=dispatch_settings
                    ).run()
                    self.assertEqual(result.violations, ())
                    self.assertGreater(result.done, 0)


class UnevenLoadTests(unittest.TestCase):
    def test_uneven_demand_below_the_capacity_is_served_as_before(self):
        load = fault_load.FaultLoad(length=LENGTH, swing=0.55)
        for seed in LOAD_SEEDS:
            with self.subTest(seed=seed):
                off, on = (
                    fault_load.FaultExperiment(seed, load, each).run()
                    for each in (settings.DispatchSettings(), BALANCED)
                )
                self.assertGreater(on.earned, off.earned - LOSS_MAX)
                self.assertEqual((off.violations, on.violations), (0, 0))
