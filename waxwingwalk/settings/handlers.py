"""Handlers of settings events."""

import datetime

import pydantic
from returns import result

from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import state as core_state
from waxwingwalk.jobs import dispatch
from waxwingwalk.jobs import job as jobs
from waxwingwalk.membership import broadcast
from waxwingwalk.settings import adopted
from waxwingwalk.settings import tree

Effects = list[effects.Effect]


def handle_revision(
    state: core_state.State,
    event: events.SettingsRead,
    now: datetime.datetime,
) -> Effects:
    """Process a revision read from the store or from a peer."""
    done = adopt_document(state, event.document, now)
    if event.is_new and done:
        done += announce(state)
    return done


def adopt_document(
    state: core_state.State, document: str, now: datetime.datetime
) -> Effects:
    """Adopt a revision if it is valid and newer than the adopted one."""
    try:
        revision = adopted.Revision.model_validate_json(document)
    except pydantic.ValidationError as error:
        return [_rejected(str(error))]
    errors = tree.validate(revision.tree)
    if errors:
        return [_rejected("; ".join(str(each) for each in errors))]
    if not state.settings.adopt(revision):
        return []
    log = effects.Log(
        "settings.adopted",
        {
            "revision": revision.number,
            "author": revision.author,
            "reason": revision.reason,
        },
    )
    return [log, *_apply_options(state, now)]


def receive_notice(
    state: core_state.State,
    address: str,
    notice: messages.SettingsNotice,
    now: datetime.datetime,
) -> Effects:
    """Process the announcement of a revision by the peer that created it."""
    known = state.settings.revision
    if notice.revision <= state.settings.number:
        return []
    if known is None or notice.revision != known.number + 1:
        return [effects.FetchSettings(address)]
    try:
        revision = adopted.Revision.model_validate_json(notice.document)
    except pydantic.ValidationError as error:
        return [_rejected(str(error))]
    built = tree.apply_changes(known.tree, revision.changes)
    if not isinstance(built, result.Success):
        return [effects.FetchSettings(address)]
    complete_revision = revision.model_copy(update={"tree": built.unwrap()})
    return adopt_document(state, complete_revision.document(), now)


def _rejected(message: str) -> effects.Effect:
    return effects.Log("settings.rejected", {"error": message})


def _apply_options(state: core_state.State, now: datetime.datetime) -> Effects:
    options = state.settings.process()
    done: Effects = []
    if options.slot_sharing is not state.sharing_name:
        done += state.reset_slot_sharing(now)
    if options.outlier_detection is not state.detector_name:
        state.detector_name = options.outlier_detection
        state.detector = state.policies.outlier_detector(state.detector_name)
    _rebuild_queues(state)
    for service in list(state.queues):
        done += dispatch.dispatch(state, service, now)
    return done


def _rebuild_queues(state: core_state.State) -> None:
    """Queue the active jobs again, in the job order now in force."""
    state.queues.clear()
    for job in state.jobs.values():
        if job.phase is jobs.JobPhase.ACTIVE:
            state.queue(job.spec.service).add(job)


def announce(state: core_state.State) -> Effects:
    """Announce the adopted revision to every peer."""
    revision = state.settings.revision
    assert revision is not None
    notice = messages.SettingsNotice(
        revision.number, revision.document(has_tree=False)
    )
    return broadcast.broadcast_to_peers(state, notice)
