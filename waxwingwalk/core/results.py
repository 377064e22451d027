"""Numbered result codes.

Every reply carries one. The thousands digit is the family, which defines what
a caller may rely on:

========  ===========================================================
1000      the answer is complete, or the request is in progress
2000      not run: no task of the submission was ever started
3000      failed: some task was started, and there is no complete answer
4000      unknown: an earlier attempt may have run
5000      operators' requests and access
========  ===========================================================

``docs/ref/result-codes.md`` documents the codes; a test checks that it agrees
with this module.
"""

import dataclasses
import enum


class Family(enum.IntEnum):
    """What a result code guarantees about the tasks of a submission."""

    OK = 1
    NOT_RUN = 2
    FAILED = 3
    UNKNOWN = 4
    OPERATOR = 5


class ResultCode(enum.IntEnum):
    """An outcome that is reported to a caller or an operator."""

    COMPLETE = 1000
    ACCEPTED = 1001
    RUNNING = 1002
    OK = 1003

    INVALID_REQUEST = 2001
    UNKNOWN_SERVICE = 2002
    TOO_MANY_TASKS = 2003
    PAYLOAD_TOO_LARGE = 2004
    BODY_TOO_LARGE = 2005
    QUEUE_FULL = 2006
    DEADLINE_UNREACHABLE = 2007
    NEVER_FITS = 2008
    DRAINING = 2009
    STORE_UNAVAILABLE = 2010
    KEY_INVALID = 2011
    KEYS_EXHAUSTED = 2012
    NOT_READY = 2013
    CANCELLED_UNSTARTED = 2014
    DEADLINE_UNSTARTED = 2015
    KEY_REUSED = 2016
    DRAIN_UNSTARTED = 2017
    NOT_SUPPORTED = 2018
    JOB_NOT_STORED = 2019

    TASK_FAILED = 3001
    CANCELLED = 3002
    DEADLINE_EXCEEDED = 3003
    TASK_LOST = 3004
    DRAIN_ENDED = 3005

    COORDINATOR_LOST = 4001
    EARLIER_ATTEMPT = 4002
    KEY_INCARNATION_GONE = 4003
    ANSWER_EXPIRED = 4004
    KEY_EXPIRED = 4005
    FORWARD_LOST = 4006
    COORDINATOR_UNREACHABLE = 4007
    NO_SUCH_JOB = 4008

    UNAUTHORIZED = 5001
    SETTINGS_INVALID = 5002
    SETTINGS_CONFLICT = 5003
    SETTINGS_STORE_UNAVAILABLE = 5004
    SETTINGS_UNSETTLED = 5005
    NOT_FOUND = 5006

    @property
    def family(self) -> Family:
        """The family of the code."""
        return Family(self // 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class CodeInfo:
    """The HTTP status and the explanation of a result code."""

    http_status: int
    meaning: str


CODES: dict[ResultCode, CodeInfo] = {
    ResultCode.COMPLETE: CodeInfo(200, "Every task is done."),
    ResultCode.ACCEPTED: CodeInfo(202, "The job was accepted."),
    ResultCode.RUNNING: CodeInfo(202, "The job has not ended yet."),
    ResultCode.OK: CodeInfo(200, "The request was carried out."),
    ResultCode.INVALID_REQUEST: CodeInfo(400, "The request is malformed."),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(
        404, "No backend server offers the service."
    ),
    ResultCode.TOO_MANY_TASKS: CodeInfo(413, "The job has too many tasks."),
    ResultCode.PAYLOAD_TOO_LARGE: CodeInfo(
        413, "The payload of a task is too large."
    ),
    ResultCode.BODY_TOO_LARGE: CodeInfo(413, "The request is too large."),
    ResultCode.QUEUE_FULL: CodeInfo(
        503, "The entry process holds as many tasks as it may."
    ),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        503, "The job cannot be finished by its deadline."
    ),
    ResultCode.NEVER_FITS: CodeInfo(
        422, "No known backend server is large enough for a task of the job."
    ),
    ResultCode.DRAINING: CodeInfo(503, "The entry process is shutting down."),
    ResultCode.STORE_UNAVAILABLE: CodeInfo(
        503, "The key could not be claimed: the table service is down."
    ),
    ResultCode.KEY_INVALID: CodeInfo(403, "The key was not issued here."),
    ResultCode.KEYS_EXHAUSTED: CodeInfo(
        503, "As many issued keys are remembered as there may be."
    ),
    ResultCode.NOT_READY: CodeInfo(
        503, "The entry process has no settings yet."
    ),
    ResultCode.CANCELLED_UNSTARTED: CodeInfo(
        409, "The job was cancelled before any task started."
    ),
    ResultCode.DEADLINE_UNSTARTED: CodeInfo(
        504, "The deadline passed before any task started."
    ),
    ResultCode.KEY_REUSED: CodeInfo(
        409, "The key belongs to a job with other contents."
    ),
    ResultCode.DRAIN_UNSTARTED: CodeInfo(
        503, "The entry process stopped before any task started."
    ),
    ResultCode.NOT_SUPPORTED: CodeInfo(
        503, "The job asks for something that is not served here."
    ),
    ResultCode.JOB_NOT_STORED: CodeInfo(
        410, "No job of that id is stored: its answer went to its caller."
    ),
    ResultCode.TASK_FAILED: CodeInfo(502, "A task ran and failed."),
    ResultCode.CANCELLED: CodeInfo(
        409, "The job was cancelled after a task had started."
    ),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo(
        504, "The deadline passed after a task had started."
    ),
    ResultCode.TASK_LOST: CodeInfo(
        502, "A task was sent and its outcome is not known."
    ),
    ResultCode.DRAIN_ENDED: CodeInfo(
        503, "The entry process stopped before the job ended."
    ),
    ResultCode.COORDINATOR_LOST: CodeInfo(
        502, "The process that ran the job is gone; the job may have run."
    ),
    ResultCode.EARLIER_ATTEMPT: CodeInfo(
        409, "An earlier attempt with this key may have run."
    ),
    ResultCode.KEY_INCARNATION_GONE: CodeInfo(
        410, "The issuer of the key is gone; an earlier attempt may have run."
    ),
    ResultCode.ANSWER_EXPIRED: CodeInfo(
        410, "The job ended and its answer is no longer kept."
    ),
    ResultCode.KEY_EXPIRED: CodeInfo(
        410, "The issued key has expired; an earlier attempt may have run."
    ),
    ResultCode.FORWARD_LOST: CodeInfo(
        502, "The forwarded request got no reply; it may have run."
    ),
    ResultCode.COORDINATOR_UNREACHABLE: CodeInfo(
        503, "The process that holds the job cannot be reached now."
    ),
    ResultCode.NO_SUCH_JOB: CodeInfo(404, "No such job is known."),
    ResultCode.UNAUTHORIZED: CodeInfo(401, "The token is missing or wrong."),
    ResultCode.SETTINGS_INVALID: CodeInfo(422, "The settings are not valid."),
    ResultCode.SETTINGS_CONFLICT: CodeInfo(
        409, "Another operator changed the same setting."
    ),
    ResultCode.SETTINGS_STORE_UNAVAILABLE: CodeInfo(
        503, "The change was not accepted: the table service is down."
    ),
    ResultCode.SETTINGS_UNSETTLED: CodeInfo(
        503, "Whether the change was accepted could not be settled."
    ),
    ResultCode.NOT_FOUND: CodeInfo(404, "There is no such thing."),
}


def code_for_ending(
    started: int, *, unstarted: ResultCode, otherwise: ResultCode
) -> ResultCode:
    """Return the code of a job that ends without a complete answer.

    Only this function decides whether a job may be reported as not run.
    ``started`` counts the tasks that were sent, without those proven not to
    have started; ``unstarted`` is returned only if there is none.
    """
    if started == 0:
        return unstarted
    return otherwise
