"""Runs one scenario under each of its policies."""

import asyncio
from collections.abc import Sequence
import contextlib
import dataclasses

from bench import callers
from bench import fleet as bench_fleet
from bench import report
from bench import scenarios
from bench import workload

WARM_UP_SEED = 7


async def run_scenario(
    scenario: scenarios.Scenario, seed: int, policies: Sequence[str]
) -> list[report.Row]:
    """Return a row for each policy, all with the same work."""
    rows = []
    for name in policies:
        tree = {
            "defaults": {**scenarios.POLICIES[name], **scenario.settings},
            "teams": scenario.teams,
        }
        layout = dataclasses.replace(scenario.layout, tree=tree)
        async with bench_fleet.BenchFleet(layout) as fleet:
            cells = await _measure(scenario, fleet, seed)
        rows.append(report.Row(name, cells))
    return rows


async def _measure(
    scenario: scenarios.Scenario, fleet: bench_fleet.BenchFleet, seed: int
) -> dict[str, str]:
    layout = fleet.layout
    servers = workload.Servers(layout.speeds, layout.slots)
    load = callers.Callers(fleet)
    if scenario.warm_up:
        warm_up = dataclasses.replace(scenario.work, seconds=scenario.warm_up)
        await load.drive(
            workload.draw_jobs(warm_up, servers, layout.entries, WARM_UP_SEED)
        )
    jobs = workload.draw_jobs(scenario.work, servers, layout.entries, seed)
    before = await fleet.counts()
    trouble = None
    if scenario.trouble is not None:
        trouble = asyncio.create_task(scenario.trouble(fleet))
    outcomes = await load.drive(jobs)
    if trouble is not None:
        await trouble
    after = await fleet.counts()
    starts = (await fleet.order(do="starts"))["starts"]
    round_trip = 2 * layout.caller_delay
    cells = report.response_cells(outcomes, jobs, servers, round_trip)
    cells.update(report.cost_cells(before, after))
    cells["conns"] = str(max(each["connections"] for each in starts))
    cells["twice"] = str(sum(each["twice"] for each in starts))
    if scenario.bad_backends:
        bad = [starts[index]["total"] for index in scenario.bad_backends]
        cells["to bad"] = "/".join(map(str, bad))
        cells["tasks"] = str(sum(each["total"] for each in starts))
        cells["set aside"] = str(int(after["backends_set_aside_total"]))
    return cells


async def run_all(
    chosen: Sequence[scenarios.Scenario],
    seed: int,
    only: Sequence[str] | None,
) -> None:
    """Run scenarios and print their tables."""
    for scenario in chosen:
        policies = [
            name for name in scenario.policies if not only or name in only
        ]
        with contextlib.suppress(asyncio.CancelledError):
            rows = await run_scenario(scenario, seed, policies)
            print(report.table(scenario.name, rows), flush=True)
