from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import pool_rows


class WaitingJobTests(reducer_case.ReducerTestCase):
    def test_jobs_that_wait_for_a_scheduler_are_routed_as_they_arrived(self):
        jobs = [f"job-{number}" for number in range(16)]
        for each in jobs:
            self.apply(events.JobSubmitted(builders.job(each)), 0)
        self.list_row(reducer_case.PEER)
        fence = pool_rows.fence(reducer_case.ROW_VERSION, 0)
        load = messages.PoolLoad(
            reducer_case.ZONE, fence, builders.SERVICE, [], 0.0
        )
        done = self.receive(messages.HostStatus([load], False, 0), 1)
        routed = [
            each.message.job_id
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.SubmitJob)
        ]
        self.assertEqual(routed, jobs)
