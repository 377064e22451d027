"""End-to-end tests over loopback, from caller to backend server."""

import asyncio

from tests.entry import jobs
from waxwingwalk.core import results
from waxwingwalk.testing import fleet

Code = results.ResultCode


class EndToEndTests(jobs.FleetTestCase):
    async def test_answer_is_complete_and_in_task_order(self):
        async with fleet.Fleet(zones=("a", "b"), entries=2) as started:
            await jobs.add_backends(started, 2, zones=("a", "b"))
            reply = await started.submit(0, jobs.job(count=30))
            self.assertEqual(Code.COMPLETE, reply["code"])
            self.assertEqual(list(range(30)), reply["results"])
            starts = started.starts()
            self.assertEqual(30, len(starts))
            self.assertEqual({1}, set(starts.values()))

    async def test_answer_can_be_fetched_from_another_process(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            accepted = await started.submit(0, jobs.job(wait=False))
            self.assertEqual(Code.ACCEPTED, accepted["code"])
            path = f"/v1/jobs/{accepted['job']}"
            reply = await started.request(1, "GET", f"{path}?wait=true")
            self.assertEqual(Code.COMPLETE, reply["code"])
            self.assertEqual(list(range(6)), reply["results"])
            story = await started.request(1, "GET", f"{path}/explain")
            self.assertIn("COMPLETE", story["story"][-1])

    async def test_limits_refuse_before_any_task_starts(self):
        changes = {
            "defaults.job_max_tasks": 5,
            "defaults.payload_max": "1 KiB",
            "defaults.body_max": "16 KiB",
        }
        big = {"payload": {"value": "x" * 2000}, "run_time_seconds": 0.1}
        too_long = {"payload": "x" * 20_000}
        cases = [
            ({**jobs.job(), "tasks": [too_long]}, Code.BODY_TOO_LARGE),
            (jobs.job(count=6), Code.TOO_MANY_TASKS),
            (jobs.job(count=1, service="unknown"), Code.UNKNOWN_SERVICE),
            (jobs.job(service="no spaces"), Code.INVALID_REQUEST),
            ({**jobs.job(), "tasks": []}, Code.INVALID_REQUEST),
            ({**jobs.job(), "tasks": [big]}, Code.PAYLOAD_TOO_LARGE),
            (jobs.job(count=1, deadline_seconds=-1), Code.INVALID_REQUEST),
            (jobs.job(count=1, key="wk1~forged"), Code.KEY_INVALID),
            (
                {**jobs.job(), "tasks": [{"memory": 2**50}]},
                Code.NEVER_FITS,
            ),
            (
                {
                    **jobs.job(deadline_seconds=1),
                    "tasks": [{"run_time_seconds": 30}] * 5,
                },
                Code.DEADLINE_UNREACHABLE,
            ),
        ]
        async with fleet.Fleet(settings=changes) as started:
            await jobs.add_backends(started, 1)
            for submission, code in cases:
                with self.subTest(code=code.name):
                    reply = await started.submit(0, submission)
                    self.assertEqual(code, reply["code"], reply)
            self.assertEqual({}, started.starts())

    async def test_full_queue_refuses_unstarted_jobs_with_retry_after(self):
        changes = {"defaults.queue_max_tasks": 20}
        async with fleet.Fleet(settings=changes) as started:
            await jobs.add_backends(started, 1)
            replies = await asyncio.gather(
                *(
                    started.submit(0, jobs.job(count=14, seconds=0.5))
                    for _ in range(4)
                )
            )
            refused = [r for r in replies if r["code"] == Code.QUEUE_FULL]
            complete = [r for r in replies if r["code"] == Code.COMPLETE]
            self.assertEqual(4, len(refused) + len(complete))
            self.assertGreater(len(refused), 0)
            self.assertGreater(refused[0]["retry_after_seconds"], 0)
            self.assertEqual(14 * len(complete), len(started.starts()))
