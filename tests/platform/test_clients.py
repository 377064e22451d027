import unittest
from unittest import mock

from aiohttp import test_utils
import orjson
from returns import result

from tests.platform import stand_in
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.host import metrics
from waxwingwalk.platform import backends
from waxwingwalk.platform import store as platform_store
from waxwingwalk.store import rows as store_rows

Failure = store_rows.StoreFailure
Outcome = model.CallOutcome
INCARNATION = model.BackendIncarnation("w-1", 1)
RUN = model.RunKey("j.0.0.0", 1)


class StoreClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = stand_in.Store()
        self.server = test_utils.TestServer(self.store.application())
        await self.server.start_server()
        self.client = platform_store.PlatformStore(
            f"127.0.0.1:{self.server.port}", metrics.HostMetrics()
        )

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.close()

    def write(self, value=b"x", *, if_version=0, key="k"):
        return self.client.write(
            [store_rows.RowWrite("t", key, value, if_version)]
        )

    async def test_conditional_write_succeeds_once(self):
        first = (await self.write()).unwrap()
        self.assertTrue(first.is_applied)
        second = (await self.write(b"y")).unwrap()
        self.assertFalse(second.is_applied)
        self.assertEqual(second.conflicting_rows[0].value, b"x")

    async def test_table_is_read_page_by_page(self):
        for number in range(5):
            self.store.put("t", f"k{number}", b"v")
        read = (await self.client.read("t")).unwrap()
        self.assertEqual(
            [row.key for row in read.rows], ["k0", "k1", "k2", "k3", "k4"]
        )
        self.assertEqual(read.version, 5)

    async def test_malformed_row_costs_no_other_row(self):
        good = {"key": "k", "ver": 7, "value": "eA=="}
        for odd in ({"key": 1}, {"key": "a", "ver": 2**60}, 7, None, []):
            with self.subTest(odd=odd):
                page = {"rows": [odd, good], "ver": 9, "has_more": False}
                content = orjson.dumps(page)
                log = mock.Mock()
                client = platform_store.PlatformStore(
                    "127.0.0.1:1", metrics.HostMetrics(), log
                )
                self.addAsyncCleanup(client.close)
                rows = await client._parse_rows(content, "servers")
                log.info.assert_called_once()
                self.assertEqual(rows.version, 9)
                (row,) = rows.rows
                self.assertEqual((row.key, row.value), ("k", b"x"))

    async def test_feed_returns_removed_rows(self):
        await self.write()
        await self.client.write([store_rows.RowWrite("t", "k", None, None)])
        read = await self.client.changes("t", 0, model.ZERO)
        (row,) = read.unwrap().rows
        self.assertIsNone(row.value)

    async def test_discarded_history_requires_a_full_read(self):
        self.store.history_from = 10
        read = await self.client.changes("t", 3, model.ZERO)
        self.assertEqual(read, result.Failure(Failure.HISTORY_GONE))

    async def test_failures_show_whether_the_write_may_have_taken_effect(self):
        cases = (
            (429, Failure.REFUSED),
            (503, Failure.REFUSED),
            (403, Failure.REFUSED),
            (500, Failure.UNKNOWN),
            (502, Failure.UNKNOWN),
        )
        for status, failure in cases:
            with self.subTest(status=status):
                self.store.status = status
                written = await self.write()
                self.assertEqual(written, result.Failure(failure))

    async def test_refused_connection_is_reported_as_refused(self):
        await self.server.close()
        self.assertEqual(await self.write(), result.Failure(Failure.REFUSED))

    async def test_unanswered_call_has_an_unknown_result(self):
        self.store.is_silent = True
        read = await self.client._call(
            "GET",
            "/rows-get",
            "read",
            params={"table": "t"},
            timeout=model.MILLISECOND * 50,
        )
        self.assertEqual(read, result.Failure(Failure.UNKNOWN))


class BackendClientTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.worker = stand_in.Worker("w-1")
        self.server = test_utils.TestServer(self.worker.application())
        await self.server.start_server()
        self.address = f"127.0.0.1:{self.server.port}"
        self.client = backends.PlatformBackends(metrics.HostMetrics())

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.close()

    def start(self, incarnation=INCARNATION, fence=7):
        return self.client.start(
            effects.StartRun(
                incarnation, self.address, fence, RUN, "spec", 99_000
            )
        )

    def poll(self, incarnation=INCARNATION, wait=model.ZERO):
        return self.client.poll(
            effects.PollBackend(incarnation, self.address, 7, 0, None, wait)
        )

    async def test_start_sends_the_fields_that_the_platform_requires(self):
        started = await self.start()
        self.assertEqual(started.outcome, Outcome.ACCEPTED)
        self.assertIsNotNone(started.server_clock_ms)
        self.assertEqual(
            self.worker.starts,
            [
                {
                    "task": "j.0.0.0",
                    "run": 1,
                    "spec": "spec",
                    "deadline_ms": 99_000,
                    "fence": 7,
                }
            ],
        )

    async def test_replies_to_a_start_are_mapped_to_outcomes(self):
        def refusal(reason):
            return (409, {"clock_ms": 1, "reason": reason})

        cases = (
            (refusal("fence"), Outcome.FENCED),
            (refusal("old"), Outcome.OLD_RUN),
            (refusal("late"), Outcome.EXPIRED),
            (refusal("room"), Outcome.NO_ROOM),
            (refusal("news"), Outcome.INVALID),
            ((400, {}), Outcome.INVALID),
            ((429, {}), Outcome.UNHEALTHY),
            ((503, {}), Outcome.UNHEALTHY),
            ((500, {}), Outcome.UNKNOWN),
        )
        for answer, outcome in cases:
            with self.subTest(answer=answer):
                self.worker.planned_replies["/run-start"] = answer
                started = await self.start()
                self.assertEqual(started.outcome, outcome)

    async def test_another_worker_at_the_address_is_another_incarnation(self):
        other = model.BackendIncarnation("w-2", 1)
        started = await self.start(other)
        self.assertEqual(started.outcome, Outcome.OTHER_INCARNATION)
        polled = await self.poll(other)
        self.assertIsNone(polled.successor)

    async def test_worker_restarted_with_its_id_is_another_incarnation(self):
        polled = await self.poll(model.BackendIncarnation("w-1", 2))
        self.assertEqual(polled.outcome, Outcome.OTHER_INCARNATION)
        self.assertEqual(polled.successor, model.BackendIncarnation("w-1", 1))

    # A loaded machine may take longer than the usual 50 ms between two calls.
    @mock.patch.object(stand_in, "RUN_SECONDS", 0.4)
    async def test_lists_are_decoded(self):
        await self.start()
        polled = await self.poll()
        self.assertEqual(polled.running, (RUN,))
        polled = await self.poll(wait=model.MILLISECOND * 1500)
        self.assertEqual(
            polled.ended, (model.EndedRun(1, RUN.task, 1, model.RunEnd.DONE),)
        )

    @mock.patch.object(stand_in, "RUN_SECONDS", 0.4)
    async def test_progress_of_runs_is_decoded(self):
        await self.start()
        polled = await self.poll()
        self.assertEqual(polled.percents, (50,))

    async def test_invalid_progress_does_not_hide_a_run(self):
        """The run holds capacity, whatever its progress."""
        for rest in ([], [""], ["", "half"], ["", -1], ["", 101], ["", None]):
            with self.subTest(rest=rest):
                content = {
                    "clock_ms": 1,
                    "running": [[RUN.task, RUN.run, *rest]],
                }
                self.worker.planned_replies["/hold"] = (200, content)
                polled = await self.poll()
                self.assertEqual(polled.running, (RUN,))
                self.assertEqual(polled.percents, (0,))

    async def test_malformed_lists_have_an_unknown_outcome(self):
        rows = (
            {"running": [[]]},
            {"running": [["j.0.0.0", "first"]]},
            {"running": [["j.0.0.0", None, "", 0]]},
            {"running": [7]},
            {"ended": [[1, "j.0.0.0", 1]]},
            {"ended": [["x", "j.0.0.0", 1, "done", ""]]},
            {"ended": [[1, "j.0.0.0", {}, "done", ""]]},
        )
        contents = [{"clock_ms": 1} | each for each in rows]
        for content in ({}, {"clock_ms": "soon"}, [1], *contents):
            with self.subTest(content=content):
                self.worker.planned_replies["/hold"] = (200, content)
                polled = await self.poll()
                self.assertEqual(polled.outcome, Outcome.UNKNOWN)

    async def test_lists_with_numbers_out_of_range_have_an_unknown_outcome(
        self,
    ):
        order = effects.PollBackend(INCARNATION, "w:1", 7, 0, None, model.ZERO)
        for content in (
            b'{"clock_ms":1000000000000000000}',
            b'{"clock_ms":-1}',
            b'{"clock_ms":1,"born":1000000000000000000000000}',
            b'{"clock_ms":1,"running":[["j.0.0.0",99999999999999999999]]}',
            b'{"clock_ms":1,"ended":[[99999999999999999999,"j",1,"done"]]}',
            b'{"clock_ms":1,"ended":[[1,"j",99999999999999999999,"done"]]}',
        ):
            with self.subTest(content=content):
                polled = backends.decode_lists(order, content)
                self.assertEqual(polled.outcome, Outcome.UNKNOWN)

    async def test_clock_out_of_range_of_a_start_is_ignored(self):
        content = b'{"clock_ms":1000000000000000000,"reason":"fence"}'
        self.assertIsNone(backends.decode_clock(content))
        outcome = backends.decode_outcome(409, content)
        self.assertEqual(outcome, Outcome.FENCED)

    async def test_refused_connection_is_reported_as_not_sent(self):
        await self.server.close()
        started = await self.start()
        self.assertEqual(started.outcome, Outcome.NOT_SENT)
        self.assertFalse(await self.client.accepts_connections(self.address))

    async def test_stop_is_accepted(self):
        await self.start()
        order = effects.StopRun(INCARNATION, self.address, 7, RUN)
        stopped = await self.client.stop(order)
        self.assertEqual(stopped.outcome, Outcome.ACCEPTED)
