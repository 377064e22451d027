"""A leader that the store turns away goes on with the old room of a worker.

The store answers 503 to the machine that gives the orders, and serves the
others. Meanwhile the room of a worker shrinks, which its row shows at once.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MACHINES = 3
WORKERS = 4
ROOM = 16000
SHRUNK_ROOM = 8000
JOBS_PER_SECOND = 4
# Each of these jobs needs all workers, two tasks on each.
STEPS = [harness.step(8, 6800, 60)]
SPEC = {"ms": [60], "cpu": [6800]}
REFUSED_SECONDS = 8.7
# The room shrinks this long after the store has begun to refuse.
SHRINKS_AFTER = 0.5
# A room that has shrunk counts ``contact_ms`` and one beat later.
COUNTS_AFTER = harness.BOUNDS["contact_ms"] / 1000 + harness.HEARTBEAT_SECONDS


async def play(record, folder, is_troubled):
    """Play the case."""
    deployment = harness.Deployment(record, folder, {"gogledd": MACHINES})
    for number in range(WORKERS):
        deployment.add_worker(
            f"i-{number:08x}", "gogledd", ["a", f"r1-{number}"], ROOM
        )
    worker = deployment.workers[0]
    counts_from = None

    def check(started_on, run):
        if (
            started_on is worker
            and counts_from is not None
            and record.now >= counts_from
            and worker.used > worker.room["cpu"]
        ):
            record.violation(
                f"LIMIT: the start of {run.task} run {run.number} brings "
                f"{worker.worker_id} to {worker.used} of "
                f"{worker.room['cpu']}, "
                f"{record.now - counts_from + COUNTS_AFTER:.1f} s after its "
                "room has shrunk"
            )

    worker.on_start = check
    try:
        await deployment.start()
        client = harness.Client(deployment)
        await client.load(3, JOBS_PER_SECOND, STEPS, SPEC)
        if is_troubled:
            leader = deployment.store.last_conditional_writer
            record.write(f"the store turns {leader} away")
            deployment.store.refused.add(leader)
        await client.load(SHRINKS_AFTER, JOBS_PER_SECOND, STEPS, SPEC)
        worker.resize(SHRUNK_ROOM)
        counts_from = record.now + COUNTS_AFTER
        await client.load(
            REFUSED_SECONDS - SHRINKS_AFTER, JOBS_PER_SECOND, STEPS, SPEC
        )
        record.write("the store serves all machines again")
        deployment.store.refused.clear()
        await client.load(3, JOBS_PER_SECOND, STEPS, SPEC)
        await client.finish()
        served, count = client.share_served(0, record.now)
        record.write(f"of {count} jobs {served:.2f} were served")
        if served < 0.5:
            raise harness.CannotRun("most jobs were not served")
    finally:
        await deployment.stop()


harness.main(FOLDER, play)
