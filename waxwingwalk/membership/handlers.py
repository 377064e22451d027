"""Handlers of membership events."""

import datetime

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.routing import health
from waxwingwalk.settings import handlers as settings_handlers

Effects = list[effects.Effect]
SLOT_MESSAGES = (
    messages.SlotRequest,
    messages.SlotGrant,
    messages.SlotReturn,
    messages.SlotRecall,
    messages.SlotReport,
)


def update_expected_peers(
    state: core_state.State,
    event: events.PeersListed,
    now: datetime.datetime,
) -> Effects:
    """Record the addresses at which entry processes are expected."""
    state.membership.set_expected(event.addresses)
    return []


def update_backends(
    state: core_state.State,
    event: events.BackendsListed,
    now: datetime.datetime,
) -> Effects:
    """Process the platform's list of backend servers."""
    if not state.registry.replace(event.backends):
        return []
    done = state.sharing.topology_changed(now)
    return done + dispatch.dispatch_changed(state, now)


def handle_link_opened(
    state: core_state.State,
    event: events.PeerLinkOpened,
    now: datetime.datetime,
) -> Effects:
    """Handle a new link, which shows that the peer is running."""
    member = state.membership.get(event.address)
    done: Effects = []
    if member is not None:
        if member.record.incarnation != event.incarnation:
            old = member.record.incarnation
            state.membership.mark_gone(event.address, old, now)
            done += _update_topology_if_changed(state, now)
        state.membership.record_contact(event.address, event.incarnation, now)
    done += state.sharing.peer_connected(event.address, now)
    return done


def handle_link_closed(
    state: core_state.State,
    event: events.PeerLinkClosed,
    now: datetime.datetime,
) -> Effects:
    """Handle a lost link.

    A refused connection proves that the peer is gone.
    """
    member = state.membership.get(event.address)
    if member is None or not event.refused:
        return []
    incarnation = event.incarnation or member.record.incarnation
    return _declare_gone(state, event.address, incarnation, now)


def _declare_gone(
    state: core_state.State,
    address: str,
    incarnation: str,
    now: datetime.datetime,
) -> Effects:
    if not state.membership.mark_gone(address, incarnation, now):
        return []
    state.counters.members_gone += 1
    log = effects.Log("member.gone", {"address": address})
    return [log, *_update_topology_if_changed(state, now)]


def _update_topology_if_changed(
    state: core_state.State, now: datetime.datetime
) -> Effects:
    if state.membership.version == state.handled_membership_version:
        return []
    state.handled_membership_version = state.membership.version
    done = state.sharing.topology_changed(now)
    return done + dispatch.dispatch_changed(state, now)


def handle_message(
    state: core_state.State,
    event: events.PeerMessageReceived,
    now: datetime.datetime,
) -> Effects:
    """Process a message from a peer."""
    state.membership.record_contact(event.address, event.incarnation, now)
    message = event.message
    match message:
        case messages.Probe():
            return _handle_probe(state, event.address, message, now)
        case messages.BackendNotice():
            return health.receive_notice(state, message, now)
        case messages.SettingsNotice():
            return settings_handlers.receive_notice(
                state, event.address, message, now
            )
    if not _is_from_member(state, event):
        return []
    done = state.sharing.receive(event.address, message, now)
    return done + dispatch.dispatch_changed(state, now)


def _is_from_member(
    state: core_state.State, event: events.PeerMessageReceived
) -> bool:
    """Return whether a message is from the present incarnation of a member.

    Slot messages from an incarnation that was declared gone are ignored.
    """
    member = state.membership.get(event.address)
    return (
        member is not None
        and member.is_present
        and member.record.incarnation == event.incarnation
    )


def _handle_probe(
    state: core_state.State,
    address: str,
    message: messages.Probe,
    now: datetime.datetime,
) -> Effects:
    membership = state.membership
    known = membership.get(address)
    is_new = known is None or not (
        known.is_present
        and known.record.incarnation == message.sender.incarnation
    )
    membership.learn(message.sender, now, is_direct=True)
    membership.record_contact(address, message.sender.incarnation, now)
    learned = [
        record.address
        for record in message.changes
        if membership.learn(record, now)
    ]
    done = state.sharing.receive(address, message, now)
    if message.revision > state.settings.number:
        done.append(effects.FetchSettings(address))
    if not message.is_reply:
        reply = _probe(state, is_reply=True, full_state=is_new)
        _add_record_if_declared_gone(state, address, reply)
        done.append(effects.SendToPeer(address, reply))
    elif is_new:
        done += _probe_learned_members(state, learned)
    if is_new:
        done += health.leaving_notices(state, address)
    return done + _update_topology_if_changed(state, now)


def _add_record_if_declared_gone(
    state: core_state.State, address: str, reply: messages.Probe
) -> None:
    """Add the record of a sender that was declared gone to the reply.

    The sender learns of it in this way, and can refute it.
    """
    member = state.membership.get(address)
    if member is not None and not member.is_present:
        reply.changes.append(member.record)


def _probe_learned_members(
    state: core_state.State, addresses: list[str]
) -> Effects:
    """Probe members that this process has learned of from a new peer."""
    own = state.process.address
    done: Effects = []
    for address in addresses:
        if address != own:
            probe = _probe(state, is_reply=False, full_state=False)
            done.append(effects.SendToPeer(address, probe))
    return done


def _probe(
    state: core_state.State, *, is_reply: bool, full_state: bool
) -> messages.Probe:
    return messages.Probe(
        sender=state.membership.own,
        changes=state.membership.changes_to_send(full_state=full_state),
        revision=state.settings.number,
        free=state.sharing.free_hints(),
        is_reply=is_reply,
        running=state.sharing.advertised_load(),
    )


def tick(state: core_state.State, now: datetime.datetime) -> Effects:
    """Declare unresponsive peers gone; probe the addresses that are due."""
    options = state.settings.process()
    done: Effects = []
    for member in state.membership.unresponsive(options.peer_timeout, now):
        record = member.record
        done += _declare_gone(state, record.address, record.incarnation, now)
    if now - state.probed_at < options.probe_interval:
        return done
    state.probed_at = now
    state.membership.forget_gone(now)
    for address in state.membership.next_to_probe(options.probe_interval, now):
        probe = _probe(state, is_reply=False, full_state=False)
        done.append(effects.SendToPeer(address, probe))
    return done


def leave(state: core_state.State, now: datetime.datetime) -> Effects:
    """Announce to the peers that this process is shutting down.

    The probes are marked as replies, so that the peers do not answer them.
    """
    state.membership.leave()
    done = _update_topology_if_changed(state, now)
    for member in state.membership.peers():
        probe = _probe(state, is_reply=True, full_state=False)
        done.append(effects.SendToPeer(member.record.address, probe))
    return done
