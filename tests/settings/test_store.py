"""Settings revisions: total order, concurrent changes, lost replies."""

import datetime
import itertools
import unittest

from returns import result

from tests.store import fakes
from waxwingwalk.core import results
from waxwingwalk.settings import store
from waxwingwalk.testing import platform

Code = results.ResultCode
Fault = platform.PlatformFault
NOW = datetime.datetime(2026, 3, 1, tzinfo=datetime.UTC)


class SettingsStoreTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = fakes.FakeTable()
        serials = itertools.count()
        self.store = store.SettingsStore(
            self.table, lambda: NOW, lambda: f"change-{next(serials)}"
        )

    async def change(self, path, value, based_on=None):
        """Change one setting."""
        return await self.store.change(
            {path: value}, author="ann", reason="test", based_on=based_on
        )

    async def test_each_change_is_the_next_revision(self):
        for number in (1, 2, 3):
            changed = await self.change("defaults.job_max_tasks", number)
            self.assertEqual(number, changed.unwrap().number)
        history = (await self.store.history(2)).unwrap()
        self.assertEqual([3, 2], [each.number for each in history])
        self.assertEqual("ann", history[0].author)

    async def test_racing_changes_of_different_paths_both_succeed(self):
        async def race():
            await self.change("teams.pubs.quota", 9)

        self.table.before_write = race
        changed = await self.change("teams.shops.quota", 4, based_on=0)
        tree = changed.unwrap().tree
        self.assertEqual(2, changed.unwrap().number)
        self.assertEqual(9, tree["teams"]["pubs"]["quota"])
        self.assertEqual(4, tree["teams"]["shops"]["quota"])

    async def test_racing_change_of_the_same_path_is_refused_with_a_diff(self):
        async def race():
            await self.change("teams.shops.quota", 9)

        self.table.before_write = race
        refusal = (
            await self.change("teams.shops.quota", 4, based_on=0)
        ).failure()
        self.assertEqual(Code.SETTINGS_CONFLICT, refusal.code)
        self.assertIn("is 9 at revision 1", refusal.errors[0].message)

    async def test_lost_replies_are_resolved_by_the_change_id(self):
        cases = [
            (Fault.LOSE_REPLY, None),
            (Fault.LOSE_REQUEST, Code.SETTINGS_UNSETTLED),
            (Fault.DOWN, Code.SETTINGS_STORE_UNAVAILABLE),
        ]
        for fault, code in cases:
            with self.subTest(fault=fault.value):
                self.table.faults = [fault]
                before = (await self.store.head()).unwrap().number
                changed = await self.change("teams.pubs.quota", 5)
                after = (await self.store.head()).unwrap().number
                if code is None:
                    self.assertEqual(before + 1, changed.unwrap().number)
                    self.assertEqual(before + 1, after)
                else:
                    self.assertEqual(code, changed.failure().code)
                    self.assertEqual(before, after)

    async def test_invalid_change_leaves_the_tree_unchanged(self):
        refusal = (await self.change("defaults.job_max_tasks", -1)).failure()
        self.assertEqual(Code.SETTINGS_INVALID, refusal.code)
        self.assertEqual({}, self.table.rows)

    async def test_roll_back_is_a_new_revision(self):
        await self.change("teams.pubs.quota", 5)
        await self.change("teams.pubs.quota", 6)
        rolled = await self.store.roll_back(1, author="bob", reason="")
        self.assertEqual(3, rolled.unwrap().number)
        self.assertEqual(5, rolled.unwrap().tree["teams"]["pubs"]["quota"])

    async def test_roll_back_to_an_unknown_revision(self):
        rolled = await self.store.roll_back(7, author="bob", reason="")
        self.assertIsInstance(rolled, result.Failure)
        self.assertEqual(Code.NOT_FOUND, rolled.failure().code)
