"""Process that runs the stand-ins: the platform and all backend servers.

It reads commands from standard input, one JSON object per line, and writes a
reply to each as a line on standard output.
"""

import asyncio
import json
import math
import sys
from typing import Any

import uvloop

from waxwingwalk.settings import adopted
from waxwingwalk.settings import store as settings_store
from waxwingwalk.testing import backend
from waxwingwalk.testing import platform


class StandIns:
    """The platform and the backend servers of a benchmark run."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self._plan = plan
        self.platform = platform.Platform()
        self.servers: list[backend.BackendServer] = []

    async def start(self) -> dict[str, Any]:
        """Start the stand-ins; return the platform's address by zone."""
        await self.platform.start()
        zones = self._plan["zones"]
        platform_addresses = {
            zone: await self.platform.listen() for zone in zones
        }
        for index, speed in enumerate(self._plan["speeds"]):
            zone = zones[index % len(zones)]
            options = backend.BackendOptions(
                backend_id=f"backend-{index:02d}",
                zone=zone,
                rack=f"rack-{index // 6}",
                slots=self._plan["slots"],
                speed=speed,
                delays={
                    each: 0.0 if each == zone else self._plan["zone_delay"]
                    for each in zones
                },
            )
            server = backend.BackendServer(options)
            await server.start()
            self.servers.append(server)
            self.platform.put_host("backend_servers", server.host_list_entry())
        revision = adopted.Revision(number=1, tree=self._plan["tree"])
        self.platform.seed("settings", "head", {"number": 1})
        self.platform.seed(
            "settings",
            settings_store.revision_key(1),
            json.loads(revision.document()),
        )
        return {"platforms": platform_addresses}

    def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Execute a command; return its reply."""
        match command["do"]:
            case "fault":
                server = self.servers[command["backend"]]
                server.fault = backend.Fault[command["fault"]]
            case "speed":
                server = self.servers[command["backend"]]
                server.set_speed(command["speed"])
            case "leave":
                server = self.servers[command["backend"]]
                server.is_leaving = True
                self.platform.put_host(
                    "backend_servers", server.host_list_entry()
                )
            case "platform":
                self.platform.fault = platform.PlatformFault[command["fault"]]
            case "cut":
                self._isolate_zone(command["zone"])
            case "heal":
                self._restore_network()
            case "starts":
                return {"starts": self._count_starts()}
            case "last_starts":
                return {
                    "last": [
                        max(server.start_times, default=0.0)
                        for server in self.servers
                    ],
                    "now": asyncio.get_running_loop().time(),
                }
        return {}

    def _isolate_zone(self, zone: str) -> None:
        """Isolate a zone from the other zones and from the platform."""
        for server in self.servers:
            for other in server.options.delays:
                if (other == zone) != (server.options.zone == zone):
                    server.options.delays[other] = math.inf
        address = self._platform_address(zone)
        self.platform.unreachable_ports.add(int(address.rpartition(":")[2]))

    def _platform_address(self, zone: str) -> str:
        return str(self.addresses["platforms"][zone])

    def _restore_network(self) -> None:
        for server in self.servers:
            for other in server.options.delays:
                is_same_zone = other == server.options.zone
                server.options.delays[other] = (
                    0.0 if is_same_zone else self._plan["zone_delay"]
                )
        self.platform.unreachable_ports.clear()

    def _count_starts(self) -> list[dict[str, Any]]:
        return [
            {
                "total": server.starts.total(),
                "twice": sum(1 for n in server.starts.values() if n > 1),
                "connections": server.max_connections,
            }
            for server in self.servers
        ]

    async def serve(self) -> None:
        """Execute commands until standard input ends."""
        self.addresses = await self.start()
        _write_line(self.addresses)
        reader = asyncio.StreamReader(limit=2**20)
        protocol = asyncio.StreamReaderProtocol(reader)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            _write_line(self.execute(json.loads(line)))


def _write_line(content: dict[str, Any]) -> None:
    print(json.dumps(content), flush=True)


if __name__ == "__main__":
    uvloop.run(StandIns(json.loads(sys.argv[1])).serve())
