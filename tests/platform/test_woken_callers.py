"""Callers that leave a host while it is paused, on the daemon's loop."""

import asyncio
import socket
import time
import unittest

import orjson
import uvloop

from tests.platform import hosts
from tests.platform import test_callers

# Callers that connect while a host is paused. A listening socket of uvloop
# accepts one connection in each iteration of the loop.
CALLERS = 40
PAUSE_SECONDS = 0.9
SETTLE_SECONDS = 0.4


class WokenCallersTests(unittest.TestCase):
    def test_callers_that_left_during_a_pause_have_nothing_started(self):
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            starts = runner.run(self.starts_for_callers_that_left())
        self.assertEqual(starts, [])

    async def starts_for_callers_that_left(self):
        deployment = hosts.Deployment()
        try:
            await deployment.start()
            await self.wait_until_served(deployment)
            starts = deployment.workers[0].starts
            before = len(starts)
            for number in range(CALLERS):
                self.submit_and_leave(deployment.configs[0].callers, number)
            # Blocks the event loop of the host, as a pause of its process.
            time.sleep(PAUSE_SECONDS)
            await asyncio.sleep(SETTLE_SECONDS)
            return starts[before:]
        finally:
            await deployment.stop()

    async def wait_until_served(self, deployment):
        for attempt in range(test_callers.TRIES):
            status, _, _ = await deployment.call(
                "POST", f"/refund/{attempt:016x}", json=test_callers.job()
            )
            if status == 200:
                return
            await asyncio.sleep(test_callers.PAUSE_SECONDS)
        self.fail(f"not served: {status}")

    def submit_and_leave(self, address, number):
        host, _, port = address.rpartition(":")
        content = orjson.dumps(test_callers.job())
        head = (
            f"POST /refund/{0xFF0000 + number:016x} HTTP/1.1\r\n"
            f"Host: shop.example\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(head.encode() + content)
