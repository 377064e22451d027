import asyncio
import datetime
import socket
import time
import unittest

import uvloop

from waxwingwalk.host import timeouts

LIMIT = datetime.timedelta(milliseconds=100)
LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)


class PatientTimeoutTests(unittest.TestCase):
    def run_on_each_loop(self, work):
        """Run a coroutine function on each event loop."""
        for factory in LOOPS:
            with self.subTest(loop=factory):
                with asyncio.Runner(loop_factory=factory) as runner:
                    runner.run(work())

    def test_work_within_the_limit_is_left_alone(self):
        async def work():
            async with timeouts.PatientTimeout(LIMIT):
                await asyncio.sleep(0.01)
            await asyncio.sleep(2 * LIMIT.total_seconds())

        self.run_on_each_loop(work)

    def test_work_beyond_the_limit_is_cancelled(self):
        async def work():
            started = time.monotonic()
            with self.assertRaises(TimeoutError):
                async with timeouts.PatientTimeout(LIMIT):
                    await asyncio.sleep(5)
            self.assertLess(time.monotonic() - started, 1)

        self.run_on_each_loop(work)

    def test_reply_that_came_while_the_host_was_behind_is_read(self):
        async def work():
            loop = asyncio.get_running_loop()
            near, far = socket.socketpair()
            with near, far:
                near.setblocking(False)
                async with timeouts.PatientTimeout(LIMIT):
                    reading = asyncio.create_task(loop.sock_recv(near, 5))
                    await asyncio.sleep(0)
                    far.send(b"reply")
                    # The event loop stalls beyond the limit.
                    time.sleep(2 * LIMIT.total_seconds())
                    self.assertEqual(await reading, b"reply")

        self.run_on_each_loop(work)

    def test_host_that_stays_behind_does_not_wait_for_ever(self):
        async def work():
            started = time.monotonic()
            with self.assertRaises(TimeoutError):
                async with timeouts.PatientTimeout(LIMIT):
                    while time.monotonic() - started < 5:
                        await asyncio.sleep(0)
                        time.sleep(0.05)
            self.assertLess(time.monotonic() - started, 1)

        self.run_on_each_loop(work)


if __name__ == "__main__":
    unittest.main()
