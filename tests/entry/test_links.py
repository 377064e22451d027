"""Links between peers when a message or its handling is faulty."""

import aiohttp
from aiohttp import web

from tests.entry import jobs
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.entry import links
from waxwingwalk.entry import traffic


class Peer:
    """One end of links, which records the events that it is notified of."""

    def __init__(self, incarnation):
        self.events = []
        self.failing = None
        self.failures = []
        self.incarnation = incarnation

    async def start(self):
        """Listen on a loopback port."""
        app = web.Application()
        app.router.add_get("/v1/link", self.accept)
        self.runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = "{}:{}".format(*self.runner.addresses[0][:2])
        process = identity.ProcessId(self.address, self.incarnation)
        self.links = links.PeerLinks(
            process, "secret", self.notify, self.report, traffic.Traffic()
        )

    async def accept(self, request):
        """Accept a link."""
        return await self.links.accept(request)

    def notify(self, event):
        """Record an event; fail once if it is of the failing type."""
        self.events.append(event)
        if self.failing is not None and isinstance(event, self.failing):
            self.failing = None
            raise KeyError("unexpected")

    def report(self, where, error):
        """Record an unexpected exception."""
        self.failures.append(error)

    def received(self):
        """Return the numbers of the returned slots that were received."""
        return [
            each.message.slots["b1"]
            for each in self.events
            if isinstance(each, events.PeerMessageReceived)
        ]

    async def close(self):
        """Close the links and stop listening."""
        await self.links.close()
        await self.runner.cleanup()


def slots(count):
    """Return a message that carries a number."""
    return messages.SlotReturn({"b1": count})


class LinkTests(jobs.FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.sender, self.receiver = Peer("aa"), Peer("bb")
        for peer in (self.sender, self.receiver):
            await peer.start()
            self.addAsyncCleanup(peer.close)

    def send(self, count):
        """Send a message that carries a number."""
        self.sender.links.send(self.receiver.address, slots(count))

    async def test_error_on_a_new_link_does_not_silence_the_peer(self):
        self.sender.failing = events.PeerLinkOpened
        self.send(1)
        await jobs.wait_until(lambda: self.sender.failing is None)
        self.send(2)
        await jobs.wait_until(lambda: 2 in self.receiver.received())

    async def test_failed_message_costs_only_itself(self):
        self.send(1)
        await jobs.wait_until(lambda: self.receiver.received() == [1])
        self.receiver.failing = events.PeerMessageReceived
        for count in (2, 3):
            self.send(count)
        await jobs.wait_until(lambda: self.receiver.received() == [1, 2, 3])
        closed = [
            each
            for each in self.receiver.events
            if isinstance(each, events.PeerLinkClosed)
        ]
        self.assertEqual([], closed)

    async def test_malformed_frame_leaves_the_link_open(self):
        url = f"http://{self.receiver.address}/v1/link"
        async with (
            aiohttp.ClientSession() as session,
            session.ws_connect(url) as socket,
        ):
            await socket.receive_str()
            for frame in ("{", "7", '["x"]', '[{"kind": "slot_return"}]'):
                await socket.send_str(frame)
            await socket.send_str(
                '[{"kind": "slot_return", "slots": {"b1": 5}}]'
            )
            await jobs.wait_until(lambda: self.receiver.received() == [5])
