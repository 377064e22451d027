"""Overdue tasks on a backend server that restarted under its id."""

import dataclasses
import unittest

from tests.core import reducers
from waxwingwalk.core import effects
from waxwingwalk.core import events

RESTARTED = dataclasses.replace(
    reducers.backend(incarnation="2"), address="b1:81"
)


class OverdueTaskTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        self.harness.list_backends(reducers.backend())
        _, done = self.harness.submit()
        (self.sent,) = reducers.sent(done)
        self.harness.list_backends(RESTARTED)

    def test_status_is_queried_where_the_task_was_sent(self):
        done = self.harness.advance(5)
        addresses = {
            each.address
            for each in done
            if isinstance(each, effects.ReadTaskStatus)
        }
        self.assertEqual(addresses, {self.sent.address})

    def test_lease_is_renewed_where_the_task_was_sent(self):
        done = self.harness.advance(20)
        addresses = {
            each.address
            for each in done
            if isinstance(each, effects.RenewLeases)
        }
        self.assertEqual(addresses, {self.sent.address})

    def test_task_is_stopped_where_it_was_sent(self):
        done = self.harness.apply(events.JobCancelled(self.sent.job_id))
        addresses = {
            each.address for each in done if isinstance(each, effects.StopTask)
        }
        self.assertEqual(addresses, {self.sent.address})

    def test_leases_at_both_addresses_are_renewed(self):
        _, done = self.harness.submit()
        (to_new,) = reducers.sent(done)
        done = self.harness.advance(20)
        renewed = {
            (each.address, job_id)
            for each in done
            if isinstance(each, effects.RenewLeases)
            for job_id, _ in each.tasks
        }
        self.assertEqual(
            renewed,
            {(each.address, each.job_id) for each in (self.sent, to_new)},
        )
