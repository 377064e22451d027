"""Run-time estimates: learned slowness and bias of declarations."""

import math
import random
import unittest

from waxwingwalk.routing import estimates


class EstimatorTests(unittest.TestCase):
    def build_estimator(self, speeds, error, bias=1.0, count=4000):
        """Return an estimator that has observed tasks on these servers."""
        generator = random.Random(3)
        estimator = estimates.RunTimeEstimator()
        for _ in range(count):
            server = generator.randrange(len(speeds))
            work = generator.uniform(0.05, 1.0)
            declared = work * error ** generator.uniform(-1, 1) / bias
            estimator.observe(
                "refunds",
                "shops",
                f"b{server}",
                declared=declared,
                observed=work / speeds[server],
            )
        return estimator

    def test_relative_speeds_are_learned_through_wrong_declarations(self):
        speeds = (0.25, 1.0, 2.0)
        for error, tolerance in ((1.0, 0.05), (10.0, 0.6)):
            with self.subTest(error=error):
                estimator = self.build_estimator(speeds, error)
                slow = estimator.slowness("refunds", "b0")
                fast = estimator.slowness("refunds", "b2")
                self.assertAlmostEqual(
                    math.log(8), math.log(slow / fast), delta=tolerance
                )

    def test_constant_bias_of_declarations_is_corrected(self):
        estimator = self.build_estimator((1.0, 1.0), error=1.1, bias=5.0)
        expected = estimator.base_run_time("refunds", "shops", 0.2)
        expected *= estimator.slowness("refunds", "b0")
        self.assertAlmostEqual(1.0, expected, delta=0.1)

    def test_declared_run_time_is_used_for_an_unknown_task(self):
        estimator = estimates.RunTimeEstimator()
        self.assertEqual(0.2, estimator.base_run_time("refunds", "shops", 0.2))
        self.assertEqual(1.0, estimator.slowness("refunds", "b0"))
