"""Membership: exchange of records, and ownership by hashing."""

import random
import unittest

from tests.core import reducers
from waxwingwalk.core import clock
from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.membership import members
from waxwingwalk.membership import ownership

NOW = clock.ManualClock().now()


def record(number, state="live", version=1, serial=1, zone="wales-1"):
    """Return a member's record."""
    return messages.MemberRecord(
        f"10.0.0.{number}:7003",
        f"{serial:018x}",
        zone,
        "wales",
        state,
        version,
    )


class RecordTests(unittest.TestCase):
    def setUp(self):
        self.membership = members.Membership(
            reducers.SELF, "wales-1", "wales", NOW
        )
        self.membership.learn(record(2, version=3), NOW)

    def state_of(self, number):
        """Return the known state of a member."""
        return self.membership.get(f"10.0.0.{number}:7003").record.state

    def test_only_newer_records_are_applied(self):
        cases = [
            (record(2, "gone", version=2), "live"),
            (record(2, "gone", version=3), "gone"),
            (record(2, "live", version=3), "gone"),
            (record(2, "live", version=4), "live"),
            (record(2, "leaving", version=4), "leaving"),
            (record(2, "live", version=4), "leaving"),
            (record(2, "live", version=1, serial=2), "live"),
            (record(2, "gone", version=9, serial=1), "live"),
        ]
        for update, expected in cases:
            with self.subTest(update=update):
                self.membership.learn(update, NOW)
                self.assertEqual(expected, self.state_of(2))

    def test_process_declared_gone_refutes_it(self):
        own = self.membership.own
        gone_record = messages.MemberRecord(
            own.address, own.incarnation, "wales-1", "wales", "gone", 5
        )
        self.membership.learn(gone_record, NOW)
        self.assertEqual(
            ("live", 6),
            (
                self.membership.own.state,
                self.membership.own.version,
            ),
        )

    def test_refused_connection_proves_only_its_incarnation_gone(self):
        address = "10.0.0.2:7003"
        self.assertFalse(self.membership.mark_gone(address, "other", NOW))
        self.assertEqual("live", self.state_of(2))
        old = identity.ProcessId(address, record(2).incarnation)
        self.assertFalse(self.membership.is_gone(old))
        self.membership.learn(record(2, serial=2), NOW)
        self.assertTrue(self.membership.is_gone(old))

    def test_each_change_is_sent_a_bounded_number_of_times(self):
        for number in range(3, 60):
            self.membership.learn(record(number), NOW)
        sizes = []
        while sent := self.membership.changes_to_send(full_state=False):
            sizes.append(len(sent))
        self.assertLessEqual(max(sizes), members.CHANGES_MAX)
        # Fewer than 60 members, RETRANSMIT_FACTOR, and a logarithm below 7.
        self.assertLess(sum(sizes), 60 * 3 * 7)


class OwnershipTests(unittest.TestCase):
    def setUp(self):
        self.specs = [
            reducers.backend(f"b{index}", zone=f"wales-{index % 4}")
            for index in range(80)
        ]

    def owners(self, numbers):
        """Return the owner of each backend server."""
        membership = members.Membership(reducers.SELF, "wales-0", "wales", NOW)
        for number in numbers:
            zone = f"wales-{number % 4}"
            membership.learn(record(number, zone=zone), NOW)
        return [ownership.owner_of(spec, membership) for spec in self.specs]

    def test_every_process_computes_the_same_owners(self):
        numbers = list(range(2, 12))
        expected = self.owners(numbers)
        for seed in range(5):
            random.Random(seed).shuffle(numbers)
            self.assertEqual(expected, self.owners(numbers))

    def test_loss_of_a_process_moves_only_what_it_owned(self):
        before = self.owners(range(2, 12))
        after = self.owners([n for n in range(2, 12) if n != 7])
        for old, new in zip(before, after, strict=True):
            if old != "10.0.0.7:7003":
                self.assertEqual(old, new)

    def test_zone_without_processes_is_owned_from_elsewhere(self):
        self.assertNotIn(None, self.owners([4]))
