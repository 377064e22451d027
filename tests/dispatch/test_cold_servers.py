"""Servers that are slow for a while after their start."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import run_tracker

Outcome = model.CallOutcome
FENCE = 7


class ColdServerTests(unittest.TestCase):
    """A server that is slow until its clock shows 3000 ms."""

    def setUp(self):
        self.run_tracker = run_tracker.RunTracker()
        self.report = builders.report(warm_at_ms=3000)

    def acquire(self):
        self.run_tracker.acquire(self.report, FENCE, builders.START)
        self.poll(1, 1000)
        return self.run_tracker.get(self.report.incarnation)

    def poll(self, at, server_clock_ms, ended=()):
        self.run_tracker.polled(
            self.report.incarnation,
            Outcome.ACCEPTED,
            server_clock_ms,
            (),
            tuple(ended),
            builders.at(at),
        )

    def run_once(self, run, start_at, end_at):
        """Run a task of 100 ms for some time."""
        order = builders.order(run=run)
        backend = self.run_tracker.get(self.report.incarnation)
        self.run_tracker.start(order, backend, builders.at(start_at))
        self.run_tracker.started(
            self.report.incarnation,
            order.key,
            Outcome.ACCEPTED,
            1000 + start_at,
            builders.at(start_at),
        )
        ended = model.EndedRun(run, order.key.task, run, model.RunEnd.DONE)
        self.poll(end_at, 1000 + end_at, [ended])

    def test_cold_server_counts_as_slower_until_it_is_warm(self):
        backend = self.acquire()
        self.assertEqual(backend.slowness(builders.at(1990)), 2.0)
        self.assertEqual(backend.slowness(builders.at(2010)), 1.0)

    def test_slow_run_on_a_cold_server_does_not_make_it_slow_later(self):
        backend = self.acquire()
        self.run_once(1, 10, 410)
        self.assertGreater(backend.slowness(builders.at(500)), 2.0)
        self.assertEqual(backend.slowness(builders.at(2100)), 1.0)

    def test_runs_on_cold_servers_tell_how_slow_the_next_one_is(self):
        self.acquire()
        self.run_once(1, 10, 410)
        other = builders.report("server-2", warm_at_ms=5000)
        self.run_tracker.acquire(other, FENCE, builders.at(500))
        backend = self.run_tracker.get(other.incarnation)
        self.assertGreater(backend.slowness(builders.at(510)), 2.0)

    def test_run_time_is_reported_with_the_slowness_of_a_cold_server(self):
        self.acquire()
        self.run_once(1, 10, 210)
        (ended,) = self.run_tracker.ended
        self.assertEqual(ended.slowness, 2.0)
