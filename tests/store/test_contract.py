"""Contract tests of the table service, for the fake and for the client.

Other tests use the fake in place of the table service. The client calls the
in-memory platform over HTTP. Both must pass the same cases.
"""

import unittest

import aiohttp
from returns import result

from tests.store import fakes
from waxwingwalk.store import base
from waxwingwalk.store import host_list
from waxwingwalk.store import http
from waxwingwalk.testing import platform

Fault = platform.PlatformFault
Failure = base.PlatformFailure


def write(key, value, if_version, table="t"):
    """Return a conditional write."""
    return base.Write(table, key, {"value": value}, if_version)


# Writes, whether they are atomic, and which take effect; run in this order on
# one table.
WRITES = [
    ([write("a", 1, 0)], False, [True]),
    ([write("a", 2, 0)], False, [False]),
    ([write("a", 2, 1)], False, [True]),
    ([write("a", 3, 1), write("b", 1, 0)], False, [False, True]),
    ([write("a", 3, 1), write("c", 1, 0)], True, [False, False]),
    ([write("a", 3, 2), write("c", 1, 0)], True, [True, True]),
    ([write("b", 9, 7)], True, [False]),
]
ROWS = [base.Row(3, {"value": 3}), base.Row(1, {"value": 1}), None]

# Fault, how a write fails, and whether it takes effect.
FAULTS = [
    (Fault.DOWN, Failure.REFUSED, False),
    (Fault.LOSE_REQUEST, Failure.LOST, False),
    (Fault.LOSE_REPLY, Failure.LOST, True),
]


class TableContract:
    """The cases; a subclass supplies the table service and its faults."""

    async def test_conditional_writes(self):
        for writes, is_atomic, expected in WRITES:
            with self.subTest(writes=writes):
                written = await self.table.write(writes, is_atomic=is_atomic)
                outcomes = written.unwrap()
                self.assertEqual(
                    expected, [outcome.is_written for outcome in outcomes]
                )
        read = await self.table.read([("t", "a"), ("t", "b"), ("t", "d")])
        self.assertEqual(ROWS, read.unwrap())

    async def test_conflict_returns_the_current_row(self):
        await self.table.write([write("a", 1, 0)], is_atomic=False)
        written = await self.table.write([write("a", 2, 0)], is_atomic=False)
        self.assertEqual(base.Row(1, {"value": 1}), written.unwrap()[0].row)

    async def test_faults(self):
        for number, (fault, failure, is_applied) in enumerate(FAULTS):
            with self.subTest(fault=fault.value):
                key = f"k{number}"
                self.set_fault(fault)
                written = await self.table.write(
                    [write(key, 1, 0)], is_atomic=False
                )
                self.assertEqual(result.Failure(failure), written)
                self.set_fault(Fault.NONE)
                read = await self.table.read([("t", key)])
                self.assertEqual(is_applied, read.unwrap()[0] is not None)


class FakeTableTests(TableContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = fakes.FakeTable()

    def set_fault(self, fault):
        """Cause a fault in the fake."""
        self.table.fault = fault


class HttpTableTests(TableContract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = platform.Platform()
        await self.platform.start()
        self.session = aiohttp.ClientSession()
        self.table = http.HttpPlatform(self.platform.url, self.session)

    async def asyncTearDown(self):
        await self.session.close()
        await self.platform.close()

    def set_fault(self, fault):
        """Cause a fault in the in-memory platform."""
        self.platform.fault = fault

    async def test_closed_port_is_reported_as_not_sent(self):
        await self.platform.close()
        written = await self.table.write([write("a", 1, 0)], is_atomic=False)
        self.assertEqual(result.Failure(Failure.NOT_SENT), written)

    async def test_host_list_is_validated(self):
        entry = {"id": "b1", "address": "10.0.0.9:80", "zone": "wales-1"}
        self.platform.put_host(
            "backend_servers", {**entry, "services": ["refunds"], "slots": 8}
        )
        listed = host_list.parse((await self.table.hosts()).unwrap())
        (spec,) = listed.unwrap().backends
        self.assertEqual(("b1", 8, 64), (spec.backend_id, spec.slots, 64))
        self.platform.put_host("backend_servers", {**entry, "slots": 0})
        bad = host_list.parse((await self.table.hosts()).unwrap())
        self.assertIsInstance(bad, result.Failure)
