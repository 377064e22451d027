"""Tests of the entry daemon as a separate process, and of its signals."""

import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile

import yaml

from tests.entry import jobs
from waxwingwalk.core import results
from waxwingwalk.testing import fleet

Code = results.ResultCode

# Signals that arrive while the daemon begins to drain.
SIGNALS = 3000


class DaemonTests(jobs.FleetTestCase):
    """A daemon that joins a fleet with one in-process entry process."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        settings = {
            "defaults.probe_interval": "100 ms",
            "defaults.peer_timeout": "600 ms",
        }
        self.folder = tempfile.TemporaryDirectory(prefix="waxwingwalk-")
        self.fleet = await fleet.Fleet(settings=settings).__aenter__()
        await jobs.add_backends(self.fleet, 1)
        await self.start_daemon()

    async def start_daemon(self):
        """Start the daemon and wait until it is ready."""
        folder = pathlib.Path(self.folder.name)
        (folder / "peers.secret").write_text(fleet.SECRET)
        path = folder / "entry.yaml"
        settings = {
            "place": {"region": "region", "availability_zone": "zone-1"},
            "callers": {"port": 0},
            "operators": {"port": 0},
            "peers": {"port": 0},
            "platform": {"url": self.fleet.platform.url},
            "access": {"peers_secret_file": "peers.secret"},
            "seeds": [self.fleet.entries[0].peers_address],
        }
        path.write_text(yaml.safe_dump(settings))
        self.daemon = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "waxwingwalk",
            "entry",
            "--settings",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        addresses = yaml.safe_load(await self.daemon.stdout.readline())
        self.callers = addresses["callers"]
        self.output_reader = asyncio.create_task(self.daemon.stdout.read())
        state = self.fleet.entries[0].engine.state
        await jobs.wait_until(
            lambda: len(state.membership.live_addresses()) == 2
        )
        async with asyncio.timeout(fleet.READY_TIMEOUT):
            while not await self.is_ready(addresses["operators"]):
                await asyncio.sleep(fleet.POLL_INTERVAL)

    async def is_ready(self, operators):
        """Return whether the daemon is ready and knows the backend server."""
        async with self.fleet.session.get(
            f"http://{self.callers}/ready"
        ) as response:
            if response.status != 200:
                return False
        async with self.fleet.session.get(
            f"http://{operators}/v1/backend-servers"
        ) as response:
            return bool((await response.json())["backend_servers"])

    async def asyncTearDown(self):
        with contextlib.suppress(ProcessLookupError):
            self.daemon.kill()
        await self.daemon.wait()
        await self.output_reader
        await self.fleet.__aexit__(None, None, None)
        self.folder.cleanup()

    async def submit(self, job):
        """Submit a job to the daemon."""
        async with self.fleet.session.post(
            f"http://{self.callers}/v1/jobs", json=job
        ) as response:
            return await response.json()

    async def start_job(self, count):
        """Submit a job and wait until four of its tasks have started."""
        running = asyncio.create_task(
            self.submit(jobs.job(count=count, seconds=0.6))
        )
        await jobs.wait_until(lambda: len(self.fleet.starts()) >= 4)
        return running

    async def test_terminated_daemon_answers_before_exit(self):
        running = await self.start_job(12)
        self.daemon.send_signal(signal.SIGTERM)
        reply = await running
        self.assertEqual(Code.COMPLETE, reply["code"], reply)
        self.assertEqual(0, await self.daemon.wait())

    async def test_second_signal_ends_the_drain(self):
        running = await self.start_job(60)
        self.daemon.send_signal(signal.SIGTERM)
        state = self.fleet.entries[0].engine.state
        await jobs.wait_until(
            lambda: len(state.membership.live_addresses()) == 1
        )
        self.daemon.send_signal(signal.SIGTERM)
        reply = await running
        self.assertEqual(Code.DRAIN_ENDED, reply["code"], reply)
        self.assertEqual(0, await self.daemon.wait())

    async def test_signals_in_quick_succession_cut_off_no_caller(self):
        running = await self.start_job(60)
        for _ in range(SIGNALS):
            self.daemon.send_signal(signal.SIGTERM)
        reply = await running
        # The process may see all of them as one, and complete the job.
        self.assertIn(reply["code"], (Code.DRAIN_ENDED, Code.COMPLETE), reply)
        self.assertEqual(0, await self.daemon.wait())

    async def test_paused_daemon_is_declared_gone_and_rejoins(self):
        """The daemon is paused beyond the peer timeout while tasks run."""
        running = await self.start_job(12)
        self.daemon.send_signal(signal.SIGSTOP)
        state = self.fleet.entries[0].engine.state
        await jobs.wait_until(
            lambda: len(state.membership.live_addresses()) == 1
        )
        other = await self.fleet.submit(0, jobs.job(count=8))
        self.assertEqual(Code.COMPLETE, other["code"], other)
        self.daemon.send_signal(signal.SIGCONT)
        await jobs.wait_until(
            lambda: len(state.membership.live_addresses()) == 2
        )
        reply = await running
        self.assertEqual(Code.COMPLETE, reply["code"], reply)
        self.assertEqual({1}, set(self.fleet.starts().values()))

    async def test_killed_daemon_is_declared_gone(self):
        running = await self.start_job(8)
        running.add_done_callback(lambda task: task.exception())
        self.daemon.kill()
        state = self.fleet.entries[0].engine.state
        await jobs.wait_until(
            lambda: len(state.membership.live_addresses()) == 1
        )
        reply = await self.fleet.submit(0, jobs.job(count=8))
        self.assertEqual(Code.COMPLETE, reply["code"], reply)
