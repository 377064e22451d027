"""Runs that a former scheduler, or a late order, left on a server."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model


class ForeignRunTests(reducer_case.ReducerTestCase):
    """The only task of job ``j`` still runs on a server just acquired."""

    def setUp(self):
        super().setUp()
        self.other = builders.report("server-2")
        self.list_row(reducer_case.LOCAL, reducer_case.PEER)
        self.apply(events.BackendsListed((self.report, self.other)), 0)
        self.foreign = model.RunKey("j.0.0.0", 7)
        self.apply(builders.polled(self.report, running=[self.foreign]), 1)
        self.apply(builders.polled(self.other), 1)

    def starts(self, done):
        return builders.of_type(done, effects.StartRun)

    def end_foreign_run(self, at):
        ended = model.EndedRun(1, self.foreign.task, 7, model.RunEnd.STOPPED)
        done = self.apply(builders.polled(self.report, ended=[ended]), at)
        return done + self.apply(events.Ticked(), at)

    def test_task_does_not_start_beside_its_foreign_run(self):
        done = self.apply(events.JobSubmitted(builders.job()), 2)
        done += self.tick_until(100, 25)
        self.assertEqual(self.starts(done), [])
        self.assertEqual(len(self.starts(self.end_foreign_run(110))), 1)

    def test_other_tasks_start_beside_a_foreign_run(self):
        done = self.apply(events.JobSubmitted(builders.job("other")), 2)
        self.assertEqual(len(self.starts(done)), 1)

    def test_offered_task_is_declined_beside_its_foreign_run(self):
        offer = messages.OfferTask(
            job_id="j",
            step=0,
            index=0,
            run=8,
            queue="q",
            service=builders.SERVICE,
            spec="spec",
            room=builders.TASK_RESOURCES,
            estimate_ms=100.0,
            due_in_ms=1000.0,
            label=None,
            max_per_backend=None,
        )
        done = self.receive(offer, 5, link=reducer_case.INBOUND)
        self.assertEqual(self.starts(done), [])

    def test_foreign_run_ends_with_its_lease_if_its_server_is_silent(self):
        due, expires = builders.at(4000), builders.at(5000)
        job = builders.job(due=due, expires=expires)
        self.apply(events.JobSubmitted(job), 2)
        silent = events.BackendPolled(
            self.report.incarnation, model.CallOutcome.UNKNOWN
        )
        done = self.apply(silent, 100) + self.tick_until(1000, 125)
        self.assertEqual(self.starts(done), [])
        done = self.tick_until(1300, 1000)
        self.assertEqual(len(self.starts(done)), 1)

    def test_foreign_run_of_a_server_that_is_gone_is_not_awaited(self):
        self.apply(events.JobSubmitted(builders.job()), 2)
        self.apply(
            events.BackendPolled(
                self.report.incarnation, model.CallOutcome.OTHER_INCARNATION
            ),
            10,
        )
        done = self.apply(events.Ticked(), 25)
        self.assertEqual(len(self.starts(done)), 1)
