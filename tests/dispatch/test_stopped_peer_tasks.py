"""Peers that stop the tasks they have offered."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import messages


class StoppedPeerTaskTests(reducer_case.ReducerTestCase):
    def test_peer_stops_no_run_of_this_hosts_own_job(self):
        """The caller left the peer, and repeated its job at this host."""
        self.schedule_here()
        run = self.start_job()
        done = self.receive(
            messages.StopTask("j", 0, 0, run.run), 5, reducer_case.INBOUND
        )
        self.assertEqual(builders.of_type(done, effects.StopRun), [])
