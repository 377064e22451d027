"""The scenarios: the users' fleets, their load, and what goes wrong."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any

from bench import fleet as bench_fleet
from bench import workload

Trouble = Callable[[bench_fleet.BenchFleet], Awaitable[None]]

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
MIXED = dataclasses.replace(
    COOPERATIVE, speeds=(0.25, 0.5, 0.75, 1.0, 1.5, 2.0) * 4
)


def policy(sharing: str, placement: str) -> dict[str, Any]:
    """Return a settings tree that chooses policies."""
    return {"slot_sharing": sharing, "placement": placement}


POLICIES = {
    "occupancy": policy("occupancy", "learned"),
    "owner leases": policy("owner", "learned"),
    "equal share": policy("equal-share", "learned"),
    "random": policy("unlimited", "random"),
    "round robin": policy("unlimited", "round-robin"),
    "least outstanding": policy("unlimited", "least-outstanding"),
}
OURS = ("occupancy",)
FEW = ("occupancy", "equal share", "least outstanding")
OURS_AND_SHARE = ("occupancy", "equal share")


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One table: a fleet, a load, and trouble that arises under it."""

    name: str
    layout: bench_fleet.Layout
    work: workload.Work
    policies: tuple[str, ...] = tuple(POLICIES)
    trouble: Trouble | None = None
    # Seconds of load before the measured part, so that speeds are learned.
    warm_up: float = 0.0
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    teams: dict[str, Any] = dataclasses.field(default_factory=dict)
    bad_backends: tuple[int, ...] = ()
    is_quick: bool = False


async def one_fails_everything(fleet: bench_fleet.BenchFleet) -> None:
    """One fails all, one is 20 times slower, one is silent."""
    await fleet.order(do="fault", backend=0, fault="FAIL_ALL")
    await fleet.order(do="speed", backend=1, speed=0.05)
    await fleet.order(do="fault", backend=2, fault="SILENT")


async def one_fails_all_tasks(fleet: bench_fleet.BenchFleet) -> None:
    """One backend server fails every task at once."""
    await fleet.order(do="fault", backend=0, fault="FAIL_ALL")


async def kill_one_entry(fleet: bench_fleet.BenchFleet) -> None:
    """One entry process dies."""
    await asyncio.sleep(3)
    fleet.kill_entry(len(fleet.entries) - 1)


async def store_outage(fleet: bench_fleet.BenchFleet) -> None:
    """The platform is down from the first second on."""
    await asyncio.sleep(1)
    await fleet.order(do="platform", fault="DOWN")


async def zone_cut(fleet: bench_fleet.BenchFleet) -> None:
    """One zone is cut off from the others and the platform, then healed."""
    await asyncio.sleep(2)
    zone = fleet.layout.zones[0]
    fleet.set_cut(zone)
    await fleet.order(do="cut", zone=zone)
    await asyncio.sleep(4)
    fleet.set_cut(None)
    await fleet.order(do="heal")


SCENARIOS = [
    Scenario("1a cooperative, 30% load", COOPERATIVE, workload.Work(load=0.3)),
    Scenario(
        "1b cooperative, 70% load",
        COOPERATIVE,
        workload.Work(load=0.7),
        is_quick=True,
    ),
    Scenario("1c cooperative, 90% load", COOPERATIVE, workload.Work(load=0.9)),
    Scenario(
        "1d one job of 570 tasks on an idle fleet",
        COOPERATIVE,
        workload.Work(single_job_tasks=570),
        policies=(*FEW, "owner leases"),
        is_quick=True,
    ),
    Scenario(
        "2 Groenhof, 10x burst for 2 s over 25% load",
        GROENHOF,
        workload.Work(load=0.25, burst=(2.0, 4.0, 10.0)),
        policies=FEW,
    ),
    Scenario(
        "3a speeds 1:8, 70% load",
        MIXED,
        workload.Work(load=0.7),
        warm_up=6.0,
    ),
    Scenario(
        "3b speeds 1:8, declared times off up to 10x, 1% long tasks",
        MIXED,
        workload.Work(load=0.7, declared_error=10.0, long_share=0.01),
        policies=OURS_AND_SHARE,
        warm_up=6.0,
    ),
    Scenario(
        "4a one fails all, one 20x slow, one silent, 5% impossible jobs",
        COOPERATIVE,
        workload.Work(load=0.6, impossible_share=0.05, seconds=12.0),
        policies=OURS_AND_SHARE,
        trouble=one_fails_everything,
        bad_backends=(0, 1, 2),
    ),
    Scenario(
        "4b one fails all tasks",
        COOPERATIVE,
        workload.Work(load=0.6, seconds=12.0),
        policies=FEW,
        trouble=one_fails_all_tasks,
        bad_backends=(0,),
    ),
    Scenario(
        "5a one entry process killed",
        COOPERATIVE,
        workload.Work(load=0.6),
        policies=OURS_AND_SHARE,
        trouble=kill_one_entry,
    ),
    Scenario(
        "5b platform down",
        COOPERATIVE,
        workload.Work(load=0.6),
        policies=OURS,
        trouble=store_outage,
    ),
    Scenario(
        "5c one zone cut off for 4 s",
        COOPERATIVE,
        workload.Work(load=0.4, seconds=10.0),
        policies=OURS_AND_SHARE,
        trouble=zone_cut,
    ),
    Scenario(
        "5d one team offers 20 times its quota",
        COOPERATIVE,
        workload.Work(load=2.9, greedy_factor=4.8),
        policies=OURS_AND_SHARE,
        teams={"greedy": {"quota": 24}},
    ),
    Scenario(
        "5e the same without that team",
        COOPERATIVE,
        workload.Work(load=2.9, greedy_factor=4.8, is_greedy_left_out=True),
        policies=OURS_AND_SHARE,
    ),
]
