"""Scenario 6: propagation times of settings and of a leaving server."""

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
    """Run the scenario; return its table."""
    layout = dataclasses.replace(
        scenarios.COOPERATIVE, tree={"defaults": {}, "teams": {}}
    )
    async with bench_fleet.BenchFleet(layout) as fleet:
        workload_spec = workload.WorkloadSpec(load=0.6, seconds=12.0)
        servers = workload.Servers(layout.speeds, layout.slots)
        jobs = workload.draw_jobs(workload_spec, servers, layout.entries, seed)
        submission = asyncio.create_task(
            callers.Callers(fleet).submit_all(jobs)
        )
        await asyncio.sleep(2)
        settings = await settings_propagation(fleet)
        leaving = await _measure_last_start(fleet)
        outcomes = await submission
    complete = sum(each.code == report.COMPLETE for each in outcomes)
    cells = {
        "settings everywhere": f"{settings:.2f}",
        "last start after leaving": f"{leaving:.2f}",
        "jobs": str(len(outcomes)),
        "complete": str(complete),
    }
    return report.table(TITLE, [report.Row("occupancy", cells)])


async def settings_propagation(fleet: bench_fleet.BenchFleet) -> float:
    """Change a setting; return the time until every entry process has it."""
    url = f"http://{fleet.entries[0].operators_address}/v1/settings/changes"
    body = {"changes": {"teams.pubs.quota": 9}, "reason": "benchmark"}
    started_at = time.monotonic()
    async with fleet.session.post(url, json=body) as response:
        revision = (await response.json())["revision"]

    async def is_propagated() -> bool:
        replies = [
            await fleet.get_json(entry, "/version") for entry in fleet.entries
        ]
        return all(reply["revision"] == revision for reply in replies)

    await _wait_until(is_propagated)
    return time.monotonic() - started_at


async def _measure_last_start(fleet: bench_fleet.BenchFleet) -> float:
    """Return how long after leaving a backend server starts its last task.

    The result is 0 if it starts none after leaving.
    """
    before = await fleet.send_command(do="last_starts")
    await fleet.send_command(do="leave", backend=5)
    await asyncio.sleep(6)
    after = await fleet.send_command(do="last_starts")
    return max(0.0, float(after["last"][5]) - float(before["now"]))


async def _wait_until(condition: Callable[[], Awaitable[bool]]) -> None:
    deadline = time.monotonic() + TIMEOUT
    while not await condition():
        if time.monotonic() > deadline:
            raise TimeoutError(
                "the change of settings did not reach all entry processes"
            )
        await asyncio.sleep(POLL_PAUSE)
