"""``waxwingwalk demo``: runs a job on a fleet within one process."""

import asyncio
import collections
import time
from typing import Any

import cleo.helpers
from returns import result
import uvloop

from waxwingwalk.management import base
from waxwingwalk.testing import backend
from waxwingwalk.testing import fleet

ZONES = ("wales-1", "wales-2")
ENTRY_COUNT = 3
SPEEDS = (1.0, 1.0, 2.0, 0.5, 1.5, 0.7)


class DemoCommand(base.BaseCommand):
    """Runs a job on backend servers of different speeds.

    Prints how many of its tasks each backend server ran.
    """

    name = "demo"
    description = "Start a fleet on loopback and run the job in FILE."
    arguments = [
        cleo.helpers.argument("file", "A JSON or YAML file with a job.")
    ]

    def handle(self) -> int:
        document = base.read_document(self.argument("file"))
        if not isinstance(document, result.Success):
            return self.fail(document.failure())
        return uvloop.run(self._run(document.unwrap()))

    async def _run(self, job: dict[str, Any]) -> int:
        async with fleet.Fleet(ZONES, ENTRY_COUNT) as demo_fleet:
            for index, speed in enumerate(SPEEDS):
                await demo_fleet.add_backend(
                    backend.BackendOptions(
                        backend_id=f"backend-{index + 1}",
                        zone=ZONES[index % len(ZONES)],
                        services=(job["service"],),
                        speed=speed,
                    )
                )
            await demo_fleet.wait_until_ready()
            self._print_fleet()
            # During the first run the entry process learns the speeds.
            for title in ("speeds unknown", "speeds learned"):
                started_at = time.monotonic()
                reply = await demo_fleet.submit(0, job)
                elapsed = time.monotonic() - started_at
                self._print_run(title, job, reply, elapsed, demo_fleet)
                await asyncio.sleep(0.1)
            return base.exit_code(reply["code"])

    def _print_fleet(self) -> None:
        self.line(
            f"{ENTRY_COUNT} entry processes in {len(ZONES)} availability "
            f"zones, {len(SPEEDS)} backend servers with 8 slots each"
        )

    def _print_run(
        self,
        title: str,
        job: dict[str, Any],
        reply: dict[str, Any],
        elapsed: float,
        demo_fleet: fleet.Fleet,
    ) -> None:
        self.line("")
        self.line(f"{title}: {reply['code']} {reply['name']}")
        values = reply.get("results", [])
        pence = sum(each["refund_pence"] for each in values)
        self.line(f"{len(values)} results, {pence} pence to refund")
        prefix = f"{reply['job']}/"
        rows = []
        for name, server in demo_fleet.backends.items():
            count = sum(
                starts
                for task, starts in server.starts.items()
                if task.startswith(prefix)
            )
            speed = server.options.speed
            rows.append([name, server.options.zone, f"{speed:g}", str(count)])
        self.print_table(["backend server", "zone", "speed", "tasks"], rows)
        ideal = ideal_seconds(
            [task["payload"]["run_seconds"] for task in job["tasks"]],
            [s.options.speed for s in demo_fleet.backends.values()],
            8,
        )
        self.line(
            f"took {elapsed:.3f} s, ideal {ideal:.3f} s, "
            f"ratio {elapsed / ideal:.2f}"
        )


def ideal_seconds(work: list[float], speeds: list[float], slots: int) -> float:
    """Return the makespan of list scheduling with known run times and speeds.

    Tasks are assigned longest first, each to the slot on which it finishes
    earliest.
    """
    free_at: dict[int, float] = collections.defaultdict(float)
    slot_speeds = [(i, s) for i, s in enumerate(speeds) for _ in range(slots)]
    finish = 0.0
    for seconds in sorted(work, reverse=True):
        ends = [
            (free_at[slot] + seconds / speed, slot)
            for slot, (_, speed) in enumerate(slot_speeds)
        ]
        end, slot = min(ends)
        free_at[slot] = end
        finish = max(finish, end)
    return finish
