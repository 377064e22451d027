"""The whole path over loopback, from the caller to the backend server."""

import unittest

from waxwingwalk.core import results
from waxwingwalk.testing import backend
from waxwingwalk.testing import fleet

Code = results.ResultCode


def job(count=6, seconds=0.02, **members):
    """Return a submission whose results are the task indexes."""
    tasks = [
        {
            "payload": {"run_seconds": seconds, "value": index},
            "run_time_seconds": seconds,
        }
        for index in range(count)
    ]
    return {"service": "refunds", "team": "shops", "tasks": tasks, **members}


class WholePathTests(unittest.IsolatedAsyncioTestCase):
    async def test_answer_is_whole_and_in_task_order(self):
        async with fleet.Fleet(zones=("a", "b"), entries=2) as started:
            for index, zone in enumerate("ab"):
                await started.add_backend(
                    backend.BackendOptions(f"backend-{index}", zone=zone)
                )
            await started.ready()
            reply = await started.submit(0, job(count=30))
            self.assertEqual(Code.COMPLETE, reply["code"])
            self.assertEqual(list(range(30)), reply["results"])
            starts = started.starts()
            self.assertEqual(30, len(starts))
            self.assertEqual({1}, set(starts.values()))
