"""The registry of backend servers, and what makes one leave it."""

import unittest

from tests.core import reducers
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.routing import backends

PEER = "10.0.0.2:7003"
LEAVING = model.BackendState.LEAVING


class LeavingTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()

    def state_of(self, name="b1"):
        """Return the state of a backend server."""
        return self.harness.state.registry.get(name).spec.state

    def test_older_list_does_not_bring_back_a_server_that_left(self):
        """It left, disappeared from the list, and an older list follows."""
        listed = reducers.backend("b1")
        self.harness.list_backends(listed, reducers.backend("b2"))
        self.harness.state.registry.mark_leaving("b1", "1")
        self.harness.list_backends(reducers.backend("b2"))
        self.harness.list_backends(listed, reducers.backend("b2"))
        self.assertIs(LEAVING, self.state_of())

    def test_older_list_does_not_bring_back_an_earlier_incarnation(self):
        earlier = reducers.backend("b1", state=LEAVING)
        self.harness.list_backends(earlier)
        self.harness.list_backends(reducers.backend("b1", incarnation="2"))
        self.assertIs(model.BackendState.LIVE, self.state_of())
        self.harness.list_backends(reducers.backend("b1"))
        self.assertIs(LEAVING, self.state_of())

    def test_server_that_was_not_listed_for_a_while_is_used_again(self):
        listed = reducers.backend("b1")
        for specs in ([listed], [], [listed]):
            self.harness.list_backends(*specs)
        self.assertIs(model.BackendState.LIVE, self.state_of())

    def test_notice_holds_for_a_server_that_is_listed_later(self):
        notice = messages.BackendNotice("b1", "1", LEAVING.value)
        self.harness.apply(events.PeerMessageReceived(PEER, "1", notice))
        self.harness.list_backends(reducers.backend("b1"))
        self.assertIs(LEAVING, self.state_of())

    def test_only_the_newest_leaving_servers_are_remembered(self):
        registry = self.harness.state.registry
        for number in range(backends.LEAVING_MAX + 1):
            registry.mark_leaving(f"b{number}", "1")
        newest = backends.LEAVING_MAX
        listed = [reducers.backend("b0"), reducers.backend(f"b{newest}")]
        self.harness.list_backends(*listed)
        self.assertIs(model.BackendState.LIVE, self.state_of("b0"))
        self.assertIs(LEAVING, self.state_of(f"b{newest}"))
