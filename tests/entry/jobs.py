"""Submissions for tests over loopback."""

import asyncio
import datetime
import time
import unittest

from waxwingwalk.testing import backend


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """A test over loopback, without the event loop's debug mode."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)


def job(count=6, seconds=0.02, **members):
    """Return a submission whose results are the task indexes."""
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
    await started.ready()
    return servers


async def until(condition, timeout=15.0):
    """Wait for a condition that a failing test never sees."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError("the condition did not come about")
        await asyncio.sleep(0.01)


def seconds(value):
    """Return a duration."""
    return datetime.timedelta(seconds=value)
