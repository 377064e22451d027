"""Keys that make a resubmission meet the run of an earlier one."""

import dataclasses
import datetime
import enum

from waxwingwalk.core import model
from waxwingwalk.core import results
from waxwingwalk.core import state as core_state


class EarlierRun(enum.Enum):
    """What this process remembers of a key."""

    NONE = "none"
    JOINED = "joined"
    REUSED = "reused"
    EXPIRED = "expired"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyLookup:
    """What a key leads to; ``job_id`` is set when it was JOINED."""

    earlier: EarlierRun
    job_id: str = ""


def look_up(
    state: core_state.State, team: str, key: str, fingerprint: str
) -> KeyLookup:
    """Find the job that a key already belongs to.

    A job that ended without starting a task does not hold its key: the
    submission may then run as a new job.
    """
    used = state.used_keys.get((team, key))
    if used is None:
        return KeyLookup(EarlierRun.NONE)
    job = state.jobs.get(used.job_id)
    if used.fingerprint != fingerprint:
        return KeyLookup(EarlierRun.REUSED)
    if job is None:
        return KeyLookup(EarlierRun.EXPIRED)
    if job.answer is not None and _is_key_free(job.answer.code):
        return KeyLookup(EarlierRun.NONE)
    return KeyLookup(EarlierRun.JOINED, used.job_id)


def _is_key_free(code: results.ResultCode) -> bool:
    """Whether a job that ended so leaves its key to another.

    A claim that was lost to another process is tried anew each time.
    """
    if code is results.ResultCode.EARLIER_ATTEMPT:
        return True
    return code.family is results.Family.NOT_RUN


def remember(state: core_state.State, spec: model.JobSpec) -> None:
    """Note that a key belongs to a job from now on."""
    assert spec.key is not None
    state.used_keys[spec.team, spec.key] = core_state.UsedKey(
        spec.job_id, spec.fingerprint, spec.key_expires_at
    )


def forget_expired(state: core_state.State, now: datetime.datetime) -> None:
    """Drop keys that no submission can use any more.

    An issued key is dropped after its expiry, when it is refused anyway. A
    claimed key is dropped with its job: its claim row outlives it.
    """
    stale = [
        key
        for key, used in state.used_keys.items()
        if used.job_id not in state.jobs
        and (used.expires_at is None or used.expires_at < now)
    ]
    for key in stale:
        del state.used_keys[key]
