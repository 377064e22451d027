"""Served load with tasks that take long, and with servers that do."""

import datetime
import unittest

from waxwingwalk.dispatch import settings
from waxwingwalk.emulator import fault_load

PROGRESS = settings.DispatchSettings(run_progress=True)
SEEDS = (1, 2, 3)
SHORT = datetime.timedelta(seconds=6)
LONG = datetime.timedelta(seconds=12)


class StuckRunLoadTests(unittest.TestCase):
    def compare(self, seed, load):
        results = [
            fault_load.FaultExperiment(seed, load, each).run()
            for each in (settings.DispatchSettings(), PROGRESS)
        ]
        self.assertEqual([each.violations for each in results], [0, 0])
        return results

    def test_long_tasks_are_left_alone(self):
        """Stopped at 4 times the estimate, they took as long again."""
        load = fault_load.FaultLoad(length=SHORT, long_share=0.03)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                off, on = self.compare(seed, load)
                self.assertGreater(on.earned, off.earned)
                self.assertLess(
                    on.logs["task.stuck"], off.logs["task.stuck"] / 10
                )

    def test_tasks_on_servers_that_stand_still_are_started_elsewhere(self):
        for reports_progress in (False, True):
            load = fault_load.FaultLoad(
                length=LONG if reports_progress else SHORT,
                standing=1,
                reports_progress=reports_progress,
            )
            for seed in SEEDS:
                with self.subTest(seed=seed, progress=reports_progress):
                    off, on = self.compare(seed, load)
                    self.assertGreater(on.logs["task.stuck"], 0)
                    self.assertGreater(on.earned, off.earned - 0.01)
