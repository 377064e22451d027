"""A dispatch host as a process, and what it holds while a crowd is there."""

import asyncio
import os
import pathlib
import sys
import tempfile
import unittest

import aiohttp

from tests.connections import crowd
from tests.platform import hosts
from tests.soak import hosts as process_hosts

STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "est_ms": 50}
JOB = {"spec": "text", "best_effort": True, "steps": [STEP]}
# A caller that waits long enough for its answer on any machine.
CALLER_WAIT = {"Deadline-Ms": "60000"}
ANSWER_SECONDS = 60
TRIES = 200
PAUSE_SECONDS = 0.1
SAMPLE_SECONDS = 0.01
PAGE = os.sysconf("SC_PAGE_SIZE")
# The machine of the tests: a process may hold so much memory, in MB, and so
# many descriptors, of which some are reserved for files.
MEMORY_MB = 128
DESCRIPTORS = 700
RESERVED_DESCRIPTORS = 200
# Connections of a crowd.
CROWD = 350
METRICS_PORT = 9464
# Characters of the host's log that are shown if it does not start.
LOG_SHOWN = 2000


class Usage:
    """The greatest memory and number of descriptors of a process so far.

    Memory is what is resident, and the bytes that the process has received and
    not read.
    """

    def __init__(self, process_id, ip):
        self._folder = pathlib.Path(f"/proc/{process_id}")
        # The system prints addresses as numbers in the machine's byte order.
        parts = [f"{int(part):02X}" for part in ip.split(".")]
        self._local = "".join(reversed(parts))
        self.memory = 0
        self.resident = 0
        self.descriptors = 0

    def sample(self):
        """Measure once."""
        resident = int((self._folder / "statm").read_text().split()[1]) * PAGE
        self.resident = max(self.resident, resident)
        self.memory = max(self.memory, resident + self._unread_bytes())
        self.descriptors = max(self.descriptors, self.count_descriptors())

    def count_descriptors(self):
        """Return how many descriptors are open now."""
        return len(os.listdir(self._folder / "fd"))

    def _unread_bytes(self):
        unread = 0
        for line in (self._folder / "net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            # A listening socket shows the length of its queue there.
            if fields[1].startswith(self._local) and fields[3] != "0A":
                unread += int(fields[4].partition(":")[2], 16)
        return unread


class HostCase(unittest.IsolatedAsyncioTestCase):
    """A host of a small machine, a worker, and a store."""

    limits = {}

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.deployment = hosts.Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start(hosts=0)
        process_id = os.getpid()
        ip = f"127.{1 + process_id % 250}.{1 + process_id // 250 % 250}.3"
        self.host = process_hosts.HostProcess(
            "host",
            ip,
            "north",
            folder.name,
            limits={"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS}
            | self.limits,
        )
        await self.host.listen(self.deployment.store_address)
        self.addAsyncCleanup(self.host.stop)
        await self.host.start([])
        self.usage = Usage(self.host.process_id, ip)
        for number in range(TRIES):
            if await self.submit(2**32 + number) == 200:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        else:
            log = self.host.log_path.read_text()[-LOG_SHOWN:]
            raise AssertionError(f"the host does not serve jobs: {log}")
        sampling = asyncio.create_task(self._sample())
        self.addAsyncCleanup(asyncio.gather, sampling, return_exceptions=True)
        self.addCleanup(sampling.cancel)

    async def _sample(self):
        while self.host.is_running:
            self.usage.sample()
            await asyncio.sleep(SAMPLE_SECONDS)

    async def submit(self, number, **options):
        """Submit a job; return the status of the answer, None without one."""
        url = f"http://{self.host.callers_address}/refund/{number:016x}"
        options = {"json": JOB} | options
        headers = CALLER_WAIT | {"Host": "shop.example"}
        headers |= options.pop("headers", {})
        try:
            async with self.deployment.session.post(
                url, headers=headers, **options
            ) as response:
                await response.read()
                self.retry_after = response.headers.get("Retry-After")
                return response.status
        except aiohttp.ClientConnectionError:
            return None

    async def submit_until_served(self, number):
        """Submit a job, again as long as a refusal says when to come back."""
        for _ in range(TRIES):
            status = await self.submit(number)
            if status != 503 or not self.retry_after:
                break
            await asyncio.sleep(float(self.retry_after))
        return status

    async def start_crowd(self, kind, count=CROWD, address=None):
        """Start a crowd of a kind; it stays until the test is over."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            crowd.__name__,
            address or self.host.callers_address,
            kind.__name__,
            str(count),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(process.communicate, b"")
        return process

    async def check_host(self):
        """Check that the host lives within its limits, and serves."""
        status = await self.submit_until_served(2**33)
        self.assertTrue(self.host.is_running)
        ready = f"http://{self.host.readiness_address}/ready"
        async with self.deployment.session.get(ready) as response:
            self.assertEqual(response.status, 200)
        self.usage.sample()
        self.assertLess(self.usage.memory / 2**20, MEMORY_MB)
        limit = self.host.limits["max_fds"] - RESERVED_DESCRIPTORS
        self.assertLess(self.usage.descriptors, limit)
        self.assertEqual(self.host.errors(), [])
        self.assertEqual(status, 200)

    async def check_crowd(self, kind, count=CROWD, address=None):
        """Check the host once a crowd has sent all that it can."""
        process = await self.start_crowd(kind, count, address)
        self.assertEqual(await process.stdout.readline(), b"sent\n")
        await self.check_host()

    async def check_beside_crowd(self, kind, count=CROWD):
        """Check that a job is served while a crowd sends, and afterwards."""
        process = await self.start_crowd(kind, count)
        sent = asyncio.create_task(process.stdout.readline())
        answered = asyncio.create_task(self.submit_until_served(2**34))
        self.assertEqual(await answered, 200)
        self.assertEqual(await sent, b"sent\n")
        await self.check_host()
