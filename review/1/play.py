"""Machines are lost for good; later all the others lose power and return.

The fleet has 14 machines. Two of them, each time the one that leads, are
removed for good, one after the other. The day ends with a loss of power of all
machines.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

ZONE = "gogledd"
MACHINES = 14
# Machines that are lost for good, one after the other.
LOST = 2
CALM_SECONDS = 5
POWER_OFF_SECONDS = 1.3
WORKERS = 6
JOBS_PER_SECOND = 8
MEASURED_SECONDS = 10
STEPS = [harness.step(2, 6800, 200)]
SPEC = {"ms": [200], "cpu": [6800]}


async def play(record, folder, is_troubled):
    """Play the case."""
    deployment = harness.Deployment(record, folder, {ZONE: MACHINES})
    lost = []
    for number in range(WORKERS):
        deployment.add_worker(f"i-{number:08x}", ZONE, ["a", f"r1-{number}"])
    try:
        await deployment.start()
        client = harness.Client(deployment)

        async def load(seconds):
            await client.load(seconds, JOBS_PER_SECOND, STEPS, SPEC)

        await load(CALM_SECONDS)
        for _ in range(LOST if is_troubled else 0):
            leader = deployment.host(deployment.store.last_conditional_writer)
            await leader.kill()
            deployment.hosts.remove(leader)
            lost.append(leader)
            record.write(f"{leader.name} is gone for good")
            await load(CALM_SECONDS)
        sent_from = record.now
        await load(CALM_SECONDS)
        await client.finish()
        before, _ = client.share_served(sent_from, record.now)
        record.write(f"served before the final fault: {before:.2f}")
        if before < 0.25:
            raise harness.CannotRun("little was served before the fault")
        record.write("all machines lose power")
        await asyncio.gather(*(each.kill() for each in deployment.hosts))
        await asyncio.sleep(POWER_OFF_SECONDS)
        for each in deployment.hosts:
            each.is_in_rotation = False
            await each.start(deployment.seeds, deployment.zones)
        await deployment.wait_until_ready()
        back_at = record.now
        record.write("all machines are back and in rotation")
        recovery = harness.BOUNDS["recovery_s"]
        await load(recovery + MEASURED_SECONDS)
        await client.finish()
        after, count = client.share_served(back_at + recovery, record.now)
        line = (
            f"of {count} jobs sent later than {recovery} s after the machines "
            f"were back, {after:.2f} were served"
        )
        record.write(line)
        print(line)
        if after < 0.25:
            record.violation(f"RECOVER: {line}")
    finally:
        deployment.hosts += lost
        await deployment.stop()


harness.main(FOLDER, play)
