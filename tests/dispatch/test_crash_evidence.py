"""What a scheduler records of servers that did not list the end of a run."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model

Outcome = model.CallOutcome
# Leases are over by then.
LAPSED = 1200


def evidence(done):
    """Return the recorded fates of servers, with whether runs were alone."""
    return [
        (each.fields["task"], each.fields["fate"], each.fields["was_alone"])
        for each in builders.of_type(done, effects.Log)
        if each.event == "run.crash_evidence"
    ]


class CrashEvidenceTests(reducer_case.ReducerTestCase):
    def setUp(self):
        super().setUp()
        self.schedule_here()
        self.restarted = builders.report(started_ms=2)

    def submit(self, tasks=1):
        job = builders.job(tasks=tasks, estimate=2000)
        done = self.apply(events.JobSubmitted(job), 2)
        starts = builders.of_type(done, effects.StartRun)
        for each in starts:
            self.apply(
                events.RunStarted(
                    self.report.incarnation, each.run, Outcome.ACCEPTED, 1003
                ),
                3,
            )
        return [each.run for each in starts]

    def poll(self, outcome, at, successor=None):
        return self.apply(
            events.BackendPolled(
                self.report.incarnation, outcome, successor=successor
            ),
            at,
        )

    def silence(self):
        """Leave the polls of the server unanswered until runs have lapsed."""
        self.poll(Outcome.UNKNOWN, 400)
        return self.tick_until(LAPSED, 425)

    def test_nothing_is_recorded_of_a_server_that_is_silent_for_a_while(self):
        (run,) = self.submit()
        done = self.poll(Outcome.UNKNOWN, 400)
        done += self.apply(
            builders.polled(self.report, 1500, running=[run]), 500
        )
        self.assertEqual(evidence(done), [])

    def test_silent_server_may_have_crashed(self):
        self.submit()
        self.assertEqual(
            evidence(self.silence()), [("j.0.0.0", "silent", True)]
        )

    def test_server_that_answers_again_has_not_crashed(self):
        (run,) = self.submit()
        self.silence()
        ended = model.EndedRun(1, run.task, run.run, model.RunEnd.LAPSED)
        done = self.apply(
            builders.polled(self.report, 3000, ended=[ended]), 2000
        )
        self.assertEqual(evidence(done), [("j.0.0.0", "alive", True)])

    def test_server_of_another_id_at_the_address_shows_a_crash(self):
        self.submit(tasks=2)
        done = self.poll(Outcome.OTHER_INCARNATION, 400)
        self.assertEqual(
            evidence(done),
            [("j.0.0.0", "crashed", False), ("j.0.0.1", "crashed", False)],
        )

    def test_crash_is_recorded_after_the_end_of_a_run_is_known(self):
        self.submit()
        self.silence()
        done = self.poll(Outcome.OTHER_INCARNATION, 2000)
        self.assertEqual(evidence(done), [("j.0.0.0", "crashed", True)])

    def test_server_that_left_after_draining_has_not_crashed(self):
        self.submit()
        draining = builders.report(
            advertised_state=model.AdvertisedState.DRAINING
        )
        self.apply(events.BackendsListed((draining,)), 4)
        done = self.silence()
        done += self.poll(Outcome.OTHER_INCARNATION, 2000)
        self.assertEqual(evidence(done), [])

    def test_restart_under_the_same_id_shows_a_crash_once_it_lists_no_run(
        self,
    ):
        self.submit()
        done = self.poll(
            Outcome.OTHER_INCARNATION, 400, self.restarted.incarnation
        )
        self.assertEqual(evidence(done), [("j.0.0.0", "silent", True)])
        done = self.apply(builders.polled(self.restarted, 200), 402)
        self.assertEqual(evidence(done), [("j.0.0.0", "crashed", True)])

    def test_order_sent_after_the_restart_did_not_cause_it(self):
        self.submit()
        self.poll(Outcome.OTHER_INCARNATION, 400, self.restarted.incarnation)
        # The server had started before the run was ordered.
        done = self.apply(builders.polled(self.restarted, 500), 402)
        self.assertEqual(evidence(done), [("j.0.0.0", "alive", True)])

    def test_start_without_an_answer_stays_a_possible_crash(self):
        job = builders.job(estimate=2000)
        self.apply(events.JobSubmitted(job), 2)
        done = self.poll(Outcome.OTHER_INCARNATION, 400)
        self.assertEqual(evidence(done), [("j.0.0.0", "silent", True)])

    def test_start_that_another_server_answers_has_not_run(self):
        job = builders.job(estimate=2000)
        done = self.apply(events.JobSubmitted(job), 2)
        (start,) = builders.of_type(done, effects.StartRun)
        done = self.apply(
            events.RunStarted(
                self.report.incarnation,
                start.run,
                Outcome.OTHER_INCARNATION,
                None,
            ),
            3,
        )
        self.assertEqual(evidence(done), [])
        (end,) = [
            each.fields["end"]
            for each in builders.of_type(done, effects.Log)
            if each.event == "task.ended"
        ]
        self.assertEqual(end, "not_run")

    def test_run_on_the_new_incarnation_did_not_crash_the_former_one(self):
        (run,) = self.submit()
        self.poll(Outcome.OTHER_INCARNATION, 400, self.restarted.incarnation)
        done = self.apply(
            builders.polled(self.restarted, 200, running=[run]), 402
        )
        self.assertEqual(evidence(done), [("j.0.0.0", "alive", True)])
