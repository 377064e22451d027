"""All machines lose power, and only one of them comes back.

The other machines are removed for good.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MACHINES = 3
WORKERS = 4
JOBS_PER_SECOND = 8
POWER_OFF_SECONDS = 1.3
MEASURED_SECONDS = 10
STEPS = [harness.step(2, 6800, 200)]
SPEC = {"ms": [200], "cpu": [6800]}


async def play(record, folder, is_troubled):
    """Play the case."""
    deployment = harness.Deployment(record, folder, {"gogledd": MACHINES})
    for number in range(WORKERS):
        deployment.add_worker(
            f"i-{number:08x}", "gogledd", ["a", f"r1-{number}"]
        )
    machines = list(deployment.hosts)
    try:
        await deployment.start()
        client = harness.Client(deployment)

        async def load(seconds):
            await client.load(seconds, JOBS_PER_SECOND, STEPS, SPEC)

        sent_from = record.now
        await load(4)
        await client.finish()
        before, _ = client.share_served(sent_from, record.now)
        record.write(f"served before the final fault: {before:.2f}")
        if before < 0.25:
            raise harness.CannotRun("little was served before the fault")
        record.write("all machines lose power")
        await asyncio.gather(*(each.kill() for each in machines))
        for each in machines:
            each.is_in_rotation = False
        await asyncio.sleep(POWER_OFF_SECONDS)
        returning = machines[:1] if is_troubled else machines
        deployment.hosts = returning
        for each in returning:
            await each.start(deployment.seeds, deployment.zones)
        await deployment.wait_until_ready()
        back_at = record.now
        record.write(f"{len(returning)} of {MACHINES} machines are back")
        recovery = harness.BOUNDS["recovery_s"]
        await load(recovery + MEASURED_SECONDS)
        await client.finish()
        after, count = client.share_served(back_at + recovery, record.now)
        line = (
            f"of {count} jobs sent later than {recovery} s after "
            f"{len(returning)} of {MACHINES} machines were back, {after:.2f} "
            "were served"
        )
        record.write(line)
        print(line)
        if after < 0.25:
            record.violation(f"RECOVER: {line}")
    finally:
        deployment.hosts = machines
        await deployment.stop()


harness.main(FOLDER, play)
