"""Access: tokens, the peers' secret, and what is written to logs."""

import aiohttp
import structlog

from tests.entry import jobs
from waxwingwalk.core import clock
from waxwingwalk.core import identity
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

    async def test_log_explains_placements_and_holds_no_secret(self):
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

    def test_secrets_are_not_shown(self):
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

    def test_issued_keys_are_bounded_until_they_expire(self):
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
