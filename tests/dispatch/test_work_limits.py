"""Jobs of many small tasks, all of which fit at once."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import backend
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import scheduler as dispatch_scheduler
from waxwingwalk.dispatch import settings

TASKS = 300
ACCEPTED = model.CallOutcome.ACCEPTED
SMALL = model.Resources(1, 1, 0)


class ManySmallTasksTests(unittest.TestCase):
    def build(self, **limits):
        work_limits = settings.WorkLimits(**limits)
        self.tracker = run_tracker.RunTracker(work_limits=work_limits)
        self.scheduler = dispatch_scheduler.Scheduler(
            self.tracker,
            ordering.PriorityThenSlack(),
            placement.FastestInTime(),
            work_limits=work_limits,
        )
        for number in range(3):
            report = builders.report(f"server-{number}")
            self.tracker.acquire(report, 1, builders.START)
            self.tracker.polled(
                report.incarnation, ACCEPTED, 1001, (), (), builders.at(1)
            )

    def submit(self, job_id, tasks=TASKS):
        step = model.Step(tasks, SMALL, builders.milliseconds(10))
        job = builders.job(job_id, steps=(step,), due=builders.at(2000))
        return self.scheduler.submit(job, None, builders.at(2))

    def answer(self, starts, outcome=ACCEPTED):
        """Answer starts; return those that follow."""
        done = []
        for start in starts:
            done += self.tracker.started(
                start.incarnation, start.run, outcome, 1002, builders.at(3)
            )
            done += self.scheduler.dispatch_postponed(builders.at(3))
        return builders.of_type(done, effects.StartRun)

    def test_starts_wait_until_others_are_answered(self):
        self.build(starts=50)
        starts = builders.of_type(self.submit("j"), effects.StartRun)
        started = list(starts)
        while starts:
            self.assertLessEqual(len(starts), 50)
            starts = self.answer(starts)
            started += starts
        self.assertEqual(len({each.run.task for each in started}), TASKS)

    def test_few_servers_get_few_starts_at_a_time(self):
        self.build(starts=1000)
        starts = builders.of_type(self.submit("j"), effects.StartRun)
        self.assertEqual(len(starts), 3 * backend.STARTS_MAX)

    def test_silent_server_does_not_hold_up_the_others(self):
        self.build(starts=1000)
        starts = builders.of_type(self.submit("j"), effects.StartRun)
        silent = starts[0].incarnation
        started = len(starts)
        while starts:
            starts = self.answer(
                [each for each in starts if each.incarnation != silent]
            )
            started += len(starts)
        self.assertGreater(started, TASKS - backend.STARTS_MAX)

    def test_starts_that_fail_make_room_for_others(self):
        self.build(starts=50)
        starts = builders.of_type(self.submit("j"), effects.StartRun)
        following = self.answer(starts[:20], model.CallOutcome.NO_ROOM)
        self.assertTrue(following)

    def test_jobs_of_too_many_tasks_together_are_refused(self):
        self.build(tasks=2 * TASKS)
        for job_id in ("a", "b"):
            self.submit(job_id)
        (refused,) = builders.of_type(self.submit("c"), effects.AnswerJob)
        self.assertIs(refused.outcome, model.JobOutcome.NOT_RUN)
        self.assertEqual(refused.reason, "queue full")
        self.scheduler.abandon("a", None, builders.at(4))
        self.assertEqual(
            builders.of_type(self.submit("c"), effects.AnswerJob), []
        )

    def test_job_over_the_limit_is_taken_if_there_is_no_other(self):
        self.build(tasks=TASKS // 2)
        self.assertEqual(
            builders.of_type(self.submit("j"), effects.AnswerJob), []
        )
