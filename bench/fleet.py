"""Starts the processes of one run and ends just those."""

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
_SAMPLE = re.compile(r'^waxwingwalk_(\w+?)(?:\{kind="(\w+)"\})? (\S+)$')


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """The fleet of one run; delays are one way, in seconds."""

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
    peers: str
    callers: str
    operators: str
    delays_file: pathlib.Path
    is_killed: bool = False


def free_ports(count: int) -> list[int]:
    """Return ports that were free just now.

    They lie below the range that outgoing connections take theirs from, so
    that none of those can take one before it is used.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError):
            socket.create_server(("127.0.0.1", port)).close()
            if port not in ports:
                ports.append(port)
    return ports


def _count_name(metric: str, kind: str | None) -> str:
    """Return the name of a counter: messages go by their kind alone."""
    if kind is None:
        return metric
    return f"bytes_{kind}" if metric.startswith("bytes") else kind


class BenchFleet:
    """Entry processes and stand-ins as processes of their own."""

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
        self.entries.sort(key=lambda entry: entry.peers)
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
        self._platforms = (await self._read_line())["platforms"]

    async def _read_line(self) -> dict[str, Any]:
        assert self._stand_ins.stdout is not None
        line = await self._stand_ins.stdout.readline()
        content: dict[str, Any] = json.loads(line)
        return content

    async def order(self, **content: Any) -> dict[str, Any]:
        """Tell the stand-ins to do something; return their answer."""
        assert self._stand_ins.stdin is not None
        self._stand_ins.stdin.write(json.dumps(content).encode() + b"\n")
        return await self._read_line()

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
        said = json.loads(await process.stderr.readline())
        self.entries.append(
            Entry(
                process,
                zone,
                peers[index],
                said["callers"],
                said["operators"],
                delays_file,
            )
        )

    async def _wait_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT
        while not all([await self._is_ready(each) for each in self.entries]):
            if time.monotonic() > deadline:
                raise TimeoutError("the fleet did not become ready")
            await asyncio.sleep(0.1)
        # Owners grant only after their grace.
        await asyncio.sleep(2.0)

    async def _is_ready(self, entry: Entry) -> bool:
        hosts = await self.read(entry, "/v1/hosts")
        live = [each for each in hosts["hosts"] if each["state"] == "live"]
        servers = await self.read(entry, "/v1/backend-servers")
        return len(live) == self.layout.entries and len(
            servers["backend_servers"]
        ) == len(self.layout.speeds)

    async def read(self, entry: Entry, path: str) -> dict[str, Any]:
        """Read from an entry process's operators' interface."""
        url = f"http://{entry.operators}{path}"
        async with self.session.get(url) as response:
            content: dict[str, Any] = orjson.loads(await response.read())
            return content

    def kill_entry(self, index: int) -> None:
        """End an entry process with SIGKILL."""
        entry = self.entries[index]
        entry.is_killed = True
        entry.process.send_signal(signal.SIGKILL)

    def set_cut(self, zone: str | None) -> None:
        """Lose messages between a zone and the others; None heals."""
        for entry in self.entries:
            delays = {
                other.peers: self._delay(entry.zone, other.zone, zone)
                for other in self.entries
            }
            entry.delays_file.write_text(json.dumps(delays))
            if not entry.is_killed:
                entry.process.send_signal(signal.SIGUSR1)

    def _delay(self, first: str, second: str, cut: str | None) -> float:
        if first == second:
            return 0.0
        return -1.0 if cut in (first, second) else self.layout.zone_delay

    async def counts(self) -> dict[str, float]:
        """Return all counters, summed over the living processes."""
        total: dict[str, float] = {}
        for entry in self.entries:
            if entry.is_killed:
                continue
            url = f"http://{entry.operators}/metrics"
            async with self.session.get(url) as response:
                for line in (await response.text()).splitlines():
                    match = _SAMPLE.match(line)
                    if match:
                        name = _count_name(match[1], match[2])
                        total[name] = total.get(name, 0.0) + float(match[3])
        total["cpu"] = sum(self.cpu_seconds())
        return total

    def cpu_seconds(self) -> list[float]:
        """Return the processor time that each living process has used."""
        used = []
        for entry in self.entries:
            if entry.is_killed:
                continue
            stat = pathlib.Path(f"/proc/{entry.process.pid}/stat")
            fields = stat.read_text().rpartition(")")[2].split()
            used.append((int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND)
        return used

    def memory_bytes(self) -> list[int]:
        """Return the resident memory of each living process."""
        sizes = []
        for entry in self.entries:
            if entry.is_killed:
                continue
            statm = pathlib.Path(f"/proc/{entry.process.pid}/statm")
            sizes.append(int(statm.read_text().split()[1]) * PAGE_SIZE)
        return sizes
