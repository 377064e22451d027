import unittest

from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.emulator import experiment

SEEDS = (0, 1, 2)
PEAK = 1.6


# Speeds of servers of which a third is far slower than the rest.
UNEVEN = (0.7, 0.7, 1.7)


def earned(job_order, placement, peak, speeds=experiment.SLOWNESSES):
    """Return the mean share of the worth earned over the seeds."""
    load = experiment.Load(peak=peak)
    shares = [
        experiment.earned_share(
            experiment.Experiment(
                seed, job_order(), placement(), load, speeds
            ).run()
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


class OverloadTests(unittest.TestCase):
    """Replays of a load that exceeds the room for five seconds."""

    def test_urgent_first_with_late_jobs_yielding_beats_least_slack(self):
        placement = dispatch_placement.FastestInTime
        ours = earned(ordering.PriorityThenSlack, placement, PEAK)
        plain = earned(ordering.LeastSlack, placement, PEAK)
        self.assertGreater(ours, plain)

    def test_waiting_for_a_server_in_time_beats_the_fastest_that_is_free(self):
        job_order = ordering.PriorityThenSlack
        for peak in (0.6, 1.3):
            with self.subTest(peak=peak):
                ours = earned(
                    job_order, dispatch_placement.FastestInTime, peak, UNEVEN
                )
                plain = earned(
                    job_order, dispatch_placement.Fastest, peak, UNEVEN
                )
                self.assertGreater(ours, plain)

    def test_fastest_server_beats_the_slowest_in_time(self):
        ours = earned(
            ordering.PriorityThenSlack, dispatch_placement.Fastest, 0.9
        )
        plain = earned(
            ordering.PriorityThenSlack, dispatch_placement.SlowestInTime, 0.9
        )
        self.assertGreater(ours, plain)
