"""A base class for tests of the reducer of one host."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer

ZONE = "north"
LOCAL = model.HostRecord("local", "1", ZONE, processors=2.0)
PEER = model.HostRecord("peer", "1", ZONE)
OUTBOUND, INBOUND = 1, 2
ROW_VERSION = 10
TICK = 25
Outcome = model.CallOutcome


class ReducerTestCase(unittest.TestCase):
    """A host with a peer, both of the zone of the only backend server."""

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
        """Apply an event; raise the error if a step of that has failed."""
        done = self.reducer.apply(event, builders.at(at))
        for failure in builders.of_type(done, effects.ReportFailure):
            raise failure.error
        return done

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
