"""Requests that wait, arrive or are answered while a process drains."""

import asyncio
import json
import socket
from unittest import mock

from tests.entry import jobs
from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.entry import forwarding
from waxwingwalk.entry import links
from waxwingwalk.testing import fleet

Code = results.ResultCode
# Longer than a drain without jobs takes to close the listeners.
CLOSE_SECONDS = 4.0
# A socket buffer that is far smaller than the answers that are sent.
SMALL_BUFFER = 2**14


async def connect(address, buffer_size=None):
    """Return a reader and a writer of a new connection."""
    host, port = address.rsplit(":", 1)
    connection = socket.socket()
    if buffer_size is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_size)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, (host, int(port)))
    return await asyncio.open_connection(sock=connection, limit=SMALL_BUFFER)


def request_head(method, path, size=0, headers=None):
    """Return the head of a request with a body of this many bytes."""
    lines = [f"{method} {path} HTTP/1.1", "Host: localhost"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {size}")
    return "\r\n".join([*lines, "", ""]).encode()


async def read_response(reader):
    """Return the status, the headers and the JSON content of a response.

    Raise an exception if the response is not complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status, *lines = head.strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers["content-length"]))
    return int(status.split()[1]), headers, json.loads(body)


class DrainTestCase(jobs.FleetTestCase):
    """Base class of tests that drain the first entry process."""

    def start_drain(self, started):
        """Return a task that drains the first entry process."""
        entry = started.entries[0]
        started.mark_ended(entry)
        return asyncio.create_task(entry.service.stop())

    def force_drain(self, started):
        """End the drain of the first entry process, as a signal does."""
        started.entries[0].engine.apply(events.DrainForced())


class WaitingRequestTests(DrainTestCase):
    async def test_drain_answers_waiting_requests_at_its_deadline(self):
        """Covers own jobs, jobs of a peer, and callers at a peer."""
        changes = {"defaults.drain_timeout": "1 s"}
        async with fleet.Fleet(entries=2, settings=changes) as started:
            await jobs.add_backends(started, 3)
            job = jobs.job(count=2, seconds=20)
            own = await started.submit(0, {**job, "wait": False})
            other = await started.submit(1, {**job, "wait": False})
            keys = []
            for entry in (0, 1):
                issued = await started.request(
                    entry, "POST", "/v1/keys", {"team": "shops", "count": 1}
                )
                keys.append(issued["keys"][0])
            own_path = f"/v1/jobs/{own['job']}?wait=true"
            other_path = f"/v1/jobs/{other['job']}?wait=true"
            waiting = [
                (started.submit(0, job), Code.DRAIN_ENDED),
                (started.submit(0, {**job, "key": "a"}), Code.DRAIN_ENDED),
                (started.submit(1, {**job, "key": keys[0]}), Code.DRAIN_ENDED),
                (started.request(0, "GET", own_path), Code.DRAIN_ENDED),
                (started.request(1, "GET", own_path), Code.DRAIN_ENDED),
                (
                    started.submit(0, {**job, "key": keys[1]}),
                    Code.FORWARD_LOST,
                ),
                (
                    started.request(0, "GET", other_path),
                    Code.COORDINATOR_UNREACHABLE,
                ),
            ]
            replies = asyncio.gather(*(request for request, _ in waiting))
            await jobs.wait_until(lambda: len(started.starts()) == 12)
            stopping = self.start_drain(started)
            codes = [reply["code"] for reply in await replies]
            self.assertEqual([code for _, code in waiting], codes)
            await stopping

    async def start_change_and_drain(self, started):
        """Return tasks of a change that waits for the store, and a drain."""
        started.platform.latency = 1.5
        change = asyncio.create_task(
            started.change_settings({"defaults.drain_timeout": "30 s"})
        )
        await asyncio.sleep(0.1)
        return change, self.start_drain(started)

    async def test_change_that_waits_for_the_store_is_answered(self):
        async with fleet.Fleet() as started:
            await started.wait_until_ready()
            change, stopping = await self.start_change_and_drain(started)
            reply = await change
            self.assertEqual(Code.OK, reply["code"], reply)
            await stopping

    async def test_change_is_unsettled_if_a_drain_is_forced(self):
        async with fleet.Fleet() as started:
            await started.wait_until_ready()
            change, stopping = await self.start_change_and_drain(started)
            await asyncio.sleep(0.05)
            self.force_drain(started)
            reply = await change
            self.assertEqual(Code.SETTINGS_UNSETTLED, reply["code"], reply)
            await stopping

    async def test_unstarted_jobs_get_a_retry_after(self):
        """One job is queued, the other one's key is being claimed."""
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=8, seconds=20))
            )
            await jobs.wait_until(lambda: len(started.starts()) == 8)
            started.platform.latency = 1.5
            unstarted = asyncio.gather(
                started.submit(0, jobs.job()),
                started.submit(0, jobs.job(key="crate-7")),
            )
            state = started.entries[0].engine.state
            await jobs.wait_until(lambda: state.active_jobs == 3)
            stopping = self.start_drain(started)
            await asyncio.sleep(0.05)
            self.force_drain(started)
            for reply in await unstarted:
                self.assertEqual(Code.DRAIN_UNSTARTED, reply["code"], reply)
                self.assertGreater(reply.get("retry_after_seconds", 0), 0)
            reply = await running
            self.assertEqual(Code.DRAIN_ENDED, reply["code"], reply)
            self.assertNotIn("retry_after_seconds", reply)
            await stopping


class ArrivingRequestTests(DrainTestCase):
    async def test_request_whose_body_arrives_is_refused(self):
        async with fleet.Fleet() as started:
            await started.wait_until_ready()
            entry = started.entries[0]
            peer_headers = {
                "Authorization": f"Bearer {fleet.SECRET}",
                forwarding.TARGET_HEADER: (
                    entry.engine.state.process.incarnation
                ),
            }
            cases = [
                (entry.callers_address, "/v1/jobs", {}),
                (entry.callers_address, "/v1/keys", {}),
                (entry.operators_address, "/v1/settings/changes", {}),
                (entry.operators_address, "/v1/settings/rollback", {}),
                (entry.peers_address, "/v1/forward/submit", peer_headers),
            ]
            readers = []
            for address, path, headers in cases:
                reader, writer = await connect(address)
                self.addCleanup(writer.close)
                head = request_head("POST", path, 1000, headers)
                writer.write(head + b"{" * 100)
                readers.append(reader)
            await asyncio.sleep(0.1)
            stopping = self.start_drain(started)
            for (_, path, _), reader in zip(cases, readers, strict=True):
                with self.subTest(path=path):
                    status, headers, reply = await read_response(reader)
                    self.assertEqual(503, status)
                    self.assertEqual(Code.DRAINING, reply["code"])
                    self.assertIn("retry-after", headers)
            await stopping


class AnswerTests(DrainTestCase):
    async def test_responses_of_a_drain_end_their_connections(self):
        """Callers that kept them would send to a process that is exiting."""
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            accepted = await started.submit(0, jobs.job(seconds=1, wait=False))
            path = f"/v1/jobs/{accepted['job']}"
            entry = started.entries[0]
            cases = [
                (entry.callers_address, "GET", "/ready"),
                (entry.callers_address, "GET", path),
                (entry.callers_address, "POST", "/v1/jobs"),
                (entry.callers_address, "GET", "/no-such-path"),
                (entry.callers_address, "GET", f"{path}?wait=true"),
                (entry.operators_address, "GET", "/v1/hosts"),
                (entry.peers_address, "GET", "/v1/settings"),
            ]
            connections = []
            for address, method, path in cases:
                reader, writer = await connect(address)
                self.addCleanup(writer.close)
                writer.write(request_head("GET", "/version"))
                head = await reader.readuntil(b"\r\n\r\n")
                self.assertNotIn(b"Connection: close", head)
                connections.append((method, path, reader, writer))
            stopping = self.start_drain(started)
            await asyncio.sleep(0.05)
            for method, path, reader, writer in connections:
                with self.subTest(path=path):
                    writer.write(request_head(method, path))
                    head = await reader.readuntil(b"\r\n\r\n")
                    self.assertIn(b"Connection: close", head)
            await stopping

    async def test_answer_that_is_read_slowly_is_complete(self):
        changes = {
            "defaults.payload_max": "2 MiB",
            "defaults.body_max": "64 MiB",
        }
        async with fleet.Fleet(settings=changes) as started:
            await jobs.add_backends(started, 1)
            value = "x" * 2**20
            payload = {"run_seconds": 0.1, "value": value}
            job = {**jobs.job(), "tasks": [{"payload": payload}] * 32}
            body = json.dumps(job).encode()
            address = started.entries[0].callers_address
            reader, writer = await connect(address, SMALL_BUFFER)
            self.addCleanup(writer.close)
            writer.write(request_head("POST", "/v1/jobs", len(body)) + body)
            await jobs.wait_until(lambda: len(started.starts()) >= 8)
            stopping = self.start_drain(started)
            await started.entries[0].engine.exited.wait()
            await asyncio.wait({stopping}, timeout=CLOSE_SECONDS)
            self.assertFalse(stopping.done())
            _, _, reply = await read_response(reader)
            self.assertEqual(Code.COMPLETE, reply["code"])
            self.assertEqual([value] * 32, reply["results"])
            await stopping


class ClosingTests(DrainTestCase):
    async def test_request_read_while_links_close_is_not_forwarded(self):
        """It cannot be, as the links and the forwarder share a session."""
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            accepted = await started.submit(1, jobs.job(wait=False))
            address = started.entries[0].callers_address
            reader, writer = await connect(address)
            self.addCleanup(writer.close)
            close = links.PeerLinks.close

            async def close_and_read(peer_links):
                await close(peer_links)
                path = f"/v1/jobs/{accepted['job']}"
                writer.write(request_head("GET", path))
                await asyncio.sleep(0.1)

            with mock.patch.object(links.PeerLinks, "close", close_and_read):
                await self.start_drain(started)
            status, headers, reply = await read_response(reader)
            self.assertEqual(503, status)
            self.assertEqual(Code.COORDINATOR_UNREACHABLE, reply["code"])
            self.assertIn("retry-after", headers)
