"""Hand-overs of pools and lost links, as one host's reducer sees them."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import scheduler as dispatch_scheduler

ZONE = "north"
LOCAL = model.HostRecord("local", "1", ZONE, processors=2.0)
PEER = model.HostRecord("peer", "1", ZONE)
OUTBOUND, INBOUND = 1, 2
ROW_VERSION = 10
TICK = 25
Outcome = model.CallOutcome


class ReducerTests(unittest.TestCase):
    def setUp(self):
        self.report = builders.report()
        self.build(LOCAL)

    def build(self, local_host):
        """Build the reducer of a host that is linked to the peer."""
        self.reducer = dispatch_reducer.Reducer(local_host, builders.START)
        self.apply(events.LinkOpened(OUTBOUND, PEER, True), 0)
        self.apply(events.LinkOpened(INBOUND, PEER, False), 0)
        self.apply(events.BackendsListed((self.report,)), 0)

    def apply(self, event, at):
        return self.reducer.apply(event, builders.at(at))

    def receive(self, message, at, link=OUTBOUND):
        return self.apply(events.MessageReceived(link, message), at)

    def list_row(self, *order):
        row = pool_rows.PoolRow(order)
        self.apply(events.PoolsListed({ZONE: (ROW_VERSION, row)}), 0)

    def schedule_here(self):
        """Make this host the owner of the pool, with its server ready."""
        self.list_row(LOCAL, PEER)
        self.apply(builders.polled(self.report), 1)

    def schedule_at_peer(self):
        """Make the peer the owner of the pool."""
        self.list_row(PEER)
        fence = pool_rows.fence(ROW_VERSION, 0)
        load = messages.PoolLoad(ZONE, fence, builders.SERVICE, [], 0.0)
        self.receive(messages.HostStatus([load], False, 0), 1)

    def tick_until(self, end, start):
        done = []
        for at in range(start, end, TICK):
            done += self.apply(events.Ticked(), at)
        return done

    def logged(self, end, start):
        """Return the names of the log events of ticks."""
        done = self.tick_until(end, start)
        return [each.event for each in builders.of_type(done, effects.Log)]

    def answers(self, done):
        return [
            (each.outcome, each.reason)
            for each in builders.of_type(done, effects.AnswerJob)
        ]

    def start_job(self):
        """Start a job here; return its run."""
        done = self.apply(events.JobSubmitted(builders.job()), 2)
        (start,) = builders.of_type(done, effects.StartRun)
        self.apply(
            events.RunStarted(
                self.report.incarnation, start.run, Outcome.ACCEPTED, 1003
            ),
            3,
        )
        return start.run

    def test_run_on_an_unresponsive_server_survives_a_drain(self):
        self.schedule_here()
        run = self.start_job()
        incarnation = self.report.incarnation
        self.apply(events.BackendPolled(incarnation, Outcome.UNKNOWN), 20)
        limit = builders.milliseconds(5000)
        done = self.apply(events.DrainRequested(limit), 30)
        done += self.tick_until(300, start=50)
        self.assertEqual(self.answers(done), [])
        ended = model.EndedRun(1, run.task, run.run, model.RunEnd.DONE)
        done = self.apply(builders.polled(self.report, ended=[ended]), 310)
        self.assertEqual(self.answers(done), [(model.JobOutcome.DONE, "done")])

    def test_unresponsive_server_is_released_once_its_leases_are_over(self):
        self.schedule_here()
        self.start_job()
        incarnation = self.report.incarnation
        self.apply(events.BackendPolled(incarnation, Outcome.UNKNOWN), 20)
        limit = builders.milliseconds(5000)
        self.apply(events.DrainRequested(limit), 30)
        self.assertNotIn("backend.released", self.logged(1000, start=50))
        self.assertIn("backend.released", self.logged(1500, start=1000))

    def test_job_without_a_scheduler_does_not_depend_on_its_old_link(self):
        self.build(model.HostRecord("local", "1", "south"))
        self.schedule_at_peer()
        self.apply(events.JobSubmitted(builders.job()), 2)
        self.receive(messages.HostStatus([], True, 0), 3)
        leaving = messages.JobEnded(
            "j",
            model.JobOutcome.NOT_RUN,
            dispatch_scheduler.REASON_LEAVING,
            None,
        )
        done = self.receive(leaving, 4)
        done += self.apply(events.LinkClosed(OUTBOUND), 5)
        self.assertEqual(self.answers(done), [])
        done = self.tick_until(300, start=25)
        self.assertEqual(
            self.answers(done), [(model.JobOutcome.NOT_RUN, "no scheduler")]
        )


if __name__ == "__main__":
    unittest.main()
