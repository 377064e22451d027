"""Hand-overs of pools and lost links, as one host's reducer sees them."""

import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import scheduler as dispatch_scheduler

UNKNOWN = model.CallOutcome.UNKNOWN


class HandOverTests(reducer_case.ReducerTestCase):
    def test_run_on_an_unresponsive_server_survives_a_drain(self):
        self.schedule_here()
        run = self.start_job()
        incarnation = self.report.incarnation
        self.apply(events.BackendPolled(incarnation, UNKNOWN), 20)
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
        self.apply(events.BackendPolled(incarnation, UNKNOWN), 20)
        limit = builders.milliseconds(5000)
        self.apply(events.DrainRequested(limit), 30)
        self.assertNotIn("backend.released", self.logged(1000, start=50))
        self.assertIn("backend.released", self.logged(1500, start=1000))

    def test_new_owner_starts_nothing_by_a_list_from_before_the_claim(self):
        # Found by a hunt on derwent-pool (hunt-0a00-31). A host without a pool
        # reads the servers' table every 5 s; a server that has said since
        # then that it drains gets no task later than 2 s after that.
        self.take_over_at_4000()
        self.apply(builders.polled(self.report), 4002)
        job = builders.job(now=builders.at(4003))
        done = self.apply(events.JobSubmitted(job), 4003)
        self.assertEqual(builders.of_type(done, effects.StartRun), [])
        draining = builders.report(
            advertised_state=model.AdvertisedState.DRAINING
        )
        done = self.apply(events.BackendsListed((draining,)), 4070)
        self.assertEqual(builders.of_type(done, effects.StartRun), [])

    def test_new_owner_acquires_servers_with_the_next_list(self):
        self.take_over_at_4000()
        done = self.apply(events.BackendsListed((self.report,)), 4070)
        self.assertEqual(len(builders.of_type(done, effects.PollBackend)), 1)

    def test_new_owner_does_not_wait_long_for_a_list(self):
        # The store may be down.
        self.take_over_at_4000()
        done = self.tick_until(4250, start=4025)
        self.assertEqual(builders.of_type(done, effects.PollBackend), [])
        done = self.tick_until(4450, start=4250)
        self.assertEqual(len(builders.of_type(done, effects.PollBackend)), 1)

    def test_woken_host_acquires_nothing_by_a_list_from_before_its_pause(self):
        self.tick_until(101, start=0)
        row = pool_rows.PoolRow((reducer_case.LOCAL, reducer_case.PEER))
        rows = {reducer_case.ZONE: (reducer_case.ROW_VERSION, row)}
        done = self.apply(events.PoolsListed(rows), 4000)
        self.assertIn(reducer_case.ZONE, self.reducer.ownership.claims)
        self.assertEqual(builders.of_type(done, effects.PollBackend), [])

    def take_over_at_4000(self):
        """Be a standby for 4 s, then succeed a leaving owner."""
        self.list_row(reducer_case.PEER, reducer_case.LOCAL)
        for at in range(100, 4000, 100):
            self.receive(messages.HostStatus([], False, 0, []), at)
            self.receive(messages.KeepAlive(0), at, link=reducer_case.INBOUND)
            self.tick_until(at + 100, start=at)
        self.receive(messages.HostStatus([], True, 0, []), 4000)
        self.assertIn(reducer_case.ZONE, self.reducer.ownership.claims)

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
        done += self.apply(events.LinkClosed(reducer_case.OUTBOUND), 5)
        self.assertEqual(self.answers(done), [])
        done = self.tick_until(300, start=25)
        self.assertEqual(
            self.answers(done), [(model.JobOutcome.NOT_RUN, "no scheduler")]
        )


if __name__ == "__main__":
    unittest.main()
