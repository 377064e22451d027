"""Outlier detection: distinguishing faulty servers and task classes."""

import random
import unittest

from waxwingwalk.routing import outliers


class LikelihoodTests(unittest.TestCase):
    def run_tasks(self, seed, count, failure_rate):
        """Run tasks of two classes; return the servers found faulty.

        ``failure_rate`` returns the rate for a server and a class.
        """
        generator = random.Random(seed)
        detector = outliers.LikelihoodDetector()
        faulty = []
        for _ in range(count):
            server = f"b{generator.randrange(24)}"
            task_class = "bad" if generator.random() < 0.05 else "good"
            if generator.random() < failure_rate(server, task_class):
                if detector.task_failed(server, task_class):
                    faulty.append(server)
                    detector.forget(server)
            else:
                detector.task_done(server, task_class)
        return faulty

    def test_server_that_fails_every_task_is_detected_soon(self):
        for seed in range(20):
            detector = outliers.LikelihoodDetector()
            for server in range(24):
                detector.task_done(f"b{server}", "good")
            failures = 0
            while not detector.task_failed("b0", "good"):
                failures += 1
            self.assertLess(failures, 5, seed)

    def test_no_server_is_detected_if_a_class_fails_everywhere(self):
        for seed in range(20):
            faulty = self.run_tasks(
                seed,
                5000,
                lambda server, task_class: float(task_class == "bad"),
            )
            self.assertEqual([], faulty, seed)

    def test_only_the_faulty_server_is_detected_beside_a_failing_class(self):
        for seed in range(20):
            faulty = self.run_tasks(
                seed,
                5000,
                lambda server, task_class: float(
                    task_class == "bad" or server == "b3"
                ),
            )
            self.assertEqual({"b3"}, set(faulty), seed)
