"""Entry processes that were paused, and what they take others for."""

import unittest

from tests.core import reducers
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import messages

PEER = identity.ProcessId("10.0.0.2:7003", "0000000000bb000001")


class WokenProcessTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        record = messages.MemberRecord(
            PEER.address, PEER.incarnation, "wales-1", "wales", "live", 1
        )
        self.harness.apply(
            events.PeerMessageReceived(
                PEER.address,
                PEER.incarnation,
                messages.Probe(record, [], 1, {}, True, {}),
            )
        )

    def probe_peer(self):
        """Advance the clock until the peer has been probed."""
        for _ in range(100):
            done = self.harness.advance(0.1, step=0.1)
            if reducers.messages_to(done, PEER.address):
                return
        self.fail("the peer was not probed")

    def test_woken_process_reads_replies_before_it_declares_peers_gone(self):
        """The peer has answered the probe; the reply is still unread."""
        self.probe_peer()
        self.harness.clock.advance(reducers.seconds(60))
        self.harness.apply(events.Ticked())
        self.assertFalse(self.harness.state.membership.is_gone(PEER))
