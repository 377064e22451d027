"""Signals that a dispatch host's process receives while callers wait."""

import asyncio
import os
import signal
import tempfile
import unittest
from unittest import mock

import aiohttp

from tests.platform import hosts
from tests.platform import stand_in
from tests.soak import hosts as process_hosts

STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "est_ms": 50}
JOB = {"spec": "text", "best_effort": True, "steps": [STEP]}
CALLER_WAIT = {"Deadline-Ms": "20000"}
# A task that has not ended when the process is killed.
LONG_RUN_SECONDS = 30
TRIES = 100
PAUSE_SECONDS = 0.1
# The process still imports its modules this long after its start.
START_SECONDS = 0.1
# Signals that arrive while the process begins to drain.
SIGNALS = 3000
# The process has this long to exit after the second signal, which is less
# than its linger time and its grace.
EXIT_SECONDS = 1.5


class SignalTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = hosts.Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start(hosts=0)
        network = f"127.{1 + os.getpid() % 250}.254.1"
        self.host = process_hosts.HostProcess(
            "host", network, "north", folder.name
        )
        await self.host.listen(self.deployment.store_address)
        self.addAsyncCleanup(self.host.stop)
        await self.host.start([])
        for attempt in range(TRIES):
            if await self.submit(attempt) == 200:
                return
            await asyncio.sleep(PAUSE_SECONDS)
        raise AssertionError("the host does not serve jobs")

    async def submit(self, job_number):
        """Submit a job; return the status of the answer, None without one."""
        url = f"http://{self.host.callers_address}/refund/{job_number:016x}"
        try:
            async with self.deployment.session.post(
                url,
                json=JOB,
                headers=CALLER_WAIT | {"Host": "shop.example"},
            ) as response:
                return response.status
        except aiohttp.ClientConnectionError:
            return None

    async def check_signals(self, delay_seconds, limit_seconds, count=2):
        """Send signals while a caller waits for its answer."""
        with mock.patch.object(stand_in, "RUN_SECONDS", LONG_RUN_SECONDS):
            waiting = asyncio.create_task(self.submit(TRIES))
            while not self.deployment.workers[0].running:
                await asyncio.sleep(0.01)
            for _ in range(count):
                self.host.signal(signal.SIGTERM)
                if delay_seconds:
                    await asyncio.sleep(delay_seconds)
            async with asyncio.timeout(limit_seconds):
                self.assertEqual(await waiting, 502)
                self.assertEqual(await self.host.wait(), 0)

    async def test_second_sigterm_ends_the_drain_with_an_answer(self):
        await self.check_signals(0.5, EXIT_SECONDS)

    async def test_signals_in_quick_succession_cut_off_no_caller(self):
        await self.check_signals(0.0, process_hosts.GRACE_SECONDS, SIGNALS)

    async def test_sighup_during_a_start_does_not_end_the_process(self):
        await self.host.kill()
        await self.host.start([])
        await asyncio.sleep(START_SECONDS)
        self.host.signal(signal.SIGHUP)
        for attempt in range(TRIES):
            if await self.submit(TRIES + attempt) == 200:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        self.assertTrue(self.host.is_running)
