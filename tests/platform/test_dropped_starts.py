"""Starts that are out of date before they can be written."""

import asyncio
import datetime
import unittest

from aiohttp import test_utils

from tests.platform import stand_in
from waxwingwalk.core import clock
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.host import metrics
from waxwingwalk.platform import backends

Outcome = model.CallOutcome
LIMIT = datetime.timedelta(milliseconds=500)
# More calls than there may be connections to a worker.
MANY = 2 * backends.CONNECTIONS_MAX


class DroppedStartTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.worker = stand_in.Worker("w-1")
        self.server = test_utils.TestServer(self.worker.application())
        await self.server.start_server()
        self.clock = clock.ManualClock()
        self.client = backends.PlatformBackends(
            metrics.HostMetrics(), self.clock
        )

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.close()

    async def start(self, number, delay=LIMIT):
        order = effects.StartRun(
            incarnation=model.BackendIncarnation("w-1", 1),
            address=f"127.0.0.1:{self.server.port}",
            fence=7,
            run=model.RunKey(f"j.0.0.{number}", 1),
            spec="spec",
            lease_ends_ms=99_000,
            send_by=self.clock.now() + LIMIT,
        )
        call = self.client.start(order)
        # The host is paused between the decision and the sending.
        self.clock.advance(delay)
        return (await call).outcome

    async def test_start_in_time_is_sent(self):
        self.assertEqual(await self.start(0), Outcome.ACCEPTED)

    async def test_start_after_a_pause_is_dropped(self):
        late = LIMIT + model.MILLISECOND
        # On a new connection, and on one that is open.
        self.assertEqual(await self.start(0, late), Outcome.DROPPED)
        await self.start(1)
        self.assertEqual(await self.start(2, late), Outcome.DROPPED)
        tasks = [each["task"] for each in self.worker.starts]
        self.assertEqual(tasks, ["j.0.0.1"])

    async def test_dropped_starts_leave_the_connections_usable(self):
        late = LIMIT + model.MILLISECOND
        outcomes = await asyncio.gather(
            *(self.start(number, late) for number in range(MANY))
        )
        self.assertEqual(set(outcomes), {Outcome.DROPPED})
        for number in range(MANY):
            outcome = await self.start(MANY + number, datetime.timedelta())
            self.assertEqual(outcome, Outcome.ACCEPTED)


if __name__ == "__main__":
    unittest.main()
