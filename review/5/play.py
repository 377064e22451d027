"""A leader that the store turns away starts tasks on a worker without a label.

The store answers 503 to the machine that gives the orders, and serves the
others. Meanwhile an idle worker crashes and starts again under its id, as one
of another kind, which its row shows at once.
"""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MACHINES = 3
# The label of the worker that crashes, before and after, and of the others.
KINDS = ("b", "b", "a", "a")
NEW_KIND = "a"
STEPS = [harness.step(4, 6800, 60, requires="b")]
SPEC = {"ms": [60], "cpu": [6800], "requires": ["b"]}
REFUSED_SECONDS = 9.0
CRASHES_AFTER = 0.5
DOWN_SECONDS = 1.0
# The first job that requires the label comes this long after the worker is
# back and its row is in the store.
JOB_AFTER = 4.0


async def play(record, folder, is_troubled):
    """Play the case."""
    deployment = harness.Deployment(record, folder, {"gogledd": MACHINES})
    for number, kind in enumerate(KINDS):
        deployment.add_worker(
            f"i-{number:08x}", "gogledd", [kind, f"r1-{number}"]
        )

    def check(worker, run):
        step = int(run.task.split(".")[2])
        needed = json.loads(run.spec)["requires"][step]
        if needed not in worker.labels:
            record.violation(
                f"ROUTE: {run.task} run {run.number} requires {needed!r} and "
                f"starts on {worker.worker_id}, whose labels are "
                f"{worker.labels}"
            )

    for worker in deployment.workers:
        worker.on_start = check
    worker = deployment.workers[0]
    try:
        await deployment.start()
        client = harness.Client(deployment)
        for _ in range(3):
            if await client.submit(STEPS, SPEC) != 200:
                raise harness.CannotRun("no service before the disruption")
        await asyncio.sleep(1)
        if is_troubled:
            leader = deployment.store.last_conditional_writer
            record.write(f"the store turns {leader} away")
            deployment.store.refused.add(leader)
        refused_from = record.now
        await asyncio.sleep(CRASHES_AFTER)
        await worker.crash()
        await asyncio.sleep(DOWN_SECONDS)
        worker.labels = [NEW_KIND, worker.labels[1]]
        await worker.start()
        await asyncio.sleep(JOB_AFTER)
        for _ in range(3):
            await client.submit(STEPS, SPEC)
        await asyncio.sleep(refused_from + REFUSED_SECONDS - record.now)
        record.write("the store serves all machines again")
        deployment.store.refused.clear()
        await asyncio.sleep(1)
        await client.submit(STEPS, SPEC)
    finally:
        await deployment.stop()


harness.main(FOLDER, play)
