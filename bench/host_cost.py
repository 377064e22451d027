"""``python -m bench.host_cost [TREE...]``: processor time of dispatch hosts.

Two hosts run as processes on loopback, against a stand-in store and stand-in
backend servers in this process. Printed are the processor time of a start,
that of an idle host for each second, and that of both hosts for each job. The
arguments are source trees of this project, which are measured alternately with
the same jobs; the default is the current one.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import signal
import statistics
import sys
import tempfile

import aiohttp
from aiohttp import test_utils
import orjson
import yaml

from tests.platform import hosts
from tests.platform import stand_in

SEED = 20261204
ROUNDS = 3
HOSTS = 2
SERVERS = 44
RUN_SECONDS = 0.15
JOBS_PER_SECOND = 40
LOAD_SECONDS = 10.0
IDLE_SECONDS = 5.0
MEAN_TASKS = 3.5
START_TIMEOUT_SECONDS = 20.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Characters of the log of a host that ended too early.
LOG_TAIL = 2000
JOB_PATH = "/refund/{:016x}"


@dataclasses.dataclass(slots=True)
class Costs:
    """Milliseconds of processor time; ``served`` counts jobs."""

    start: float = 0.0
    idle_second: float = 0.0
    job: float = 0.0
    served: int = 0


class Host:
    """A dispatch host in a process."""

    def __init__(self, number: int, tree: str, store: str, folder: str):
        addresses = hosts.free_addresses(3)
        self.callers, self.readiness, self._peers = addresses
        self._tree = tree
        settings = {
            "node": f"host-{number}",
            # Hosts listen for metrics at a fixed port of their own address.
            "ip": f"127.77.{os.getpid() % 250}.{number + 1}",
            "zone": "north",
            "listen": {
                "front": self.callers,
                "ready": self.readiness,
                "control": self._peers,
            },
            "bounds": {"grace_s": 3},
            "platform": {"address": store},
        }
        self._folder = pathlib.Path(folder)
        self._settings = self._folder / f"host-{number}.yaml"
        self._settings.write_text(yaml.safe_dump(settings))
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        environment = {
            "PYTHONPATH": self._tree,
            "WAXWINGWALK_BOOT": str(self._settings),
        }
        with self._settings.with_suffix(".log").open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "waxwingwalk.platform",
                cwd=self._tree,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def processor_time(self) -> float:
        """Return the processor time used so far, in milliseconds."""
        assert self._process is not None
        if self._process.returncode is not None:
            log = self._settings.with_suffix(".log").read_text()
            raise RuntimeError(
                f"a host ended with {self._process.returncode}: "
                f"{log[-LOG_TAIL:]}"
            )
        text = pathlib.Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND * 1e3

    async def stop(self) -> None:
        """Kill the process."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


class Load:
    """A store, backend servers, hosts of one tree, and a caller."""

    def __init__(self, tree: str, seed: int) -> None:
        self._tree = tree
        self._random = random.Random(seed)
        self._servers: list[test_utils.TestServer] = []
        self._hosts: list[Host] = []

    async def measure(self) -> Costs:
        """Return the costs of one run."""
        costs = Costs()
        with tempfile.TemporaryDirectory() as folder:
            try:
                await self._start(folder)
                await self._wait_until_ready()
                costs.start = self._processor_time() / HOSTS
                await self._warm_up()
                before = self._processor_time()
                await asyncio.sleep(IDLE_SECONDS)
                idle = self._processor_time() - before
                costs.idle_second = idle / HOSTS / IDLE_SECONDS
                before = self._processor_time()
                costs.served, asked = await self._submit_jobs()
                costs.job = (self._processor_time() - before) / asked
            finally:
                for host in self._hosts:
                    await host.stop()
                for server in self._servers:
                    await server.close()
        return costs

    async def _serve(self, application: aiohttp.web.Application) -> str:
        server = test_utils.TestServer(application)
        await server.start_server()
        self._servers.append(server)
        return f"127.0.0.1:{server.port}"

    async def _start(self, folder: str) -> None:
        store = stand_in.Store()
        address = await self._serve(store.application())
        for number in range(SERVERS):
            worker = stand_in.Worker(f"w-{number}")
            row = stand_in.worker_row(await self._serve(worker.application()))
            row["room"] = {"cpu": 32000, "mem_mb": 65536, "gpu": 0}
            store.put("servers", worker.worker_id, row)
        store.put("op", "config", stand_in.config())
        for number in range(HOSTS):
            host = Host(number, self._tree, address, folder)
            self._hosts.append(host)
            await host.start()

    async def _wait_until_ready(self) -> None:
        async with (
            asyncio.timeout(START_TIMEOUT_SECONDS),
            aiohttp.ClientSession() as session,
        ):
            for host in self._hosts:
                while True:
                    try:
                        url = f"http://{host.readiness}/ready"
                        async with session.get(url) as response:
                            if response.status == 200:
                                break
                    except aiohttp.ClientError:
                        pass
                    await asyncio.sleep(0.02)

    async def _warm_up(self) -> None:
        """Wait until both hosts have served a job."""
        async with aiohttp.ClientSession() as session:
            for number, host in enumerate(self._hosts):
                for attempt in range(100):
                    job_id = 2**32 + 1000 * number + attempt
                    if await self._submit(session, host, job_id, 1):
                        break
                    await asyncio.sleep(0.1)

    def _processor_time(self) -> float:
        return sum(host.processor_time() for host in self._hosts)

    async def _submit_jobs(self) -> tuple[int, int]:
        """Submit the load; return how many jobs were served and submitted."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        at = 0.0
        tasks = []
        async with aiohttp.ClientSession() as session:
            while True:
                at += self._random.expovariate(JOBS_PER_SECOND)
                if at > LOAD_SECONDS:
                    break
                count = max(
                    1, round(MEAN_TASKS * self._random.lognormvariate(0, 0.4))
                )
                host = self._hosts[len(tasks) % HOSTS]
                await asyncio.sleep(started + at - loop.time())
                tasks.append(
                    asyncio.create_task(
                        self._submit(session, host, len(tasks), count)
                    )
                )
            served = sum(await asyncio.gather(*tasks))
        return served, len(tasks)

    async def _submit(
        self,
        session: aiohttp.ClientSession,
        host: Host,
        number: int,
        count: int,
    ) -> bool:
        step = {"count": count, "cpu": 16000, "est_ms": RUN_SECONDS * 1e3}
        content = {"spec": "text", "best_effort": True, "steps": [step]}
        try:
            async with session.post(
                f"http://{host.callers}{JOB_PATH.format(number)}",
                data=orjson.dumps(content),
                headers={"Host": "shop.example"},
            ) as response:
                await response.read()
                return response.status == 200
        except aiohttp.ClientError:
            return False


async def main(trees: list[str]) -> None:
    """Print the costs of each tree, alternately, and their medians."""
    stand_in.RUN_SECONDS = RUN_SECONDS
    found: dict[str, list[Costs]] = {tree: [] for tree in trees}
    print("tree  ms a start  ms a second, idle  ms a job  served")
    for _ in range(ROUNDS):
        for number, tree in enumerate(trees):
            costs = await Load(tree, SEED).measure()
            found[tree].append(costs)
            _print(str(number), costs)
    for number, costs_list in enumerate(found.values()):
        median = Costs(
            *(
                statistics.median(
                    getattr(each, field.name) for each in costs_list
                )
                for field in dataclasses.fields(Costs)
            )
        )
        _print(f"{number} median", median)


def _print(label: str, costs: Costs) -> None:
    print(
        f"{label:9}  {costs.start:8.0f}  {costs.idle_second:8.1f}"
        f"  {costs.job:8.2f}  {costs.served:6}",
        flush=True,
    )


if __name__ == "__main__":
    root = str(pathlib.Path(__file__).parents[1])
    asyncio.run(main([str(each) for each in sys.argv[1:]] or [root]))
