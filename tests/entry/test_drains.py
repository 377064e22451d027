"""Requests that wait, arrive or are answered while a process drains."""

import asyncio

from tests.entry import jobs
from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.testing import fleet

Code = results.ResultCode


class DrainTestCase(jobs.FleetTestCase):
    """Base class of tests that drain the first entry process."""

    def start_drain(self, started):
        """Return a task that drains the first entry process."""
        entry = started.entries[0]
        started.mark_ended(entry)
        return asyncio.create_task(entry.service.stop())

    def force_drain(self, started):
        """End the drain of the first entry process, as a signal does."""
        started.entries[0].engine.apply(events.DrainForced())


class WaitingRequestTests(DrainTestCase):
    async def test_drain_answers_waiting_requests_at_its_deadline(self):
        """Covers own jobs, jobs of a peer, and callers at a peer."""
        changes = {"defaults.drain_timeout": "1 s"}
        async with fleet.Fleet(entries=2, settings=changes) as started:
            await jobs.add_backends(started, 3)
            job = jobs.job(count=2, seconds=20)
            own = await started.submit(0, {**job, "wait": False})
            other = await started.submit(1, {**job, "wait": False})
            keys = []
            for entry in (0, 1):
                issued = await started.request(
                    entry, "POST", "/v1/keys", {"team": "shops", "count": 1}
                )
                keys.append(issued["keys"][0])
            own_path = f"/v1/jobs/{own['job']}?wait=true"
            other_path = f"/v1/jobs/{other['job']}?wait=true"
            waiting = [
                (started.submit(0, job), Code.DRAIN_ENDED),
                (started.submit(0, {**job, "key": "a"}), Code.DRAIN_ENDED),
                (started.submit(1, {**job, "key": keys[0]}), Code.DRAIN_ENDED),
                (started.request(0, "GET", own_path), Code.DRAIN_ENDED),
                (started.request(1, "GET", own_path), Code.DRAIN_ENDED),
                (
                    started.submit(0, {**job, "key": keys[1]}),
                    Code.FORWARD_LOST,
                ),
                (
                    started.request(0, "GET", other_path),
                    Code.COORDINATOR_UNREACHABLE,
                ),
            ]
            replies = asyncio.gather(*(request for request, _ in waiting))
            await jobs.wait_until(lambda: len(started.starts()) == 12)
            stopping = self.start_drain(started)
            codes = [reply["code"] for reply in await replies]
            self.assertEqual([code for _, code in waiting], codes)
            await stopping

    async def test_unstarted_jobs_get_a_retry_after(self):
        """One job is queued, the other one's key is being claimed."""
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=8, seconds=20))
            )
            await jobs.wait_until(lambda: len(started.starts()) == 8)
            started.platform.latency = 1.5
            unstarted = asyncio.gather(
                started.submit(0, jobs.job()),
                started.submit(0, jobs.job(key="crate-7")),
            )
            state = started.entries[0].engine.state
            await jobs.wait_until(lambda: state.active_jobs == 3)
            stopping = self.start_drain(started)
            await asyncio.sleep(0.05)
            self.force_drain(started)
            for reply in await unstarted:
                self.assertEqual(Code.DRAIN_UNSTARTED, reply["code"], reply)
                self.assertGreater(reply.get("retry_after_seconds", 0), 0)
            reply = await running
            self.assertEqual(Code.DRAIN_ENDED, reply["code"], reply)
            self.assertNotIn("retry_after_seconds", reply)
            await stopping
