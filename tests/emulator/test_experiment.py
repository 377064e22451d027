import unittest

from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.emulator import experiment

SEEDS = (0, 1, 2)
PEAK = 1.6
# Slowness of the servers: a third is far slower than the rest.
UNEVEN = (0.7, 0.7, 1.7)


def earned(job_order, placement, peak, slownesses=experiment.SLOWNESSES):
    """Return the mean earned share of the worth over the seeds."""
    load = experiment.Load(peak=peak)
    shares = [
        experiment.earned_share(
            experiment.Experiment(
                seed, job_order(), placement(), load, slownesses
            ).run()
        )
        for seed in SEEDS
    ]
    return sum(shares) / len(shares)


class OverloadTests(unittest.TestCase):
    """Compare policies under a load with a peak phase of five seconds.

    Peaks of 0.6 and 0.9 do not exceed the base load of 0.9: the load is then
    no overload.
    """

    def test_urgent_first_with_late_jobs_deferred_beats_least_slack(self):
        placement = dispatch_placement.FastestInTime
        chosen = earned(ordering.PriorityThenSlack, placement, PEAK)
        baseline = earned(ordering.LeastSlack, placement, PEAK)
        self.assertGreater(chosen, baseline)

    def test_waiting_for_a_server_in_time_beats_the_fastest_that_is_free(self):
        job_order = ordering.PriorityThenSlack
        for peak in (0.6, 1.3):
            with self.subTest(peak=peak):
                chosen = earned(
                    job_order, dispatch_placement.FastestInTime, peak, UNEVEN
                )
                baseline = earned(
                    job_order, dispatch_placement.Fastest, peak, UNEVEN
                )
                self.assertGreater(chosen, baseline)

    def test_fastest_server_beats_the_slowest_in_time(self):
        chosen = earned(
            ordering.PriorityThenSlack, dispatch_placement.Fastest, 0.9
        )
        baseline = earned(
            ordering.PriorityThenSlack, dispatch_placement.SlowestInTime, 0.9
        )
        self.assertGreater(chosen, baseline)
