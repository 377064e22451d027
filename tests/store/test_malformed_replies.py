"""Replies of the table service that do not match their request."""

import asyncio
import datetime
import unittest

import aiohttp
from aiohttp import web
from returns import result

from tests.core import reducers
from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import results
from waxwingwalk.entry import claims
from waxwingwalk.store import base
from waxwingwalk.store import http

MALFORMED = ({"rows": []}, {"results": []}, {"rows": [None, None, None]}, [])


class MalformedReplyTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        app = web.Application()
        app.router.add_post("/v1/table/{action}", self.reply)
        runner = web.AppRunner(app, shutdown_timeout=0.01)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = "http://{}:{}".format(*runner.addresses[0][:2])
        session = aiohttp.ClientSession()
        self.addAsyncCleanup(session.close)
        self.table = http.HttpPlatform(url, session)

    async def reply(self, request):
        """Return the malformed reply."""
        return web.json_response(self.content)

    async def test_reply_of_another_length_counts_as_lost(self):
        write = base.Write("claims", "a", {}, 0)
        lost = result.Failure(base.PlatformFailure.LOST)
        for self.content in MALFORMED:
            with self.subTest(content=self.content):
                read = await self.table.read([("claims", "a")])
                self.assertEqual(lost, read)
                written = await self.table.write([write], is_atomic=False)
                self.assertEqual(lost, written)

    async def test_claim_with_malformed_replies_is_settled(self):
        """It is refused at once, and does not wait for its deadline."""
        self.content = {"rows": []}
        settled = asyncio.get_running_loop().create_future()
        key_claims = claims.KeyClaims(
            self.table,
            reducers.SELF,
            settle=lambda job_id, outcome: settled.set_result(outcome),
            has_ended_unstarted=lambda job_id: False,
            now=clock.ManualClock().now,
        )
        key_claims.claim(effects.ClaimKey("job", "shops", "crate-7"))
        timeout = datetime.timedelta(seconds=5).total_seconds()
        outcome = await asyncio.wait_for(settled, timeout)
        self.assertIs(results.ResultCode.STORE_UNAVAILABLE, outcome.code)
