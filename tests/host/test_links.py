import asyncio
import datetime
import unittest

import aiohttp
from aiohttp import test_utils
from aiohttp import web

from waxwingwalk.core import clock
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reconnection
from waxwingwalk.host import links as host_links
from waxwingwalk.host import logs
from waxwingwalk.host import records


class MemoryWriter:
    """Keeps log lines in memory."""

    def __init__(self):
        self.dropped = 0
        self.content = ""

    def write(self, line):
        """Keep a line."""
        self.content += line.decode()

    def flush(self):
        """Do nothing."""


class HostEnd:
    """One host's links, and the events that they reported."""

    def __init__(self):
        self.events = []
        self.clock = clock.ManualClock()
        self.log = MemoryWriter()
        # The job whose messages cannot be handled.
        self.fail_on = None
        self.links = None
        self.server = None
        # The kinds and sizes of the messages in each frame sent.
        self.frames = []

    async def start(self):
        """Start the server that accepts links."""
        app = web.Application()
        app.router.add_get(host_links.PATH, self._accept)
        self.server = test_utils.TestServer(app)
        await self.server.start_server(shutdown_timeout=0.1)
        record = model.HostRecord(self.address, "1", "north")
        log = logs.HostLog(clock.ManualClock(), self.log)
        self.links = host_links.HostLinks(
            record, self._notify, log, self.clock, self
        )

    def record_frame_sent(self, sizes):
        """Record a frame."""
        self.frames.append(sizes)

    def _notify(self, event):
        message = getattr(event, "message", None)
        if self.fail_on and getattr(message, "job_id", None) == self.fail_on:
            raise RuntimeError("not handled")
        self.events.append(event)

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


class PriorityTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.near, self.far = HostEnd(), HostEnd()
        for end in (self.near, self.far):
            await end.start()
            self.addAsyncCleanup(end.stop)
        self.near.links.set_link_targets(frozenset({self.far.address}))
        (self.ours,) = await self.near.wait_for(events.LinkOpened)
        await self.far.wait_for(events.LinkOpened)

    async def test_parts_of_the_document_wait_for_messages_of_jobs(self):
        # A document ahead of jobs' messages delayed these, and keep-alives,
        # beyond the time after which the far end closes the link.
        part = messages.CatalogPart(2, 0, 9, "abc")
        request = messages.RequestCatalog(2, 0)
        jobs = [messages.AbandonJob(f"job-{number}") for number in range(3)]
        for message in (part, jobs[0], request, jobs[1], jobs[2]):
            self.near.links.send(self.ours.link, message)
        received = await self.far.wait_for(events.MessageReceived, 5)
        self.assertEqual(
            [each.message for each in received], [*jobs, part, request]
        )
        kinds = [[kind for kind, _ in frame] for frame in self.near.frames]
        self.assertEqual(
            kinds, [["abandon_job"] * 3, ["catalog_part"], ["request_catalog"]]
        )

    async def test_sizes_of_messages_are_counted(self):
        part = messages.CatalogPart(2, 0, 8000, "a" * 8000)
        self.near.links.send(self.ours.link, part)
        await self.far.wait_for(events.MessageReceived)
        ((kind, size),) = self.near.frames[0]
        self.assertEqual(kind, "catalog_part")
        self.assertEqual(size, len(messages.encode(part)))

    async def test_parts_beyond_a_limit_are_dropped(self):
        # A host that requests parts without waiting for the answers must not
        # fill the memory of this one, nor close the link.
        for number in range(host_links.BULK_QUEUE_MAX + 5):
            part = messages.CatalogPart(2, number, 99, "a")
            self.near.links.send(self.ours.link, part)
        self.near.links.send(self.ours.link, messages.AbandonJob("j"))
        count = 1 + host_links.BULK_QUEUE_MAX
        await self.far.wait_for(events.MessageReceived, count)
        self.near.links.send(self.ours.link, messages.AbandonJob("k"))
        received = await self.far.wait_for(events.MessageReceived, count + 1)
        self.assertEqual(len(received), count + 1)
        self.assertEqual(received[-1].message.job_id, "k")


class HandshakeTests(unittest.IsolatedAsyncioTestCase):
    """A host with links to many others, which break all at once."""

    FAR_ENDS = 12

    async def asyncSetUp(self):
        self.near = HostEnd()
        self.far_ends = [HostEnd() for _ in range(self.FAR_ENDS)]
        self.pending = 0
        self.pending_max = 0
        for end in (self.near, *self.far_ends):
            await end.start()
            self.addAsyncCleanup(end.stop)
        for end in self.far_ends:
            end.links.accept = self.delay(end.links.accept)
        self.near.links.set_link_targets(
            frozenset(end.address for end in self.far_ends)
        )
        await self.near.wait_for(events.LinkOpened, self.FAR_ENDS)

    def delay(self, accept):
        """Make a handshake take some time, and count those in progress."""

        async def accept_later(request):
            self.pending += 1
            self.pending_max = max(self.pending_max, self.pending)
            await asyncio.sleep(0.02)
            self.pending -= 1
            return await accept(request)

        return accept_later

    async def test_few_handshakes_are_in_progress_at_a_time(self):
        # 30 hosts that open all their links at once delay each other until
        # most attempts time out, and try again at the same time.
        for link in await self.near.wait_for(events.LinkOpened):
            self.near.links.close_link(link.link)
        await self.near.wait_for(events.LinkOpened, 2 * self.FAR_ENDS)
        self.assertGreater(self.pending_max, 1)
        self.assertLessEqual(self.pending_max, reconnection.HANDSHAKES_MAX)


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

    async def send_raw(self, *frames):
        """Open a link to the far end and send raw frames over it."""
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        record = model.HostRecord("127.0.0.1:9", "1", "north")
        header = records.encode(record).decode()
        socket = await session.ws_connect(
            f"http://{self.far.address}{host_links.PATH}",
            headers={host_links.RECORD_HEADER: header},
        )
        for frame in frames:
            await socket.send_str(frame)

    async def received_kinds(self, count):
        received = await self.far.wait_for(events.MessageReceived, count)
        return [each.message.kind for each in received]

    async def test_malformed_message_costs_only_itself(self):
        good = '{"kind":"abandon_job","job_id":"j"}'
        bad = (
            '{"kind":"news"}',
            '{"kind":"abandon_job"}',
            '{"kind":"task_ended","job_id":"j","step":0,"index":0,"run":1,'
            '"end":"vanished"}',
            "[]",
            "7",
        )
        for each in bad:
            await self.send_raw(f'{{"sent_ms":1,"messages":[{each},{good}]}}')
        kinds = await self.received_kinds(len(bad))
        self.assertEqual(kinds, ["abandon_job"] * len(bad))

    async def test_malformed_frame_leaves_the_link_open(self):
        good = '{"sent_ms":2,"messages":[{"kind":"abandon_job","job_id":"j"}]}'
        bad = (
            *("", "[", "[]", '{"messages":[]}', '{"sent_ms":1,"messages":1}'),
            '{"sent_ms":1e300,"messages":[]}',
        )
        await self.send_raw(*bad, good)
        self.assertEqual(await self.received_kinds(1), ["abandon_job"])

    async def test_failed_handling_of_a_message_leaves_the_link_open(self):
        self.far.fail_on = "bad"
        for job_id in ("bad", "good"):
            message = messages.AbandonJob(job_id)
            self.near.links.send(self.ours.link, message)
        (received,) = await self.far.wait_for(events.MessageReceived)
        self.assertEqual(received.message.job_id, "good")
        self.assertIn("internal.error", self.far.log.content)

    async def test_message_that_cannot_be_encoded_costs_only_itself(self):
        for job_id in ("\ud800", "good"):
            self.near.links.send(self.ours.link, messages.AbandonJob(job_id))
        (received,) = await self.far.wait_for(events.MessageReceived)
        self.assertEqual(received.message.job_id, "good")
        self.assertIn("internal.error", self.near.log.content)

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

    async def test_delay_of_a_message_counts_against_its_times(self):
        # A receiver that is behind reads a job late. The job's times are
        # relative to its sending.
        step = model.Step(1, model.Resources(1, 2), model.MILLISECOND)
        for number, delay_ms in enumerate((0, 200, 0)):
            delay = delay_ms * model.MILLISECOND
            self.far.clock.advance(delay)
            job = messages.SubmitJob(
                "j", "q", "s", 0, 3, "spec", 1.6, (step,), 300.0, 1500.0
            )
            self.near.links.send(self.ours.link, job)
            received = await self.far.wait_for(
                events.MessageReceived, number + 1
            )
            message = received[-1].message
            self.assertAlmostEqual(message.due_in_ms, 300 - delay_ms, 0)
            self.assertAlmostEqual(message.expires_in_ms, 1500 - delay_ms, 0)
            self.near.clock.advance(delay)

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
