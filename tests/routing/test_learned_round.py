import unittest
from unittest import mock

from waxwingwalk.routing import placement

SERVICE = "refunds"
NEEDY_TASK = mock.Mock(resources={"memory": 1})


class LearnedRoundTests(unittest.TestCase):
    def build_round(self, count):
        """Build a round over servers of equal cost; return both."""
        servers = [mock.Mock(name=f"server-{n}") for n in range(count)]
        for server in servers:
            server.spec.fits.return_value = True
        policy = mock.Mock()
        policy.cost.return_value = 1.0
        policy.choice.side_effect = lambda request, first, second: first
        return placement._LearnedRound(policy, SERVICE, servers), servers

    def test_servers_of_equal_cost_can_be_placed_on_in_any_order(self):
        # Tasks with resource needs may go to servers that are not the first.
        learned, servers = self.build_round(4)
        request = mock.Mock(task=NEEDY_TASK)
        for server in (servers[2], servers[3], servers[1], servers[2]):
            learned.record_placement(server, is_idle=True)
            self.assertIn(learned.choose(request), servers)

    def test_server_without_free_slots_is_left_out(self):
        learned, servers = self.build_round(3)
        learned.record_placement(servers[1], is_idle=False)
        learned.record_placement(servers[2], is_idle=False)
        learned.record_placement(servers[0], is_idle=False)
        request = mock.Mock(task=NEEDY_TASK)
        self.assertIsNone(learned.choose(request))


if __name__ == "__main__":
    unittest.main()
