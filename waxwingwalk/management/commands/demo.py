"""``waxwingwalk demo``: a whole fleet in one process, and one job."""

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
ENTRIES = 3
SPEEDS = (1.0, 1.0, 2.0, 0.5, 1.5, 0.7)


class DemoCommand(base.BaseCommand):
    """Runs one job on unequal backend servers and shows where it went."""

    name = "demo"
    description = "Run a fleet on loopback and one job from FILE."
    arguments = [cleo.helpers.argument("file", "A job in JSON.")]

    def handle(self) -> int:
        document = base.read_document(self.argument("file"))
        if not isinstance(document, result.Success):
            return self.fail(document.failure())
        return uvloop.run(self._run(document.unwrap()))

    async def _run(self, job: dict[str, Any]) -> int:
        async with fleet.Fleet(ZONES, ENTRIES) as started:
            for index, speed in enumerate(SPEEDS):
                await started.add_backend(
                    backend.BackendOptions(
                        backend_id=f"backend-{index + 1}",
                        zone=ZONES[index % len(ZONES)],
                        services=(job["service"],),
                        speed=speed,
                    )
                )
            await started.wait_until_ready()
            self._introduce()
            # The first run teaches the entry process the speeds.
            for title in ("speeds unknown", "speeds learned"):
                begun = time.monotonic()
                reply = await started.submit(0, job)
                elapsed = time.monotonic() - begun
                self._show(title, job, reply, elapsed, started)
                await asyncio.sleep(0.1)
            return base.exit_code(reply["code"])

    def _introduce(self) -> None:
        self.line(
            f"{ENTRIES} entry processes in {len(ZONES)} availability zones, "
            f"{len(SPEEDS)} backend servers with 8 slots each"
        )

    def _show(
        self,
        title: str,
        job: dict[str, Any],
        reply: dict[str, Any],
        elapsed: float,
        started: fleet.Fleet,
    ) -> None:
        self.line("")
        self.line(f"{title}: {reply['code']} {reply['name']}")
        values = reply.get("results", [])
        pence = sum(each["refund_pence"] for each in values)
        self.line(f"{len(values)} results, {pence} pence to refund")
        prefix = f"{reply['job']}/"
        rows = []
        for name, server in started.backends.items():
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
            [s.options.speed for s in started.backends.values()],
            8,
        )
        self.line(
            f"took {elapsed:.3f} s, ideal {ideal:.3f} s, "
            f"ratio {elapsed / ideal:.2f}"
        )


def ideal_seconds(work: list[float], speeds: list[float], slots: int) -> float:
    """Return the finish of list scheduling with perfect knowledge.

    Longest task first, each on the slot that ends it soonest.
    """
    free_at: dict[int, float] = collections.defaultdict(float)
    lanes = [(i, s) for i, s in enumerate(speeds) for _ in range(slots)]
    finish = 0.0
    for seconds in sorted(work, reverse=True):
        ends = [
            (free_at[lane] + seconds / speed, lane)
            for lane, (_, speed) in enumerate(lanes)
        ]
        end, lane = min(ends)
        free_at[lane] = end
        finish = max(finish, end)
    return finish
