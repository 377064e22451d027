"""Outlier detection: a bad backend server, or a bad job?"""

import random
import unittest

from waxwingwalk.routing import outliers


class LikelihoodTests(unittest.TestCase):
    def run_tasks(self, seed, count, failure_rate):
        """Run tasks of two classes; return the servers that were condemned.

        ``failure_rate`` gives the rate for a server and a class.
        """
        generator = random.Random(seed)
        detector = outliers.LikelihoodDetector()
        condemned = []
        for _ in range(count):
            server = f"b{generator.randrange(24)}"
            kind = "bad" if generator.random() < 0.05 else "good"
            if generator.random() < failure_rate(server, kind):
                if detector.task_failed(server, kind):
                    condemned.append(server)
                    detector.forget(server)
            else:
                detector.task_done(server, kind)
        return condemned

    def test_server_that_fails_everything_is_condemned_soon(self):
        for seed in range(20):
            detector = outliers.LikelihoodDetector()
            for server in range(24):
                detector.task_done(f"b{server}", "good")
            failures = 0
            while not detector.task_failed("b0", "good"):
                failures += 1
            self.assertLess(failures, 5, seed)

    def test_class_that_fails_everywhere_condemns_nobody(self):
        for seed in range(20):
            condemned = self.run_tasks(
                seed, 5000, lambda server, kind: float(kind == "bad")
            )
            self.assertEqual([], condemned, seed)

    def test_only_the_bad_server_is_condemned_beside_a_bad_class(self):
        for seed in range(20):
            condemned = self.run_tasks(
                seed,
                5000,
                lambda server, kind: float(kind == "bad" or server == "b3"),
            )
            self.assertEqual({"b3"}, set(condemned), seed)
