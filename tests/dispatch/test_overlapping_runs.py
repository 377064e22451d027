import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import run_tracker

Outcome = model.CallOutcome
NEWER_MS = 5000


class RepeatedRunTests(unittest.TestCase):
    """A job was submitted twice, so that run 1 of its task was ordered twice.

    The first of these runs is over, as its lease has expired, but its server
    has not answered since.
    """

    def setUp(self):
        self.run_tracker = run_tracker.RunTracker()
        self.first = self.add_server("server-1")
        self.order = builders.order()
        self.run_tracker.start(self.order, self.first, builders.at(2))
        self.run_tracker.started(
            self.first.incarnation,
            self.order.key,
            Outcome.ACCEPTED,
            1001,
            builders.at(2),
        )
        self.run_tracker.polled(
            self.first.incarnation,
            Outcome.UNKNOWN,
            None,
            (),
            (),
            builders.at(3),
        )
        self.over_at = self.first.latest_lapse_time(
            builders.at(3)
        ) + builders.milliseconds(1)
        self.run_tracker.tick(self.over_at)
        self.assertFalse(self.run_tracker.has_active_run(self.order.ref.name))

    def add_server(self, name):
        report = builders.report(name)
        self.run_tracker.acquire(report, 1, builders.START)
        self.poll(report.incarnation, builders.at(1))
        return self.run_tracker.get(report.incarnation)

    def poll(self, incarnation, now, ended=()):
        self.run_tracker.polled(
            incarnation, Outcome.ACCEPTED, 1000, (), tuple(ended), now
        )

    def test_run_can_be_stopped_after_the_end_of_its_namesake(self):
        second = self.add_server("server-2")
        again = builders.order()
        self.run_tracker.start(again, second, self.over_at)
        lapsed = model.EndedRun(
            1, again.key.task, again.key.run, model.RunEnd.LAPSED
        )
        self.poll(self.first.incarnation, self.over_at, [lapsed])
        done = self.run_tracker.stop(again.key, self.over_at)
        (stop,) = builders.of_type(done, effects.StopRun)
        self.assertEqual(stop.incarnation, second.incarnation)

    def test_run_does_not_replace_its_namesake_on_a_server(self):
        self.assertFalse(self.first.can_fit_now(builders.order()))
        self.assertTrue(self.first.can_fit_now(builders.order(run=2)))


class StaleListTests(reducer_case.ReducerTestCase):
    def test_older_incarnation_is_not_acquired_beside_a_newer_one(self):
        self.list_row(reducer_case.LOCAL, reducer_case.PEER)
        newer = builders.report(started_ms=NEWER_MS)
        self.apply(events.BackendsListed((newer,)), 1)
        self.apply(builders.polled(newer), 2)
        done = self.apply(events.BackendsListed((self.report,)), 3)
        self.assertEqual(builders.of_type(done, effects.PollBackend), [])
        done = self.apply(events.JobSubmitted(builders.job()), 4)
        (start,) = builders.of_type(done, effects.StartRun)
        self.assertEqual(start.incarnation, newer.incarnation)


class ReclaimedPoolTests(reducer_case.ReducerTestCase):
    """The pool was claimed by the peer, and is claimed here again."""

    def setUp(self):
        super().setUp()
        self.schedule_here()
        self.run = self.start_job()

    def lose_pool(self, at):
        fence = pool_rows.fence(reducer_case.ROW_VERSION, 1)
        load = messages.PoolLoad(
            reducer_case.ZONE, fence, builders.SERVICE, [], 0.0
        )
        self.receive(messages.HostStatus([load], False, 0), at)
        self.assertEqual(self.reducer.ownership.claims, {})

    def reclaim_pool(self, at):
        self.apply(events.LinkClosed(reducer_case.OUTBOUND), at)
        self.apply(events.LinkClosed(reducer_case.INBOUND), at)
        self.apply(events.BackendsListed((self.report,)), at)
        self.assertIn(reducer_case.ZONE, self.reducer.ownership.claims)

    def end_run(self, at):
        ended = model.EndedRun(1, self.run.task, 1, model.RunEnd.DONE)
        return self.apply(builders.polled(self.report, ended=[ended]), at)

    def fences(self, done):
        return [
            each.fence for each in builders.of_type(done, effects.PollBackend)
        ]

    def test_server_is_usable_once_its_former_runs_have_ended(self):
        self.lose_pool(10)
        self.reclaim_pool(20)
        done = self.end_run(30)
        done += self.apply(events.BackendsListed((self.report,)), 31)
        self.assertTrue(self.fences(done))
        self.apply(builders.polled(self.report), 32)
        done = self.apply(events.JobSubmitted(builders.job("k")), 33)
        self.assertEqual(len(builders.of_type(done, effects.StartRun)), 1)

    def test_fence_of_a_server_is_never_used_again(self):
        former = self.reducer.run_tracker.get(self.report.incarnation).fence
        self.end_run(5)
        self.lose_pool(10)
        self.reclaim_pool(20)
        backend = self.reducer.run_tracker.get(self.report.incarnation)
        self.assertGreater(backend.fence, former)

    def acquire_again(self):
        """Release the server and acquire it; return its former fence."""
        former = self.reducer.run_tracker.get(self.report.incarnation).fence
        self.end_run(5)
        self.lose_pool(10)
        self.reclaim_pool(20)
        return former

    def test_poll_from_before_the_release_does_not_verify_the_server(self):
        stale = builders.polled(self.report)
        stale.fence = self.acquire_again()
        self.apply(stale, 21)
        done = self.apply(events.JobSubmitted(builders.job("k")), 22)
        self.assertEqual(builders.of_type(done, effects.StartRun), [])

    def test_refusal_from_before_the_release_does_not_end_the_use(self):
        former = self.acquire_again()
        self.apply(builders.polled(self.report), 21)
        stale = events.RunStopped(
            self.report.incarnation, self.run, Outcome.FENCED, former
        )
        self.apply(stale, 22)
        done = self.apply(events.JobSubmitted(builders.job("k")), 23)
        self.assertEqual(len(builders.of_type(done, effects.StartRun)), 1)
