"""What a process believes of others after it was paused itself."""

import unittest

from tests.core import reducers
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import results

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

    def test_own_pause_makes_no_backend_server_suspect(self):
        """A task's reply waits in a socket when the process wakes."""
        self.harness.list_backends(reducers.backend())
        self.harness.submit()
        self.harness.clock.advance(reducers.seconds(20))
        done = self.harness.apply(events.Ticked())
        self.assertEqual([], self.suspicions(done))
        self.assertNotEqual([], self.suspicions(self.harness.advance(1)))

    def test_own_pause_loses_no_task(self):
        """The server's silence before the pause and after it is short."""
        self.harness.list_backends(reducers.backend())
        _, done = self.harness.submit(deadline=120)
        (sent,) = reducers.sent(done)
        for pause in (20, 0):
            self.harness.apply(
                events.TaskStatusRead(sent.job_id, 0, sent.attempt, None)
            )
            self.harness.clock.advance(reducers.seconds(pause))
            self.harness.apply(events.Ticked())
        done = self.harness.reply(sent)
        (answer,) = reducers.answers(done)
        self.assertEqual(results.ResultCode.COMPLETE, answer.code)

    def suspicions(self, done):
        """Return the status queries and the notices to peers."""
        return [
            each
            for each in done
            if isinstance(each, effects.ReadTaskStatus)
            or isinstance(
                getattr(each, "message", None), messages.BackendNotice
            )
        ]

    def test_silent_peer_is_declared_gone_after_a_pause(self):
        self.harness.advance(4)
        self.harness.clock.advance(reducers.seconds(20))
        self.harness.advance(6)
        self.assertFalse(self.is_peer_live())
