"""Runs scenarios under each of their policies."""

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
    """Run a scenario under each policy with the same jobs; return the rows."""
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
    job_callers = callers.Callers(fleet)
    if scenario.warm_up_seconds:
        warm_up_spec = dataclasses.replace(
            scenario.workload_spec, seconds=scenario.warm_up_seconds
        )
        await job_callers.submit_all(
            workload.draw_jobs(
                warm_up_spec, servers, layout.entries, WARM_UP_SEED
            )
        )
    jobs = workload.draw_jobs(
        scenario.workload_spec, servers, layout.entries, seed
    )
    before = await fleet.read_counters()
    fault_injection = None
    if scenario.inject_faults is not None:
        fault_injection = asyncio.create_task(scenario.inject_faults(fleet))
    outcomes = await job_callers.submit_all(jobs)
    if fault_injection is not None:
        await fault_injection
    after = await fleet.read_counters()
    starts = (await fleet.send_command(do="starts"))["starts"]
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
        # A signal ends only the scenario that is running.
        with contextlib.suppress(asyncio.CancelledError):
            rows = await run_scenario(scenario, seed, policies)
            print(report.table(scenario.name, rows), flush=True)
