import asyncio
import socket
import time
import unittest
from unittest import mock

import aiohttp
import orjson

from tests.platform import hosts
from tests.platform import stand_in

JOB_ID = "5c0e7a21d94b36f8"
PATH = f"/refund/{JOB_ID}"
STEP = {"count": 2, "cpu": 500, "mem_mb": 64, "est_ms": 50}
# Attempts to have a job served while the hosts connect, and the delay between
# two attempts.
TRIES = 100
PAUSE_SECONDS = 0.1
# A pause of a host after which callers may have gone elsewhere, and the time
# in which its effects on the workers show.
PAUSE_OF_HOST_SECONDS = 0.9
SETTLE_SECONDS = 0.3


def job(**fields):
    """Return a job in the callers' format."""
    values = {"spec": "text", "best_effort": True, "steps": [STEP]}
    return values | fields


class CallersTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.deployment = hosts.Deployment()

    async def asyncTearDown(self):
        await self.deployment.stop()

    async def submit(self, path=PATH, *, number=0, **fields):
        status, content, headers = await self.deployment.call(
            "POST", path, number=number, json=job(**fields)
        )
        return status, orjson.loads(content), headers

    async def submit_until_served(self, number=0):
        """Submit jobs until the hosts have found the workers and serve one."""
        for attempt in range(TRIES):
            path = f"/refund/{attempt:016x}"
            status, content, _ = await self.submit(path, number=number)
            if status == 200:
                return content
            await asyncio.sleep(PAUSE_SECONDS)
        raise AssertionError(f"not served: {status} {content}")

    async def test_job_is_answered_when_all_its_tasks_are_done(self):
        await self.deployment.start()
        self.assertEqual(await self.submit_until_served(), {"state": "done"})
        starts = self.deployment.workers[0].starts
        self.assertEqual(len({each["task"] for each in starts}), 2)
        self.assertEqual({each["spec"] for each in starts}, {"text"})

    async def test_every_host_serves_jobs_whichever_host_schedules(self):
        await self.deployment.start(workers=2, hosts=2)
        for number in range(2):
            self.assertEqual(
                await self.submit_until_served(number), {"state": "done"}
            )
        fences = [worker.fence for worker in self.deployment.workers]
        self.assertTrue(all(fences))

    async def test_jobs_are_served_after_the_scheduling_host_has_drained(self):
        await self.deployment.start(workers=1, hosts=2)
        await self.submit_until_served(0)
        await self.submit_until_served(1)
        schedulers = [
            number
            for number, log in enumerate(self.deployment.logs)
            if "pool.claimed" in log
        ]
        drained = schedulers[0]
        await self.deployment.stop_host(drained)
        del self.deployment.configs[drained]
        self.assertEqual(await self.submit_until_served(0), {"state": "done"})

    async def test_invalid_requests_are_refused_and_start_no_run(self):
        await self.deployment.start()
        await self.submit_until_served()
        before = len(self.deployment.workers[0].starts)
        later = {"count": 1, "after": [0]}
        cases = (
            ("no such queue", "/other/" + JOB_ID, job(), 404, 2002),
            ("short id", "/refund/5c0e", job(), 400, 2001),
            ("id of other digits", "/refund/" + "x" * 16, job(), 400, 2001),
            ("no steps", PATH, job(steps=[]), 400, 2001),
            ("not an object", PATH, [1], 400, 2001),
            ("count of nothing", PATH, job(steps=[{"count": 0}]), 400, 2001),
            ("negative size", PATH, job(steps=[{"cpu": -1}]), 400, 2001),
            ("after itself", PATH, job(steps=[later]), 400, 2001),
            ("long spec", PATH, job(spec="x" * 4001), 413, 2004),
            ("stored job", PATH, job(best_effort=False), 503, 2018),
            ("scheduled job", PATH, job(times=3), 503, 2018),
            ("gang", PATH, job(steps=[STEP | {"gang": True}]), 503, 2018),
            ("huge task", PATH, job(steps=[{"cpu": 10**9}]), 503, 2007),
        )
        for name, path, content, status, code in cases:
            with self.subTest(name):
                got, body, _ = await self.deployment.call(
                    "POST", path, json=content
                )
                self.assertEqual(got, status)
                self.assertEqual(orjson.loads(body)["code"], code)
        got, body, _ = await self.deployment.call(
            "POST", PATH, data=b"{not json"
        )
        self.assertEqual((got, orjson.loads(body)["code"]), (400, 2001))
        self.assertEqual(len(self.deployment.workers[0].starts), before)
        self.assertEqual(await self.submit_until_served(), {"state": "done"})

    async def test_refusal_has_a_retry_after_header(self):
        await self.deployment.start()
        await self.submit_until_served()
        status, content, headers = await self.submit(
            steps=[STEP | {"est_ms": 60_000}]
        )
        self.assertEqual((status, content["error"]), (503, "too late"))
        self.assertGreaterEqual(int(headers["Retry-After"]), 1)

    async def test_caller_that_left_during_a_pause_has_nothing_started(self):
        await self.deployment.start()
        await self.submit_until_served()
        starts = self.deployment.workers[0].starts
        before = len(starts)
        host, _, port = self.deployment.configs[0].callers.rpartition(":")
        content = orjson.dumps(job())
        head = (
            f"POST {PATH} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port))) as connection:
            connection.sendall(head.encode() + content)
        # Blocks the event loop of the host, as a pause of the process does.
        time.sleep(PAUSE_OF_HOST_SECONDS)
        await asyncio.sleep(SETTLE_SECONDS)
        self.assertEqual(starts[before:], [])
        self.assertEqual(await self.submit_until_served(), {"state": "done"})

    async def test_pending_jobs_of_a_queue_and_of_an_unknown_queue(self):
        await self.deployment.start()
        await self.submit_until_served()
        status, content, _ = await self.deployment.call("GET", "/refund/")
        self.assertEqual((status, content), (200, b'{"pending":0}'))
        status, _, _ = await self.deployment.call("GET", "/other/")
        self.assertEqual(status, 404)

    async def test_running_jobs_can_be_read_and_cancelled(self):
        await self.deployment.start()
        await self.submit_until_served()
        step = STEP | {"count": 60, "cpu": 16000}
        waiting = asyncio.create_task(
            self.deployment.call("POST", PATH, json=job(steps=[step]))
        )
        while (
            not self.deployment.logs[0]
            .content.getvalue()
            .count(JOB_ID.encode())
        ):
            await asyncio.sleep(0.01)
        status, content, _ = await self.deployment.call("GET", PATH)
        self.assertEqual((status, content), (200, b'{"state":"running"}'))
        status, _, _ = await self.deployment.call("DELETE", PATH)
        self.assertEqual(status, 200)
        status, content, _ = await waiting
        self.assertEqual(content, b'{"state":"cancelled"}')
        for method in ("GET", "DELETE"):
            status, _, _ = await self.deployment.call(method, PATH)
            self.assertEqual(status, 410)

    async def test_job_is_stopped_when_its_caller_disconnects(self):
        await self.deployment.start()
        await self.submit_until_served()
        step = STEP | {"count": 60, "cpu": 16000}
        waiting = asyncio.create_task(
            self.deployment.call("POST", PATH, json=job(steps=[step]))
        )
        while not self.deployment.workers[0].running:
            await asyncio.sleep(0.01)
        waiting.cancel()
        while "job.abandoned" not in self.deployment.logs[0]:
            await asyncio.sleep(PAUSE_SECONDS)
        while self.deployment.workers[0].running:
            await asyncio.sleep(PAUSE_SECONDS)

    async def test_draining_host_answers_every_request_that_it_reads(self):
        await self.deployment.start(hosts=2)
        await self.submit_until_served(0)
        await self.submit_until_served(1)
        drain = asyncio.create_task(self.deployment.stop_host(0))
        answered = 0
        try:
            while True:
                # Each request uses a new connection, without a delay.
                job_id = f"{answered + TRIES:016x}"
                status, _, _ = await self.submit(f"/refund/{job_id}")
                self.assertEqual(status, 200)
                answered += 1
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError):
            # The listener is closed, and the request must not have been read.
            self.assertGreater(answered, 0)
        await drain
        self.assertNotIn(job_id, self.deployment.logs[0])

    async def test_request_that_arrives_late_in_a_drain_is_answered(self):
        await self.deployment.start(hosts=2)
        await self.submit_until_served(0)
        await self.submit_until_served(1)
        with mock.patch.object(stand_in, "RUN_SECONDS", 1.4):
            step = STEP | {"est_ms": 1400}
            drain = asyncio.create_task(self.deployment.stop_host(0))
            while "drain.ended" not in self.deployment.logs[0]:
                await asyncio.sleep(0)
            status, content, _ = await self.deployment.call(
                "POST",
                f"/refund/{TRIES:016x}",
                json=job(steps=[step]),
                headers={"Deadline-Ms": "5000"},
            )
        self.assertEqual(status, 200)
        self.assertEqual(orjson.loads(content), {"state": "done"})
        await drain

    async def test_new_configuration_takes_effect_and_is_never_reverted(self):
        await self.deployment.start()
        await self.submit_until_served()
        newer = stand_in.config(version=5, prefix="/voucher/")
        self.deployment.store.put("op", "config", newer)
        for _ in range(TRIES):
            status, _, _ = await self.deployment.call("GET", "/voucher/")
            if status == 200:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        self.deployment.store.put("op", "config", stand_in.config(version=4))
        self.deployment.store.put("op", "config", {"version": "six"})
        while "catalog.malformed" not in self.deployment.logs[0]:
            await asyncio.sleep(PAUSE_SECONDS)
        status, _, _ = await self.deployment.call("GET", "/refund/")
        self.assertEqual(status, 404)

    async def test_row_evacuates_a_zone_until_it_is_removed(self):
        await self.deployment.start()
        await self.submit_until_served()
        self.deployment.store.put("op", "evacuate/north", {})
        while "evacuation.started" not in self.deployment.logs[0]:
            await asyncio.sleep(PAUSE_SECONDS)
        starts = len(self.deployment.workers[0].starts)
        # The only zone is evacuated, so nobody can serve the job.
        status, content, headers = await self.submit()
        self.assertEqual(status, 503)
        self.assertIn("zone evacuated", str(content))
        self.assertIn("Retry-After", headers)
        self.assertEqual(len(self.deployment.workers[0].starts), starts)
        settings = self.deployment.configs[0]
        _, content = await self.deployment.get(settings.metrics, "/metrics")
        gauge = 'waxwingwalk_zone_evacuated{zone="north"}'
        self.assertIn(f"{gauge} 1", content)
        self.deployment.store.remove("op", "evacuate/north")
        while "evacuation.ended" not in self.deployment.logs[0]:
            await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual((await self.submit())[0], 200)
        _, content = await self.deployment.get(settings.metrics, "/metrics")
        self.assertIn(f"{gauge} 0", content)

    async def test_callers_in_an_evacuated_zone_are_served_by_another(self):
        await self.deployment.start(
            workers=2, hosts=2, zones=("north", "south")
        )
        for number in range(2):
            await self.submit_until_served(number)
        north, south = self.deployment.workers
        while not (north.fence and south.fence):
            await asyncio.sleep(PAUSE_SECONDS)
        self.deployment.store.put("op", "evacuate/north", {})
        while "evacuation.started" not in self.deployment.logs[0]:
            await asyncio.sleep(PAUSE_SECONDS)
        starts = len(north.starts)
        for attempt in range(5):
            path = f"/refund/{attempt + 100:016x}"
            status, _, _ = await self.submit(path, number=0)
            self.assertEqual(status, 200)
        self.assertEqual(len(north.starts), starts)

    async def test_jobs_are_served_during_a_store_outage(self):
        await self.deployment.start()
        await self.submit_until_served()
        self.deployment.store.status = 503
        while "store.lost" not in self.deployment.logs[0]:
            await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual((await self.submit())[0], 200)

    async def test_host_is_ready_once_it_has_a_configuration(self):
        await self.deployment.start()
        settings = self.deployment.configs[0]
        for _ in range(TRIES):
            status, _ = await self.deployment.get(settings.readiness, "/ready")
            if status == 200:
                break
            await asyncio.sleep(PAUSE_SECONDS)
        self.assertEqual(status, 200)

    async def test_host_without_configuration_refuses_jobs(self):
        self.deployment.store.status = 503
        await self.deployment.start()
        settings = self.deployment.configs[0]
        status, _ = await self.deployment.get(settings.readiness, "/ready")
        self.assertEqual(status, 503)
        status, content, headers = await self.submit()
        self.assertEqual((status, content["code"]), (503, 2013))
        self.assertIn("Retry-After", headers)

    async def test_metrics_count_jobs_and_calls(self):
        await self.deployment.start()
        await self.submit_until_served()
        settings = self.deployment.configs[0]
        status, text = await self.deployment.get(settings.metrics, "/metrics")
        self.assertEqual(status, 200)
        for name in (
            'waxwingwalk_jobs_total{outcome="done"',
            "waxwingwalk_backend_calls_total",
            "waxwingwalk_store_call_seconds",
            "waxwingwalk_event_loop_lag_seconds",
        ):
            self.assertIn(name, text)

    async def test_malformed_rows_are_logged_and_left_out(self):
        await self.deployment.start()
        await self.submit_until_served()
        log = self.deployment.logs[0].content.getvalue()
        for key in (b'"broken"', b'"foreign"'):
            self.assertIn(key, log)
