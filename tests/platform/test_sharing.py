"""Hosts that get the operators' document from other hosts."""

import asyncio
import re
import unittest

from tests.platform import hosts
from tests.platform import stand_in
from tests.platform import test_callers

QUEUES = 1744


def large_config(version):
    """Return a configuration of about 300 KB."""
    content = stand_in.config(version)
    content["routes"] += [
        {**content["routes"][0], "name": f"q-{number}", "prefix": f"/{number}"}
        for number in range(QUEUES)
    ]
    return content


class SharingTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = hosts.Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.deployment.store.put("op", "config", large_config(2))
        await self.wait_for_version(0, 2)

    async def read_metric(self, number, name):
        """Return the value of a metric of a host, None if it is absent."""
        address = self.deployment.configs[number].metrics
        _, text = await self.deployment.get(address, "/metrics")
        found = re.search(
            rf"^waxwingwalk_{re.escape(name)} (\S+)$", text, re.MULTILINE
        )
        return None if found is None else float(found[1])

    async def wait_for_version(self, number, version):
        for _ in range(test_callers.TRIES):
            if await self.read_metric(number, "catalog_version") == version:
                return
            await asyncio.sleep(test_callers.PAUSE_SECONDS)
        self.fail(f"host {number} does not have version {version}")

    async def test_host_that_starts_during_a_store_outage(self):
        self.deployment.store.status = 503
        first = self.deployment.configs[0].peers
        await self.deployment.start_host(1, seeds=(first,))
        await self.wait_for_version(1, 2)
        self.assertIn("catalog.requested", self.deployment.logs[1])
        kind = '{kind="catalog_part"}'
        sent = await self.read_metric(0, f"link_bytes_sent_total{kind}")
        size = len(self.deployment.store.rows["op", "config"][1])
        self.assertGreater(sent, size)
        self.assertLess(sent, 1.5 * size)
        frames = await self.read_metric(0, f"link_frames_sent_total{kind}")
        self.assertGreater(frames, size / 8192)

    async def test_hosts_that_reach_the_store_do_not_ask_each_other(self):
        first = self.deployment.configs[0].peers
        await self.deployment.start_host(1, seeds=(first,))
        await self.wait_for_version(1, 2)
        requested = b"catalog.requested"
        before = self.deployment.logs[1].content.getvalue().count(requested)
        self.deployment.store.put("op", "config", large_config(3))
        for number in (0, 1):
            await self.wait_for_version(number, 3)
        after = [
            log.content.getvalue().count(requested)
            for log in self.deployment.logs
        ]
        self.assertEqual(after, [0, before])
