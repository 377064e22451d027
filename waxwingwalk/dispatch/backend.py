"""One life of a backend server, as the host that orders it knows it."""

import dataclasses
import datetime
import enum

from waxwingwalk.core import clock
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import speeds

# The lease that is asked for. The platform shortens what is above a second;
# the rest is left for the answer to travel.
LEASE = datetime.timedelta(milliseconds=950)
# The platform allows a backend server's clock to be this much slow.
CLOCK_DRIFT = 0.02
# A stop takes up to 50 ms at a backend server; as much again for the answer.
STOP_TIME = datetime.timedelta(milliseconds=100)
# A lease is not renewed while a stop has been unanswered for longer, so that
# the lapse ends what the stop could not.
UNANSWERED_STOP_LIMIT = datetime.timedelta(milliseconds=150)
# How slow a server is changes when a run ends, or grows overdue; the latter is
# looked at this often, which is short against the shortest tasks.
SLOWNESS_INTERVAL = datetime.timedelta(milliseconds=10)


class RunState(enum.Enum):
    """How far an order to run a task has come.

    ORDERED is sent and unanswered, DOUBTFUL may be there or may yet arrive,
    SETTLED will not start any more but may be running.
    """

    ORDERED = "ordered"
    RUNNING = "running"
    DOUBTFUL = "doubtful"
    SETTLED = "settled"


@dataclasses.dataclass(slots=True)
class TaskOrder:
    """A task that is to run once, as whoever asked for it describes it."""

    ref: model.TaskRef
    run: int
    queue: str
    service: str
    spec: str
    resources: model.Resources
    estimate: datetime.timedelta
    label: str | None
    max_per_backend: int | None
    owner: int | None

    @property
    def key(self) -> model.RunKey:
        """The run as backend servers name it."""
        return model.RunKey(self.ref.name, self.run)


@dataclasses.dataclass(slots=True)
class Run:
    """A run that occupies room until it is known to have ended."""

    order: TaskOrder
    ordered_at: datetime.datetime
    state: RunState = RunState.ORDERED
    accepted_at: datetime.datetime | None = None
    stop_wanted_at: datetime.datetime | None = None
    stop_sent_at: datetime.datetime | None = None
    is_stop_confirmed: bool = False
    # The first look at the lists that was taken after the run was settled.
    settled_by_poll: int | None = None
    is_reported: bool = False


class BackendState(enum.Enum):
    """What may be done with a backend server.

    UNVERIFIED has not been fenced off from its former scheduler, or still
    runs what that one started; SUSPECT has left an order unanswered; FENCED
    obeys another scheduler.
    """

    UNVERIFIED = "unproven"
    READY = "ready"
    SUSPECT = "suspect"
    FENCED = "fenced"


class Backend:
    """A backend server's life: its runs, its room, its lease, its clock."""

    def __init__(
        self, report: model.BackendReport, fence: int, now: datetime.datetime
    ) -> None:
        self.report = report
        self.fence = fence
        self.state = BackendState.UNVERIFIED
        self.runs: dict[model.RunKey, Run] = {}
        self.foreign: set[model.RunKey] = set()
        self.foreign_stops: dict[model.RunKey, datetime.datetime] = {}
        self.used = model.Resources()
        self._free = report.capacity
        self.acknowledged = 0
        self.acknowledge_at: datetime.datetime | None = None
        self.is_polling = False
        self.poll_count = 0
        self.next_poll_at = now
        self.last_heard_at: datetime.datetime | None = None
        self.failed_polls = 0
        self.lease_ends_ms = 0
        self.learned_slowness = speeds.LearnedSlowness()
        self.ejected_until: datetime.datetime | None = None
        self.is_releasing = False
        self.missing_since: datetime.datetime | None = None
        self._clock: tuple[int, datetime.datetime] | None = None
        self._slowness = 1.0
        self._slowness_until = now

    def __repr__(self) -> str:
        return f"<Backend {self.report.incarnation} {self.state.value}>"

    @property
    def incarnation(self) -> model.BackendIncarnation:
        """Which life of which backend server this is."""
        return self.report.incarnation

    @property
    def free(self) -> model.Resources:
        """Room that nothing occupies, as far as is known."""
        return self._free

    def update_report(self, report: model.BackendReport) -> None:
        """Take in what the server says of itself."""
        self.report = report
        self._free = report.capacity - self.used

    def add_run(self, run: Run) -> None:
        """Have a run occupy its room."""
        self.runs[run.order.key] = run
        self.used = self.used + run.order.resources
        self._free = self.report.capacity - self.used

    def remove_run(self, run: Run) -> None:
        """Free the room of a run that is over."""
        del self.runs[run.order.key]
        self.used = self.used - run.order.resources
        self._free = self.report.capacity - self.used

    def read_clock(self, server_clock_ms: int, now: datetime.datetime) -> None:
        """Note what the backend server's clock showed just before now."""
        self._clock = (server_clock_ms, now)

    def lease_end(self, now: datetime.datetime) -> int | None:
        """Return the end of a new lease on the server's clock, in ms."""
        if self._clock is None:
            return None
        server_clock_ms, read_at = self._clock
        elapsed = now - read_at
        end = server_clock_ms + int((elapsed + LEASE) / model.MILLISECOND)
        self.lease_ends_ms = max(self.lease_ends_ms, end)
        return end

    def is_acknowledgement_due(self, now: datetime.datetime) -> bool:
        """Tell whether ends wait for their acknowledgement long enough."""
        return self.acknowledge_at is not None and now >= self.acknowledge_at

    def lapses_by(self, now: datetime.datetime) -> datetime.datetime:
        """Return when all that was ever ordered has certainly ended.

        That holds if no further order is sent: orders that arrive late are
        refused once the lease that they carry is over.
        """
        if self._clock is None or not self.lease_ends_ms:
            return now
        server_clock_ms, read_at = self._clock
        left = max(0, self.lease_ends_ms - server_clock_ms) * model.MILLISECOND
        return read_at + left * (1 + 1.1 * CLOCK_DRIFT) + STOP_TIME

    def may_extend_lease(self, now: datetime.datetime) -> bool:
        """Tell whether the lease may be renewed.

        It may not while something must end that has not been seen to obey,
        nor while the server is silent: the lapse is what is waited for then.
        """
        if self.foreign or self.state is not BackendState.READY:
            return False
        return not any(
            run.stop_wanted_at is not None
            and not run.is_stop_confirmed
            and now - run.stop_wanted_at > UNANSWERED_STOP_LIMIT
            for run in self.runs.values()
        )

    def is_usable(self, now: datetime.datetime) -> bool:
        """Tell whether new runs may be ordered here."""
        return (
            self.state is BackendState.READY
            and not self.is_releasing
            and self.missing_since is None
            and self.report.advertised_state is model.AdvertisedState.READY
            and (self.ejected_until is None or self.ejected_until <= now)
            and self._clock is not None
        )

    def has_room_for(self, order: TaskOrder) -> bool:
        """Tell whether a task fits beside what runs here now."""
        return self.free.holds(order.resources) and self._is_below_step_limit(
            order
        )

    def could_ever_take(self, order: TaskOrder) -> bool:
        """Tell whether a task would fit here with nothing else running."""
        return (
            order.service == self.report.service
            and (order.label is None or order.label in self.report.labels)
            and self.report.capacity.holds(order.resources)
        )

    def _is_below_step_limit(self, order: TaskOrder) -> bool:
        if order.max_per_backend is None:
            return True
        ref = order.ref
        same = sum(
            1
            for run in self.runs.values()
            if run.order.ref.job_id == ref.job_id
            and run.order.ref.step == ref.step
        )
        return same < order.max_per_backend

    def slowness(self, now: datetime.datetime) -> float:
        """Return how many times as long as estimated tasks take here."""
        if now >= self._slowness_until:
            self._slowness = self._measure_slowness(now)
            self._slowness_until = now + SLOWNESS_INTERVAL
        return self._slowness

    def learn_slowness(
        self, actual: datetime.timedelta, estimate: datetime.timedelta
    ) -> None:
        """Take in the duration of a run that ended well."""
        self.learned_slowness.learn(actual, estimate)
        self._slowness_until = clock.DISTANT_PAST

    def _measure_slowness(self, now: datetime.datetime) -> float:
        slowest = self.learned_slowness.slowness
        for run in self.runs.values():
            if run.accepted_at is not None and run.stop_wanted_at is None:
                elapsed = now - run.accepted_at
                slowest = max(
                    slowest,
                    speeds.overdue_slowness(elapsed, run.order.estimate),
                )
        return slowest
