import asyncio
import datetime
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
            async def handle(reader, writer):
                await reader.read(1)
                writer.write(b"reply")
                await writer.drain()

            server = await asyncio.start_server(handle, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            reader, writer = await asyncio.open_connection(*address)
            async with timeouts.PatientTimeout(LIMIT):
                writer.write(b"?")
                await asyncio.sleep(0)
                # The event loop stalls beyond the limit.
                time.sleep(2 * LIMIT.total_seconds())
                self.assertEqual(await reader.read(5), b"reply")
            writer.close()
            server.close()

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
