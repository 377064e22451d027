"""The state of an entry process."""

import collections
import dataclasses
import datetime
import random
from typing import Protocol

from waxwingwalk.core import effects
from waxwingwalk.core import identity
from waxwingwalk.core import model
from waxwingwalk.jobs import job as jobs
from waxwingwalk.jobs import queue as job_queue
from waxwingwalk.membership import members
from waxwingwalk.routing import backends
from waxwingwalk.routing import base
from waxwingwalk.routing import estimates
from waxwingwalk.routing import quotas
from waxwingwalk.settings import adopted
from waxwingwalk.settings import global_settings

TaskRef = tuple[str, int]
# Maximum size of the quota share cache; it is cleared beyond that.
QUOTA_SHARES_MAX = 2000


@dataclasses.dataclass(slots=True)
class Counters:
    """Counters of events; each field is exported as a metric."""

    tasks_sent: int = 0
    tasks_done: int = 0
    tasks_failed: int = 0
    tasks_lost: int = 0
    tasks_not_started: int = 0
    late_replies: int = 0
    foreign_replies: int = 0
    jobs_accepted: int = 0
    jobs_refused: int = 0
    jobs_complete: int = 0
    jobs_ended_otherwise: int = 0
    backends_set_aside: int = 0
    members_gone: int = 0
    wakes_after_pause: int = 0


@dataclasses.dataclass(slots=True)
class UsedKey:
    """The job that a key belongs to."""

    job_id: str
    fingerprint: str
    expires_at: datetime.datetime | None


class PolicyFactory(Protocol):
    """Creates the policies that the settings name."""

    def job_order(
        self, name: global_settings.JobOrderName
    ) -> base.JobOrder: ...

    def admission(
        self, name: global_settings.AdmissionName
    ) -> base.Admission: ...

    def placement(
        self, name: global_settings.PlacementName, state: "State"
    ) -> base.Placement: ...

    def slot_sharing(
        self, name: global_settings.SlotSharingName, state: "State"
    ) -> base.SlotSharing: ...

    def outlier_detector(
        self, name: global_settings.OutlierDetectionName
    ) -> base.OutlierDetector: ...


@dataclasses.dataclass(slots=True)
class Drain:
    """A graceful shutdown in progress."""

    deadline: datetime.datetime
    is_finished: bool = False


class State:
    """The state that all handlers share.

    Only the reducer's handlers change it. I/O code may only read it and
    request job ids.
    """

    def __init__(
        self,
        process: identity.ProcessId,
        place: adopted.Place,
        policies: PolicyFactory,
        now: datetime.datetime,
        generator: random.Random,
    ) -> None:
        self.process = process
        self.place = place
        self.policies = policies
        self.random = generator
        self.settings = adopted.AdoptedSettings(place)
        self.counters = Counters()
        self.membership = members.Membership(
            process, place.zone, place.region, now
        )
        self.registry = backends.BackendRegistry()
        self.estimator = estimates.RunTimeEstimator()
        self.jobs: dict[str, jobs.Job] = {}
        self.attempts: dict[TaskRef, jobs.Attempt] = {}
        self.queues: dict[str, job_queue.ServiceQueue] = {}
        self.deadlines: list[tuple[datetime.datetime, str]] = []
        self.ended: collections.deque[str] = collections.deque()
        self.used_keys: dict[tuple[str, str], UsedKey] = {}
        self.team_running: dict[str, int] = {}
        self.drain: Drain | None = None
        self.last_tick = now
        self.checked_at = now
        self.keys_swept_at = now
        self.probed_at = now - datetime.timedelta(days=1)
        self.handled_membership_version = 0
        self.serial = 0
        self._quota_shares: dict[tuple[int, int, str], quotas.QuotaShare] = {}
        self._placements: dict[
            global_settings.PlacementName, base.Placement
        ] = {}
        options = self.settings.process()
        self.sharing_name = options.slot_sharing
        self.sharing = policies.slot_sharing(self.sharing_name, self)
        self.detector_name = options.outlier_detection
        self.detector = policies.outlier_detector(self.detector_name)

    @property
    def active_jobs(self) -> int:
        """The number of jobs without an answer."""
        return len(self.jobs) - len(self.ended)

    def placement(self, service: str) -> base.Placement:
        """Return the placement policy of a service."""
        name = self.settings.service(service).placement
        if name not in self._placements:
            self._placements[name] = self.policies.placement(name, self)
        return self._placements[name]

    def queue(self, service: str) -> job_queue.ServiceQueue:
        """Return the queue of a service, creating it if necessary."""
        queue = self.queues.get(service)
        if queue is None:
            order = self.settings.service(service).job_order
            queue = job_queue.ServiceQueue(
                self.policies.job_order(order),
                weight=lambda team: self.settings.team(team).weight,
                may_start=self.is_below_quota,
            )
            self.queues[service] = queue
        return queue

    def is_below_quota(self, team: str) -> bool:
        """Return whether a team may start another task in this process.

        The jobs of this process may always run one task at a time, even if
        a membership change has left the process no share of the quota.
        """
        share = self.quota_share(team)
        if share is None:
            return True
        return self.team_running.get(team, 0) < max(1, share.tasks)

    def quota_share(self, team: str) -> quotas.QuotaShare | None:
        """Return this process's share of a team's quota.

        None means that there is no limit, because the team has no quota or no
        member is live.
        """
        quota = self.settings.team(team).quota
        members = self.membership.live_addresses()
        if quota == 0 or not members:
            return None
        key = (self.membership.version, quota, team)
        share = self._quota_shares.get(key)
        if share is None:
            if len(self._quota_shares) > QUOTA_SHARES_MAX:
                self._quota_shares.clear()
            share = quotas.divide(team, quota, members, self.process.address)
            self._quota_shares[key] = share
        return share

    def quota_home(self, team: str) -> identity.ProcessId | None:
        """Return the process that a team's jobs are forwarded to.

        None means that they may run in this process.
        """
        share = self.quota_share(team)
        if share is None or share.tasks > 0:
            return None
        member = self.membership.get(share.home)
        if member is None or share.home == self.process.address:
            return None
        return identity.ProcessId(share.home, member.record.incarnation)

    def reset_slot_sharing(
        self, now: datetime.datetime
    ) -> list[effects.Effect]:
        """Restart slot sharing with the policy that the settings name.

        Running tasks keep their slots, which are reported to the owners.
        """
        self.sharing_name = self.settings.process().slot_sharing
        self.sharing = self.policies.slot_sharing(self.sharing_name, self)
        for attempt in self.attempts.values():
            backend = self.registry.get(attempt.backend_id)
            if backend is not None:
                self.sharing.acquire(backend)
        return self.sharing.topology_changed(now)

    def next_job_id(self) -> str:
        """Return a new id for a job of this process."""
        self.serial += 1
        return str(identity.JobId(self.process, self.serial))

    def has_backend_for(self, task: model.TaskSpec, service: str) -> bool:
        """Return whether some known backend server could run the task."""
        return any(
            backend.spec.fits(task)
            for backend in self.registry.offering(service)
        )
