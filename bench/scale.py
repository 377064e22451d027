"""``python -m bench.scale``: control at growing numbers of entry processes.

Each size runs as many real processes with four backend servers each, in ten
zones: idle first, then under a light load.
"""

import asyncio
import dataclasses
import time

from bench import callers
from bench import fleet as bench_fleet
from bench import report
from bench import scenarios
from bench import spread
from bench import workload

ENTRIES = (10, 20, 40)
SERVERS_EACH = 4
IDLE_SECONDS = 10.0
LOAD = 0.03
SEED = 20261203
MIB = 2**20
ZONES = tuple(f"zone-{number}" for number in range(10))
TITLE = "control by entry processes; CPU, messages and bytes of one, idle"


async def measure(entries: int) -> report.Row:
    """Return the figures of a fleet of so many entry processes."""
    layout = dataclasses.replace(
        scenarios.COOPERATIVE,
        zones=ZONES,
        entries=entries,
        speeds=(1.0,) * (SERVERS_EACH * entries),
        tree={"defaults": {}, "teams": {}},
    )
    begun = time.monotonic()
    async with bench_fleet.BenchFleet(layout) as fleet:
        ready = time.monotonic() - begun
        cells = {
            "servers": str(len(layout.speeds)),
            "ready s": f"{ready:.1f}",
            **await _idle(fleet),
            "settings s": f"{await spread.settings_spread(fleet):.2f}",
            **await _loaded(fleet),
        }
    return report.Row(str(entries), cells)


async def _idle(fleet: bench_fleet.BenchFleet) -> dict[str, str]:
    before = await fleet.counts()
    used_before = fleet.cpu_seconds()
    await asyncio.sleep(IDLE_SECONDS)
    used = [
        after - earlier
        for after, earlier in zip(
            fleet.cpu_seconds(), used_before, strict=True
        )
    ]
    after = await fleet.counts()
    count = len(used) * IDLE_SECONDS

    def rate(name: str) -> float:
        return (after.get(name, 0.0) - before.get(name, 0.0)) / count

    memory = max(fleet.memory_bytes()) / MIB
    return {
        "cpu %": f"{sum(used) / count * 100:.2f}",
        "most cpu %": f"{max(used) / IDLE_SECONDS * 100:.2f}",
        "frames/s": f"{rate('peer_frame'):.2f}",
        "bytes/s": f"{rate('bytes_peer_frame'):.0f}",
        "most MiB": f"{memory:.0f}",
    }


async def _loaded(fleet: bench_fleet.BenchFleet) -> dict[str, str]:
    layout = fleet.layout
    servers = workload.Servers(layout.speeds, layout.slots)
    work = workload.Work(load=LOAD, seconds=6.0)
    jobs = workload.draw_jobs(work, servers, layout.entries, SEED)
    outcomes = await callers.Callers(fleet).drive(jobs)
    cells = report.response_cells(
        outcomes, jobs, servers, 2 * layout.caller_delay
    )
    return {name: cells[name] for name in ("jobs", "p50", "p99", "failed")}


async def main() -> None:
    """Print the table."""
    rows = [await measure(entries) for entries in ENTRIES]
    print(report.table(TITLE, rows))


if __name__ == "__main__":
    asyncio.run(main())
