"""A leader freezes; its successor takes over; then all others lose power.

The leader wakes while the others are off. Once all machines are back, and
``recovery_s`` later, jobs are sent for some seconds.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

MACHINES = 9
WORKERS = 4
JOBS_PER_SECOND = 8
FREEZE_SECONDS = 3.3
# The other machines lose power this long after the freeze began.
POWER_OFF_AFTER = 2.0
POWER_OFF_SECONDS = 4.0
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
    try:
        await deployment.start()
        client = harness.Client(deployment)
        sent_from = record.now
        await client.load(4, JOBS_PER_SECOND, STEPS, SPEC)
        power_off_at = record.now
        if is_troubled:
            load = asyncio.create_task(
                client.load(
                    POWER_OFF_AFTER + POWER_OFF_SECONDS,
                    JOBS_PER_SECOND,
                    STEPS,
                    SPEC,
                )
            )
            power_off_at = await disturb(deployment)
            await load
        await deployment.wait_until_ready()
        back_at = record.now
        record.write("all machines are back and in rotation")
        recovery = harness.BOUNDS["recovery_s"]
        await client.load(
            recovery + MEASURED_SECONDS, JOBS_PER_SECOND, STEPS, SPEC
        )
        await client.finish()
        before, _ = client.share_served(sent_from, power_off_at)
        record.write(f"served before the final fault: {before:.2f}")
        if before < 0.25:
            raise harness.CannotRun("little was served before the final fault")
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
        await deployment.stop()


async def disturb(deployment):
    """Freeze the leader; turn the others off meanwhile, and on again.

    Return when the others lost power.
    """
    leader = deployment.host(deployment.store.last_conditional_writer)
    others = [each for each in deployment.hosts if each is not leader]
    leader.signal(signal.SIGSTOP)
    await asyncio.sleep(POWER_OFF_AFTER)
    power_off_at = deployment.record.now
    await asyncio.gather(*(each.kill() for each in others))
    await asyncio.sleep(FREEZE_SECONDS - POWER_OFF_AFTER)
    leader.signal(signal.SIGCONT)
    await asyncio.sleep(POWER_OFF_AFTER + POWER_OFF_SECONDS - FREEZE_SECONDS)
    for each in others:
        await each.start(deployment.seeds, deployment.zones)
    return power_off_at


harness.main(FOLDER, play)
