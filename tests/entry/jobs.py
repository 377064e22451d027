"""Helpers for tests that run a fleet over loopback."""

import asyncio
import datetime
import time
import unittest

from waxwingwalk.testing import backend


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class of fleet tests; turns off the event loop's debug mode."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)


def job(count=6, seconds=0.02, **members):
    """Return a submission whose results are its task indexes."""
    tasks = [
        {
            "payload": {"run_seconds": seconds, "value": index},
            "run_time_seconds": seconds,
        }
        for index in range(count)
    ]
    return {"service": "refunds", "team": "shops", "tasks": tasks, **members}


async def add_backends(started, count, zones=("zone-1",), **members):
    """Start backend servers and wait until the fleet is ready."""
    servers = []
    for index in range(count):
        options = backend.BackendOptions(
            f"backend-{index}", zone=zones[index % len(zones)], **members
        )
        servers.append(await started.add_backend(options))
    await started.wait_until_ready()
    return servers


async def wait_until(condition, timeout=15.0):
    """Wait until a condition holds; fail after ``timeout`` seconds."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("condition not met before the time-out")
        await asyncio.sleep(0.01)


def seconds(value):
    """Return a duration of this many seconds."""
    return datetime.timedelta(seconds=value)
