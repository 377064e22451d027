"""Tests of tokens, the peers' secret, issued keys, metrics and logs."""

import aiohttp
from aiohttp import web
import structlog

from tests.entry import jobs
from waxwingwalk.core import clock
from waxwingwalk.core import identity
from waxwingwalk.core import results
from waxwingwalk.entry import config
from waxwingwalk.entry import issued_keys
from waxwingwalk.testing import fleet


class AccessTests(jobs.FleetTestCase):
    async def test_peer_without_the_secret_is_refused(self):
        async with fleet.Fleet() as started:
            url = f"http://{started.entries[0].peers_address}/v1/settings"
            for headers, status in (
                ({}, 401),
                ({"Authorization": "Bearer wrong"}, 401),
                ({"Authorization": f"Bearer {fleet.SECRET}"}, 200),
            ):
                async with aiohttp.ClientSession(headers=headers) as session:
                    async with session.get(url) as response:
                        self.assertEqual(status, response.status)

    async def test_secret_is_not_sent_to_an_address_from_a_job_id(self):
        received = []

        async def record(request):
            received.append(request.headers.get("Authorization"))
            return web.json_response({"code": 1000})

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", record)
        runner = web.AppRunner(app, shutdown_timeout=0.01)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0][:2]
        async with fleet.Fleet() as started:
            path = f"/v1/jobs/{host}_{port}.0000000000aa.1"
            for method, suffix in (
                ("GET", ""),
                ("DELETE", ""),
                ("GET", "/explain"),
            ):
                reply = await started.request(0, method, path + suffix)
                code = results.ResultCode.COORDINATOR_UNREACHABLE
                self.assertEqual(code, reply["code"])
        self.assertEqual([], received)

    async def test_callers_and_operators_need_their_tokens(self):
        secrets = config.Secrets(
            peers=fleet.SECRET,
            callers={"shops": "token-of-shops", "pubs": "token-of-pubs"},
            operators={"ann": "token-of-ann"},
        )
        async with fleet.Fleet(secrets=secrets) as started:
            await jobs.add_backends(started, 1)
            entry = started.entries[0]
            callers = f"http://{entry.callers_address}"
            operators = f"http://{entry.operators_address}"
            change = {"changes": {"defaults.weight": 2}, "reason": "test"}
            cases = [
                ("POST", f"{callers}/v1/jobs", jobs.job(), "", 401),
                ("POST", f"{callers}/v1/jobs", jobs.job(), "shops", 200),
                ("POST", f"{callers}/v1/jobs", jobs.job(), "pubs", 401),
                ("POST", f"{callers}/v1/keys", {"team": "pubs"}, "shops", 401),
                ("GET", f"{callers}/v1/jobs/x", None, "", 401),
                ("GET", f"{callers}/ready", None, "", 200),
                ("GET", f"{operators}/v1/hosts", None, "", 401),
                ("GET", f"{operators}/metrics", None, "shops", 401),
                ("GET", f"{operators}/metrics", None, "ann", 200),
                (
                    "POST",
                    f"{operators}/v1/settings/changes",
                    change,
                    "ann",
                    200,
                ),
            ]
            for method, url, body, holder, status in cases:
                with self.subTest(url=url, holder=holder):
                    headers = {"Authorization": f"Bearer token-of-{holder}"}
                    async with started.session.request(
                        method, url, json=body, headers=headers
                    ) as response:
                        self.assertEqual(status, response.status)
                        text = await response.text()
            revision = entry.engine.state.settings.revision
            self.assertEqual("ann", revision.author)
            self.assertIn("revision", text)

    async def test_metrics_count_tasks_jobs_and_messages(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            await started.submit(0, jobs.job(count=5))
            url = f"http://{started.entries[0].operators_address}/metrics"
            async with started.session.get(url) as response:
                text = await response.text()
            self.assertIn("waxwingwalk_tasks_done_total 5", text)
            self.assertIn("waxwingwalk_jobs_complete_total 1", text)
            self.assertIn('waxwingwalk_messages_sent_total{kind="task"}', text)

    async def test_log_explains_placements_and_contains_no_secret(self):
        captured = structlog.testing.LogCapture()
        logger = structlog.wrap_logger(
            structlog.ReturnLogger(),
            processors=[captured],
            wrapper_class=structlog.make_filtering_bound_logger(0),
        )
        async with fleet.Fleet(entries=2, logger=logger) as started:
            await jobs.add_backends(started, 2)
            issued = await started.request(
                0, "POST", "/v1/keys", {"team": "shops", "count": 1}
            )
            (key,) = issued["keys"]
            await started.submit(0, jobs.job(count=3, key=key))
            await started.submit(1, jobs.job(count=1, service="none"))
        placed = [e for e in captured.entries if e["event"] == "task.placed"]
        refused = [e for e in captured.entries if e["event"] == "job.refused"]
        self.assertEqual(3, len(placed))
        self.assertEqual(1, len(refused))
        members = {"backend_server", "reason", "runner_up", "estimate"}
        self.assertLessEqual(members, placed[0].keys())
        text = repr(captured.entries)
        self.assertNotIn(fleet.SECRET, text)
        self.assertNotIn(key, text)

    def test_secrets_are_not_in_repr(self):
        secrets = config.Secrets(peers="long-secret", callers={"a": "token"})
        self.assertNotIn("secret", repr(secrets).replace("Secrets", ""))
        self.assertNotIn("token", repr(secrets))

    def test_forged_keys_are_refused(self):
        process = identity.ProcessId("10.0.0.1:7003", "0000000000aa")
        now = clock.ManualClock().now()
        issuer = issued_keys.KeyIssuer(process, "secret-of-peers")
        (key,) = issuer.issue(
            "shops", 1, lifetime=jobs.seconds(60), limit=10, now=now
        )
        self.assertEqual(1, issuer.verify("shops", key).unwrap().serial)
        parts = key.split("~")
        forgeries = [
            key[:-1] + ("0" if key[-1] != "0" else "1"),
            "~".join([*parts[:3], "2", *parts[4:]]),
            "~".join([*parts[:4], "99999999999", parts[5]]),
            "wk1~",
        ]
        for forgery in forgeries:
            with self.subTest(key=forgery):
                self.assertIsNone(
                    issuer.verify("shops", forgery).value_or(None)
                )
        self.assertIsNone(issuer.verify("pubs", key).value_or(None))

    def test_unexpired_issued_keys_are_limited(self):
        process = identity.ProcessId("10.0.0.1:7003", "0000000000aa")
        time = clock.ManualClock()
        issuer = issued_keys.KeyIssuer(process, "secret-of-peers")

        def issue(count):
            return issuer.issue(
                "a",
                count,
                lifetime=jobs.seconds(60),
                limit=10,
                now=time.now(),
            )

        self.assertEqual(10, len(set(issue(10))))
        self.assertIsNone(issue(1))
        time.advance(jobs.seconds(61))
        self.assertEqual(10, len(issue(10)))
