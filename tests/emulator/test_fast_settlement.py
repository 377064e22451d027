"""Guarantees and served load while unanswered starts are settled early."""

import datetime
import unittest

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import settings
from waxwingwalk.emulator import fault_load
from waxwingwalk.emulator import scenario

FAST = settings.DispatchSettings(fast_settlement=True)
FAULTS = 20
LATE_ORDERS = 4
SEEDS = range(12)
LOAD_SEEDS = (1, 2, 3)
LENGTH = datetime.timedelta(seconds=6)


class FastSettlementScenarioTests(unittest.TestCase):
    def test_no_guarantee_is_violated(self):
        """A stop and a poll sent early must not free what may still run."""
        kinds = (
            scenario.FAULTS
            + scenario.PATH_FAULTS
            + LATE_ORDERS * ("late_orders", "lose_calls")
        )
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = scenario.Scenario(
                    seed, FAULTS, kinds=kinds, settings=FAST
                ).run()
                self.assertEqual(result.violations, ())
                self.assertGreater(result.done, 0)

    def test_no_guarantee_is_violated_when_servers_restart(self):
        planned = [
            (number * 1.1, kind)
            for number in range(10)
            for kind in ("restart_quickly", "late_orders")
        ]
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = scenario.Scenario(
                    seed, planned=planned, settings=FAST
                ).run()
                self.assertEqual(result.violations, ())


class UnansweredStartLoadTests(unittest.TestCase):
    def test_unanswered_starts_cost_less_and_make_no_server_suspect(self):
        """Servers that answer all else were unused for seconds."""
        load = fault_load.FaultLoad(
            length=LENGTH, late_share=0.06, late_orders=(effects.StartRun,)
        )
        for seed in LOAD_SEEDS:
            with self.subTest(seed=seed):
                off, on = (
                    fault_load.FaultExperiment(seed, load, each).run()
                    for each in (settings.DispatchSettings(), FAST)
                )
                self.assertGreater(on.earned, off.earned)
                self.assertGreater(off.logs["backend.suspect"], 0)
                self.assertEqual(on.logs["backend.suspect"], 0)
                self.assertEqual(on.logs["task.stuck"], 0)
                self.assertGreater(on.logs["run.settled"], 0)
                self.assertEqual((off.violations, on.violations), (0, 0))
