"""Crowds of clients at the listeners of an entry process."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile

import aiohttp
import yaml

from tests.connections import crowd
from tests.connections import host_case
from tests.entry import jobs
from waxwingwalk.core import results
from waxwingwalk.testing import fleet

# The memory that an entry process may hold if its settings do not tell.
MEMORY_MB = 300
CROWD = 300
MANY = 2500
DESCRIPTORS = 4096 // 2


class EntryTests(jobs.FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet = fleet.Fleet()
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__, None, None, None)
        await jobs.add_backends(self.fleet, 1)
        folder = tempfile.TemporaryDirectory(prefix="waxwingwalk-")
        self.addCleanup(folder.cleanup)
        await self.start_daemon(pathlib.Path(folder.name))

    async def start_daemon(self, folder):
        """Start the daemon, and wait until it serves jobs."""
        process_id = os.getpid()
        ip = f"127.{1 + process_id % 250}.{1 + process_id // 250 % 250}.4"
        (folder / "peers.secret").write_text(fleet.SECRET)
        path = folder / "entry.yaml"
        listeners = {
            name: {"port": 0, "address": ip}
            for name in ("callers", "operators", "peers")
        }
        settings = {
            "place": {"region": "region", "availability_zone": "zone-1"},
            "platform": {"url": self.fleet.platform.url},
            "access": {"peers_secret_file": "peers.secret"},
            "seeds": [self.fleet.entries[0].peers_address],
        }
        path.write_text(yaml.safe_dump(listeners | settings))
        self.daemon = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "waxwingwalk", "entry"),
            *("--settings", str(path)),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self.end_daemon)
        self.addresses = yaml.safe_load(await self.daemon.stdout.readline())
        self.reader = asyncio.create_task(self.daemon.stdout.read())
        self.usage = host_case.Usage(self.daemon.pid, ip)
        sampling = asyncio.create_task(self.sample())
        self.addCleanup(sampling.cancel)
        async with asyncio.timeout(host_case.ANSWER_SECONDS):
            while await self.submit() is not results.ResultCode.COMPLETE:
                await asyncio.sleep(host_case.PAUSE_SECONDS)

    async def end_daemon(self):
        """Kill the daemon."""
        with contextlib.suppress(ProcessLookupError):
            self.daemon.kill()
        await self.daemon.wait()
        await self.reader

    async def sample(self):
        """Measure what the daemon holds, again and again."""
        while self.daemon.returncode is None:
            self.usage.sample()
            await asyncio.sleep(host_case.SAMPLE_SECONDS)

    async def submit(self):
        """Submit a job; return the code of the answer, None without one."""
        url = f"http://{self.addresses['callers']}/v1/jobs"
        try:
            async with self.fleet.session.post(
                url, json=jobs.job(count=1)
            ) as response:
                content = await response.json()
                return results.ResultCode(content["code"])
        except aiohttp.ClientConnectionError:
            return None

    async def check_crowd(self, kind, listener="callers", count=CROWD):
        """Check the daemon once a crowd has sent all that it can."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", crowd.__name__),
            *(self.addresses[listener], kind.__name__, str(count)),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self.addAsyncCleanup(process.communicate, b"")
        self.assertEqual(await process.stdout.readline(), b"sent\n")
        code = await self.submit()
        self.assertIsNone(self.daemon.returncode)
        self.usage.sample()
        self.assertLess(self.usage.memory / 2**20, MEMORY_MB)
        self.assertLess(self.usage.descriptors, DESCRIPTORS)
        self.assertIs(code, results.ResultCode.COMPLETE)

    async def test_heads_without_end_exhaust_no_memory(self):
        await self.check_crowd(crowd.endless_header)

    async def test_heads_for_operators_exhaust_no_memory(self):
        await self.check_crowd(crowd.endless_header, "operators")

    async def test_heads_for_peers_exhaust_no_memory(self):
        await self.check_crowd(crowd.endless_header, "peers")

    async def test_bodies_that_stop_just_short_exhaust_no_memory(self):
        await self.check_crowd(crowd.short_entry_body)

    async def test_whole_bodies_exhaust_no_memory(self):
        await self.check_crowd(crowd.whole_entry_body)

    async def test_idle_connections_exhaust_no_descriptors(self):
        await self.check_crowd(crowd.idle, count=MANY)
