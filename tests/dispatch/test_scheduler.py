import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import scheduler as dispatch_scheduler

Outcome = model.JobOutcome
LINK = 5


class SchedulerTests(unittest.TestCase):
    def setUp(self):
        self.run_tracker = run_tracker.RunTracker()
        self.scheduler = dispatch_scheduler.Scheduler(
            self.run_tracker,
            ordering.PriorityThenSlack(),
            placement.FastestInTime(),
        )
        self.serials = {}

    def add_server(self, name="server-1", **fields):
        report = builders.report(name, **fields)
        self.run_tracker.acquire(report, 1, builders.START)
        self.poll(report.incarnation, 1)
        return report.incarnation

    def poll(self, incarnation, at, ended=()):
        self.run_tracker.polled(
            incarnation,
            model.CallOutcome.ACCEPTED,
            1000 + at,
            (),
            tuple(ended),
            builders.at(at),
        )

    def submit(self, job, link=None, at=2):
        return self.scheduler.submit(job, link, builders.at(at))

    def end(self, start, run_end, at):
        """Report the end of a run from its server, and process it."""
        serial = self.serials[start.incarnation] = (
            self.serials.get(start.incarnation, 0) + 1
        )
        run = start.run
        ended = model.EndedRun(serial, run.task, run.run, run_end)
        self.poll(start.incarnation, at, [ended])
        return self.scheduler.process_ended_runs(builders.at(at))

    def starts(self, done):
        return builders.of_type(done, effects.StartRun)

    def answers(self, done):
        return [
            (each.outcome, each.reason)
            for each in builders.of_type(done, effects.AnswerJob)
        ]

    def test_job_is_done_when_its_last_task_is(self):
        self.add_server()
        starts = self.starts(self.submit(builders.job(tasks=2)))
        self.assertEqual(len(starts), 2)
        done = self.end(starts[0], model.RunEnd.DONE, 100)
        self.assertEqual(self.answers(done), [])
        done = self.end(starts[1], model.RunEnd.DONE, 110)
        self.assertEqual(self.answers(done), [(Outcome.DONE, "done")])

    def test_tasks_wait_for_free_capacity(self):
        self.add_server()
        starts = self.starts(self.submit(builders.job(tasks=3)))
        self.assertEqual(len(starts), 2)
        done = self.end(starts[0], model.RunEnd.DONE, 100)
        self.assertEqual(len(self.starts(done)), 1)

    def test_failed_task_runs_again_within_its_attempts(self):
        self.add_server()
        (start,) = self.starts(self.submit(builders.job(attempts=2)))
        (again,) = self.starts(self.end(start, model.RunEnd.FAILED, 50))
        self.assertEqual(again.run.run, 2)
        done = self.end(again, model.RunEnd.FAILED, 90)
        self.assertEqual(self.answers(done), [(Outcome.FAILED, "attempts")])

    def test_lapsed_task_runs_again_without_using_an_attempt(self):
        self.add_server()
        (start,) = self.starts(self.submit(builders.job(attempts=1)))
        (again,) = self.starts(self.end(start, model.RunEnd.LAPSED, 50))
        self.assertEqual(again.run.run, 2)

    def submit_to_unresponsive_server(self, *, is_answered, **fields):
        """Start a task on a server that does not answer later calls."""
        self.add_server("server-1")
        self.add_server("server-2")
        (start,) = self.starts(self.submit(builders.job(**fields)))
        if is_answered:
            self.run_tracker.started(
                start.incarnation,
                start.run,
                model.CallOutcome.ACCEPTED,
                1003,
                builders.at(3),
            )
        else:
            self.run_tracker.started(
                start.incarnation,
                start.run,
                model.CallOutcome.UNKNOWN,
                None,
                builders.at(352),
            )
        self.run_tracker.polled(
            start.incarnation,
            model.CallOutcome.UNKNOWN,
            None,
            (),
            (),
            builders.at(600),
        )
        return start

    def test_lapsed_task_of_an_unresponsive_server_restarts_elsewhere(self):
        start = self.submit_to_unresponsive_server(is_answered=True)
        self.run_tracker.tick(builders.at(900))
        self.assertEqual(
            self.starts(self.scheduler.tick(builders.at(900))), []
        )
        self.run_tracker.tick(builders.at(1200))
        done = self.scheduler.process_ended_runs(builders.at(1200))
        (again,) = self.starts(done)
        self.assertNotEqual(again.incarnation, start.incarnation)
        self.assertEqual(again.run.run, 2)

    def tick(self, at):
        self.run_tracker.tick(builders.at(at))
        return [
            *self.scheduler.process_ended_runs(builders.at(at)),
            *self.scheduler.tick(builders.at(at)),
        ]

    def test_unanswered_start_is_not_repeated_when_its_lease_is_over(self):
        start = self.submit_to_unresponsive_server(
            is_answered=False, expires=builders.at(60_000)
        )
        limit = backends.LATE_RUN_LIMIT / model.MILLISECOND
        for at in range(400, int(limit), 200):
            self.assertEqual(self.starts(self.tick(at)), [])
        (again,) = self.starts(self.tick(int(limit) + 3))
        self.assertNotEqual(again.incarnation, start.incarnation)

    def test_unanswered_start_is_repeated_when_the_server_has_not_run_it(self):
        start = self.submit_to_unresponsive_server(
            is_answered=False, expires=builders.at(60_000)
        )
        self.tick(1200)
        self.settle(start)
        done = self.scheduler.process_ended_runs(builders.at(1302))
        self.assertEqual(len(self.starts(done)), 1)

    def settle(self, start):
        """Have a server confirm that it has not run an unanswered start."""
        self.run_tracker.stopped(
            start.incarnation,
            start.run,
            model.CallOutcome.ACCEPTED,
            builders.at(1300),
        )
        self.poll(start.incarnation, 1301)
        self.poll(start.incarnation, 1302)

    def fail_poll(self, incarnation, at):
        self.run_tracker.polled(
            incarnation,
            model.CallOutcome.UNKNOWN,
            None,
            (),
            (),
            builders.at(at),
        )

    def test_settled_start_counts_again_while_its_server_is_silent(self):
        start = self.submit_to_unresponsive_server(
            is_answered=False, expires=builders.at(60_000)
        )
        task = start.run.task
        self.settle(start)
        self.assertFalse(
            self.run_tracker.may_start_late(task, builders.at(1303))
        )
        # It may have restarted, and then knows nothing of the stop.
        self.fail_poll(start.incarnation, 1700)
        done = self.scheduler.process_ended_runs(builders.at(1701))
        self.assertEqual(self.starts(done), [])
        self.poll(start.incarnation, 1900)
        self.assertEqual(len(self.starts(self.tick(1901))), 1)

    def test_settled_start_is_forgotten_when_it_can_no_longer_run(self):
        start = self.submit_to_unresponsive_server(
            is_answered=False, expires=builders.at(60_000)
        )
        self.settle(start)
        self.fail_poll(start.incarnation, 1700)
        self.assertEqual(self.starts(self.tick(13_000)), [])
        self.assertEqual(len(self.starts(self.tick(13_200))), 1)

    def test_job_that_cannot_await_an_unanswered_start_is_answered_at_once(
        self,
    ):
        self.submit_to_unresponsive_server(
            is_answered=False, expires=builders.at(2000)
        )
        self.assertEqual(self.answers(self.tick(1880)), [])
        self.assertEqual(
            self.answers(self.tick(1910)), [(Outcome.LOST, "too late")]
        )

    def test_jobs_that_start_at_once_add_no_backlog(self):
        for number in range(4):
            self.add_server(f"server-{number}")
        for number in range(4):
            job = builders.job(f"j{number}", tasks=2, estimate=2000)
            self.assertEqual(self.answers(self.submit(job)), [])
        self.assertEqual(self.scheduler.backlog(builders.at(2)), model.ZERO)

    def test_unstarted_job_is_refused_once_its_answer_has_no_value(self):
        self.add_server()
        self.submit(builders.job("long", tasks=2, estimate=2000))
        self.submit(builders.job("short"))
        # The target response time is 220 ms, so an answer has value for three
        # times as long, about 660 ms. The task takes 100 ms and its overhead.
        done = self.scheduler.tick(builders.at(540))
        self.assertEqual(self.answers(done), [])
        done = self.scheduler.tick(builders.at(560))
        self.assertEqual(self.answers(done), [(Outcome.NOT_RUN, "too late")])

    def test_started_job_that_cannot_end_in_time_is_lost_at_once(self):
        self.add_server()
        job = builders.job(tasks=3, expires=builders.at(300))
        starts = self.starts(self.submit(job))
        self.assertEqual(len(starts), 2)
        done = self.scheduler.tick(builders.at(190))
        self.assertEqual(self.answers(done), [])
        done = self.scheduler.tick(builders.at(210))
        self.assertEqual(self.answers(done), [(Outcome.LOST, "too late")])
        stops = builders.of_type(done, effects.StopRun)
        self.assertEqual(len(stops), 2)

    def test_running_tasks_are_not_stopped_before_the_job_expires(self):
        self.add_server()
        job = builders.job(tasks=2, expires=builders.at(1000))
        self.submit(job)
        done = self.scheduler.tick(builders.at(990))
        self.assertEqual(self.answers(done), [])

    def test_step_starts_after_its_preceding_steps(self):
        self.add_server()
        first = model.Step(
            1, builders.TASK_RESOURCES, builders.milliseconds(50)
        )
        second = model.Step(
            1, builders.TASK_RESOURCES, builders.milliseconds(50), after=(0,)
        )
        job = builders.job(steps=(first, second))
        (start,) = self.starts(self.submit(job))
        self.assertEqual(start.run.task, "j.0.0.0")
        (then,) = self.starts(self.end(start, model.RunEnd.DONE, 60))
        self.assertEqual(then.run.task, "j.0.1.0")

    def test_refusals_are_immediate_and_have_a_retry_time(self):
        huge = model.Step(
            1, model.Resources(99_000, 1), builders.milliseconds(50)
        )
        cases = (
            ("no backend server", False, builders.job()),
            ("fits no backend server", True, builders.job(steps=(huge,))),
            (
                "too late",
                True,
                builders.job(expires=builders.at(50), estimate=100),
            ),
        )
        for reason, has_server, job in cases:
            with self.subTest(reason=reason):
                self.setUp()
                if has_server:
                    self.add_server()
                (answer,) = builders.of_type(
                    self.submit(job), effects.AnswerJob
                )
                self.assertEqual(answer.outcome, Outcome.NOT_RUN)
                self.assertEqual(answer.reason, reason)
                self.assertGreater(answer.retry_after, model.ZERO)

    def test_job_is_refused_if_the_backlog_is_too_long(self):
        self.add_server()
        for number in range(30):
            self.submit(builders.job(f"j{number}", tasks=2, estimate=400))
        late = builders.job("late", expires=builders.at(1500))
        done = self.submit(late)
        self.assertEqual(self.answers(done), [(Outcome.NOT_RUN, "backlog")])

    def test_urgent_queue_goes_first_and_late_jobs_last(self):
        self.add_server()
        (running, _) = self.starts(self.submit(builders.job("a", tasks=2)))
        self.submit(builders.job("late", due=builders.at(10)))
        self.submit(builders.job("plain", priority=1))
        self.submit(builders.job("urgent", priority=0))
        (start,) = self.starts(self.end(running, model.RunEnd.DONE, 20))
        self.assertEqual(start.run.task, "urgent.0.0.0")
        (start,) = self.starts(self.end(start, model.RunEnd.DONE, 40))
        self.assertEqual(start.run.task, "plain.0.0.0")

    def test_late_job_waits_until_the_peak_is_over(self):
        self.add_server(capacity=model.Resources(24_000, 65_536))
        starts = self.starts(self.submit(builders.job("a", tasks=3)))
        self.submit(builders.job("late", due=builders.at(100)))
        done = self.end(starts[0], model.RunEnd.DONE, 60)
        self.assertEqual(self.starts(done), [])
        done = self.end(starts[1], model.RunEnd.DONE, 70)
        (start,) = self.starts(done)
        self.assertEqual(start.run.task, "late.0.0.0")

    def test_late_job_is_refused_while_its_caller_can_still_retry(self):
        self.add_server()
        self.submit(builders.job("a", tasks=2))
        # The answer has value until the caller stops waiting, at 2 s.
        late = builders.job(
            "late", due=builders.at(700), expires=builders.at(2000)
        )
        self.submit(late)
        self.assertEqual(
            self.answers(self.scheduler.tick(builders.at(790))), []
        )
        done = self.scheduler.tick(builders.at(810))
        self.assertIn((Outcome.NOT_RUN, "too late"), self.answers(done))

    def test_job_that_started_is_never_refused_as_not_run(self):
        self.add_server()
        self.submit(builders.job(tasks=3))
        done = self.scheduler.tick(builders.at(3100))
        self.assertEqual(self.answers(done), [(Outcome.LOST, "expired")])

    def test_stuck_run_is_stopped(self):
        self.add_server()
        (start,) = self.starts(self.submit(builders.job(estimate=100)))
        self.assertEqual(
            builders.of_type(
                self.scheduler.tick(builders.at(390)), effects.StopRun
            ),
            [],
        )
        done = self.scheduler.tick(builders.at(450))
        (stop,) = builders.of_type(done, effects.StopRun)
        self.assertEqual(stop.run, start.run)

    def restart_stuck_task(self):
        """Start a task, stop it as stuck; return its two starts."""
        (first,) = self.starts(self.submit(builders.job(estimate=100)))
        self.scheduler.tick(builders.at(500))
        again = self.starts(self.end(first, model.RunEnd.STOPPED, 520))
        return first, again

    def test_stuck_task_starts_again_on_another_server(self):
        # Incident inc-ab55: a task was started three times on a server on
        # which tasks stood still, as no other was as free.
        self.add_server("server-1")
        self.add_server("server-2")
        first, (again,) = self.restart_stuck_task()
        self.assertNotEqual(again.incarnation, first.incarnation)

    def test_stuck_task_waits_for_another_server(self):
        self.add_server("server-1")
        other = self.add_server("server-2")
        self.run_tracker.get(other).used = builders.CAPACITY
        self.run_tracker.get(other).update_report(builders.report("server-2"))
        first, again = self.restart_stuck_task()
        self.assertEqual(first.incarnation.backend_id, "server-1")
        self.assertEqual(again, [])

    def test_stuck_task_starts_again_on_the_only_server(self):
        self.add_server()
        first, (again,) = self.restart_stuck_task()
        self.assertEqual(again.incarnation, first.incarnation)

    def test_abandoned_job_is_stopped(self):
        self.add_server()
        self.submit(builders.job(tasks=2))
        done = self.scheduler.abandon("j", None, builders.at(20))
        self.assertEqual(len(builders.of_type(done, effects.StopRun)), 2)
        self.assertEqual(self.scheduler.jobs, {})

    def test_lost_link_ends_its_jobs(self):
        self.add_server()
        self.submit(builders.job(tasks=1), link=LINK)
        done = self.scheduler.close_link(LINK, builders.at(20))
        self.assertEqual(len(builders.of_type(done, effects.StopRun)), 1)

    def test_second_request_for_an_unfinished_job_is_answered_as_lost(self):
        self.add_server()
        self.submit(builders.job())
        done = self.submit(builders.job(), link=LINK)
        (sent,) = builders.of_type(done, effects.Send)
        self.assertEqual(sent.message.outcome, Outcome.LOST)

    def test_resubmitted_job_waits_for_the_end_of_its_earlier_run(self):
        self.add_server()
        (start,) = self.starts(self.submit(builders.job()))
        self.scheduler.abandon("j", None, builders.at(10))
        self.assertEqual(self.starts(self.submit(builders.job(), at=20)), [])
        done = self.end(start, model.RunEnd.STOPPED, 70)
        (again,) = self.starts(done)
        self.assertEqual(again.run.task, start.run.task)

    def test_resubmitted_job_waits_for_a_run_at_a_peer(self):
        self.test_task_is_offered_to_a_peer_with_free_capacity()
        self.scheduler.abandon("j", None, builders.at(10))
        self.add_server("server-2")
        done = self.submit(builders.job(tasks=4), at=20)
        self.assertNotIn(
            "j.0.0.2", [each.run.task for each in self.starts(done)]
        )
        ended = messages.TaskEnded("j", 0, 2, 1, model.TaskEnd.GONE)
        done = self.scheduler.handle_peer_task_end(
            ended, LINK, builders.at(30)
        )
        self.assertIn("j.0.0.2", [each.run.task for each in self.starts(done)])

    def test_task_is_offered_to_a_peer_with_free_capacity(self):
        self.add_server()
        load = messages.PoolLoad(
            "south",
            1,
            builders.SERVICE,
            [messages.FreeRoom(builders.TASK_RESOURCES, 1.0)],
            0.0,
        )
        self.scheduler.update_peer_status(LINK, [load])
        done = self.submit(builders.job(tasks=4))
        offers = [
            each.message
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.OfferTask)
        ]
        self.assertEqual([each.index for each in offers], [2])

    def lose_peer_with_a_task(self, *, expires_at):
        """Offer a task to a peer and lose the link; return the answers."""
        self.add_server()
        free = messages.FreeRoom(builders.TASK_RESOURCES, 1.0)
        load = messages.PoolLoad("south", 1, builders.SERVICE, [free], 0.0)
        self.scheduler.update_peer_status(LINK, [load])
        job = builders.job(tasks=3, expires=builders.at(expires_at))
        self.first_starts = self.starts(self.submit(job))
        done = self.scheduler.close_link(LINK, builders.at(20))
        return self.answers(done)

    def test_task_of_a_lost_peer_starts_again_once_its_run_is_over(self):
        self.assertEqual(self.lose_peer_with_a_task(expires_at=5000), [])
        for start in self.first_starts:
            self.end(start, model.RunEnd.DONE, 100)
        over_at = 20 + dispatch_scheduler.PEER_RUN_END_LIMIT / (
            builders.milliseconds(1)
        )
        done = self.scheduler.tick(builders.at(over_at - 1))
        self.assertEqual(self.starts(done), [])
        (again,) = self.starts(self.scheduler.tick(builders.at(over_at)))
        self.assertEqual((again.run.task, again.run.run), ("j.0.0.2", 2))
        done = self.end(again, model.RunEnd.DONE, over_at + 100)
        self.assertEqual(self.answers(done), [(Outcome.DONE, "done")])

    def test_job_of_a_lost_peer_that_cannot_wait_is_lost_at_once(self):
        answers = self.lose_peer_with_a_task(expires_at=1500)
        self.assertEqual(answers, [(Outcome.LOST, "peer lost")])

    def test_declined_task_waits_for_local_capacity(self):
        self.test_task_is_offered_to_a_peer_with_free_capacity()
        refusal = messages.TaskEnded("j", 0, 2, 1, model.TaskEnd.NOT_RUN)
        self.scheduler.handle_peer_task_end(refusal, LINK, builders.at(5))
        record = self.scheduler.jobs["j"]
        self.assertEqual(
            [each.ref.index for each in record.ready_tasks()], [2, 3]
        )

    def test_offer_is_declined_while_local_jobs_wait(self):
        self.add_server()
        self.submit(builders.job(tasks=3))
        offer = messages.OfferTask(
            "k",
            0,
            0,
            1,
            "q",
            builders.SERVICE,
            "spec",
            builders.TASK_RESOURCES,
            100.0,
            200.0,
            None,
            None,
        )
        done = self.scheduler.handle_offer(offer, LINK, builders.at(5))
        (sent,) = builders.of_type(done, effects.Send)
        self.assertIs(sent.message.end, model.TaskEnd.NOT_RUN)
