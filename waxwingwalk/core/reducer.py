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
    events.TaskReplied: job_handlers.reply,
    events.TaskStatusRead: job_handlers.read_status,
    events.BackendsListed: membership_handlers.list_backends,
    events.PeersListed: membership_handlers.list_peers,
    events.PeerLinkOpened: membership_handlers.open_link,
    events.PeerLinkClosed: membership_handlers.close_link,
    events.PeerMessageReceived: membership_handlers.receive,
    events.SettingsRead: settings_handlers.read,
    events.Ticked: lifecycle.tick,
    events.DrainRequested: lifecycle.drain,
    events.DrainForced: lifecycle.force,
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
