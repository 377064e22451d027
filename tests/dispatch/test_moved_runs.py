"""Runs that moved to the new incarnation of a restarted server."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model

Outcome = model.CallOutcome


def ends(done):
    """Return the ends of runs that the effects log."""
    return [
        (each.fields["end"], each.fields["reason"])
        for each in builders.of_type(done, effects.Log)
        if each.event == "task.ended"
    ]


class MovedRunTests(reducer_case.ReducerTestCase):
    def setUp(self):
        super().setUp()
        self.schedule_here()
        self.restarted = builders.report(started_ms=2)

    def fail_poll(self, incarnation, at):
        return self.apply(
            events.BackendPolled(incarnation, Outcome.UNKNOWN), at
        )

    def test_moved_run_with_an_unconfirmed_stop_keeps_its_lease(self):
        job = builders.job(estimate=1000)
        (start,) = builders.of_type(
            self.apply(events.JobSubmitted(job), 2), effects.StartRun
        )
        self.apply(
            events.RunStarted(
                self.report.incarnation, start.run, Outcome.UNKNOWN, None
            ),
            352,
        )
        self.apply(
            events.BackendPolled(
                self.report.incarnation,
                Outcome.OTHER_INCARNATION,
                successor=self.restarted.incarnation,
            ),
            520,
        )
        done = self.apply(
            builders.polled(self.restarted, 520, running=[start.run]), 525
        )
        # Neither stops nor polls are answered any more. The lease that came
        # with the order lasts up to a second on the new incarnation.
        done += self.fail_poll(self.restarted.incarnation, 900)
        done += self.apply(events.Ticked(), 901)
        self.assertEqual(ends(done), [])
