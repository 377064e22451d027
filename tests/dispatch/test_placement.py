import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import placement


def server(name, slowness):
    """Return a backend server whose slowness has been learned."""
    backend = backends.Backend(builders.report(name), 1, builders.START)
    for _ in range(50):
        backend.learned_slowness.learn(
            builders.milliseconds(100 * slowness), builders.milliseconds(100)
        )
    return backend


class FastestInTimeTests(unittest.TestCase):
    def setUp(self):
        self.fast, self.slow = server("fast", 0.7), server("slow", 1.7)
        self.both = [self.fast, self.slow]

    def choose(self, free, due):
        order = builders.order(estimate=builders.milliseconds(100))
        return placement.FastestInTime().choose(
            free, self.both, order, builders.at(due), builders.START
        )

    def test_fastest_of_the_free_servers_is_chosen(self):
        self.assertIs(self.choose(self.both, 300), self.fast)

    def test_slow_server_is_chosen_if_the_task_is_on_time_there(self):
        self.assertIs(self.choose([self.slow], 300), self.slow)

    def test_task_waits_for_a_server_on_which_it_is_on_time(self):
        self.assertIsNone(self.choose([self.slow], 150))

    def test_task_that_is_late_everywhere_does_not_wait(self):
        self.assertIs(self.choose([self.slow], 50), self.slow)

    def test_task_waits_without_a_free_server(self):
        self.assertIsNone(self.choose([], 300))
