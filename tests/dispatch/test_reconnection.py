import datetime
import unittest

from waxwingwalk.dispatch import reconnection

SHORT = reconnection.STABLE_AFTER / 2


class ReconnectionTests(unittest.TestCase):
    def setUp(self):
        self.drawn = 1.0
        self.reconnection = reconnection.Reconnection(lambda: self.drawn)

    def test_links_that_close_soon_are_opened_ever_less_often(self):
        # Links closed and opened again up to 845 times a second.
        delays = [self.reconnection.after_link(SHORT) for _ in range(10)]
        self.assertEqual(delays, sorted(delays))
        self.assertEqual(delays[0], reconnection.PAUSE)
        self.assertEqual(delays[-1], reconnection.PAUSE_MAX)

    def test_lost_stable_link_is_opened_again_soon(self):
        # A successor takes over once a connection is refused, so the first
        # attempt must not wait long, whatever happened before.
        for _ in range(10):
            self.reconnection.after_failure()
        delay = self.reconnection.after_link(reconnection.STABLE_AFTER)
        self.assertLessEqual(delay, reconnection.FIRST_DELAY_MAX)
        self.assertEqual(self.reconnection.after_failure(), reconnection.PAUSE)

    def test_delays_have_jitter(self):
        for method in ("after_failure", "after_link"):
            delays = []
            for self.drawn in (0.0, 0.5, 1.0):
                attempt = reconnection.Reconnection(lambda: self.drawn)
                lasted = (
                    (datetime.timedelta(hours=1),)
                    if method == "after_link"
                    else ()
                )
                delays.append(getattr(attempt, method)(*lasted))
            self.assertEqual(len(set(delays)), 3)
