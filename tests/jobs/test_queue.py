"""The queue: weighted sharing among teams, quotas and job orders."""

import collections
import unittest

from tests.core import reducers
from waxwingwalk.jobs import job as jobs
from waxwingwalk.jobs import queue
from waxwingwalk.routing import job_order


def make_job(harness, team, count, run_time=0.2, **fields):
    """Return an active job that is not queued yet."""
    spec = reducers.job_spec(
        harness, count, team=team, run_time=run_time, **fields
    )
    return jobs.new_job(spec, jobs.JobPhase.ACTIVE, [run_time] * count)


class FairnessTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        self.running = collections.Counter()
        self.quotas = {}
        self.weights = {}
        self.queue = queue.ServiceQueue(
            job_order.FifoOrder(),
            weight=lambda team: self.weights.get(team, 1.0),
            may_start=self.may_start,
        )

    def may_start(self, team):
        """Return whether a team is below its quota."""
        return self.running[team] < self.quotas.get(team, 10**9)

    def start_tasks(self, count):
        """Start tasks; return the number started for each team."""
        started = collections.Counter()
        for _ in range(count):
            job = self.queue.first()
            if job is None:
                break
            self.queue.pop_task(job, -1)
            self.running[job.spec.team] += 1
            started[job.spec.team] += 1
        return started

    def test_burst_of_one_team_does_not_delay_another(self):
        self.queue.add(make_job(self.harness, "greedy", 500))
        self.start_tasks(100)
        self.queue.add(make_job(self.harness, "modest", 10))
        self.assertEqual(10, self.start_tasks(21)["modest"])

    def test_teams_share_by_weight(self):
        self.weights = {"a": 3.0}
        self.queue.add(make_job(self.harness, "a", 400))
        self.queue.add(make_job(self.harness, "b", 400))
        started = self.start_tasks(200)
        self.assertAlmostEqual(150, started["a"], delta=3)

    def test_team_at_its_quota_is_skipped_until_a_task_ends(self):
        self.quotas = {"a": 3}
        self.queue.add(make_job(self.harness, "a", 10))
        self.queue.add(make_job(self.harness, "b", 10))
        self.assertEqual({"a": 3, "b": 10}, dict(self.start_tasks(100)))
        self.assertTrue(self.queue.is_blocked)
        self.running["a"] -= 1
        self.queue.unblock_team("a")
        self.assertEqual({"a": 1}, dict(self.start_tasks(100)))

    def test_removed_job_leaves_nothing(self):
        job = make_job(self.harness, "a", 10)
        self.queue.add(job)
        self.queue.remove(job)
        self.assertIsNone(self.queue.first())
        self.assertEqual((0, 0.0), (self.queue.task_count, self.queue.work))


class OrderTests(unittest.TestCase):
    def test_first_job_in_each_order(self):
        harness = reducers.ReducerHarness()
        old = make_job(harness, "a", 90, deadline=60)
        harness.clock.advance(reducers.seconds(0.5))
        short = make_job(harness, "a", 2, deadline=50)
        urgent = make_job(harness, "a", 60, deadline=5)
        cases = [
            (job_order.FifoOrder(), old),
            (job_order.DeadlineOrder(), urgent),
            (job_order.ShortestRemainingOrder(), short),
        ]
        for order, expected in cases:
            with self.subTest(order=type(order).__name__):
                waiting = queue.ServiceQueue(
                    order, weight=lambda team: 1.0, may_start=lambda team: True
                )
                for job in (old, short, urgent):
                    waiting.add(job)
                self.assertIs(expected, waiting.first())

    def test_waiting_time_offsets_remaining_work(self):
        harness = reducers.ReducerHarness()
        order = job_order.ShortestRemainingOrder()
        old = make_job(harness, "a", 90)
        harness.clock.advance(reducers.seconds(60))
        self.assertLess(order.key(old), order.key(make_job(harness, "a", 1)))
