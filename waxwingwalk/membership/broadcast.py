"""Sends messages to all peers."""

from waxwingwalk.core import effects
from waxwingwalk.core import messages
from waxwingwalk.core import state as core_state


def broadcast_to_peers(
    state: core_state.State, message: messages.Message
) -> list[effects.Effect]:
    """Send a message to every other member that is not gone."""
    return [
        effects.SendToPeer(member.record.address, message)
        for member in state.membership.peers()
    ]
