"""A message to every peer."""

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.core import state as core_state


def tell_peers(
    state: core_state.State, message: messages.Message
) -> list[effects.Effect]:
    """Send a message to every other member that is present."""
    return [
        effects.SendToPeer(member.record.address, message)
        for member in state.membership.peers()
    ]
