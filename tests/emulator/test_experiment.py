import unittest

from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement
from waxwingwalk.emulator import experiment

SEEDS = (0, 1, 2)
PEAK = 1.6


def earned(order, place, peak):
    """Return the mean share of the worth earned over the seeds."""
    load = experiment.Load(peak=peak)
    shares = [
        experiment.overall(
            experiment.Experiment(seed, order(), place(), load).run()
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


class OverloadTests(unittest.TestCase):
    """Replays of a load that exceeds the room for five seconds."""

    def test_urgent_first_with_late_jobs_yielding_beats_least_slack(self):
        ours = earned(ordering.PriorityThenSlack, placement.Fastest, PEAK)
        plain = earned(ordering.LeastSlack, placement.Fastest, PEAK)
        self.assertGreater(ours, plain)

    def test_fastest_server_beats_the_slowest_in_time(self):
        ours = earned(ordering.PriorityThenSlack, placement.Fastest, 0.9)
        plain = earned(
            ordering.PriorityThenSlack, placement.SlowestInTime, 0.9
        )
        self.assertGreater(ours, plain)
