import asyncio
import unittest

from tests.dispatch import builders
from tests.platform import hosts
from waxwingwalk.core import clock
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import logs
from waxwingwalk.host import metrics

INCARNATION = builders.report().incarnation
RUN = model.RunKey("j.0.0.0", 1)
UNKNOWN = model.CallOutcome.UNKNOWN


class RecordingReducer:
    """Records events; the first one has the given effects."""

    def __init__(self, done):
        self.events = []
        self._done = done

    def apply(self, event, now):
        """Record an event."""
        self.events.append(event)
        done, self._done = self._done, []
        return done


class FailingAdapter:
    """A client whose calls raise an exception that nobody expects."""

    async def _fail(self, order):
        raise ZeroDivisionError("unexpected")

    start = stop = poll = write_pool = decode = _fail


class SlowDecoder:
    """Decodes a document, which is its version, when the test says so."""

    def __init__(self):
        self.decoded = {}

    async def decode(self, document):
        """Wait, and return the catalog."""
        self.decoded[document] = asyncio.Event()
        await self.decoded[document].wait()
        return model.Catalog(int(document), (), frozenset())


class EngineTests(unittest.IsolatedAsyncioTestCase):
    async def test_failed_calls_have_an_outcome(self):
        done = [
            effects.StartRun(INCARNATION, "s:80", 1, RUN, "spec", 1),
            effects.StopRun(INCARNATION, "s:80", 1, RUN),
            effects.PollBackend(INCARNATION, "s:80", 1, 0, None, model.ZERO),
            effects.WritePool("north", pool_rows.PoolRow(()), 1),
            effects.DecodeCatalog("document"),
        ]
        reducer = RecordingReducer(done)
        writer = hosts.MemoryWriter()
        time = clock.ManualClock()
        engine = host_engine.Engine(
            reducer, time, logs.HostLog(time, writer), metrics.HostMetrics()
        )
        failing = FailingAdapter()
        engine.adapters = host_engine.Adapters(failing, None, failing, failing)
        engine.apply(events.Ticked())
        async with asyncio.timeout(1):
            while len(reducer.events) < 1 + len(done):
                await asyncio.sleep(0)
        self.assertEqual(
            reducer.events[1:],
            [
                events.RunStarted(INCARNATION, RUN, UNKNOWN, None),
                events.RunStopped(INCARNATION, RUN, UNKNOWN, 1),
                events.BackendPolled(INCARNATION, UNKNOWN, fence=1),
                events.PoolWritten("north", None, None),
                events.CatalogRejected("document"),
            ],
        )
        self.assertIn("internal.error", writer)

    async def test_effect_that_fails_costs_no_other_effect(self):
        # A number that no log line can hold, before the poll of a server.
        done = [
            effects.Log("backend.taken", {"life": 10**30}),
            effects.PollBackend(INCARNATION, "s:80", 1, 0, None, model.ZERO),
        ]
        reducer = RecordingReducer(done)
        writer = hosts.MemoryWriter()
        time = clock.ManualClock()
        engine = host_engine.Engine(
            reducer, time, logs.HostLog(time, writer), metrics.HostMetrics()
        )
        engine.adapters = host_engine.Adapters(
            FailingAdapter(), None, None, None
        )
        engine.apply(events.Ticked())
        async with asyncio.timeout(1):
            while len(reducer.events) < 2:
                await asyncio.sleep(0)
        self.assertIsInstance(reducer.events[1], events.BackendPolled)
        self.assertIn("internal.error", writer)

    async def test_document_that_is_decoded_late_does_not_revert_a_newer(self):
        # A document from the store and one from a host may be decoded at the
        # same time.
        time = clock.ManualClock()
        engine = host_engine.Engine(
            dispatch_reducer.Reducer(
                model.HostRecord("local", "1", "north"), time.now()
            ),
            time,
            logs.HostLog(time, hosts.MemoryWriter()),
            metrics.HostMetrics(),
        )
        decoder = SlowDecoder()
        engine.adapters = host_engine.Adapters(None, None, None, decoder)
        for document in ("5", "6"):
            engine.read_catalog(document)
        await asyncio.sleep(0)
        for document in ("6", "5"):
            decoder.decoded[document].set()
            for _ in range(5):
                await asyncio.sleep(0)
            self.assertEqual(engine.reducer.catalog.version, 6)


if __name__ == "__main__":
    unittest.main()
