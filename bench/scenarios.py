"""The scenarios: users' fleets, the load on them, and injected faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from bench import fleet as bench_fleet
from bench import workload

FaultInjection = Callable[[bench_fleet.BenchFleet], Awaitable[None]]

COOPERATIVE = bench_fleet.Layout(
    zones=("wales-1", "wales-2", "wales-3", "wales-4"),
    entries=8,
    speeds=(1.0,) * 24,
    slots=8,
    zone_delay=0.0014,
    caller_delay=0.001,
    tree={},
)
GROENHOF = dataclasses.replace(
    COOPERATIVE,
    zones=("west-1", "west-2", "west-3"),
    entries=9,
    zone_delay=0.0005,
    caller_delay=0.003,
)
MIXED_SPEEDS = dataclasses.replace(
    COOPERATIVE, speeds=(0.25, 0.5, 0.75, 1.0, 1.5, 2.0) * 4
)


def policy(sharing: str, placement: str) -> dict[str, Any]:
    """Return the settings that select a policy."""
    return {"slot_sharing": sharing, "placement": placement}


POLICIES = {
    "occupancy": policy("occupancy", "learned"),
    "owner leases": policy("owner", "learned"),
    "equal share": policy("equal-share", "learned"),
    "random": policy("unlimited", "random"),
    "round robin": policy("unlimited", "round-robin"),
    "least outstanding": policy("unlimited", "least-outstanding"),
}
OCCUPANCY_ONLY = ("occupancy",)
SELECTED_POLICIES = ("occupancy", "equal share", "least outstanding")
OCCUPANCY_AND_EQUAL_SHARE = ("occupancy", "equal share")


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet, a load and injected faults; each scenario gives one table."""

    name: str
    layout: bench_fleet.Layout
    workload_spec: workload.WorkloadSpec
    policies: tuple[str, ...] = tuple(POLICIES)
    inject_faults: FaultInjection | None = None
    # Seconds of load before the measurement, during which speeds are learned.
    warm_up_seconds: float = 0.0
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    teams: dict[str, Any] = dataclasses.field(default_factory=dict)
    # Indexes of the backend servers with an injected fault.
    bad_backends: tuple[int, ...] = ()
    is_quick: bool = False


async def degrade_three_servers(fleet: bench_fleet.BenchFleet) -> None:
    """Let one server fail all tasks, one be 20x slower, one not answer."""
    await fleet.send_command(do="fault", backend=0, fault="FAIL_ALL")
    await fleet.send_command(do="speed", backend=1, speed=0.05)
    await fleet.send_command(do="fault", backend=2, fault="SILENT")


async def fail_all_tasks_of_one_server(fleet: bench_fleet.BenchFleet) -> None:
    """Let one backend server fail every task immediately."""
    await fleet.send_command(do="fault", backend=0, fault="FAIL_ALL")


async def kill_one_entry(fleet: bench_fleet.BenchFleet) -> None:
    """Kill one entry process after 3 s."""
    await asyncio.sleep(3)
    fleet.kill_entry(len(fleet.entries) - 1)


async def stop_platform(fleet: bench_fleet.BenchFleet) -> None:
    """Stop the platform after 1 s."""
    await asyncio.sleep(1)
    await fleet.send_command(do="platform", fault="DOWN")


async def isolate_one_zone(fleet: bench_fleet.BenchFleet) -> None:
    """Isolate a zone from the other zones and the platform for 4 s."""
    await asyncio.sleep(2)
    zone = fleet.layout.zones[0]
    fleet.set_isolated_zone(zone)
    await fleet.send_command(do="cut", zone=zone)
    await asyncio.sleep(4)
    fleet.set_isolated_zone(None)
    await fleet.send_command(do="heal")


SCENARIOS = [
    Scenario(
        "1a cooperative, 30% load",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.3),
    ),
    Scenario(
        "1b cooperative, 70% load",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.7),
        is_quick=True,
    ),
    Scenario(
        "1c cooperative, 90% load",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.9),
    ),
    Scenario(
        "1d one job of 570 tasks on an idle fleet",
        COOPERATIVE,
        workload.WorkloadSpec(single_job_tasks=570),
        policies=(*SELECTED_POLICIES, "owner leases"),
        is_quick=True,
    ),
    Scenario(
        "2 Groenhof, 10x burst for 2 s over 25% load",
        GROENHOF,
        workload.WorkloadSpec(load=0.25, burst=(2.0, 4.0, 10.0)),
        policies=SELECTED_POLICIES,
    ),
    Scenario(
        "3a speeds 1:8, 70% load",
        MIXED_SPEEDS,
        workload.WorkloadSpec(load=0.7),
        warm_up_seconds=6.0,
    ),
    Scenario(
        "3b speeds 1:8, declared times off up to 10x, 1% long tasks",
        MIXED_SPEEDS,
        workload.WorkloadSpec(load=0.7, declared_error=10.0, long_share=0.01),
        policies=OCCUPANCY_AND_EQUAL_SHARE,
        warm_up_seconds=6.0,
    ),
    Scenario(
        "4a one fails all, one 20x slow, one silent, 5% impossible jobs",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.6, impossible_share=0.05, seconds=12.0),
        policies=OCCUPANCY_AND_EQUAL_SHARE,
        inject_faults=degrade_three_servers,
        bad_backends=(0, 1, 2),
    ),
    Scenario(
        "4b one fails all tasks",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.6, seconds=12.0),
        policies=SELECTED_POLICIES,
        inject_faults=fail_all_tasks_of_one_server,
        bad_backends=(0,),
    ),
    Scenario(
        "5a one entry process killed",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.6),
        policies=OCCUPANCY_AND_EQUAL_SHARE,
        inject_faults=kill_one_entry,
    ),
    Scenario(
        "5b platform down",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.6),
        policies=OCCUPANCY_ONLY,
        inject_faults=stop_platform,
    ),
    Scenario(
        "5c one zone cut off for 4 s",
        COOPERATIVE,
        workload.WorkloadSpec(load=0.4, seconds=10.0),
        policies=OCCUPANCY_AND_EQUAL_SHARE,
        inject_faults=isolate_one_zone,
    ),
    Scenario(
        "5d one team offers 20 times its quota",
        COOPERATIVE,
        workload.WorkloadSpec(load=2.9, greedy_factor=4.8),
        policies=OCCUPANCY_AND_EQUAL_SHARE,
        teams={"greedy": {"quota": 24}},
    ),
    Scenario(
        "5e the same without that team",
        COOPERATIVE,
        workload.WorkloadSpec(
            load=2.9, greedy_factor=4.8, excludes_greedy=True
        ),
        policies=OCCUPANCY_AND_EQUAL_SHARE,
    ),
]
