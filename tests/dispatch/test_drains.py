"""Hosts that shut down while jobs wait, are under way, or arrive."""

import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer
from waxwingwalk.dispatch import scheduler

LIMIT_MS = 5000
# The time by which jobs at other hosts have to end, after the drain's start.
EXPIRY_MS = LIMIT_MS - model.milliseconds(reducer.DRAIN_ANSWER_TIME)
DRAIN_AT = 10
CALLER_WAIT_MS = 8000
# A caller that waits for longer than a drain lasts.
PATIENT = {"due": builders.at(15_000), "expires": builders.at(20_000)}
# The time in which a job is answered that cannot be served.
PROMPT_MS = 500
ESTIMATE_MS = 100
NOT_RUN, LOST = model.JobOutcome.NOT_RUN, model.JobOutcome.LOST
LEAVING = scheduler.REASON_LEAVING


class DrainTestCase(reducer_case.ReducerTestCase):
    def job(self, job_id="j", at=0, **fields):
        expires = builders.at(at + CALLER_WAIT_MS)
        return builders.job(
            job_id, now=builders.at(at), **({"expires": expires} | fields)
        )

    def submit(self, at, job_id="j", **fields):
        return self.apply(
            events.JobSubmitted(self.job(job_id, at, **fields)), at
        )

    def drain(self, at=DRAIN_AT, limit=LIMIT_MS):
        return self.apply(
            events.DrainRequested(builders.milliseconds(limit)), at
        )

    def wait_until(self, end):
        """Let time pass while the peer keeps its links alive."""
        done = []
        for at in range(DRAIN_AT, end, reducer_case.TICK):
            for link in (reducer_case.OUTBOUND, reducer_case.INBOUND):
                self.receive(messages.KeepAlive(0), at, link)
            done += self.apply(events.Ticked(), at)
        return done

    def sent(self, done, kind):
        return [
            each.message
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, kind)
        ]

    def names(self, done):
        """Return the names of the effects that answer, log an end and exit."""
        return [
            getattr(each, "event", type(each).__name__)
            for each in done
            if isinstance(each, effects.AnswerJob | effects.Exit)
            or getattr(each, "event", "") == "drain.ended"
        ]


class DrainingFrontTests(DrainTestCase):
    """The caller's host shuts down; its peer schedules the jobs."""

    def setUp(self):
        super().setUp()
        self.schedule_at_peer()

    def test_scheduler_does_not_plan_beyond_the_end_of_the_callers_host(self):
        self.drain()
        self.wait_until(1010)
        (message,) = self.sent(self.submit(1010), messages.SubmitJob)
        self.assertEqual(message.expires_in_ms, EXPIRY_MS - 1000)

    def test_shorter_wait_of_a_caller_is_kept(self):
        self.drain()
        self.wait_until(1010)
        (message,) = self.sent(
            self.submit(1010, expires=builders.at(1500)), messages.SubmitJob
        )
        self.assertEqual(message.expires_in_ms, 490)

    def test_scheduler_is_told_of_jobs_that_it_already_has(self):
        self.submit(2)
        (submitted,) = self.front_requests()
        (message,) = self.sent(self.drain(), messages.LimitJob)
        self.assertEqual(message, messages.LimitJob("j", EXPIRY_MS, submitted))

    def front_requests(self):
        return [each.request for each in self.reducer.front.pending.values()]

    def test_waiting_callers_are_answered_before_the_host_exits(self):
        self.submit(2)
        self.drain()
        self.assertEqual(self.names(self.wait_until(DRAIN_AT + 4975)), [])
        done = self.apply(events.Ticked(), DRAIN_AT + LIMIT_MS)
        self.assertEqual(
            self.names(done), ["AnswerJob", "drain.ended", "Exit"]
        )
        self.assertEqual(self.answers(done), [(LOST, LEAVING)])
        # The scheduler stops what it has started for them.
        (message,) = self.sent(done, messages.AbandonJob)
        self.assertEqual(message.job_id, "j")

    def test_job_that_no_scheduler_has_is_refused_as_not_run(self):
        self.drain()
        self.wait_until(DRAIN_AT + 4975)
        pause_end = DRAIN_AT + LIMIT_MS
        # A pause of the host holds what it reads from then on.
        self.reducer.front.hold_jobs()
        self.submit(pause_end - 250)
        done = self.apply(events.Ticked(), pause_end)
        (answer,) = builders.of_type(done, effects.AnswerJob)
        self.assertEqual((answer.outcome, answer.reason), (NOT_RUN, LEAVING))
        self.assertIsNotNone(answer.retry_after)

    def test_request_at_the_end_of_a_drain_is_refused_at_once(self):
        self.drain()
        self.wait_until(DRAIN_AT + 4975)
        done = self.submit(DRAIN_AT + EXPIRY_MS)
        (answer,) = builders.of_type(done, effects.AnswerJob)
        self.assertEqual((answer.outcome, answer.reason), (NOT_RUN, LEAVING))
        self.assertIsNotNone(answer.retry_after)
        self.assertEqual(self.sent(done, messages.SubmitJob), [])

    def test_request_read_after_an_idle_drain_is_answered_at_its_limit(self):
        self.drain()
        self.assertIn("Exit", self.names(self.wait_until(1000)))
        self.submit(1010)
        done = self.apply(events.Ticked(), DRAIN_AT + LIMIT_MS)
        self.assertEqual(self.answers(done), [(LOST, LEAVING)])

    def test_second_request_ends_the_drain_at_once(self):
        self.submit(2)
        self.drain()
        self.wait_until(1010)
        self.drain(at=1010, limit=0)
        done = self.apply(events.Ticked(), 1011)
        self.assertEqual(self.answers(done), [(LOST, LEAVING)])
        self.assertIn("Exit", self.names(done))

    def test_second_request_does_not_extend_the_drain(self):
        self.drain()
        self.wait_until(1010)
        self.drain(at=1010)
        (message,) = self.sent(self.submit(1010), messages.SubmitJob)
        self.assertEqual(message.expires_in_ms, EXPIRY_MS - 1000)


class LimitedJobTests(DrainTestCase):
    """The host schedules jobs whose callers' host shuts down."""

    def setUp(self):
        super().setUp()
        self.schedule_here()

    def submit_for_peer(self, at, *, tasks=1, request=1):
        job = self.job(tasks=tasks)
        message = messages.SubmitJob(
            job.job_id,
            job.queue,
            job.service,
            job.priority,
            job.attempts,
            job.spec,
            job.stretch,
            job.steps,
            due_in_ms=220,
            expires_in_ms=CALLER_WAIT_MS,
            request=request,
        )
        return self.receive(message, at, reducer_case.INBOUND)

    def limit(self, at, expires_in_ms, request=1):
        return self.receive(
            messages.LimitJob("j", expires_in_ms, request),
            at,
            reducer_case.INBOUND,
        )

    def job_ends(self, done):
        return [
            (each.outcome, each.reason)
            for each in self.sent(done, messages.JobEnded)
        ]

    def test_job_that_cannot_end_in_time_is_given_up_at_once(self):
        # Two of the four tasks fill the server; the others have to wait.
        self.submit_for_peer(2, tasks=4)
        self.limit(10, 50)
        done = self.apply(events.Ticked(), 25)
        self.assertEqual(self.job_ends(done), [(LOST, "too late")])

    def test_unstarted_job_that_cannot_end_in_time_is_refused_as_not_run(self):
        self.reducer.scheduler.hold_starts()
        self.submit_for_peer(2)
        self.limit(10, 50)
        done = self.apply(events.Ticked(), 25)
        self.assertEqual(self.job_ends(done), [(NOT_RUN, "too late")])

    def test_limit_does_not_extend_the_wait_of_a_caller(self):
        self.submit_for_peer(2)
        self.limit(10, 2 * CALLER_WAIT_MS)
        (record,) = self.reducer.scheduler.jobs.values()
        self.assertEqual(record.job.expires, builders.at(2 + CALLER_WAIT_MS))

    def test_limit_of_an_earlier_request_is_ignored(self):
        self.submit_for_peer(2, request=2)
        self.limit(10, 50, request=1)
        (record,) = self.reducer.scheduler.jobs.values()
        self.assertEqual(record.job.expires, builders.at(2 + CALLER_WAIT_MS))

    def test_jobs_of_a_draining_scheduler_end_with_its_drain(self):
        self.submit_for_peer(2)
        self.drain()
        (record,) = self.reducer.scheduler.jobs.values()
        self.assertEqual(record.job.expires, builders.at(DRAIN_AT + EXPIRY_MS))


class ReturnedJobTests(reducer_case.ReducerTestCase):
    """Jobs that a draining host cannot serve any more."""

    def drain(self, at):
        limit = builders.milliseconds(LIMIT_MS)
        return self.apply(events.DrainRequested(limit), at)

    def let_peer_schedule(self, at):
        """Receive what the peer sends while it schedules the pool."""
        fence = pool_rows.fence(reducer_case.ROW_VERSION + 1, 0)
        load = messages.PoolLoad(
            reducer_case.ZONE, fence, builders.SERVICE, [], 0.0
        )
        done = self.receive(messages.HostStatus([load], False, 0), at)
        return done + self.receive(
            messages.KeepAlive(0), at, reducer_case.INBOUND
        )

    def run_until(self, end, start):
        """Tick, with the peer as the scheduler of the pool."""
        done = []
        for at in range(start, end, reducer_case.TICK):
            done += self.let_peer_schedule(at)
            done += self.apply(events.Ticked(), at)
        return done

    def submitted(self, done):
        """Return the ids of jobs that were passed to the peer."""
        return [
            each.message.job_id
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.SubmitJob)
        ]

    def test_refusal_by_a_leaving_scheduler_late_in_a_drain_has_retry_after(
        self,
    ):
        # A scheduler without a pool names no time to retry, as the host of
        # the caller routes the job again, which it does not do any more in
        # the last 200 ms of its drain.
        self.schedule_at_peer()
        self.apply(events.JobSubmitted(builders.job(**PATIENT)), 2)
        self.drain(3)
        late = LIMIT_MS - 100
        self.run_until(late, 25)
        done = self.receive(
            messages.JobEnded(
                "j", model.JobOutcome.NOT_RUN, "leaving", None, 1
            ),
            late,
        )
        (answer,) = builders.of_type(done, effects.AnswerJob)
        self.assertIs(answer.outcome, model.JobOutcome.NOT_RUN)
        self.assertIsNotNone(answer.retry_after)

    def test_job_whose_start_is_refused_in_a_drain_is_routed_again(self):
        # A draining host starts no task on its servers. A job that is
        # unstarted again would wait there until the end of the drain.
        self.schedule_here()
        done = self.apply(events.JobSubmitted(builders.job(**PATIENT)), 2)
        (start,) = builders.of_type(done, effects.StartRun)
        self.drain(3)
        self.apply(
            events.RunStarted(
                self.report.incarnation,
                start.run,
                model.CallOutcome.NO_ROOM,
                1003,
            ),
            4,
        )
        done = self.run_until(PROMPT_MS, 25)
        self.assertEqual(self.submitted(done), ["j"])

    def start_before_drain(self, job):
        """Start the first task of a job, then drain; return its run."""
        done = self.apply(events.JobSubmitted(job), 2)
        (start,) = builders.of_type(done, effects.StartRun)
        self.apply(
            events.RunStarted(
                self.report.incarnation,
                start.run,
                model.CallOutcome.ACCEPTED,
                1003,
            ),
            3,
        )
        self.drain(4)
        return start.run

    def end_run(self, run, end, at):
        """Let the server list the end of the only run."""
        ended = model.EndedRun(1, run.task, run.run, end)
        self.apply(builders.polled(self.report, 1000 + at, ended=(ended,)), at)

    def assert_answered_promptly(self):
        done = self.run_until(PROMPT_MS, 125)
        self.assertEqual(len(self.answers(done)), 1)

    def test_job_with_a_step_that_a_draining_host_cannot_run_is_answered(self):
        # Without a server and without an offer, its second step cannot start.
        self.schedule_here()
        estimate = builders.milliseconds(ESTIMATE_MS)
        steps = (
            model.Step(1, builders.TASK_RESOURCES, estimate),
            model.Step(1, builders.TASK_RESOURCES, estimate, (0,)),
        )
        run = self.start_before_drain(builders.job(steps=steps, **PATIENT))
        self.end_run(run, model.RunEnd.DONE, 100)
        self.assert_answered_promptly()

    def test_job_that_a_draining_host_cannot_retry_is_answered(self):
        self.schedule_here()
        run = self.start_before_drain(builders.job(**PATIENT))
        self.end_run(run, model.RunEnd.FAILED, 100)
        self.assert_answered_promptly()

    def test_caller_is_answered_once_at_the_end_of_a_drain(self):
        # Its job expires at the tick at which the remaining callers are
        # answered. Of two answers the first would have to be the right one.
        self.schedule_here()
        self.apply(events.JobSubmitted(builders.job(**PATIENT)), 2)
        self.drain(3)
        done = self.run_until(LIMIT_MS + 100, 25)
        self.assertEqual(len(self.answers(done)), 1)


if __name__ == "__main__":
    unittest.main()
