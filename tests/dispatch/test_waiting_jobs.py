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

    def test_waiting_job_of_a_lost_pool_is_routed_to_the_new_owner(self):
        # A host of the zone has restarted and reclaims the pool. This host
        # has no other servers, so the job would wait until it is too late.
        self.schedule_here()
        fields = {"due": builders.at(15_000), "expires": builders.at(20_000)}
        # Two tasks fill the server.
        for name in ("first", "second", "waiting"):
            job = builders.job(name, estimate=3000, **fields)
            self.apply(events.JobSubmitted(job), 2)
        version = reducer_case.ROW_VERSION + 1
        row = pool_rows.PoolRow((reducer_case.PEER, reducer_case.LOCAL))
        done = self.apply(
            events.PoolsListed({reducer_case.ZONE: (version, row)}), 20
        )
        self.assertEqual(self.reducer.ownership.claims, {})
        load = messages.PoolLoad(
            reducer_case.ZONE,
            pool_rows.fence(version, 0),
            builders.SERVICE,
            [],
            0.0,
        )
        for at in range(25, 500, reducer_case.TICK):
            done += self.receive(messages.HostStatus([load], False, 0), at)
            done += self.receive(
                messages.KeepAlive(0), at, reducer_case.INBOUND
            )
            done += self.apply(events.Ticked(), at)
        routed = [
            each.message.job_id
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.SubmitJob)
        ]
        self.assertEqual(routed, ["waiting"])
