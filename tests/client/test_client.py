"""Tests of the client library, mainly of when it resubmits a job."""

import asyncio
import datetime
import unittest

from aiohttp import web

from tests.entry import jobs as loopback
from waxwingwalk import client
from waxwingwalk.client import budget
from waxwingwalk.core import results
from waxwingwalk.testing import fleet

Code = results.ResultCode


class ScriptedEntry:
    """An entry process that returns scripted replies in order."""

    def __init__(self, *codes):
        self.codes = list(codes)
        self.bodies = []

    async def __aenter__(self):
        app = web.Application()
        app.router.add_post("/v1/jobs", self.submit)
        self.runner = web.AppRunner(app, shutdown_timeout=0.01)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        self.address = "{}:{}".format(*self.runner.addresses[0][:2])
        return self

    async def __aexit__(self, *_):
        await self.runner.cleanup()

    async def submit(self, request):
        """Return the next reply; None breaks the connection."""
        self.bodies.append(await request.json())
        code = self.codes.pop(0)
        if code is None:
            request.transport.abort()
            return web.Response()
        content = {"code": int(code), "results": ["ok"]}
        return web.json_response(content)


# Replies in order (None: the connection breaks), arguments of the job, and
# expected is_complete, may_have_run and number of submissions of the answer.
CASES = [
    ([Code.COMPLETE], {}, True, True, 1),
    ([Code.QUEUE_FULL, Code.COMPLETE], {}, True, True, 2),
    ([Code.NEVER_FITS], {}, False, False, 1),
    ([None, Code.COMPLETE], {}, True, True, 2),
    ([None], {"is_idempotent": False}, False, True, 1),
    (
        [None, Code.COMPLETE],
        {"is_idempotent": False, "key": "k"},
        True,
        True,
        2,
    ),
    ([Code.COORDINATOR_LOST, Code.COMPLETE], {}, True, True, 2),
    ([Code.EARLIER_ATTEMPT], {"is_idempotent": False}, False, True, 1),
    ([None, Code.NEVER_FITS], {}, False, True, 2),
    ([Code.TASK_FAILED], {}, False, True, 1),
    ([Code.DRAINING, Code.NEVER_FITS], {}, False, False, 2),
]


class ResubmissionTests(unittest.IsolatedAsyncioTestCase):
    async def test_resubmission_cases(self):
        for codes, members, is_complete, may_have_run, count in CASES:
            with self.subTest(codes=codes, members=members):
                async with ScriptedEntry(*codes) as entry:
                    answer = await self.submit(entry, **members)
                self.assertEqual(is_complete, answer.is_complete)
                self.assertEqual(may_have_run, answer.may_have_run)
                self.assertEqual(count, answer.submissions)

    async def submit(self, entry, retry_budget=None, **members):
        """Submit a job to a scripted entry process."""
        job = client.Job("refunds", [client.Task(1)], **members)
        async with client.Client(
            [entry.address], team="shops", retry_budget=retry_budget
        ) as dispatcher:
            return await dispatcher.submit(job)

    async def test_exhausted_budget_ends_resubmissions(self):
        async with ScriptedEntry(*[Code.QUEUE_FULL] * 9) as entry:
            answer = await self.submit(
                entry, budget.RetryBudget(share=0.0, reserve=2.0)
            )
        self.assertEqual(3, answer.submissions)
        self.assertFalse(answer.may_have_run)

    async def test_nothing_is_submitted_after_the_deadline(self):
        async with ScriptedEntry(*[Code.QUEUE_FULL] * 99) as entry:
            deadline = datetime.timedelta(seconds=0.3)
            answer = await self.submit(entry, deadline=deadline)
        self.assertEqual(Code.QUEUE_FULL, answer.code)
        remaining = [body["deadline_seconds"] for body in entry.bodies]
        self.assertEqual(sorted(remaining, reverse=True), remaining)

    async def test_refused_connection_retries_at_another_entry(self):
        async with fleet.Fleet() as started:
            await loopback.add_backends(started, 1)
            addresses = ["127.0.0.1:9", started.entries[0].callers_address]
            async with client.Client(addresses, team="shops") as dispatcher:
                (key,) = await self.request_key(dispatcher)
                tasks = [client.Task({"value": 7, "run_seconds": 0.01})]
                job = client.Job("refunds", tasks, key=key)
                answer = await dispatcher.submit(job)
        self.assertEqual([7], answer.results)

    async def test_unreachable_entry_says_nothing_of_an_earlier_job(self):
        """Only a submission that was not sent is known not to have run."""
        async with client.Client(["127.0.0.1:9"], team="shops") as dispatcher:
            for request in (
                dispatcher.status,
                dispatcher.cancel,
                dispatcher.explain,
            ):
                with self.subTest(request=request.__name__):
                    reply = await request("10.0.0.1_7003.0000000000aa.1")
                    self.assertIs(results.Family.UNKNOWN, reply.code.family)

    async def test_blocking_client_behaves_the_same(self):
        async with fleet.Fleet() as started:
            await loopback.add_backends(started, 1)
            address = started.entries[0].callers_address
            answer, status = await asyncio.to_thread(
                self.use_blocking_client, address
            )
        self.assertEqual([7], answer.results)
        self.assertEqual(Code.COMPLETE, status.code)

    def use_blocking_client(self, address):
        """Submit a job with the blocking client."""
        with client.BlockingClient([address], team="shops") as dispatcher:
            (key,) = dispatcher.issue_keys(1)
            tasks = [client.Task({"value": 7, "run_seconds": 0.01})]
            answer = dispatcher.submit(client.Job("refunds", tasks, key=key))
            return answer, dispatcher.status(answer.job_id)

    async def request_key(self, dispatcher):
        """Request a key until the reachable address is selected."""
        while True:
            keys = await dispatcher.issue_keys(1)
            if keys:
                return keys
