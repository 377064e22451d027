"""An incarnation of a backend server, as known to its scheduler."""

import copy
import dataclasses
import datetime
import enum

from waxwingwalk.core import clock
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import speeds

# The lease that is requested. The platform shortens leases of more than one
# second; the difference allows for the time that the answer travels.
LEASE = datetime.timedelta(milliseconds=950)
# The longest lease that the platform grants.
LEASE_MAX = datetime.timedelta(seconds=1)
# The platform allows a backend server's clock to be slow by this share.
CLOCK_DRIFT = 0.02
# A reply that was overtaken shows an earlier time. No call is waited for
# longer than this.
CLOCK_OVERTAKING_MS = 2000
# A stop takes up to 50 ms at a backend server; 50 ms are added for its answer.
STOP_TIME = datetime.timedelta(milliseconds=100)
# The platform may carry out an unanswered order this long after it was sent.
# Until then a server is polled at this interval at least, also while it is
# idle: if it restarts, its new incarnation has to see a higher fence.
LATE_ORDER_LIMIT = datetime.timedelta(seconds=12)
CHECK_INTERVAL = datetime.timedelta(milliseconds=250)
# A run of an order that was carried out late has ended by then.
LATE_RUN_LIMIT = LATE_ORDER_LIMIT + 1.1 * LEASE_MAX
# A lease is not renewed while a stop has been unanswered for longer than this,
# so that its expiry ends the run that the stop did not end.
UNANSWERED_STOP_LIMIT = datetime.timedelta(milliseconds=150)
# Starts that a server answers in a fraction of a call's time limit.
STARTS_MAX = 32
# Progress that has risen this often tells how long a run will take.
PERCENT_RISES_MIN = 2
# The slowness of a server changes when a run ends or becomes overdue. Overdue
# runs are checked for at this interval, which is short compared with the
# shortest tasks.
SLOWNESS_INTERVAL = datetime.timedelta(milliseconds=10)
# No check is due before the first run becomes overdue, up to this time.
SLOWNESS_INTERVAL_MAX = datetime.timedelta(seconds=1)


class RunState(enum.Enum):
    """State of an order to run a task.

    ORDERED was sent and is unanswered. IN_DOUBT may have arrived or may still
    arrive. SETTLED can no longer be started, as its stop is confirmed or its
    server has restarted and is polled under a higher fence, but it may be
    running.
    """

    ORDERED = "ordered"
    RUNNING = "running"
    IN_DOUBT = "doubtful"
    SETTLED = "settled"


@dataclasses.dataclass(slots=True)
class TaskOrder:
    """One run of a task, as described by the scheduler of its job.

    ``requester_link`` is the link to the host that offered the task, None if
    this host schedules the job. The run of a task that ``is_suspect`` may
    crash its server; one that ``runs_alone`` shares it with no other.
    """

    ref: model.TaskRef
    run: int
    queue: str
    service: str
    spec: str
    resources: model.Resources
    estimate: datetime.timedelta
    label: str | None
    max_per_backend: int | None
    requester_link: int | None
    is_suspect: bool = False
    runs_alone: bool = False
    # Created when it is needed, as most orders find no capacity while the load
    # is high.
    _key: model.RunKey | None = dataclasses.field(
        default=None, init=False, compare=False, repr=False
    )

    @property
    def key(self) -> model.RunKey:
        """The run as named by backend servers."""
        if self._key is None:
            self._key = model.RunKey(self.ref.name, self.run)
        return self._key


@dataclasses.dataclass(slots=True)
class Run:
    """A run that occupies resources until it is known to have ended.

    ``ordered_at`` and ``accepted_at`` are in observed time, ``sent_at`` is on
    the clock. ``is_moved`` is set if the server has restarted since the order.
    ``incarnation`` is the one that may have started the run, ``was_shared`` is
    whether other runs were on the server meanwhile, ``was_cold`` whether the
    server was cold when it was ordered. ``fate`` is what was last recorded of
    it.
    """

    order: TaskOrder
    ordered_at: datetime.datetime
    sent_at: datetime.datetime
    state: RunState = RunState.ORDERED
    accepted_at: datetime.datetime | None = None
    stop_requested_at: datetime.datetime | None = None
    stop_sent_at: datetime.datetime | None = None
    is_stop_confirmed: bool = False
    is_moved: bool = False
    # The number of the first poll that was sent after the run was settled.
    settled_by_poll: int | None = None
    is_end_reported: bool = False
    incarnation: model.BackendIncarnation | None = None
    was_shared: bool = False
    was_cold: bool = False
    fate: model.ServerFate | None = None
    # Whether it has ended unless its server has restarted.
    has_lapsed: bool = False
    # Whether it was stopped because its start had not been answered in time;
    # the stops that were sent since, and when the last one was, in observed
    # time.
    is_overdue: bool = False
    # How many runs that were started later on the server have ended in time,
    # and how many have not. Counted only if the progress of runs is used.
    later_in_time: int = 0
    later_late: int = 0
    # The progress that polls list: the last one, when it was first and last
    # listed, in observed time, and how often it has risen.
    percent: int = 0
    percent_since: datetime.datetime | None = None
    percent_read_at: datetime.datetime | None = None
    percent_rises: int = 0
    stops_sent: int = 0
    stop_observed_at: datetime.datetime | None = None

    @property
    def is_long_by_itself(self) -> bool:
        """Whether its server is not to blame if it takes long."""
        return self.later_in_time > self.later_late

    @property
    def stalled(self) -> datetime.timedelta:
        """For how long polls have listed the same progress."""
        if self.percent_since is None or self.percent_read_at is None:
            return model.ZERO
        return self.percent_read_at - self.percent_since

    def record_percent(
        self, percent: int, observed_now: datetime.datetime
    ) -> bool:
        """Record the listed progress; return whether it has risen."""
        has_risen = percent > self.percent
        if self.percent_since is None or has_risen:
            self.percent_since = observed_now
        self.percent_rises += has_risen
        self.percent = percent
        self.percent_read_at = observed_now
        return has_risen

    def remaining_by_progress(
        self, observed_now: datetime.datetime
    ) -> datetime.timedelta | None:
        """Return the time left if it goes on as before, None if unknown.

        Servers may list 0 or 100 for all runs, or another fixed number.
        """
        since = self.accepted_at
        if (
            since is None
            or self.percent_read_at is None
            or self.percent_rises < PERCENT_RISES_MIN
            or not 0 < self.percent < 100
        ):
            return None
        elapsed = self.percent_read_at - since
        left = elapsed * ((100 - self.percent) / self.percent)
        return max(left - (observed_now - self.percent_read_at), model.ZERO)

    def remaining(
        self, observed_now: datetime.datetime, slowness: float = 1.0
    ) -> datetime.timedelta:
        """Return the expected time until the run ends.

        ``slowness`` is that of its server. A run that is overdue is expected
        to take as long again as it is overdue, since long run times vary more.
        """
        known = self.remaining_by_progress(observed_now)
        if known is not None:
            return known
        elapsed = observed_now - (self.accepted_at or self.ordered_at)
        return abs(self.order.estimate * slowness - elapsed)

    def may_start(self, now: datetime.datetime) -> bool:
        """Return whether the order may still be carried out, or have been.

        A lease ends on the clock of the incarnation that was ordered. If the
        server has restarted, its clock has, too, so the lease bounds only a
        run that is known to have been started.
        """
        is_known = self.accepted_at is not None or (
            self.state is RunState.SETTLED and self.settled_by_poll is None
        )
        return not is_known and now - self.sent_at < LATE_RUN_LIMIT


class BackendState(enum.Enum):
    """What a backend server may be used for.

    UNVERIFIED has not been fenced off from its former scheduler, or still
    has runs that the former scheduler started. SUSPECT could not be reached,
    left a request unanswered or is unhealthy; it is READY again after a
    successful poll. FENCED takes orders from another scheduler.
    """

    UNVERIFIED = "unproven"
    READY = "ready"
    SUSPECT = "suspect"
    FENCED = "fenced"


class Backend:
    """An incarnation of a backend server: runs, capacity, lease and clock.

    ``foreign_runs`` are runs that a former scheduler started.
    ``acknowledged`` is the serial number of the last end that was processed.
    ``reserved_for`` is the task for which the server is being emptied.
    ``cold_slowness`` is how much slower cold servers are than warm ones.
    """

    def __init__(
        self,
        report: model.BackendReport,
        fence: int,
        now: datetime.datetime,
        observed: observed_time.ObservedTime | None = None,
        cold_slowness: speeds.LearnedSlowness | None = None,
    ) -> None:
        self._observed = observed or observed_time.ObservedTime()
        self._cold_slowness = cold_slowness or speeds.LearnedSlowness(
            speeds.COLD_SLOWNESS
        )
        self.report = report
        self.fence = fence
        self.state = BackendState.UNVERIFIED
        self.runs: dict[model.RunKey, Run] = {}
        # Starts that are under way.
        self.starting = 0
        self.foreign_runs: set[model.RunKey] = set()
        self.foreign_stop_sent_at: dict[model.RunKey, datetime.datetime] = {}
        self.used = model.Resources()
        self._free = report.capacity
        self.acknowledged = 0
        self.acknowledge_at: datetime.datetime | None = None
        self.is_polling = False
        # Whether ends are being acknowledged while nothing runs: a run that
        # ended before a late acknowledgement arrives would be forgotten.
        self.is_acknowledging = False
        self.poll_count = 0
        self.next_poll_at = now
        self.last_heard_at: datetime.datetime | None = None
        # When this incarnation last answered a poll. Other replies do not
        # tell which incarnation of the server answers.
        self.last_polled_at: datetime.datetime | None = None
        self.failed_polls = 0
        # The poll under way, and an additional one without a wait: it settles
        # starts, and checks a server that has not answered the other one.
        # Both are identified by their numbers, and sent in observed time.
        self.poll_number = 0
        self.poll_wait = model.ZERO
        # The serial number of the last end that it acknowledges, 0 if none.
        self.poll_acknowledged = 0
        self.poll_sent_at = now
        self.check_number: int | None = None
        self.check_sent_at = now
        self.failed_checks = 0
        # The poll beside which an overdue run was asked for.
        self.checked_poll: int | None = None
        self.lease_ends_ms = 0
        self.learned_slowness = speeds.LearnedSlowness()
        self.ejected_until: datetime.datetime | None = None
        self.is_releasing = False
        self.is_exclusive = False
        self.reserved_for: str | None = None
        self.missing_since: datetime.datetime | None = None
        # Whether a poll has to show that the server still obeys this host.
        self.is_check_wanted = False
        # Until then an unanswered order may still be carried out.
        self.order_pending_until = now
        self._clock_reading: tuple[int, datetime.datetime] | None = None
        self._slowness = 1.0
        self._slowness_until = now

    def __repr__(self) -> str:
        return f"<Backend {self.report.incarnation} {self.state.value}>"

    def copy_for_trial(self) -> "Backend":
        """Return a copy on which runs can be added without an effect here."""
        trial = copy.copy(self)
        trial.runs = {key: copy.copy(run) for key, run in self.runs.items()}
        trial.foreign_runs = set(self.foreign_runs)
        trial.foreign_stop_sent_at = dict(self.foreign_stop_sent_at)
        return trial

    @property
    def incarnation(self) -> model.BackendIncarnation:
        """The backend server and its incarnation."""
        return self.report.incarnation

    @property
    def free(self) -> model.Resources:
        """The capacity that no known run occupies."""
        return self._free

    @property
    def has_active_runs(self) -> bool:
        """Whether a run ordered here may still complete.

        One that has lapsed may do so only if the server has restarted.
        """
        return any(
            not run.is_end_reported and not run.has_lapsed
            for run in self.runs.values()
        )

    @property
    def has_unsettled_runs(self) -> bool:
        """Whether the end of a run ordered here is not known."""
        return any(not run.is_end_reported for run in self.runs.values())

    def update_report(self, report: model.BackendReport) -> None:
        """Replace the server's own report."""
        self.report = report
        self._free = report.capacity - self.used

    @property
    def is_busy(self) -> bool:
        """Whether it has as many unanswered starts as it may.

        They share a few connections, so that one more would wait for all of
        them, and has as little time as they have.
        """
        return self.starting >= STARTS_MAX

    def add_run(self, run: Run) -> None:
        """Add a run, which occupies its resources."""
        run.incarnation = run.incarnation or self.incarnation
        for other in self.runs.values():
            run.was_shared = other.was_shared = True
        self.runs[run.order.key] = run
        self._slowness_until = clock.DISTANT_PAST
        self.is_exclusive = self.is_exclusive or run.order.runs_alone
        self.used = self.used + run.order.resources
        self._free = self.report.capacity - self.used

    def remove_run(self, run: Run) -> None:
        """Free the resources of a run that is over."""
        del self.runs[run.order.key]
        self.is_exclusive = any(
            other.order.runs_alone for other in self.runs.values()
        )
        self.used = self.used - run.order.resources
        self._free = self.report.capacity - self.used

    def record_clock(
        self, server_clock_ms: int, now: datetime.datetime
    ) -> None:
        """Record what the server's clock showed just before ``now``.

        If it has gone back, the server has restarted. What it runs was
        started since, with leases on its new clock.
        """
        if self._clock_reading is not None:
            former_ms, _ = self._clock_reading
            if server_clock_ms < former_ms - CLOCK_OVERTAKING_MS:
                longest_ms = int(LEASE_MAX / model.MILLISECOND)
                self.lease_ends_ms = server_clock_ms + longest_ms
        self._clock_reading = (server_clock_ms, now)

    def uptime(self, now: datetime.datetime) -> datetime.timedelta | None:
        """Return for how long the server has run at least, if it is known."""
        if self._clock_reading is None:
            return None
        server_clock_ms, read_at = self._clock_reading
        return server_clock_ms * model.MILLISECOND + (now - read_at)

    def extend_lease(self, now: datetime.datetime) -> int | None:
        """Return the end of a new lease on the server's clock, in ms.

        Return None as long as the server's clock is not known.
        """
        if self._clock_reading is None:
            return None
        server_clock_ms, read_at = self._clock_reading
        elapsed = now - read_at
        end = server_clock_ms + int((elapsed + LEASE) / model.MILLISECOND)
        self.lease_ends_ms = max(self.lease_ends_ms, end)
        return end

    def assume_longest_lease(self) -> None:
        """Assume that the server granted the longest lease just now.

        This holds for runs whose order was sent to a former incarnation.
        """
        assert self._clock_reading is not None
        server_clock_ms, _ = self._clock_reading
        end = server_clock_ms + int(LEASE_MAX / model.MILLISECOND)
        self.lease_ends_ms = max(self.lease_ends_ms, end)

    def is_acknowledgement_due(self, now: datetime.datetime) -> bool:
        """Return whether listed ends should be acknowledged now."""
        return self.acknowledge_at is not None and now >= self.acknowledge_at

    def is_check_due(self, now: datetime.datetime) -> bool:
        """Return whether a poll has to check that it has not restarted."""
        if now >= self.order_pending_until:
            return False
        heard_at = self.last_heard_at
        return heard_at is None or now - heard_at >= CHECK_INTERVAL

    def latest_lapse_time(self, now: datetime.datetime) -> datetime.datetime:
        """Return when all runs that were ever ordered have certainly ended.

        This holds if no further order is sent: an order that arrives late is
        refused once the lease that it carries has expired.
        """
        if self._clock_reading is None or not self.lease_ends_ms:
            return now
        server_clock_ms, read_at = self._clock_reading
        left = max(0, self.lease_ends_ms - server_clock_ms) * model.MILLISECOND
        # An upper bound of left / (1 - CLOCK_DRIFT), which a slow clock takes.
        return read_at + left * (1 + 1.1 * CLOCK_DRIFT) + STOP_TIME

    def have_foreign_lapsed(self, now: datetime.datetime) -> bool:
        """Return whether the leases of foreign runs have certainly expired.

        Their scheduler could not renew them after the first poll here.
        """
        heard_at = self.last_heard_at
        longest = LEASE_MAX * (1 + 1.1 * CLOCK_DRIFT) + STOP_TIME
        return heard_at is not None and now - heard_at > longest

    def may_extend_lease(self, now: datetime.datetime) -> bool:
        """Return whether the lease may be renewed.

        It may not while foreign runs are left or a stop has been unanswered
        for too long, nor while the server does not answer. In these cases the
        lease has to expire.
        """
        if self.foreign_runs or self.state is not BackendState.READY:
            return False
        for run in self.runs.values():
            if (
                run.stop_requested_at is not None
                and not run.is_stop_confirmed
                and now - run.stop_requested_at > UNANSWERED_STOP_LIMIT
            ):
                return False
        return True

    def is_usable(self, now: datetime.datetime) -> bool:
        """Return whether new runs may be ordered here."""
        return (
            self.state is BackendState.READY
            and not self.is_releasing
            and self.missing_since is None
            and self.report.advertised_state is model.AdvertisedState.READY
            and not self.is_ejected(now)
            and self._clock_reading is not None
        )

    def is_ejected(self, now: datetime.datetime) -> bool:
        """Return whether no run is ordered here because runs fail here."""
        return self.ejected_until is not None and now < self.ejected_until

    def can_fit_now(self, order: TaskOrder) -> bool:
        """Return whether a task fits beside the current runs.

        A run for an earlier request for the same job may have the same key. A
        server that was ejected gets one task at a time until one completes.
        """
        if self.is_exclusive or self.is_acknowledging or self.is_busy:
            return False
        if self.ejected_until is not None and self.runs:
            return False
        if order.runs_alone and self.runs:
            return False
        if (
            self.reserved_for is not None
            and self.reserved_for != order.ref.name
        ):
            return False
        return (
            self.free.holds(order.resources)
            and order.key not in self.runs
            and (
                order.max_per_backend is None
                or self._is_below_step_limit(order, order.max_per_backend)
            )
        )

    @property
    def unsettled_processors(self) -> int:
        """The processors that runs with an unanswered start occupy."""
        return sum(
            run.order.resources.processors
            for run in self.runs.values()
            if run.is_overdue
            and run.state in (RunState.IN_DOUBT, RunState.SETTLED)
        )

    @property
    def is_shared(self) -> bool:
        """Whether any task may start here beside the others."""
        return not self.is_exclusive and self.reserved_for is None

    def remaining_times(
        self, now: datetime.datetime
    ) -> list[tuple[Run, datetime.timedelta]]:
        """Return the runs, each with the expected time until its end."""
        observed_now = self._observed.at(now)
        slowness = self.slowness(now)
        return [
            (run, run.remaining(observed_now, slowness))
            for run in self.runs.values()
        ]

    def expected_idle_time(self, now: datetime.datetime) -> datetime.datetime:
        """Return when the runs that are here now are expected to have ended.

        The time is an observed one.
        """
        slowness = self.slowness(now)
        return max(
            (
                run.ordered_at + run.order.estimate * slowness
                for run in self.runs.values()
            ),
            default=self._observed.at(now),
        )

    def can_fit_when_idle(self, order: TaskOrder) -> bool:
        """Return whether a task would fit here if nothing else ran."""
        return (
            order.service == self.report.service
            and (order.label is None or order.label in self.report.labels)
            and self.report.capacity.holds(order.resources)
        )

    def _is_below_step_limit(self, order: TaskOrder, limit: int) -> bool:
        ref = order.ref
        same = sum(
            1
            for run in self.runs.values()
            if run.order.ref.job_id == ref.job_id
            and run.order.ref.step == ref.step
        )
        return same < limit

    def is_cold(self, now: datetime.datetime) -> bool:
        """Return whether the server is still slow after its start."""
        uptime = self.uptime(now)
        if uptime is None:
            return self.report.warm_at_ms > 0
        return uptime < self.report.warm_at_ms * model.MILLISECOND

    def slowness(self, now: datetime.datetime) -> float:
        """Return the ratio of actual to estimated run times here.

        Overdue runs are taken into account before they end.
        """
        if now >= self._slowness_until:
            self._slowness, overdue_in = self._measure_slowness(now)
            self._slowness_until = now + max(SLOWNESS_INTERVAL, overdue_in)
        return self._slowness

    def learn_slowness(
        self, actual: datetime.timedelta, estimate: datetime.timedelta
    ) -> None:
        """Learn from the duration of a completed run."""
        self.learned_slowness.learn(actual, estimate)
        self._slowness_until = clock.DISTANT_PAST

    def _measure_slowness(
        self, now: datetime.datetime
    ) -> tuple[float, datetime.timedelta]:
        """Return the slowness, and when the first run becomes overdue.

        The latter is not positive if one is already. A run that has not been
        accepted yet is accepted now at the earliest.
        """
        slowest = self.learned_slowness.slowness
        overdue_in = SLOWNESS_INTERVAL_MAX
        if self.is_cold(now):
            slowest *= max(1.0, self._cold_slowness.slowness)
            overdue_in = SLOWNESS_INTERVAL
        observed_now = self._observed.at(now)
        for run in self.runs.values():
            if run.stop_requested_at is not None:
                continue
            estimate = run.order.estimate
            left = speeds.overdue_after(estimate)
            if run.accepted_at is not None:
                if run.is_long_by_itself:
                    continue
                elapsed = observed_now - run.accepted_at
                left -= elapsed
                if left <= model.ZERO:
                    slowest = max(
                        slowest, speeds.overdue_slowness(elapsed, estimate)
                    )
            overdue_in = min(overdue_in, left)
        return slowest, overdue_in
