"""Submits a stream of jobs and records the outcome of each."""

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
    """Outcome of a job: its response time in seconds and its result code.

    The code is -1 if no reply was received.
    """

    job: workload.BenchJob
    response_time: float
    code: int


def _encode_job(job: workload.BenchJob) -> bytes:
    tasks = []
    for index, task in enumerate(job.tasks):
        payload = {"run_seconds": task.work_seconds, "value": index}
        if job.is_impossible:
            payload["fail"] = True
        tasks.append(
            {"payload": payload, "run_time_seconds": task.declared_seconds}
        )
    return orjson.dumps(
        {
            "service": "refunds",
            "team": job.team,
            "deadline_seconds": DEADLINE_SECONDS,
            "tasks": tasks,
        }
    )


class Callers:
    """The callers of a benchmark run."""

    def __init__(self, fleet: bench_fleet.BenchFleet) -> None:
        self._fleet = fleet
        self._delay = fleet.layout.caller_delay

    async def submit_all(
        self, jobs: Sequence[workload.BenchJob]
    ) -> list[Outcome]:
        """Submit each job at its arrival time; return when all have ended."""
        bodies = [_encode_job(job) for job in jobs]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        running = []
        for job, body in zip(jobs, bodies, strict=True):
            await asyncio.sleep(
                max(0.0, started_at + job.arrival_time - loop.time())
            )
            running.append(asyncio.create_task(self._submit(job, body)))
        return list(await asyncio.gather(*running))

    async def _submit(self, job: workload.BenchJob, body: bytes) -> Outcome:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.sleep(self._delay)
        code = await self._post(job.entry, body)
        await asyncio.sleep(self._delay)
        return Outcome(job, loop.time() - started_at, code)

    async def _post(self, entry: int, body: bytes) -> int:
        """Send a job; return its result code, or -1 without a reply.

        A job for a killed entry process goes to another one, as a load
        balancer would route it.
        """
        entries = self._fleet.entries
        alive = [each for each in entries if not each.is_killed]
        target = entries[entry]
        if target.is_killed:
            target = alive[entry % len(alive)]
        try:
            async with self._fleet.session.post(
                f"http://{target.callers_address}/v1/jobs",
                data=body,
                headers={"Content-Type": "application/json"},
            ) as response:
                reply = orjson.loads(await response.read())
                return int(reply["code"])
        except (aiohttp.ClientError, OSError):
            return -1
