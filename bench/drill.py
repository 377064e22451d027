"""``python -m bench.drill``: fault-injection test of the daemons.

Starts the platform, six backend servers and three entry daemons with the
command line, each as a separate process. Under load, it kills the platform,
one entry daemon and one backend server with SIGKILL. The backend servers count
the starts of tasks, and the replies to callers are checked against them.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any

import aiohttp
import orjson
import yaml

from bench import fleet as bench_fleet

LOAD_SECONDS = 14.0
JOBS_PER_SECOND = 12
TASKS_PER_JOB = 12
SERVER_COUNT = 6
ENTRY_COUNT = 3
KILL_ENTRY_AT = 4.0
KILL_BACKEND_AT = 7.0
KILL_PLATFORM_AT = 2.0
READY_TIMEOUT = 30.0
# The commands print this text before the address on which they listen.
ADDRESS_SEPARATOR = " at "


class Drill:
    """The daemons, the load and the replies to it."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._processes: list[asyncio.subprocess.Process] = []
        self._entries: list[tuple[asyncio.subprocess.Process, str]] = []
        self._servers: list[tuple[asyncio.subprocess.Process, str]] = []
        self._platform: asyncio.subprocess.Process
        self.replies: list[tuple[str, dict[str, Any] | None]] = []
        self._session: aiohttp.ClientSession

    async def _start_process(
        self, *arguments: str
    ) -> asyncio.subprocess.Process:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-u",
            "-m",
            "waxwingwalk",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        self._processes.append(process)
        return process

    async def _read_address(self, process: asyncio.subprocess.Process) -> str:
        assert process.stdout is not None
        line = (await process.stdout.readline()).decode()
        return line.strip().rpartition(ADDRESS_SEPARATOR)[2]

    async def start(self) -> None:
        """Start all daemons and wait until they are ready."""
        self._session = aiohttp.ClientSession()
        port = str(bench_fleet.free_ports(1)[0])
        self._platform = await self._start_process("platform", "--port", port)
        url = await self._read_address(self._platform)
        for number in range(SERVER_COUNT):
            process = await self._start_process(
                "backend",
                f"--id=backend-{number}",
                f"--zone=zone-{number % 2}",
                f"--platform={url}",
            )
            self._servers.append((process, await self._read_address(process)))
        await self._start_entries(url)
        await self._wait_ready()

    async def _start_entries(self, url: str) -> None:
        (self._folder / "peers.secret").write_text("a-secret-for-the-drill")
        ports = bench_fleet.free_ports(3 * ENTRY_COUNT)
        peers = [f"127.0.0.1:{port}" for port in ports[:ENTRY_COUNT]]
        for number in range(ENTRY_COUNT):
            callers, operators = ports[ENTRY_COUNT + 2 * number :][:2]
            settings = {
                "place": {
                    "region": "region",
                    "availability_zone": f"zone-{number % 2}",
                },
                "callers": {"port": callers},
                "operators": {"port": operators},
                "peers": {"port": ports[number]},
                "platform": {"url": url},
                "access": {"peers_secret_file": "peers.secret"},
                "seeds": peers,
                "log_level": "error",
            }
            path = self._folder / f"entry-{number}.yaml"
            path.write_text(yaml.safe_dump(settings))
            process = await self._start_process("entry", f"--settings={path}")
            self._entries.append((process, f"127.0.0.1:{callers}"))

    async def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        probe = {"service": "refunds", "team": "drill", "tasks": [{}]}
        for _, address in self._entries:
            while True:
                reply = await self._post(address, probe)
                if reply is not None and reply["code"] == 1000:
                    break
                if time.monotonic() > deadline:
                    raise TimeoutError("the daemons did not become ready")
                await asyncio.sleep(0.1)

    async def _post(
        self, address: str, job: dict[str, Any]
    ) -> dict[str, Any] | None:
        try:
            async with self._session.post(
                f"http://{address}/v1/jobs", json=job
            ) as response:
                reply: dict[str, Any] = orjson.loads(await response.read())
                return reply
        except (aiohttp.ClientError, OSError):
            return None

    async def run(self) -> None:
        """Submit jobs while processes are killed."""
        loop = asyncio.get_running_loop()
        loop.call_later(KILL_PLATFORM_AT, self._kill, self._platform)
        loop.call_later(KILL_ENTRY_AT, self._kill, self._entries[0][0])
        loop.call_later(KILL_BACKEND_AT, self._kill, self._servers[0][0])
        running = []
        for number in range(int(LOAD_SECONDS * JOBS_PER_SECOND)):
            running.append(asyncio.create_task(self._submit(number)))
            await asyncio.sleep(1 / JOBS_PER_SECOND)
        await asyncio.gather(*running)

    def _kill(self, process: asyncio.subprocess.Process) -> None:
        process.send_signal(signal.SIGKILL)

    async def _submit(self, number: int) -> None:
        _, address = self._entries[number % ENTRY_COUNT]
        tasks = [
            {
                "payload": {"run_seconds": 0.3, "value": f"{number}/{index}"},
                "run_time_seconds": 0.3,
            }
            for index in range(TASKS_PER_JOB)
        ]
        job = {"service": "refunds", "team": "drill", "tasks": tasks}
        reply = await self._post(address, job)
        self.replies.append((str(number), reply))

    async def read_starts(self) -> dict[str, int]:
        """Return the starts of each task on the running backend servers."""
        starts: dict[str, int] = {}
        for process, address in self._servers:
            if process.returncode is not None:
                continue
            url = f"http://{address}/v1/starts"
            async with self._session.get(url) as response:
                for name, count in (await response.json()).items():
                    starts[name] = starts.get(name, 0) + count
        return starts

    async def close(self) -> None:
        """Kill the processes that this drill started."""
        await self._session.close()
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()


def _count_outcomes(
    replies: list[tuple[str, dict[str, Any] | None]], starts: dict[str, int]
) -> dict[str, int]:
    """Count the outcomes, the tasks that started twice and the false replies.

    A reply is false if it is complete with other results than expected, or if
    it says "not run" and a task of the job has started.
    """
    counts = {"twice": sum(count > 1 for count in starts.values())}
    started_jobs = {name.rpartition("/")[0] for name in starts}
    counts["untrue"] = 0
    for number, reply in replies:
        name = "no reply" if reply is None else str(reply["code"])
        counts[name] = counts.get(name, 0) + 1
        if reply is None:
            continue
        if reply["code"] == 1000:
            expected = [f"{number}/{index}" for index in range(TASKS_PER_JOB)]
            counts["untrue"] += reply["results"] != expected
        elif reply["code"] // 1000 == 2:
            counts["untrue"] += reply.get("job") in started_jobs
    return counts


async def main() -> int:
    """Run the drill; return 1 if a guarantee was violated."""
    with tempfile.TemporaryDirectory(prefix="waxwingwalk-") as folder:
        drill = Drill(pathlib.Path(folder))
        try:
            await drill.start()
            await drill.run()
            counts = _count_outcomes(drill.replies, await drill.read_starts())
        finally:
            await drill.close()
    print(json.dumps(counts, indent=1, sort_keys=True))
    return 1 if counts["twice"] or counts["untrue"] else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
