"""Malformed input of callers and backend servers."""

import itertools
import json

from tests.entry import jobs
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.entry import backend_client
from waxwingwalk.testing import fleet

Code = results.ResultCode
BEYOND_64_BITS = 2**64
BEYOND_FLOATS = 10**400

# Members of a backend server's reply.
MALFORMED_REPLIES = [
    {"running": BEYOND_FLOATS},
    {"running": -1},
    {"result": BEYOND_64_BITS},
    {"result": {"amounts": [1, -BEYOND_64_BITS]}},
]


class HostileInputTests(jobs.FleetTestCase):
    def test_reply_with_numbers_out_of_range_has_an_unknown_outcome(self):
        for members in MALFORMED_REPLIES:
            with self.subTest(members=members):
                reply = {"task": "j/0", "incarnation": "a", "status": "done"}
                content = json.dumps({**reply, **members}).encode()
                parsed = backend_client.parse_reply(content)
                self.assertIs(model.TaskOutcome.LOST, parsed.outcome)

    async def test_numbers_that_cannot_be_sent_are_refused_as_not_run(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            for task, members in itertools.product(
                ({"payload": [BEYOND_64_BITS]}, {"memory": BEYOND_64_BITS}),
                ({}, {"key": "crate-7"}),
            ):
                with self.subTest(task=task, members=members):
                    job = jobs.job(count=1, **members)
                    job["tasks"][0].update(task)
                    reply = await started.submit(0, job)
                    self.assertEqual(Code.INVALID_REQUEST, reply["code"])
            self.assertEqual({}, started.starts())
