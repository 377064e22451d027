import asyncio
import datetime
import unittest
from unittest import mock

from returns import result

from waxwingwalk.store import follower
from waxwingwalk.store import rows as store_rows

Failure = store_rows.StoreFailure


def rows(version, **values):
    """Return a reply with rows by key; a value of None removes the row."""
    found = tuple(
        store_rows.StoredRow(key, version, value)
        for key, value in values.items()
    )
    return result.Success(store_rows.Rows(found, version))


class ScriptedStore:
    """Returns planned answers, then blocks."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.is_exhausted = asyncio.Event()

    async def _next(self, *call):
        self.calls.append(call)
        if not self.answers:
            self.is_exhausted.set()
            await asyncio.Event().wait()
        return self.answers.pop(0)

    async def read(self, table):
        """Read a whole table."""
        return await self._next("read")

    async def changes(self, table, after, wait):
        """Return what changed."""
        return await self._next("changes", after)


class FollowerTests(unittest.IsolatedAsyncioTestCase):
    async def follow(self, *answers, **options):
        """Follow until the answers are used up.

        Return the calls, the reported tables and the logged events.
        """
        store = ScriptedStore(*answers)
        tables = []
        log = mock.Mock()
        following = follower.TableFollower(
            store,
            "t",
            lambda found: tables.append(
                {key: row.value for key, row in found.items()}
            ),
            log,
            **options,
        )
        with mock.patch.object(follower, "RETRY_DELAY", datetime.timedelta()):
            task = asyncio.create_task(following.run())
            await store.is_exhausted.wait()
            task.cancel()
        logged = [call.args[0] for call in log.info.call_args_list]
        return store.calls, tables, logged

    async def test_table_is_read_once_then_followed(self):
        calls, tables, _ = await self.follow(
            rows(3, a=b"1", b=b"2"), rows(5, a=None, c=b"3"), rows(9)
        )
        self.assertEqual(
            calls,
            [("read",), ("changes", 3), ("changes", 5), ("changes", 9)],
        )
        self.assertEqual(
            tables, [{"a": b"1", "b": b"2"}, {"b": b"2", "c": b"3"}]
        )

    async def test_failed_handling_of_rows_does_not_end_the_loop(self):
        store = ScriptedStore(rows(3, a=b"1"), rows(4, a=b"2"))
        reported = mock.Mock(side_effect=[OverflowError("too large"), None])
        log = mock.Mock()
        following = follower.TableFollower(store, "t", reported, log)
        task = asyncio.create_task(following.run())
        async with asyncio.timeout(1):
            await store.is_exhausted.wait()
        task.cancel()
        self.assertEqual(reported.call_count, 2)
        self.assertEqual(log.error.call_args.args, ("internal.error",))

    async def test_gap_in_the_history_causes_a_full_read(self):
        gone = result.Failure(Failure.HISTORY_GONE)
        calls, tables, logged = await self.follow(
            rows(3, a=b"1"), gone, rows(8, b=b"2")
        )
        self.assertEqual(
            calls, [("read",), ("changes", 3), ("read",), ("changes", 8)]
        )
        self.assertEqual(tables[-1], {"b": b"2"})
        self.assertEqual(logged, ["store.history_gone"])

    async def test_outage_is_logged_once_and_the_feed_resumes(self):
        down = result.Failure(Failure.REFUSED)
        calls, tables, logged = await self.follow(
            rows(3, a=b"1"), down, down, rows(4, a=b"2")
        )
        self.assertEqual([call[-1] for call in calls[1:4]], [3, 3, 3])
        self.assertEqual(tables[-1], {"a": b"2"})
        self.assertEqual(logged, ["store.lost", "store.regained"])

    async def test_version_never_goes_back(self):
        calls, _, _ = await self.follow(rows(7), rows(4, a=b"1"))
        self.assertEqual(calls[-1], ("changes", 7))

    async def test_shorter_interval_ends_the_wait(self):
        delay = follower.INTERVAL_CHECK_DELAY
        intervals = iter([delay * 100, delay * 100, delay])
        slept = []

        async def sleep(seconds):
            slept.append(seconds)

        with mock.patch.object(follower.asyncio, "sleep", sleep):
            calls, _, _ = await self.follow(
                rows(3), interval=lambda: next(intervals)
            )
        self.assertEqual(slept, [delay.total_seconds()] * 2)
        self.assertEqual(calls, [("read",), ("changes", 3)])
