"""Keep-alives of links, which are more frequent on busy links."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import links
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer

LINK = 4
PEER = model.HostRecord("peer", "1", "north")
TICK = 25


class LinkTests(unittest.TestCase):
    def setUp(self):
        local_host = model.HostRecord("me", "1", "north")
        self.reducer = dispatch_reducer.Reducer(local_host, builders.START)
        self.apply(events.BackendsListed((builders.report(),)), 0)
        self.apply(events.LinkOpened(LINK, PEER, True), 0)
        load = messages.PoolLoad("north", 7, builders.SERVICE, [], 0.0)
        status = messages.HostStatus([load], False, 0)
        self.apply(events.MessageReceived(LINK, status), 0)

    def apply(self, event, at):
        return self.reducer.apply(event, builders.at(at))

    def tick_until(self, end, start=0):
        """Apply ticks; return the times of keep-alives and of the close."""
        keep_alives = []
        for at in range(start, end, TICK):
            done = self.apply(events.Ticked(), at)
            keep_alives += [
                at
                for each in builders.of_type(done, effects.Send)
                if isinstance(each.message, messages.KeepAlive)
            ]
            if builders.of_type(done, effects.CloseLink):
                return keep_alives, at
        return keep_alives, None

    def test_idle_link_has_few_keep_alives_and_is_closed_late(self):
        keep_alives, closed = self.tick_until(3000)
        timeout = links.IDLE_TIMEOUT / model.MILLISECOND
        self.assertAlmostEqual(closed, timeout, delta=2 * TICK)
        self.assertLessEqual(len(keep_alives), 3)

    def test_link_with_a_job_is_closed_by_the_time_its_leases_expire(self):
        self.tick_until(1000)
        self.apply(
            events.JobSubmitted(builders.job(now=builders.at(1000))), 1000
        )
        keep_alives, closed = self.tick_until(3000, start=1000)
        timeout = links.BUSY_TIMEOUT / model.MILLISECOND
        self.assertAlmostEqual(closed, 1000 + timeout, delta=2 * TICK)
        self.assertGreaterEqual(len(keep_alives), 3)

    def test_far_end_sends_a_keep_alive_once_a_job_has_arrived(self):
        far = model.HostRecord("far", "1", "south")
        row = pool_rows.PoolRow((self.reducer.local_host, far))
        self.apply(events.PoolsListed({"north": (10, row)}), 0)
        self.apply(builders.polled(builders.report()), 1)
        self.apply(events.LinkOpened(9, far, False), 2)
        self.tick_until(400, start=TICK)
        job = builders.job(estimate=500)
        submitted = messages.SubmitJob(
            job_id=job.job_id,
            queue=job.queue,
            service=job.service,
            priority=job.priority,
            attempts=job.attempts,
            spec=job.spec,
            stretch=job.stretch,
            steps=job.steps,
            due_in_ms=800,
            expires_in_ms=2000,
        )
        self.apply(events.MessageReceived(9, submitted), 400)
        done = self.apply(events.Ticked(), 400 + TICK)
        keep_alives = [
            each
            for each in builders.of_type(done, effects.Send)
            if each.link == 9 and isinstance(each.message, messages.HostStatus)
        ]
        self.assertEqual(len(keep_alives), 1)
