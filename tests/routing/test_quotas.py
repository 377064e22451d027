"""Team quotas: the shares of all processes add up to the quota."""

import unittest

import hypothesis
from hypothesis import strategies

from waxwingwalk.routing import quotas

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


class QuotaTests(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(
        quota=strategies.integers(1, 500),
        count=strategies.integers(1, 120),
        team=strategies.text(min_size=1, max_size=8),
    )
    def test_shares_add_up_and_the_home_has_one(self, quota, count, team):
        members = [f"10.0.0.{number}:7003" for number in range(count)]
        shares = {
            member: quotas.divide(team, quota, members, member)
            for member in members
        }
        task_counts = [share.tasks for share in shares.values()]
        self.assertEqual(quota, sum(task_counts))
        self.assertLessEqual(max(task_counts) - min(task_counts), 1)
        (home,) = {share.home for share in shares.values()}
        self.assertGreater(shares[home].tasks, 0)

    def test_process_that_left_has_no_share(self):
        share = quotas.divide("pubs", 10, ["10.0.0.1:7003"], "10.0.0.2:7003")
        self.assertEqual(quotas.QuotaShare(0, "10.0.0.1:7003"), share)
