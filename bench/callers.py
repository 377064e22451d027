"""Drives a stream of jobs and records how each ended."""

import asyncio
from collections.abc import Sequence
import dataclasses

import aiohttp
import orjson

from bench import fleet as bench_fleet
from bench import workload

DEADLINE_SECONDS = 30.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """How a job ended: its response time in seconds, and its code."""

    job: workload.BenchJob
    span: float
    code: int


def _body(job: workload.BenchJob) -> bytes:
    tasks = []
    for index, task in enumerate(job.tasks):
        payload = {"run_seconds": task.work, "value": index}
        if job.is_impossible:
            payload["fail"] = True
        tasks.append({"payload": payload, "run_time_seconds": task.declared})
    return orjson.dumps(
        {
            "service": "refunds",
            "team": job.team,
            "deadline_seconds": DEADLINE_SECONDS,
            "tasks": tasks,
        }
    )


class Callers:
    """All callers of a run."""

    def __init__(self, fleet: bench_fleet.BenchFleet) -> None:
        self._fleet = fleet
        self._delay = fleet.layout.caller_delay

    async def drive(self, jobs: Sequence[workload.BenchJob]) -> list[Outcome]:
        """Submit each job at its time; return once all have ended."""
        bodies = [_body(job) for job in jobs]
        loop = asyncio.get_running_loop()
        begun = loop.time()
        running = []
        for job, body in zip(jobs, bodies, strict=True):
            await asyncio.sleep(max(0.0, begun + job.at - loop.time()))
            running.append(asyncio.create_task(self._submit(job, body)))
        return list(await asyncio.gather(*running))

    async def _submit(self, job: workload.BenchJob, body: bytes) -> Outcome:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await asyncio.sleep(self._delay)
        code = await self._post(job.entry, body)
        await asyncio.sleep(self._delay)
        return Outcome(job, loop.time() - begun, code)

    async def _post(self, entry: int, body: bytes) -> int:
        """Send a job; a dead entry host is avoided as a balancer would."""
        entries = self._fleet.entries
        alive = [each for each in entries if not each.is_killed]
        target = entries[entry]
        if target.is_killed:
            target = alive[entry % len(alive)]
        try:
            async with self._fleet.session.post(
                f"http://{target.callers}/v1/jobs",
                data=body,
                headers={"Content-Type": "application/json"},
            ) as response:
                reply = orjson.loads(await response.read())
                return int(reply["code"])
        except (aiohttp.ClientError, OSError):
            return -1
