"""Starts the processes of a benchmark run and stops only those."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
from types import TracebackType
from typing import Any

import aiohttp
import orjson
import yaml

READY_TIMEOUT = 30.0
PORT_RANGE = (15_000, 30_000)
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
_METRIC_LINE = re.compile(r'^waxwingwalk_(\w+?)(?:\{kind="(\w+)"\})? (\S+)$')


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The fleet of a benchmark run.

    ``entries`` is the number of entry processes. ``speeds`` has a factor for
    each backend server, and each has ``slots`` slots. ``tree`` is the settings
    tree. Delays are one-way, in seconds.
    """

    zones: tuple[str, ...]
    entries: int
    speeds: tuple[float, ...]
    slots: int
    zone_delay: float
    caller_delay: float
    tree: dict[str, Any]
    log_level: str = "info"


@dataclasses.dataclass(slots=True)
class Entry:
    """A running entry process."""

    process: asyncio.subprocess.Process
    zone: str
    peers_address: str
    callers_address: str
    operators_address: str
    delays_file: pathlib.Path
    is_killed: bool = False


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free.

    They are below the ephemeral port range, so that no outgoing connection
    can occupy one before it is used.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            if port not in ports:
                ports.append(port)
    return ports


def _counter_name(metric: str, kind: str | None) -> str:
    """Return the name under which a metric is counted.

    A counter of messages gets the name of their kind, and a counter of bytes
    the same name with the prefix ``bytes_``. Other metrics keep their names.
    """
    if kind is None:
        return metric
    return f"bytes_{kind}" if metric.startswith("bytes") else kind


class BenchFleet:
    """Entry processes and stand-ins, run as separate processes."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.entries: list[Entry] = []
        self._folder = tempfile.TemporaryDirectory(prefix="waxwingwalk-")
        self._stand_ins: asyncio.subprocess.Process
        self._platforms: dict[str, str] = {}
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "BenchFleet":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        try:
            await self._start()
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def _start(self) -> None:
        await self._start_stand_ins()
        ports = free_ports(self.layout.entries)
        secret = pathlib.Path(self._folder.name, "peers.secret")
        secret.write_text("a-secret-for-benchmarks")
        await asyncio.gather(
            *(self._start_entry(i, ports) for i in range(len(ports)))
        )
        self.entries.sort(key=lambda entry: entry.peers_address)
        await self._wait_ready()

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.session.close()
        processes = [entry.process for entry in self.entries]
        for process in [*processes, self._stand_ins]:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        self._folder.cleanup()

    async def _start_stand_ins(self) -> None:
        plan = dataclasses.asdict(self.layout)
        self._stand_ins = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.stand_ins",
            json.dumps(plan),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._platforms = (await self._read_reply())["platforms"]

    async def _read_reply(self) -> dict[str, Any]:
        assert self._stand_ins.stdout is not None
        line = await self._stand_ins.stdout.readline()
        content: dict[str, Any] = json.loads(line)
        return content

    async def send_command(self, **content: Any) -> dict[str, Any]:
        """Send a command to the stand-ins; return their reply."""
        assert self._stand_ins.stdin is not None
        self._stand_ins.stdin.write(json.dumps(content).encode() + b"\n")
        return await self._read_reply()

    def _zone_of(self, index: int) -> str:
        return self.layout.zones[index % len(self.layout.zones)]

    async def _start_entry(self, index: int, ports: list[int]) -> None:
        zone = self._zone_of(index)
        folder = pathlib.Path(self._folder.name)
        peers = [f"127.0.0.1:{port}" for port in ports]
        delays = {
            peer: 0.0
            if self._zone_of(other) == zone
            else self.layout.zone_delay
            for other, peer in enumerate(peers)
        }
        delays_file = folder / f"delays-{index}.json"
        delays_file.write_text(json.dumps(delays))
        settings = {
            "place": {"region": "region", "availability_zone": zone},
            "callers": {"port": 0},
            "operators": {"port": 0},
            "peers": {"port": ports[index]},
            "platform": {"url": f"http://{self._platforms[zone]}"},
            "access": {"peers_secret_file": "peers.secret"},
            "seeds": peers,
            "log_level": self.layout.log_level,
        }
        settings_file = folder / f"entry-{index}.yaml"
        settings_file.write_text(yaml.safe_dump(settings))
        with open(folder / f"entry-{index}.log", "wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bench.entry_process",
                str(settings_file),
                str(delays_file),
                stdout=log,
                stderr=asyncio.subprocess.PIPE,
            )
        assert process.stderr is not None
        addresses = json.loads(await process.stderr.readline())
        self.entries.append(
            Entry(
                process,
                zone,
                peers[index],
                addresses["callers"],
                addresses["operators"],
                delays_file,
            )
        )

    async def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while not all([await self._is_ready(each) for each in self.entries]):
            if time.monotonic() > deadline:
                raise TimeoutError("the fleet did not become ready")
            await asyncio.sleep(0.1)
        # An owner grants slots only after its grace period.
        await asyncio.sleep(2.0)

    async def _is_ready(self, entry: Entry) -> bool:
        hosts = await self.get_json(entry, "/v1/hosts")
        live = [each for each in hosts["hosts"] if each["state"] == "live"]
        servers = await self.get_json(entry, "/v1/backend-servers")
        return len(live) == self.layout.entries and len(
            servers["backend_servers"]
        ) == len(self.layout.speeds)

    async def get_json(self, entry: Entry, path: str) -> dict[str, Any]:
        """Send a GET request to the operators' API of an entry process."""
        url = f"http://{entry.operators_address}{path}"
        async with self.session.get(url) as response:
            content: dict[str, Any] = orjson.loads(await response.read())
            return content

    def kill_entry(self, index: int) -> None:
        """Kill an entry process with SIGKILL."""
        entry = self.entries[index]
        entry.is_killed = True
        entry.process.send_signal(signal.SIGKILL)

    def set_isolated_zone(self, zone: str | None) -> None:
        """Drop messages between a zone and the others.

        None restores the connections.
        """
        for entry in self.entries:
            delays = {
                other.peers_address: self._delay_between(
                    entry.zone, other.zone, zone
                )
                for other in self.entries
            }
            entry.delays_file.write_text(json.dumps(delays))
            if not entry.is_killed:
                entry.process.send_signal(signal.SIGUSR1)

    def _delay_between(
        self, first: str, second: str, isolated_zone: str | None
    ) -> float:
        if first == second:
            return 0.0
        return (
            -1.0
            if isolated_zone in (first, second)
            else self.layout.zone_delay
        )

    async def read_counters(self) -> dict[str, float]:
        """Return the counters, summed over the running entry processes.

        ``cpu`` is their processor time in seconds.
        """
        counters: dict[str, float] = {}
        for entry in self.entries:
            if entry.is_killed:
                continue
            url = f"http://{entry.operators_address}/metrics"
            async with self.session.get(url) as response:
                for line in (await response.text()).splitlines():
                    match = _METRIC_LINE.match(line)
                    if match:
                        name = _counter_name(match[1], match[2])
                        counters[name] = counters.get(name, 0.0) + float(
                            match[3]
                        )
        counters["cpu"] = sum(self.cpu_seconds())
        return counters

    def cpu_seconds(self) -> list[float]:
        """Return the processor time of each running entry process."""
        used = []
        for entry in self.entries:
            if entry.is_killed:
                continue
            stat = pathlib.Path(f"/proc/{entry.process.pid}/stat")
            fields = stat.read_text().rpartition(")")[2].split()
            # utime and stime, in clock ticks
            used.append((int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND)
        return used

    def memory_bytes(self) -> list[int]:
        """Return the resident memory of each running entry process."""
        sizes = []
        for entry in self.entries:
            if entry.is_killed:
                continue
            statm = pathlib.Path(f"/proc/{entry.process.pid}/statm")
            sizes.append(int(statm.read_text().split()[1]) * PAGE_SIZE)
        return sizes
