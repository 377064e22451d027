import datetime
import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import admission
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import job_record
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import scheduler as dispatch_scheduler
from waxwingwalk.dispatch import settings
from waxwingwalk.emulator import experiment

NOT_RUN = model.JobOutcome.NOT_RUN


def record(priority, *, tasks=4, estimate=100):
    """Return the record of a new job, which can be on time."""
    job = builders.job(priority=priority, tasks=tasks, estimate=estimate)
    return job_record.JobRecord(job, None, builders.START)


class QueuedWorkTests(unittest.TestCase):
    def test_work_is_counted_by_urgency_and_lateness(self):
        queued = admission.QueuedWork()
        queued.add(record(0), builders.at(0))
        queued.add(record(1, tasks=2), builders.at(0))
        queued.add(record(0, tasks=1), builders.at(1000))
        one = 7_000 * 100
        self.assertEqual(
            (queued.urgent, queued.others, queued.late),
            (4 * one, 2 * one, one),
        )
        self.assertEqual(queued.total, 7 * one)

    def test_only_work_that_starts_before_a_job_precedes_it(self):
        queued = admission.QueuedWork(urgent=1.0, others=2.0, late=4.0)
        policy = admission.PrecedingWork()
        self.assertEqual(policy.preceding_work(queued, record(0)), 1.0)
        self.assertEqual(policy.preceding_work(queued, record(2)), 3.0)
        everything = admission.AllQueuedWork()
        self.assertEqual(everything.preceding_work(queued, record(0)), 7.0)


class BurstOfLongJobsTests(unittest.TestCase):
    """Short urgent jobs arrive while long ones of another queue wait."""

    def build(self, **enabled):
        self.run_tracker = run_tracker.RunTracker()
        self.scheduler = dispatch_scheduler.Scheduler(
            self.run_tracker,
            ordering.PriorityThenSlack(),
            placement.FastestInTime(),
            settings=settings.DispatchSettings(**enabled),
        )
        report = builders.report()
        self.run_tracker.acquire(report, 1, builders.START)
        self.run_tracker.polled(
            report.incarnation,
            model.CallOutcome.ACCEPTED,
            1001,
            (),
            (),
            builders.at(1),
        )

    def submit(self, job_id, at=2, **fields):
        job = builders.job(job_id, now=builders.at(at), **fields)
        return self.scheduler.submit(job, None, builders.at(at))

    def fill_queue(self):
        for number in range(4):
            self.submit(f"long-{number}", priority=2, estimate=900, tasks=2)

    def refusals(self, done):
        return [
            each
            for each in builders.of_type(done, effects.AnswerJob)
            if each.outcome is NOT_RUN
        ]

    def test_urgent_job_is_not_refused_for_work_that_it_precedes(self):
        self.build(job_admission=True)
        self.fill_queue()
        done = self.submit("urgent", at=10, estimate=60)
        self.assertEqual(self.refusals(done), [])
        self.assertIn("urgent", self.scheduler.jobs)

    def test_setting_is_off_by_default(self):
        self.build()
        self.fill_queue()
        (refused,) = self.refusals(self.submit("urgent", at=10, estimate=60))
        self.assertEqual(refused.reason, "backlog")

    def test_urgent_work_still_refuses_urgent_jobs(self):
        self.build(job_admission=True)
        for number in range(14):
            self.submit(f"urgent-{number}", estimate=100, tasks=2)
        (refused,) = self.refusals(self.submit("one-more", estimate=100))
        self.assertEqual(refused.reason, "backlog")

    def test_refused_callers_are_asked_to_return_at_different_times(self):
        self.build(job_admission=True)
        self.fill_queue()
        delays = set()
        for number in range(8):
            done = self.submit(
                f"more-{number}", at=10, priority=2, estimate=900, tasks=2
            )
            delays |= {each.retry_after for each in self.refusals(done)}
        self.assertGreater(len(delays), 4)
        spread = max(delays) / min(delays)
        self.assertLessEqual(spread, 1 + admission.RETRY_SPREAD)


class BurstExperimentTests(unittest.TestCase):
    """The burst of the long queue on a quarter of a hard deployment.

    Without the setting more than half of the short urgent jobs are refused for
    the backlog of long jobs, which they precede.
    """

    LOAD = experiment.Load(
        length=datetime.timedelta(seconds=3),
        peak_from=datetime.timedelta(seconds=0.5),
        peak_to=datetime.timedelta(seconds=2.5),
        base=1.9,
        peak=5.0,
        peak_class="crate",
    )

    def earned(self, seed, **enabled):
        run = experiment.Experiment(
            seed,
            load=self.LOAD,
            slownesses=experiment.HARD_SLOWNESSES,
            site=experiment.HARD_SITE,
            settings=settings.DispatchSettings(**enabled),
        )
        totals = run.run()
        return experiment.earned_share(totals), totals["scan"].share

    def test_urgent_jobs_are_served_and_no_worth_is_lost(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                all_before, urgent_before = self.earned(seed)
                all_after, urgent_after = self.earned(seed, job_admission=True)
                self.assertGreater(urgent_after, urgent_before)
                self.assertGreaterEqual(all_after, all_before)
