"""What a process believes of others after it was paused itself."""

import unittest

from tests.core import reducers
from waxwingwalk.core import events
from waxwingwalk.core import messages

PEER = "10.0.0.2:7003"
PEER_INCARNATION = "0000000000bb000001"
PEER_RECORD = messages.MemberRecord(
    PEER, PEER_INCARNATION, "wales-1", "wales", "live", 1
)


class PauseTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        self.receive_probe(is_reply=False)

    def receive_probe(self, *, is_reply):
        """Process a probe of the peer, or its reply to one."""
        probe = messages.Probe(PEER_RECORD, [], 1, {}, is_reply=is_reply)
        return self.harness.apply(
            events.PeerMessageReceived(PEER, PEER_INCARNATION, probe)
        )

    def is_peer_live(self):
        """Return whether the peer counts as live."""
        return PEER in self.harness.state.membership.live_addresses()

    def test_own_pause_declares_no_peer_gone(self):
        """The peer's answer waits in a socket when the process wakes."""
        done = self.harness.advance(4)
        self.assertTrue(reducers.messages_to(done, PEER))
        self.harness.clock.advance(reducers.seconds(20))
        self.harness.apply(events.Ticked())
        self.assertTrue(self.is_peer_live())
        self.receive_probe(is_reply=True)
        self.harness.advance(2)
        self.assertTrue(self.is_peer_live())

    def test_silent_peer_is_declared_gone_after_a_pause(self):
        self.harness.advance(4)
        self.harness.clock.advance(reducers.seconds(20))
        self.harness.advance(6)
        self.assertFalse(self.is_peer_live())
