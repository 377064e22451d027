"""``python -m bench.scale``: control traffic by number of entry processes.

Runs fleets of several sizes as real processes in ten zones, with four backend
servers for each entry process. Each fleet is measured idle, then under a
light load.
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

ENTRY_COUNTS = (10, 20, 40)
SERVERS_PER_ENTRY = 4
IDLE_SECONDS = 10.0
LOAD = 0.03
SEED = 20261203
MIB = 2**20
ZONES = tuple(f"zone-{number}" for number in range(10))
TITLE = "control by entry processes; CPU, messages and bytes of one, idle"


async def measure(entries: int) -> report.Row:
    """Return the results for a fleet with this number of entry processes."""
    layout = dataclasses.replace(
        scenarios.COOPERATIVE,
        zones=ZONES,
        entries=entries,
        speeds=(1.0,) * (SERVERS_PER_ENTRY * entries),
        tree={"defaults": {}, "teams": {}},
    )
    started_at = time.monotonic()
    async with bench_fleet.BenchFleet(layout) as fleet:
        ready = time.monotonic() - started_at
        cells = {
            "servers": str(len(layout.speeds)),
            "ready s": f"{ready:.1f}",
            **await _measure_idle(fleet),
            "settings s": f"{await spread.settings_propagation(fleet):.2f}",
            **await _measure_loaded(fleet),
        }
    return report.Row(str(entries), cells)


async def _measure_idle(fleet: bench_fleet.BenchFleet) -> dict[str, str]:
    before = await fleet.read_counters()
    cpu_before = fleet.cpu_seconds()
    await asyncio.sleep(IDLE_SECONDS)
    cpu_used = [
        after - earlier
        for after, earlier in zip(fleet.cpu_seconds(), cpu_before, strict=True)
    ]
    after = await fleet.read_counters()
    process_seconds = len(cpu_used) * IDLE_SECONDS

    def rate(name: str) -> float:
        return (after.get(name, 0.0) - before.get(name, 0.0)) / process_seconds

    memory = max(fleet.memory_bytes()) / MIB
    return {
        "cpu %": f"{sum(cpu_used) / process_seconds * 100:.2f}",
        "most cpu %": f"{max(cpu_used) / IDLE_SECONDS * 100:.2f}",
        "frames/s": f"{rate('peer_frame'):.2f}",
        "bytes/s": f"{rate('bytes_peer_frame'):.0f}",
        "most MiB": f"{memory:.0f}",
    }


async def _measure_loaded(fleet: bench_fleet.BenchFleet) -> dict[str, str]:
    layout = fleet.layout
    servers = workload.Servers(layout.speeds, layout.slots)
    workload_spec = workload.WorkloadSpec(load=LOAD, seconds=6.0)
    jobs = workload.draw_jobs(workload_spec, servers, layout.entries, SEED)
    outcomes = await callers.Callers(fleet).submit_all(jobs)
    cells = report.response_cells(
        outcomes, jobs, servers, 2 * layout.caller_delay
    )
    return {name: cells[name] for name in ("jobs", "p50", "p99", "failed")}


async def main() -> None:
    """Measure each fleet size and print the table."""
    rows = [await measure(entries) for entries in ENTRY_COUNTS]
    print(report.table(TITLE, rows))


if __name__ == "__main__":
    asyncio.run(main())
