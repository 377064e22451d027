"""Entry processes that restart at their address."""

import unittest

from tests.core import reducers
from tests.membership import test_members
from waxwingwalk.core import identity
from waxwingwalk.membership import members

KNOWN = test_members.record(2, serial=2)


def process(serial):
    """Return the process of an incarnation at the known address."""
    record = test_members.record(2, serial=serial)
    return identity.ProcessId(record.address, record.incarnation)


class RestartedProcessTests(unittest.TestCase):
    def setUp(self):
        self.membership = members.Membership(
            reducers.SELF, "wales-1", "wales", test_members.NOW
        )
        self.membership.learn(KNOWN, test_members.NOW)

    def test_incarnation_that_is_not_known_yet_is_not_gone(self):
        """A caller names it before gossip has told of the restart."""
        self.assertFalse(self.membership.is_gone(process(serial=3)))

    def test_newer_incarnation_of_a_gone_process_is_not_gone(self):
        self.membership.mark_gone(
            KNOWN.address, KNOWN.incarnation, test_members.NOW
        )
        self.assertFalse(self.membership.is_gone(process(serial=3)))
        self.assertTrue(self.membership.is_gone(process(serial=2)))

    def test_older_incarnation_is_gone(self):
        self.assertTrue(self.membership.is_gone(process(serial=1)))
