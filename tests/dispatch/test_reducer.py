"""Hand-overs of pools and lost links, as one host's reducer sees them."""

import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
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
