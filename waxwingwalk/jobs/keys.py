"""Idempotency keys, by which a resubmission joins an earlier run."""

import dataclasses
import datetime
import enum

from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state


class EarlierRun(enum.Enum):
    """What this process knows of an earlier submission with a key."""

    NONE = "none"
    JOINED = "joined"
    REUSED = "reused"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookup:
    """The result of a key lookup; only JOINED comes with a ``job_id``."""

    earlier: EarlierRun
    job_id: str = ""


def look_up(
    state: core_state.State, team: str, key: str, fingerprint: str
) -> KeyLookup:
    """Find the job that a key already belongs to.

    A job that ended without starting a task releases its key: the submission
    may then run as a new job.
    """
    used = state.used_keys.get((team, key))
    if used is None:
        return KeyLookup(EarlierRun.NONE)
    job = state.jobs.get(used.job_id)
    if used.fingerprint != fingerprint:
        return KeyLookup(EarlierRun.REUSED)
    if job is None:
        return KeyLookup(EarlierRun.EXPIRED)
    if job.answer is not None and _releases_key(job.answer.code):
        return KeyLookup(EarlierRun.NONE)
    return KeyLookup(EarlierRun.JOINED, used.job_id)


def _releases_key(code: results.ResultCode) -> bool:
    """Return whether a job that ended with this code releases its key.

    After EARLIER_ATTEMPT, where another process had claimed the key, each
    resubmission tries to claim it again.
    """
    if code is results.ResultCode.EARLIER_ATTEMPT:
        return True
    return code.family is results.Family.NOT_RUN


def remember(state: core_state.State, spec: model.JobSpec) -> None:
    """Record that a key belongs to a job from now on."""
    assert spec.key is not None
    state.used_keys[spec.team, spec.key] = core_state.UsedKey(
        spec.job_id, spec.fingerprint, spec.key_expires_at
    )


def forget_expired(state: core_state.State, now: datetime.datetime) -> None:
    """Drop keys that need not be remembered any longer.

    A claimed key is dropped with its job, as its claim in the table service
    outlives the job. An issued key is kept at least until it expires, as
    submissions that use it are refused from then on.
    """
    stale = [
        key
        for key, used in state.used_keys.items()
        if used.job_id not in state.jobs
        and (used.expires_at is None or used.expires_at < now)
    ]
    for key in stale:
        del state.used_keys[key]
