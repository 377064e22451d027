"""Backend servers that restart under their id, as entry processes see it."""

import dataclasses
import unittest

from tests.core import reducers
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import model

RESTARTED = dataclasses.replace(
    reducers.backend(incarnation="2"), address="b1:81"
)


class RestartedServerTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        self.harness.list_backends(reducers.backend())
        _, done = self.harness.submit()
        (self.sent,) = reducers.sent(done)
        self.harness.list_backends(RESTARTED)

    def backend(self):
        return self.harness.state.registry.get("b1")

    def test_last_reply_of_the_former_incarnation_leaves_the_new_one_live(
        self,
    ):
        self.harness.reply(self.sent, leaving=True)
        self.assertIs(self.backend().spec.state, model.BackendState.LIVE)

    def test_rejection_by_the_former_incarnation_ejects_not_the_new_one(self):
        self.harness.reply(self.sent, model.TaskOutcome.NOT_RUN)
        self.assertTrue(self.backend().accepts_work(self.harness.clock.now()))

    def test_former_incarnation_that_was_leaving_stays_so(self):
        self.harness.reply(self.sent, leaving=True)
        self.harness.list_backends(reducers.backend())
        self.assertIs(self.backend().spec.state, model.BackendState.LEAVING)

    def test_overdue_task_of_the_former_incarnation_suspects_not_the_new_one(
        self,
    ):
        self.harness.advance(5)
        self.assertIsNone(self.backend().suspect_until)

    def test_lost_task_of_the_former_incarnation_ejects_not_the_new_one(self):
        self.harness.apply(
            events.TaskStatusRead(
                self.sent.job_id, self.sent.index, self.sent.attempt, False
            )
        )
        self.assertTrue(self.backend().accepts_work(self.harness.clock.now()))

    def test_replies_of_the_new_incarnation_delay_no_status_query(self):
        _, done = self.harness.submit()
        (to_new,) = reducers.sent(done)
        self.harness.advance(0.1, step=0.1)
        self.harness.reply(to_new)
        done = self.harness.advance(1.5, step=0.25)
        queried = {
            each.job_id
            for each in done
            if isinstance(each, effects.ReadTaskStatus)
        }
        self.assertEqual(queried, {self.sent.job_id})
