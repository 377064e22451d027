"""Every setting of the tree, with its default.

Durations are written with a unit (``250 ms``, ``2 s``, ``5 min``), sizes too
(``64 KiB``). A level of the tree states only what differs from the level
above it.
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
    """Return a duration of so many seconds."""
    return datetime.timedelta(seconds=value)


class JobOrderName(enum.StrEnum):
    """Which of a team's jobs goes first."""

    FIFO = "fifo"
    DEADLINE = "deadline"
    SHORTEST_REMAINING = "shortest-remaining"


class PlacementName(enum.StrEnum):
    """Which backend server with an idle slot takes a task."""

    LEARNED = "learned"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_OUTSTANDING = "least-outstanding"


class SlotSharingName(enum.StrEnum):
    """How entry processes divide the slots of backend servers."""

    OCCUPANCY = "occupancy"
    OWNER = "owner"
    EQUAL_SHARE = "equal-share"
    UNLIMITED = "unlimited"


class AdmissionName(enum.StrEnum):
    """Which jobs are refused before they are queued."""

    DEADLINE = "deadline"
    OPEN = "open"


class OutlierDetectionName(enum.StrEnum):
    """How backend servers that fail tasks are set aside."""

    LIKELIHOOD = "likelihood"
    OFF = "off"


class ServiceOptions(pydantic.BaseModel):
    """Settings that may differ from service to service."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    # The largest number of tasks in one job.
    job_max_tasks: int = pydantic.Field(570, ge=1, le=100_000)
    # The largest payload of one task.
    payload_max: pydantic.ByteSize = pydantic.Field(
        pydantic.ByteSize(64 * 1024), ge=1, le=16 * 2**20
    )
    # The most tasks that one entry process queues for the service.
    queue_max_tasks: int = pydantic.Field(20_000, ge=1, le=1_000_000)
    # The deadline of a job that names none.
    job_deadline: Duration = pydantic.Field(
        seconds(30), ge=seconds(0.1), le=seconds(3600)
    )
    # The longest that one task may take before its outcome counts as lost.
    task_timeout: Duration = pydantic.Field(
        seconds(30), ge=seconds(0.1), le=seconds(3600)
    )
    # How long a started task holds its lease before it must be renewed.
    task_lease: Duration = pydantic.Field(
        seconds(10), ge=seconds(0.5), le=seconds(600)
    )
    # How long an answer can be picked up after the job ended.
    answer_retention: Duration = pydantic.Field(
        seconds(60), ge=seconds(0), le=seconds(3600)
    )
    # Which of a team's jobs goes first.
    job_order: JobOrderName = JobOrderName.DEADLINE
    # Which backend server takes a task.
    placement: PlacementName = PlacementName.LEARNED
    # Which jobs are refused at submission.
    admission: AdmissionName = AdmissionName.DEADLINE


class ProcessOptions(pydantic.BaseModel):
    """Settings of an entry process as a whole."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    # How slots of backend servers are divided among entry processes.
    slot_sharing: SlotSharingName = SlotSharingName.OCCUPANCY
    # How backend servers that fail tasks are set aside.
    outlier_detection: OutlierDetectionName = OutlierDetectionName.LIKELIHOOD
    # How long an unused slot is kept before it goes back to its owner.
    slot_linger: Duration = pydantic.Field(
        seconds(0.5), ge=seconds(0), le=seconds(30)
    )
    # How often one peer is probed.
    probe_interval: Duration = pydantic.Field(
        seconds(3), ge=seconds(0.1), le=seconds(30)
    )
    # How long a peer may be silent before it counts as gone.
    peer_timeout: Duration = pydantic.Field(
        seconds(5), ge=seconds(0.5), le=seconds(120)
    )
    # The pause before a backend server that was set aside gets a task again.
    # It doubles with each relapse.
    set_aside_pause: Duration = pydantic.Field(
        seconds(30), ge=seconds(0.1), le=seconds(3600)
    )
    # A task without a reply is looked up after this many times its estimate.
    overdue_factor: float = pydantic.Field(4.0, ge=1.5, le=100)
    # An idle connection older than this is not used for another task.
    connection_freshness: Duration = pydantic.Field(
        seconds(1), ge=seconds(0.1), le=seconds(60)
    )
    # How often the platform's host list is read.
    host_list_interval: Duration = pydantic.Field(
        seconds(1), ge=seconds(0.1), le=seconds(60)
    )
    # How often the store is asked for a newer settings revision.
    settings_interval: Duration = pydantic.Field(
        seconds(10), ge=seconds(0.5), le=seconds(600)
    )
    # How long a shutdown waits for jobs in progress.
    drain_timeout: Duration = pydantic.Field(
        seconds(60), ge=seconds(0), le=seconds(3600)
    )
    # The largest request body.
    body_max: pydantic.ByteSize = pydantic.Field(
        pydantic.ByteSize(32 * 2**20), ge=1024, le=2**30
    )
    # How long an issued key can be used.
    issued_key_lifetime: Duration = pydantic.Field(
        seconds(600), ge=seconds(1), le=seconds(86_400)
    )
    # The most issued keys whose use one process remembers.
    issued_keys_max: int = pydantic.Field(100_000, ge=1, le=10_000_000)
    # The share of routing and placement decisions that is logged.
    decision_log_share: float = pydantic.Field(1.0, ge=0, le=1)


class TeamOptions(pydantic.BaseModel):
    """Settings of a team of callers."""

    model_config = pydantic.ConfigDict(frozen=True, extra="forbid")

    # The team's share of slots relative to other teams, when slots are short.
    weight: float = pydantic.Field(1.0, gt=0, le=1000)
    # The most tasks of the team that run at once; 0 means no bound.
    quota: int = pydantic.Field(0, ge=0, le=1_000_000)
