import asyncio
import datetime
import unittest

from aiohttp import test_utils
from aiohttp import web

from waxwingwalk.core import clock
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.host import links as host_links
from waxwingwalk.host import logs


class NoWriter:
    """Drops log lines."""

    dropped = 0

    def write(self, line):
        """Do nothing."""

    def flush(self):
        """Do nothing."""


class HostEnd:
    """One host's links, and the events that they reported."""

    def __init__(self):
        self.events = []
        self.clock = clock.ManualClock()
        self.links = None
        self.server = None

    async def start(self):
        """Start the server that accepts links."""
        app = web.Application()
        app.router.add_get(host_links.PATH, self._accept)
        self.server = test_utils.TestServer(app)
        await self.server.start_server(shutdown_timeout=0.1)
        record = model.HostRecord(self.address, "1", "north")
        log = logs.HostLog(clock.ManualClock(), NoWriter())
        self.links = host_links.HostLinks(
            record, self.events.append, log, self.clock
        )

    async def _accept(self, request):
        return await self.links.accept(request)

    @property
    def address(self):
        """The address at which the host listens."""
        return f"127.0.0.1:{self.server.port}"

    async def wait_for(self, kind, count=1):
        """Wait for ``count`` events of a type, and return all of that type."""
        while True:
            found = [each for each in self.events if isinstance(each, kind)]
            if len(found) >= count:
                return found
            await asyncio.sleep(0.01)

    async def stop(self):
        """Close everything."""
        await self.links.close()
        await self.server.close()


class LinkTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.near, self.far = HostEnd(), HostEnd()
        for end in (self.near, self.far):
            await end.start()
            self.addAsyncCleanup(end.stop)
        self.near.links.set_link_targets(frozenset({self.far.address}))
        (self.ours,) = await self.near.wait_for(events.LinkOpened)
        (self.theirs,) = await self.far.wait_for(events.LinkOpened)

    async def test_both_ends_learn_the_other_host(self):
        self.assertEqual(self.ours.host.address, self.far.address)
        self.assertEqual(self.theirs.host.address, self.near.address)
        self.assertTrue(self.ours.is_outbound)
        self.assertFalse(self.theirs.is_outbound)

    async def test_messages_travel_both_ways_unchanged(self):
        step = model.Step(2, model.Resources(1, 2), 3 * model.MILLISECOND)
        job = messages.SubmitJob(
            "j", "q", "s", 0, 3, "spec", 1.6, (step,), 1.5, 2.5
        )
        self.near.links.send(self.ours.link, job)
        (received,) = await self.far.wait_for(events.MessageReceived)
        self.assertEqual(received.message, job)
        answer = messages.JobEnded("j", model.JobOutcome.DONE, "done", None)
        self.far.links.send(self.theirs.link, answer)
        (received,) = await self.near.wait_for(events.MessageReceived)
        self.assertEqual(received.message, answer)

    async def test_closed_link_is_reported_at_both_ends_and_reopened(self):
        self.far.links.close_link(self.theirs.link)
        await self.far.wait_for(events.LinkClosed)
        await self.near.wait_for(events.LinkClosed)
        await self.near.wait_for(events.LinkOpened, 2)

    async def test_message_over_a_closed_link_is_dropped(self):
        self.near.links.close_link(self.ours.link)
        self.near.links.send(self.ours.link, messages.KeepAlive(1))
        await self.near.wait_for(events.LinkClosed)

    async def test_delayed_message_is_not_processed(self):
        # A network partition delays the message. Meanwhile its sender has
        # closed the link, and the caller has sent the job to another host, so
        # that processing the message would run the job twice (found by seed 3
        # of the soak test).
        self.far.clock.advance(host_links.DELAY_MAX * 1.1)
        self.near.links.send(self.ours.link, messages.AbandonJob("j"))
        await self.far.wait_for(events.LinkClosed)
        received = [
            each
            for each in self.far.events
            if isinstance(each, events.MessageReceived)
        ]
        self.assertEqual(received, [])

    async def test_clock_drift_does_not_close_a_link(self):
        for number in range(20):
            self.near.clock.advance(datetime.timedelta(seconds=100))
            self.far.clock.advance(datetime.timedelta(seconds=100.09))
            self.near.links.send(self.ours.link, messages.KeepAlive(number))
            await self.far.wait_for(events.MessageReceived, number + 1)

    async def test_stopped_host_is_reported_as_refusing_connections(self):
        await self.far.server.close()
        (failed, *_) = await self.near.wait_for(events.LinkFailed)
        self.assertTrue(failed.refused)
