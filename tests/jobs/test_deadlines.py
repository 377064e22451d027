"""Deadlines of jobs in a process that was paused or delayed."""

import unittest

from tests.core import reducers
from waxwingwalk.core import events
from waxwingwalk.core import results

Code = results.ResultCode


class DeadlineTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        self.harness.list_backends(reducers.backend(slots=1))

    def test_woken_process_starts_no_task_past_its_deadline(self):
        """A reply is processed before the first tick after the pause."""
        _, done = self.harness.submit(deadline=60)
        (running,) = reducers.sent(done)
        waiting, done = self.harness.submit(deadline=5)
        self.assertEqual([], reducers.sent(done))
        self.harness.clock.advance(reducers.seconds(20))
        done = self.harness.reply(running)
        self.assertEqual([], reducers.sent(done))
        codes = {each.job_id: each.code for each in reducers.answers(done)}
        self.assertEqual(
            {running.job_id: Code.COMPLETE, waiting: Code.DEADLINE_UNSTARTED},
            codes,
        )

    def test_claim_settled_past_the_deadline_starts_no_task(self):
        job_id, done = self.harness.submit(deadline=5, key="crate-7")
        self.harness.clock.advance(reducers.seconds(20))
        done = self.harness.apply(events.ClaimSettled(job_id, None))
        self.assertEqual([], reducers.sent(done))
        (answer,) = reducers.answers(done)
        self.assertEqual(Code.DEADLINE_UNSTARTED, answer.code)
