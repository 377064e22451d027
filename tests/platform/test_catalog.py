"""Decoding of the operators' document."""

import asyncio
import base64
import json
import random
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.platform import catalog
from waxwingwalk.platform import store

QUEUES = 1000


class MemoryLog:
    """Keeps the names of log events."""

    def __init__(self):
        self.events = []

    def info(self, event, **fields):
        """Keep an event."""
        self.events.append(event)

    error = info


def route(number, **fields):
    return {
        "name": f"q-{number}",
        "host": "shop.example",
        "prefix": f"/{number}/",
        "backend": "refunds",
        **fields,
    }


def document(version, queues=QUEUES, **fields):
    return json.dumps(
        {
            "version": version,
            "routes": [route(number) for number in range(queues)],
            "backends": [{"name": "refunds"}],
            **fields,
        }
    )


class DecoderTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryLog()
        self.decoder = catalog.CatalogDecoder(self.log)

    async def count_turns(self, content):
        """Decode a document; return the turns of the event loop meanwhile."""
        decoding = asyncio.create_task(self.decoder.decode(content))
        turns = 0
        while not decoding.done():
            await asyncio.sleep(0)
            turns += 1
        return turns, decoding.result()

    async def test_event_loop_runs_while_a_document_is_decoded(self):
        # 3 MB that were decoded at once delayed the messages of jobs.
        turns, decoded = await self.count_turns(document(1))
        self.assertEqual(len(decoded.queues), QUEUES)
        self.assertGreaterEqual(turns, QUEUES / catalog.QUEUES_PER_STEP)

    async def test_unchanged_queues_are_used_again(self):
        first = await self.decoder.decode(document(1))
        routes = [route(number) for number in range(QUEUES)]
        routes[7]["priority"] = 2
        second = await self.decoder.decode(document(2, routes=routes))
        for number in range(QUEUES):
            self.assertEqual(
                first.queues[number] is second.queues[number], number != 7
            )
        self.assertEqual(second.queues[7].priority, 2)

    async def test_documents_decoded_at_the_same_time_are_independent(self):
        older, newer = await asyncio.gather(
            self.decoder.decode(document(1)),
            self.decoder.decode(document(2, queues=3)),
        )
        self.assertEqual((older.version, newer.version), (1, 2))
        self.assertEqual((len(older.queues), len(newer.queues)), (QUEUES, 3))

    async def test_malformed_document_is_logged_and_changes_nothing(self):
        first = await self.decoder.decode(document(1))
        bad = (
            "",
            "[]",
            "{",
            "{}",
            document("six"),
            document(2, routes=None),
            document(2, routes=[route(1), {"name": "q"}]),
            document(2, routes=[route(1, attempts=0)]),
            document(2, routes=[route(1, slo_ms=10**10)]),
            document(2, backends=[{}]),
            document(2, limits={"max_body_bytes": "many"}),
            document(2) + "x",
            '{"version":2,"routes":' + "[" * 100_000,
        )
        for content in bad:
            self.assertIsNone(await self.decoder.decode(content), content)
        self.assertEqual(self.log.events, ["catalog.malformed"] * len(bad))
        again = await self.decoder.decode(document(2))
        self.assertIs(again.queues[0], first.queues[0])

    async def test_members_that_are_unknown_or_absent_are_accepted(self):
        decoded = await self.decoder.decode('{"version":1,"news":[{}]}')
        self.assertEqual(decoded.version, 1)
        self.assertEqual(decoded.queues, ())


class FindTests(unittest.TestCase):
    """``Catalog.find`` agrees with a search of all queues."""

    def expected(self, queues, host, path):
        found = [
            each
            for each in queues
            if each.host == host and path.startswith(each.prefix)
        ]
        return max(found, key=lambda each: len(each.prefix), default=None)

    def test_longest_prefix_of_the_host_is_found(self):
        draw = random.Random(1)
        for _ in range(200):
            routes = [
                route(
                    number,
                    host=draw.choice(("a", "b")),
                    prefix="".join(draw.choices("/x", k=draw.randrange(5))),
                )
                for number in range(draw.randrange(8))
            ]
            content = document(1, routes=routes)
            decoded = catalog.decode_catalog(content).unwrap()
            built = model.Catalog(1, decoded.queues, frozenset())
            for _ in range(20):
                host = draw.choice(("a", "b", "c"))
                path = "".join(draw.choices("/x", k=draw.randrange(7)))
                expected = self.expected(decoded.queues, host, path)
                self.assertIs(decoded.find(host, path), expected)
                self.assertIs(built.find(host, path), expected)


class ValueTests(unittest.IsolatedAsyncioTestCase):
    """Values of rows are decoded in steps, with the same result."""

    async def test_long_value(self):
        value = random.Random(1).randbytes(3 * store.VALUE_STEP)
        text = base64.b64encode(value).decode()
        self.assertEqual(await store._decode_value(text), value)

    async def test_invalid_value_is_empty(self):
        good = "A" * store.VALUE_STEP
        for text in ("?", "A", good + "?", good[:-1] + "=" + good, good + "A"):
            self.assertEqual(await store._decode_value(text), b"")
