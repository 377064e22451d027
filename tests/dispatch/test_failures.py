"""An unexpected error costs only the step in which it is raised."""

from unittest import mock

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import run_tracker

ERROR = ZeroDivisionError("unexpected")


class FailureTests(reducer_case.ReducerTestCase):
    def setUp(self):
        self.failures = []
        super().setUp()

    def apply(self, event, at):
        done = self.reducer.apply(event, builders.at(at))
        self.failures += builders.of_type(done, effects.ReportFailure)
        return done

    def break_method(self, target, name, on=None):
        """Let a method fail, with ``on`` only for that first argument."""
        method = getattr(target, name)

        def failing(*args, **kwargs):
            if on is None or on(*args):
                raise ERROR
            return method(*args, **kwargs)

        patch = mock.patch.object(target, name, failing)
        patch.start()
        self.addCleanup(patch.stop)

    def test_failed_step_of_a_tick_keeps_no_other_step_from_being_done(self):
        self.schedule_here()
        steps = ("run_tracker.tick", "scheduler.tick", "catalog_sharing.tick")
        for name in steps:
            component, method = name.split(".")
            self.break_method(getattr(self.reducer, component), method)
        self.break_method(self.reducer, "_check_links")
        done = self.apply(events.DrainRequested(model.ZERO), 10)
        done = self.tick_until(200, 25)
        self.assertIn(effects.Exit, [type(each) for each in done])
        self.assertTrue(self.failures)

    def test_server_that_cannot_be_handled_costs_no_other_server(self):
        bad = builders.report("a-bad")
        self.break_method(
            run_tracker.RunTracker,
            "acquire",
            lambda _, report, *rest: report == bad,
        )
        self.apply(events.BackendsListed((bad, self.report)), 0)
        self.schedule_here()
        self.assertIs(
            self.reducer.run_tracker.get(self.report.incarnation).state,
            backends.BackendState.READY,
        )
        self.assertEqual(
            {each.where for each in self.failures}, {str(bad.incarnation)}
        )

    def test_poll_whose_outcome_is_lost_is_sent_again(self):
        self.list_row(reducer_case.LOCAL, reducer_case.PEER)
        done = self.tick_until(6000, 25)
        polls = builders.of_type(done, effects.PollBackend)
        self.assertEqual(len(polls), 1)

    def test_write_whose_outcome_is_lost_is_sent_again(self):
        self.list_row(reducer_case.LOCAL)
        done = []
        for at in range(25, 7000, reducer_case.TICK):
            for link in (reducer_case.OUTBOUND, reducer_case.INBOUND):
                self.receive(messages.KeepAlive(0), at, link)
            done += self.apply(events.Ticked(), at)
        self.assertEqual(len(builders.of_type(done, effects.WritePool)), 1)

    def test_job_that_cannot_be_handled_is_answered_as_lost(self):
        self.schedule_here()
        self.break_method(self.reducer.front, "submit")
        done = self.apply(events.JobSubmitted(builders.job()), 2)
        ((outcome, reason),) = self.answers(done)
        self.assertIs(outcome, model.JobOutcome.LOST)
        self.assertEqual(reason, "internal error")

    def test_job_of_a_peer_that_cannot_be_handled_is_answered_as_lost(self):
        self.schedule_here()
        self.break_method(self.reducer.scheduler, "submit")
        submit = messages.SubmitJob(
            "j", "q", "s", 0, 1, "spec", 1.6, builders.job().steps, 9, 99, 3
        )
        done = self.receive(submit, 2, reducer_case.INBOUND)
        (answer,) = [
            each.message
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.JobEnded)
        ]
        self.assertIs(answer.outcome, model.JobOutcome.LOST)
        self.assertEqual(answer.request, 3)

    def test_job_whose_tasks_cannot_be_started_keeps_no_other_waiting(self):
        self.schedule_here()
        scheduler = self.reducer.scheduler
        self.break_method(
            scheduler,
            "_start_ready_tasks",
            lambda record, now: record.job.job_id == "bad",
        )
        self.apply(events.JobSubmitted(builders.job("bad")), 2)
        done = self.apply(events.JobSubmitted(builders.job("good")), 3)
        (start,) = builders.of_type(done, effects.StartRun)
        self.assertTrue(start.run.task.startswith("good."))
        self.assertEqual(self.answers(done), [])
