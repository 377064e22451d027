"""Requests that a dispatch host has read when it is asked to stop."""

import asyncio
import unittest
from unittest import mock

import orjson

from tests.platform import hosts
from tests.platform import stand_in
from waxwingwalk.dispatch import run_tracker

STEP = {"count": 1, "cpu": 500, "mem_mb": 64, "est_ms": 50}
JOB = {"spec": "text", "best_effort": True, "steps": [STEP]}
GRACE_SECONDS = 2
# A task that has not ended when its host is killed.
LONG_RUN_SECONDS = 30
CALLER_WAIT = {"Deadline-Ms": "20000"}
REQUEST_INTERVAL_SECONDS = 0.02
TRIES = 100
PAUSE_SECONDS = 0.1
# By now a host without work has closed its idle connections.
CLOSING_SECONDS = 0.5
RESPONSE = b"HTTP/1.1 "


def to_request(job_number):
    """Return the bytes of the head and of the body of a submission."""
    body = orjson.dumps(JOB)
    head = (
        f"POST /refund/{job_number:016x} HTTP/1.1\r\n"
        "Host: shop.example\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode(), body


class DrainTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = hosts.Deployment()

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def submit(self, job_number, number=0):
        """Submit a job; return the status and the content of the answer."""
        status, content, headers = await self.deployment.call(
            "POST",
            f"/refund/{job_number:016x}",
            number=number,
            json=JOB,
            headers=CALLER_WAIT,
        )
        return status, orjson.loads(content), headers

    async def start(self):
        """Start two hosts; return the numbers of scheduler and other host."""
        await self.deployment.start(hosts=2, grace_seconds=GRACE_SECONDS)
        for number in range(2):
            for attempt in range(TRIES):
                if (await self.submit(attempt, number))[0] == 200:
                    break
                await asyncio.sleep(PAUSE_SECONDS)
        scheduler = 0 if "pool.claimed" in self.deployment.logs[0] else 1
        return scheduler, 1 - scheduler

    async def check_unfinished_job_is_answered(self, number):
        """Stop a host whose caller waits for a run that does not end."""
        with mock.patch.object(stand_in, "RUN_SECONDS", LONG_RUN_SECONDS):
            waiting = asyncio.create_task(self.submit(TRIES, number))
            while not self.deployment.workers[0].running:
                await asyncio.sleep(0.01)
            await self.deployment.stop_host(number)
            status, _, _ = await waiting
        self.assertEqual(status, 502)
        self.assertNotIn("drain.cut_off", self.deployment.logs[number])

    async def test_caller_whose_run_outlasts_the_drain_is_answered(self):
        _, other = await self.start()
        await self.check_unfinished_job_is_answered(other)

    async def test_caller_at_a_draining_scheduler_is_answered(self):
        scheduler, _ = await self.start()
        await self.check_unfinished_job_is_answered(scheduler)

    async def test_requests_read_until_the_end_of_a_drain_are_answered(self):
        _, other = await self.start()
        log = self.deployment.logs[other]
        requests = {}
        with mock.patch.object(stand_in, "RUN_SECONDS", LONG_RUN_SECONDS):
            # A drain without jobs would end before the requests arrive.
            requests[f"{TRIES:016x}"] = asyncio.create_task(
                self.submit(TRIES, other)
            )
            while not self.deployment.workers[0].running:
                await asyncio.sleep(0.01)
            stopping = asyncio.create_task(self.deployment.stop_host(other))
            while not stopping.done():
                job_number = TRIES + len(requests)
                requests[f"{job_number:016x}"] = asyncio.create_task(
                    self.submit(job_number, other)
                )
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
            await asyncio.wait(requests.values())
        answers = set()
        for job_id, request in requests.items():
            if job_id not in log:
                # The listener was closed before the request was read.
                continue
            status, content, _ = await request
            self.assertIn(status, (502, 503))
            answers.add((status, content["error"]))
        # Some were read while their jobs could start, and some at the end.
        self.assertIn((502, "expired"), answers)
        self.assertIn((503, "leaving"), answers)
        self.assertNotIn("drain.cut_off", log)

    async def connect(self, number):
        """Open a connection to a host; return its reader and its writer."""
        address = self.deployment.configs[number].callers
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def test_body_that_arrives_after_the_drain_has_ended_is_answered(
        self,
    ):
        # A connection whose request waits for its body is held until the
        # limit, and what arrives over it is discarded.
        _, other = await self.start()
        head, body = to_request(TRIES)
        reader, writer = await self.connect(other)
        writer.write(head)
        await asyncio.sleep(PAUSE_SECONDS)
        stopping = asyncio.create_task(self.deployment.stop_host(other))
        await asyncio.sleep(CLOSING_SECONDS)
        writer.write(body)
        received = await reader.read()
        await stopping
        self.assertEqual(received.count(RESPONSE), 1)

    async def test_drain_ends_at_its_limit_even_if_ticks_fail(self):
        # What is left is answered at a tick, after all that may fail in one.
        scheduler, _ = await self.start()
        with (
            mock.patch.object(stand_in, "RUN_SECONDS", LONG_RUN_SECONDS),
            mock.patch.object(
                run_tracker.RunTracker, "tick", side_effect=RuntimeError
            ),
        ):
            waiting = asyncio.create_task(self.submit(TRIES, scheduler))
            while not self.deployment.workers[0].running:
                await asyncio.sleep(0.01)
            stopping = asyncio.create_task(
                self.deployment.stop_host(scheduler)
            )
            await asyncio.wait([stopping], timeout=GRACE_SECONDS)
            is_stopped, is_answered = stopping.done(), waiting.done()
        await stopping
        await asyncio.wait([waiting])
        self.assertTrue(is_answered)
        self.assertTrue(is_stopped)
