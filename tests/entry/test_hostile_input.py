"""Malformed input of callers, operators, peers and backend servers."""

import asyncio
import itertools
import json

from tests.entry import jobs
from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.entry import backend_client
from waxwingwalk.entry import config
from waxwingwalk.entry import forwarding
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

    async def test_malformed_requests_are_answered_with_a_code(self):
        secrets = config.Secrets(
            peers=fleet.SECRET, callers={"shops": "t"}, operators={"ann": "o"}
        )
        async with fleet.Fleet(secrets=secrets) as started:
            entry = started.entries[0]
            incarnation = entry.engine.state.process.incarnation
            history = "/v1/settings/history?count="
            cases = [
                (entry.callers_address, "/v1/jobs/x", "\udcff", {}),
                (entry.operators_address, f"{history}%C2%B2", "o", {}),
                (entry.operators_address, history + "9" * 5000, "o", {}),
                (
                    entry.peers_address,
                    "/v1/forward/cancel",
                    fleet.SECRET,
                    {forwarding.TARGET_HEADER: incarnation},
                ),
            ]
            for address, path, token, headers in cases:
                with self.subTest(path=path[:40]):
                    reply = await self.request(address, path, token, headers)
                    self.assertIn(
                        reply["code"],
                        (Code.UNAUTHORIZED, Code.INVALID_REQUEST),
                    )

    async def request(self, address, path, token, headers):
        """Send a request with a body that is not valid UTF-8."""
        method = "POST" if headers else "GET"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {address}",
            "Connection: close",
            f"Authorization: Bearer {token}",
            *(f"{name}: {value}" for name, value in headers.items()),
            "Content-Length: 2",
            "",
            "",
        ]
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = "\r\n".join(lines).encode(errors="surrogateescape")
        writer.write(head + b"\xff\xfe")
        content = await reader.read()
        writer.close()
        return json.loads(content.partition(b"\r\n\r\n")[2])
