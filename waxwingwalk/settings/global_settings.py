"""All settings of the tree, with their defaults.

Durations are written with a unit (``250 ms``, ``2 s``, ``5 min``), as are
sizes (``64 KiB``). A level of the tree contains only the settings that differ
from the level above it.
"""

import datetime
import enum
from typing import Annotated
from typing import Any

import humanfriendly
import pydantic


def _parse_duration(value: Any) -> datetime.timedelta:
    if isinstance(value, datetime.timedelta):
        return value
    if not isinstance(value, str) or value.strip().isdigit():
        raise ValueError("a duration needs a unit, for example '250 ms'")
    try:
        seconds = humanfriendly.parse_timespan(value)
    except humanfriendly.InvalidTimespan as error:
        raise ValueError(str(error)) from error
    return datetime.timedelta(seconds=seconds)


Duration = Annotated[
    datetime.timedelta, pydantic.BeforeValidator(_parse_duration)
]


def seconds(value: float) -> datetime.timedelta:
    """Return a duration of ``value`` seconds."""
    return datetime.timedelta(seconds=value)


class JobOrderName(enum.StrEnum):
    """The order in which the jobs of a team are served."""

    FIFO = "fifo"
    DEADLINE = "deadline"
    SHORTEST_REMAINING = "shortest-remaining"


class PlacementName(enum.StrEnum):
    """How a backend server with an idle slot is chosen for a task."""

    LEARNED = "learned"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_OUTSTANDING = "least-outstanding"


class SlotSharingName(enum.StrEnum):
    """How the slots of backend servers are divided among entry processes."""

    OCCUPANCY = "occupancy"
    OWNER = "owner"
    EQUAL_SHARE = "equal-share"
    UNLIMITED = "unlimited"


class AdmissionName(enum.StrEnum):
    """Which jobs are refused instead of being queued."""

    DEADLINE = "deadline"
    OPEN = "open"


class OutlierDetectionName(enum.StrEnum):
    """How backend servers that fail tasks are detected and ejected."""

    LIKELIHOOD = "likelihood"
    OFF = "off"


class ServiceOptions(pydantic.BaseModel):
    """Settings that may differ from service to service."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    # The maximum number of tasks in one job.
    job_max_tasks: int = pydantic.Field(570, ge=1, le=100_000)
    # The maximum size of the payload of one task.
    payload_max: pydantic.ByteSize = pydantic.Field(
        pydantic.ByteSize(64 * 1024), ge=1, le=16 * 2**20
    )
    # The maximum number of the service's tasks that one entry process queues.
    queue_max_tasks: int = pydantic.Field(20_000, ge=1, le=1_000_000)
    # The deadline of a job that is submitted without one.
    job_deadline: Duration = pydantic.Field(
        seconds(30), ge=seconds(0.1), le=seconds(3600)
    )
    # How long a task may take, from being sent, before it is considered lost.
    task_timeout: Duration = pydantic.Field(
        seconds(30), ge=seconds(0.1), le=seconds(3600)
    )
    # The duration of the lease of a running task. The lease is renewed while
    # the task runs.
    task_lease: Duration = pydantic.Field(
        seconds(10), ge=seconds(0.5), le=seconds(600)
    )
    # How long an answer can be fetched after the job has ended.
    answer_retention: Duration = pydantic.Field(
        seconds(60), ge=seconds(0), le=seconds(3600)
    )
    # The order in which the jobs of a team are served.
    job_order: JobOrderName = JobOrderName.DEADLINE
    # How a backend server is chosen for a task.
    placement: PlacementName = PlacementName.LEARNED
    # Which jobs are refused at submission.
    admission: AdmissionName = AdmissionName.DEADLINE


class ProcessOptions(pydantic.BaseModel):
    """Settings of an entry process as a whole."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    # How the slots of backend servers are divided among entry processes.
    slot_sharing: SlotSharingName = SlotSharingName.OCCUPANCY
    # How backend servers that fail tasks are detected and ejected.
    outlier_detection: OutlierDetectionName = OutlierDetectionName.LIKELIHOOD
    # How long an unused slot is held before it is returned to its owner.
    slot_linger: Duration = pydantic.Field(
        seconds(0.5), ge=seconds(0), le=seconds(30)
    )
    # The interval between rounds of probes. A round probes one more peer, and
    # again each peer that has not answered.
    probe_interval: Duration = pydantic.Field(
        seconds(3), ge=seconds(0.1), le=seconds(30)
    )
    # How long a peer may leave probes unanswered before it is declared gone.
    peer_timeout: Duration = pydantic.Field(
        seconds(5), ge=seconds(0.5), le=seconds(120)
    )
    # How long a backend server stays ejected before it is sent a task again.
    # The time doubles with each relapse.
    set_aside_pause: Duration = pydantic.Field(
        seconds(30), ge=seconds(0.1), le=seconds(3600)
    )
    # The status of a task without a reply is queried after this multiple of
    # the estimated run time.
    overdue_factor: float = pydantic.Field(4.0, ge=1.5, le=100)
    # A connection that has been idle for longer than this is not used for
    # another task.
    connection_freshness: Duration = pydantic.Field(
        seconds(1), ge=seconds(0.1), le=seconds(60)
    )
    # The interval at which the platform's host list is read.
    host_list_interval: Duration = pydantic.Field(
        seconds(1), ge=seconds(0.1), le=seconds(60)
    )
    # The interval at which the store is checked for a newer settings revision.
    settings_interval: Duration = pydantic.Field(
        seconds(10), ge=seconds(0.5), le=seconds(600)
    )
    # How long a graceful shutdown waits for active jobs and open requests.
    drain_timeout: Duration = pydantic.Field(
        seconds(60), ge=seconds(0), le=seconds(3600)
    )
    # The maximum size of a request body.
    body_max: pydantic.ByteSize = pydantic.Field(
        pydantic.ByteSize(32 * 2**20), ge=1024, le=2**30
    )
    # How long an issued key is valid.
    issued_key_lifetime: Duration = pydantic.Field(
        seconds(600), ge=seconds(1), le=seconds(86_400)
    )
    # The maximum number of unexpired keys issued by one process, which has to
    # remember their use.
    issued_keys_max: int = pydantic.Field(100_000, ge=1, le=10_000_000)
    # The share of placement decisions that is logged.
    decision_log_share: float = pydantic.Field(1.0, ge=0, le=1)


class TeamOptions(pydantic.BaseModel):
    """Settings of a team of callers."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    # The team's share of slots relative to other teams, when slots are scarce.
    weight: float = pydantic.Field(1.0, gt=0, le=1000)
    # The maximum number of concurrently running tasks of the team; 0 means no
    # limit.
    quota: int = pydantic.Field(0, ge=0, le=1_000_000)
