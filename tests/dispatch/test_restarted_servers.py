"""Backend servers that restart under their id, as their scheduler sees it."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows

Outcome = model.CallOutcome


class RestartedServerTests(reducer_case.ReducerTestCase):
    def setUp(self):
        super().setUp()
        self.schedule_here()
        self.run = self.start_job()
        self.restarted = builders.report(started_ms=2)

    def reveal_restart(self, at):
        """Answer the poll under way as the new incarnation."""
        return self.apply(
            events.BackendPolled(
                self.report.incarnation,
                Outcome.OTHER_INCARNATION,
                successor=self.restarted.incarnation,
            ),
            at,
        )

    def poll_restarted(self, at, **lists):
        return self.apply(builders.polled(self.restarted, 50, **lists), at)

    def ends(self, done):
        return [
            (each.fields["end"], each.fields["reason"])
            for each in builders.of_type(done, effects.Log)
            if each.event == "task.ended"
        ]

    def polls(self, done):
        return builders.of_type(done, effects.PollBackend)

    def test_new_incarnation_is_polled_under_a_higher_fence(self):
        fence = self.reducer.run_tracker.get(self.report.incarnation).fence
        (poll,) = self.polls(self.reveal_restart(10))
        self.assertEqual(poll.incarnation, self.restarted.incarnation)
        self.assertGreater(poll.fence, fence)

    def test_run_ends_when_the_new_incarnation_does_not_list_it(self):
        self.assertEqual(self.ends(self.reveal_restart(10)), [])
        done = self.poll_restarted(12)
        self.assertEqual(self.ends(done), [("gone", "restarted")])

    def test_run_that_was_listed_ends_when_its_task_is_not_there(self):
        self.apply(builders.polled(self.report, running=[self.run]), 9)
        self.assertEqual(self.ends(self.reveal_restart(10)), [])
        # An earlier run of the task has started late.
        earlier = model.RunKey(self.run.task, self.run.run - 1)
        done = self.poll_restarted(12, running=[earlier])
        self.assertEqual(self.ends(done), [])
        (stop,) = builders.of_type(done, effects.StopRun)
        self.assertEqual(stop.run, earlier)
        self.apply(events.Ticked(), 100)
        done = self.poll_restarted(101)
        self.assertEqual(self.ends(done), [("gone", "restarted")])

    def test_run_goes_on_where_the_new_incarnation_lists_it(self):
        self.reveal_restart(10)
        self.assertEqual(
            self.ends(self.poll_restarted(12, running=[self.run])), []
        )
        ended = model.EndedRun(1, self.run.task, 1, model.RunEnd.DONE)
        done = self.poll_restarted(90, ended=[ended])
        self.assertEqual(self.ends(done), [("done", "done")])
        self.assertEqual(self.answers(done), [(model.JobOutcome.DONE, "done")])

    def test_restart_that_the_list_shows_moves_runs(self):
        done = self.apply(events.BackendsListed((self.restarted,)), 10)
        self.assertEqual(self.ends(done), [])
        self.assertEqual(
            self.ends(self.poll_restarted(12)),
            [("gone", "restarted")],
        )

    def test_new_incarnation_gets_no_work_before_it_is_listed(self):
        self.reveal_restart(10)
        done = self.poll_restarted(12)
        self.assertEqual(builders.of_type(done, effects.StartRun), [])
        done = self.apply(events.BackendsListed((self.restarted,)), 500)
        done += self.apply(events.Ticked(), 525)
        (start,) = builders.of_type(done, effects.StartRun)
        self.assertEqual(start.incarnation, self.restarted.incarnation)

    def test_former_incarnation_in_a_late_list_is_not_acquired_again(self):
        self.reveal_restart(10)
        self.poll_restarted(12)
        done = self.apply(events.BackendsListed((self.report,)), 20)
        self.assertEqual(self.polls(done), [])
        self.assertIsNone(
            self.reducer.run_tracker.get(self.report.incarnation)
        )

    def test_runs_on_a_restarted_server_are_lost_with_the_pool(self):
        load = messages.PoolLoad(
            reducer_case.ZONE,
            pool_rows.fence(reducer_case.ROW_VERSION + 1, 0),
            builders.SERVICE,
            [],
            0.0,
        )
        self.receive(messages.HostStatus([load], False, 0), 5)
        done = self.reveal_restart(10)
        self.assertEqual(self.ends(done), [("lost", "restarted")])

    def leave_start_unanswered(self):
        job = builders.job("late", estimate=2000)
        (start,) = builders.of_type(
            self.apply(events.JobSubmitted(job), 4), effects.StartRun
        )
        unanswered = events.RunStarted(
            self.report.incarnation, start.run, Outcome.UNKNOWN, None
        )
        return self.apply(unanswered, 360)

    def test_server_that_restarts_again_is_polled_while_an_order_may_be_late(
        self,
    ):
        self.leave_start_unanswered()
        self.reveal_restart(400)
        self.poll_restarted(402)
        done = []
        for at in range(425, 2500, 25):
            done += self.apply(events.Ticked(), at)
            if self.polls(done):
                break
        self.assertTrue(self.polls(done))

    def test_failed_polls_are_not_delayed_while_an_order_may_be_late(self):
        self.leave_start_unanswered()
        at = 400
        for _ in range(5):
            self.apply(
                events.BackendPolled(self.report.incarnation, Outcome.UNKNOWN),
                at,
            )
            polls = self.polls(self.apply(events.Ticked(), at + 75))
            self.assertEqual(len(polls), 1)
            at += 425

    def test_server_that_does_not_answer_gets_no_acknowledgement(self):
        ended = model.EndedRun(7, self.run.task, 1, model.RunEnd.DONE)
        self.apply(builders.polled(self.report, ended=[ended]), 10)
        self.apply(events.Ticked(), 300)
        self.apply(
            events.BackendPolled(self.report.incarnation, Outcome.UNKNOWN), 310
        )
        (poll,) = self.polls(self.apply(events.Ticked(), 400))
        self.assertEqual(poll.acknowledged, 0)
