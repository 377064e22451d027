"""Scenario 6: how long until leaving and settings are known everywhere."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from bench import callers
from bench import fleet as bench_fleet
from bench import report
from bench import scenarios
from bench import workload

TIMEOUT = 10.0
POLL_PAUSE = 0.02
TITLE = "6 leaving and settings, under 60% load (seconds)"


async def run(seed: int) -> str:
    """Return the table."""
    layout = dataclasses.replace(
        scenarios.COOPERATIVE, tree={"defaults": {}, "teams": {}}
    )
    async with bench_fleet.BenchFleet(layout) as fleet:
        work = workload.Work(load=0.6, seconds=12.0)
        servers = workload.Servers(layout.speeds, layout.slots)
        jobs = workload.draw_jobs(work, servers, layout.entries, seed)
        load = asyncio.create_task(callers.Callers(fleet).drive(jobs))
        await asyncio.sleep(2)
        settings = await settings_spread(fleet)
        leaving = await _last_start(fleet)
        outcomes = await load
    complete = sum(each.code == report.COMPLETE for each in outcomes)
    cells = {
        "settings everywhere": f"{settings:.2f}",
        "last start after leaving": f"{leaving:.2f}",
        "jobs": str(len(outcomes)),
        "complete": str(complete),
    }
    return report.table(TITLE, [report.Row("occupancy", cells)])


async def settings_spread(fleet: bench_fleet.BenchFleet) -> float:
    """Return the time from a change until every process has it."""
    url = f"http://{fleet.entries[0].operators}/v1/settings/changes"
    body = {"changes": {"teams.pubs.quota": 9}, "reason": "benchmark"}
    begun = time.monotonic()
    async with fleet.session.post(url, json=body) as response:
        revision = (await response.json())["revision"]

    async def is_everywhere() -> bool:
        replies = [
            await fleet.read(entry, "/version") for entry in fleet.entries
        ]
        return all(reply["revision"] == revision for reply in replies)

    await _until(is_everywhere)
    return time.monotonic() - begun


async def _last_start(fleet: bench_fleet.BenchFleet) -> float:
    """Return how long after leaving a backend server got its last task."""
    before = await fleet.order(do="last_starts")
    await fleet.order(do="leave", backend=5)
    await asyncio.sleep(6)
    after = await fleet.order(do="last_starts")
    return max(0.0, float(after["last"][5]) - float(before["now"]))


async def _until(condition: Callable[[], Awaitable[bool]]) -> None:
    deadline = time.monotonic() + TIMEOUT
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError("the change did not spread")
        await asyncio.sleep(POLL_PAUSE)
