"""The reducer: applies an event to the state and returns effects as data.

::

    reducer = Reducer(state)
    effects = reducer.apply(events.Ticked(), clock.now())

It calls the handler for the type of the event, defined in the module that
owns the state concerned. The caller carries out the effects in order.
"""

from collections.abc import Callable
import datetime
from typing import Any

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import lifecycle
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import ending
from waxwingwalk.jobs import handlers as job_handlers
from waxwingwalk.jobs import intake
from waxwingwalk.membership import handlers as membership_handlers
from waxwingwalk.settings import handlers as settings_handlers

Effects = list[effects.Effect]
Handler = Callable[[core_state.State, Any, datetime.datetime], Effects]

HANDLERS: dict[type, Handler] = {
    events.JobSubmitted: intake.submit,
    events.ClaimSettled: intake.settle_claim,
    events.JobCancelled: ending.cancel,
    events.TaskReplied: job_handlers.handle_reply,
    events.TaskStatusRead: job_handlers.handle_status,
    events.BackendsListed: membership_handlers.update_backends,
    events.PeersListed: membership_handlers.update_expected_peers,
    events.PeerLinkOpened: membership_handlers.handle_link_opened,
    events.PeerLinkClosed: membership_handlers.handle_link_closed,
    events.PeerMessageReceived: membership_handlers.handle_message,
    events.SettingsRead: settings_handlers.handle_revision,
    events.Ticked: lifecycle.tick,
    events.DrainRequested: lifecycle.start_drain,
    events.DrainForced: lifecycle.force_drain,
}


class Reducer:
    """Applies events to the state of one entry process."""

    def __init__(self, state: core_state.State) -> None:
        self._state = state

    @property
    def state(self) -> core_state.State:
        """The state; callers must not change it."""
        return self._state

    def apply(self, event: events.Event, now: datetime.datetime) -> Effects:
        """Apply an event; return the effects to carry out."""
        return HANDLERS[type(event)](self._state, event, now)
