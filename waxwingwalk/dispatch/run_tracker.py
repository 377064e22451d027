"""Tracking of runs on the backend servers that this host schedules.

Backend servers neither enforce their capacity nor refuse a run of a task that
already runs elsewhere. A run therefore occupies its resources from the order
until the server lists its end, or until it is certain that the order never
took effect. A server is used only once it has been fenced off from its former
scheduler and no longer runs anything that the former scheduler started.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import copy
import dataclasses
import datetime
import math

from waxwingwalk.core import clock
from waxwingwalk.dispatch import answer_times
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import failures
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.dispatch import speeds
from waxwingwalk.dispatch import stuck_runs
from waxwingwalk.routing import outliers

# A poll waits at the server for up to this time until a run ends. Leases are
# renewed at the same interval, which leaves time for two failed polls before
# the lease expires.
POLL_WAIT = datetime.timedelta(milliseconds=300)
# A poll without an outcome after this time is sent again. Its call ends after
# less than a second.
POLL_LIMIT = datetime.timedelta(seconds=5)
# A pool of which no server was polled for this time is checked. Pools are
# looked at in this interval.
IDLE_POOL_LIMIT = datetime.timedelta(seconds=2)
POOL_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)
# A failed poll is repeated after this time, doubled up to the maximum unless
# an order may be carried out late: a new incarnation has to see the higher
# fence.
POLL_RETRY = datetime.timedelta(milliseconds=60)
POLL_RETRY_MAX = datetime.timedelta(milliseconds=500)
# Ends on a server on which nothing runs any more are acknowledged after this
# time, or with a poll after the next one if a run is ordered before. This
# saves a call to a busy server. The platform expects the acknowledgement
# within seconds.
ACKNOWLEDGE_DELAY = datetime.timedelta(milliseconds=250)
# A start that has not left this host by then is dropped. Links of a host that
# is silent for 0.6 s are closed, and another host may start the task after
# that. A server that has restarted since would not refuse the start.
START_SEND_LIMIT = datetime.timedelta(milliseconds=500)
# An unanswered stop is sent again after this time.
STOP_RETRY = datetime.timedelta(milliseconds=150)
# With fast settlement, a server is suspect once this many stops or additional
# polls in a row got no answer in time. One call in 16 may get none.
UNANSWERED_MAX = 2
# While a server is suspect and a poll is under way, an additional one is sent
# at this interval.
CHECK_RETRY = datetime.timedelta(milliseconds=120)
# A run that takes longer than this many times its expected run time should
# have ended, unless the poll that would list its end was lost.
OVERDUE_FACTOR = 1.5
# The weight of the newest one in the mean time to settle a start.
SETTLEMENT_WEIGHT = 0.1
# A server that outlier detection considers faulty, because nearly all runs
# fail there but not elsewhere, is ejected for this time, then tried again. The
# ejection ends early if a run completes there.
EJECTION_TIME = datetime.timedelta(seconds=3)
# At most this share of a zone's servers is ejected at a time, but always one:
# a fault that shows on more of them is not one of the servers.
MAX_EJECTED_SHARE = 0.25
# A live server may be missing from the platform's list for about two seconds.
MISSING_GRACE = datetime.timedelta(seconds=2.5)

# The reason of the end of a run that was settled: a poll after a stop does not
# list it. The order may be carried out late if the server restarts.
NEVER_STARTED = "never started"

# Outcomes which show that this host can no longer schedule an incarnation.
LOST_OUTCOMES = frozenset(
    {model.CallOutcome.FENCED, model.CallOutcome.OTHER_INCARNATION}
)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run that was ordered here.

    ``reason`` says how the end is known. ``slowness`` is that of the backend
    server, not including this run.
    """

    order: backends.TaskOrder
    end: model.TaskEnd
    backend_id: str
    elapsed: datetime.timedelta
    reason: str
    slowness: float = 1.0


class RunTracker:
    """Orders runs, tracks them until they end, and accounts for capacity."""

    def __init__(
        self,
        observed: observed_time.ObservedTime | None = None,
        zone_evacuation: evacuation.Evacuation | None = None,
        settings: dispatch_settings.DispatchSettings | None = None,
        work_limits: dispatch_settings.WorkLimits | None = None,
    ) -> None:
        self._work_limits = work_limits or dispatch_settings.WorkLimits()
        self._observed = observed or observed_time.ObservedTime()
        self._evacuation = zone_evacuation or evacuation.Evacuation()
        self._settings = settings or dispatch_settings.DispatchSettings()
        self._answer_times = answer_times.AnswerTimes()
        # The moving mean of the time from an order without an answer until
        # its capacity was free or its run was known to have been started.
        self.settlement_seconds = 0.0
        self._backends: dict[model.BackendIncarnation, backends.Backend] = {}
        self._backend_by_run: dict[model.RunKey, backends.Backend] = {}
        # The servers of runs whose start is under way.
        self._starting: dict[model.RunKey, backends.Backend] = {}
        self._active_run_counts: collections.Counter[str] = (
            collections.Counter()
        )
        # Until when an unanswered start of a task may be carried out late, by
        # the id of the server.
        self._late_starts: dict[str, dict[str, datetime.datetime]] = {}
        # Incarnations that are over, although the platform may list them.
        self._ended_incarnations: set[model.BackendIncarnation] = set()
        self._detector = outliers.LikelihoodDetector()
        # Learned from the runs on all cold servers, as each is cold only once.
        self._cold_slowness = speeds.LearnedSlowness(speeds.COLD_SLOWNESS)
        # Ended runs, and log lines caused by them, until the scheduler
        # processes them.
        self.ended: list[EndedTask] = []
        self.pending_logs: effects.Effects = []
        # What is newly known of servers that did not list the end of a run.
        self.crash_evidence: list[model.CrashEvidence] = []
        # How often the listed progress of runs has risen, by queue.
        self.progress_rises: collections.Counter[str] = collections.Counter()
        self._pools_checked_at = clock.DISTANT_PAST
        # Counts the changes that may affect the free capacity.
        self.changes = 0
        # Caches: the usable servers, until the state of a server changes
        # (None) or an ejection ends, and the most processors free on one.
        self._usable: list[backends.Backend] = []
        self._usable_until: datetime.datetime | None = None
        self._usable_version = 0
        self._max_free_processors = 0
        self._max_free_processors_key: tuple[int, int] | None = None

    def __iter__(self) -> Iterator[backends.Backend]:
        return iter(self._backends.values())

    def copy_for_trial(self) -> "RunTracker":
        """Return a copy whose runs and servers are not those of this one.

        Runs can be started on the copy; other events must not be passed to it.
        """
        trial = copy.copy(self)
        trial._backends = {
            incarnation: backend.copy_for_trial()
            for incarnation, backend in self._backends.items()
        }
        trial._backend_by_run = {
            key: trial._backends[backend.incarnation]
            for key, backend in self._backend_by_run.items()
            if backend.incarnation in trial._backends
        }
        trial._starting = {
            key: trial._backends[backend.incarnation]
            for key, backend in self._starting.items()
            if backend.incarnation in trial._backends
        }
        trial._active_run_counts = self._active_run_counts.copy()
        trial._late_starts = {
            task: dict(limits) for task, limits in self._late_starts.items()
        }
        trial.ended = list(self.ended)
        trial.pending_logs = list(self.pending_logs)
        trial.crash_evidence = list(self.crash_evidence)
        trial._usable = [
            trial._backends[each.incarnation]
            for each in self._usable
            if each.incarnation in trial._backends
        ]
        return trial

    def get(
        self, incarnation: model.BackendIncarnation
    ) -> backends.Backend | None:
        """Return a backend server, None if it is not scheduled here."""
        return self._backends.get(incarnation)

    def is_over(self, incarnation: model.BackendIncarnation) -> bool:
        """Return whether an incarnation is known to be over."""
        return incarnation in self._ended_incarnations

    def forget_unlisted(
        self, listed: Iterable[model.BackendIncarnation]
    ) -> None:
        """Forget the incarnations that are over and not listed any more."""
        self._ended_incarnations.intersection_update(listed)

    def usable(self, now: datetime.datetime) -> list[backends.Backend]:
        """Return the backend servers on which runs may be ordered now.

        There are none in evacuated zones, and only some for a while after.
        """
        if self._usable_until is None or now >= self._usable_until:
            self._usable = self._without_evacuated(
                [
                    each
                    for each in self._backends.values()
                    if each.is_usable(now)
                ],
                now,
            )
            next_ejection_end = min(
                (
                    each.ejected_until
                    for each in self._backends.values()
                    if each.ejected_until is not None
                    and each.ejected_until > now
                ),
                default=clock.DISTANT_FUTURE,
            )
            self._usable_until = min(
                next_ejection_end, self._evacuation.next_change_at(now)
            )
            self._usable_version += 1
        return self._usable

    def _without_evacuated(
        self, usable: list[backends.Backend], now: datetime.datetime
    ) -> list[backends.Backend]:
        """Return each zone's present share of servers, always the same ones.

        The share of a zone that is not evacuated is at least one server.
        """
        if self._evacuation.is_unused:
            return usable
        for zone in {each.report.zone for each in usable}:
            share = self._evacuation.share(zone, now)
            if share == 1.0:
                continue
            names = sorted(
                str(each.incarnation)
                for each in usable
                if each.report.zone == zone
            )
            open_names = set(names[: math.ceil(share * len(names))])
            usable = [
                each
                for each in usable
                if each.report.zone != zone
                or str(each.incarnation) in open_names
            ]
        return usable

    def forget_usable(self) -> None:
        """Determine the usable servers anew, as a zone's share changed."""
        self._usable_until = None
        self.changes += 1

    def max_free_processors(self, now: datetime.datetime) -> int:
        """Return the largest number of free processors on a usable server."""
        usable = self.usable(now)
        key = (self._usable_version, self.changes)
        if self._max_free_processors_key != key:
            self._max_free_processors_key = key
            self._max_free_processors = max(
                (each.free.processors for each in usable), default=0
            )
        return self._max_free_processors

    def has_active_run(self, task: str) -> bool:
        """Return whether a run of a task may still be active here.

        A run whose lease has certainly expired is not active, even if an
        unresponsive server has not listed its end yet.
        """
        return self._active_run_counts[task] > 0

    def has_foreign_run(self, task: str, now: datetime.datetime) -> bool:
        """Return whether a run that another scheduler started may be active.

        Its lease is not renewed, so it ends even if its server is silent.
        """
        return any(
            key.task == task
            for backend in self._backends.values()
            if backend.foreign_runs and not backend.have_foreign_lapsed(now)
            for key in backend.foreign_runs
        )

    def may_start_late(self, task: str, now: datetime.datetime) -> bool:
        """Return whether an unanswered start of a task may be carried out.

        A server that answers refuses it: it knows of the stop, or of a higher
        fence if it has restarted since. A silent one may have restarted.
        """
        limits = self._late_starts.get(task)
        if limits is None:
            return False
        for backend_id, limit in list(limits.items()):
            if now >= limit:
                del limits[backend_id]
        if not limits:
            del self._late_starts[task]
            return False
        return any(
            backend.incarnation.backend_id in limits
            and backend.state
            in (
                backends.BackendState.UNVERIFIED,
                backends.BackendState.SUSPECT,
            )
            for backend in self._backends.values()
        )

    def find_run(self, key: model.RunKey) -> backends.Run | None:
        """Return a run that occupies capacity, None if there is none."""
        backend = self._backend_by_run.get(key)
        return None if backend is None else backend.runs[key]

    @property
    def starts_left(self) -> int:
        """How many starts may be sent before others are answered.

        Each takes memory until then.
        """
        return self._work_limits.starts - len(self._starting)

    @property
    def starting(self) -> int:
        """The number of starts that are under way."""
        return len(self._starting)

    @property
    def has_busy_server(self) -> bool:
        """Whether a server has as many unanswered starts as it may."""
        return any(each.is_busy for each in self._backends.values())

    def _end_start(self, key: model.RunKey) -> None:
        """Record that a start is answered, or that its run is over."""
        backend = self._starting.pop(key, None)
        if backend is not None:
            backend.starting -= 1

    @property
    def unsettled_processors(self) -> int:
        """The processors that runs with an unanswered start occupy."""
        return sum(
            each.unsettled_processors for each in self._backends.values()
        )

    def has_lapsed(self, key: model.RunKey) -> bool:
        """Return whether it depends on a silent server how a run has ended."""
        backend = self._backend_by_run.get(key)
        return backend is not None and backend.runs[key].has_lapsed

    # Backend servers.

    def acquire(
        self, report: model.BackendReport, fence: int, now: datetime.datetime
    ) -> effects.Effects:
        """Start to schedule a backend server."""
        backend = backends.Backend(
            report, fence, now, self._observed, self._cold_slowness
        )
        self._backends[report.incarnation] = backend
        self._usable_until = None
        return [
            effects.Log(
                "backend.taken",
                {
                    "backend": report.incarnation.backend_id,
                    "life": report.incarnation.started_ms,
                    "fence": fence,
                },
            ),
            *self._poll(backend, now),
        ]

    def release(
        self,
        incarnation: model.BackendIncarnation,
        now: datetime.datetime,
        reason: str,
    ) -> effects.Effects:
        """Stop scheduling a backend server; its runs may continue."""
        return self._remove_backend(
            incarnation, model.TaskEnd.LOST, "backend.released", reason, now
        )

    def begin_release(self, backend: backends.Backend) -> None:
        """Order no new runs on a server that is to be released."""
        backend.is_releasing = True
        self._usable_until = None

    def end_incarnation(
        self,
        incarnation: model.BackendIncarnation,
        now: datetime.datetime,
        reason: str,
    ) -> effects.Effects:
        """Remove an incarnation that is over; its runs are over too."""
        return self._remove_backend(
            incarnation, model.TaskEnd.GONE, "backend.gone", reason, now
        )

    def follow_restart(
        self,
        former: model.BackendIncarnation,
        report: model.BackendReport,
        fence: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Schedule the new incarnation of a server that has restarted.

        An order names the id of a server, not its incarnation, and a server
        that has just started obeys any fence. A run that was ordered before
        may therefore be active on the new incarnation, or may still start
        there until that one has seen ``fence``. The runs move to the new
        incarnation, and end when a poll lists no run of their tasks.
        """
        pending_until = self._backends[former].order_pending_until
        self._record_silence(self._backends[former])
        moved = self._remove_runs(former)
        done = self._end_former_incarnation(former, now)
        done += self.acquire(report, fence, now)
        backend = self._backends[report.incarnation]
        # It may restart again before the order arrives.
        backend.order_pending_until = pending_until
        for run in moved:
            if run.state is backends.RunState.ORDERED:
                # The call that is open is not answered any more.
                self._record_late_start(backend, run, now)
            run.state = backends.RunState.SETTLED
            run.is_moved = True
            run.settled_by_poll = backend.poll_count
            run.is_stop_confirmed = False
            run.stop_sent_at = None
            backend.add_run(run)
            self._backend_by_run.setdefault(run.order.key, backend)
        return done

    def give_up_restarted(
        self, former: model.BackendIncarnation, now: datetime.datetime
    ) -> effects.Effects:
        """Give up a restarted server whose new incarnation is not followed.

        The outcome of the runs that may be active there is not known.
        """
        backend = self._backends[former]
        self._record_silence(backend)
        for run in self._remove_runs(former):
            self._report_end(
                backend, run, model.TaskEnd.LOST, "restarted", now
            )
        return self._end_former_incarnation(former, now)

    def _remove_runs(
        self, incarnation: model.BackendIncarnation
    ) -> list[backends.Run]:
        """Remove and return the runs on an incarnation."""
        backend = self._backends[incarnation]
        removed = list(backend.runs.values())
        for run in removed:
            self._remove_run(backend, run)
        return removed

    def _end_former_incarnation(
        self, incarnation: model.BackendIncarnation, now: datetime.datetime
    ) -> effects.Effects:
        self._ended_incarnations.add(incarnation)
        return self.end_incarnation(incarnation, now, "newer life")

    def _remove_backend(
        self,
        incarnation: model.BackendIncarnation,
        end: model.TaskEnd,
        event: str,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Remove a backend server, with the same end for all its runs."""
        backend = self._backends.pop(incarnation, None)
        self._usable_until = None
        if backend is None:
            return []
        for run in list(backend.runs.values()):
            self._end_run(backend, run, end, reason, now)
        self._detector.forget(str(incarnation))
        return [
            effects.Log(
                event,
                {
                    "backend": incarnation.backend_id,
                    "life": incarnation.started_ms,
                    "fence": backend.fence,
                    "reason": reason,
                },
            )
        ]

    def update_report(self, report: model.BackendReport) -> effects.Effects:
        """Record a backend server's own report."""
        backend = self._backends[report.incarnation]
        if report == backend.report and backend.missing_since is None:
            return []
        changed = (
            backend.report.advertised_state is not report.advertised_state
        )
        backend.update_report(report)
        backend.missing_since = None
        self._usable_until = None
        if not changed:
            return []
        return [
            effects.Log(
                "backend.willingness",
                {
                    "backend": report.incarnation.backend_id,
                    "state": report.advertised_state.value,
                },
            )
        ]

    def record_missing(
        self, incarnation: model.BackendIncarnation, now: datetime.datetime
    ) -> effects.Effects:
        """Record that a backend server is missing from the platform's list.

        It is removed after MISSING_GRACE, once its runs have ended or their
        leases have expired.
        """
        backend = self._backends[incarnation]
        if backend.missing_since is None:
            backend.missing_since = now
            self._usable_until = None
        if now - backend.missing_since <= MISSING_GRACE:
            return []
        if backend.state is backends.BackendState.UNVERIFIED:
            # Runs that moved here may be active; their leases are not known.
            return self._remove_backend(
                incarnation,
                model.TaskEnd.LOST,
                "backend.gone",
                "not listed",
                now,
            )
        if backend.has_unsettled_runs:
            return []
        return self.end_incarnation(incarnation, now, "not listed")

    # Requests to backend servers.

    def start(
        self,
        order: backends.TaskOrder,
        backend: backends.Backend,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Order a run; the caller has checked that it fits."""
        lease_end = backend.extend_lease(now)
        if lease_end is None:
            raise ValueError(f"no clock reading from {backend!r} yet")
        run = backends.Run(
            order,
            self._observed.at(now),
            now,
            was_cold=backend.is_cold(now),
        )
        backend.add_run(run)
        if order.is_suspect:
            # Peers know of the run if this host is lost before its end.
            self._record_fate(run, model.ServerFate.SILENT)
        self.changes += 1
        self._backend_by_run[order.key] = backend
        self._starting[order.key] = backend
        backend.starting += 1
        self._active_run_counts[order.ref.name] += 1
        return [
            effects.StartRun(
                incarnation=backend.incarnation,
                address=backend.report.address,
                fence=backend.fence,
                run=order.key,
                spec=order.spec,
                lease_ends_ms=lease_end,
                send_by=now + START_SEND_LIMIT,
            ),
            *self._poll(backend, now),
        ]

    def stop(
        self, key: model.RunKey, now: datetime.datetime
    ) -> effects.Effects:
        """Stop a run; its end is reported once it is certain."""
        backend = self._backend_by_run.get(key)
        if backend is None:
            return []
        run = backend.runs[key]
        if run.stop_requested_at is not None:
            return []
        run.stop_requested_at = now
        return self._send_stop(backend, run, now)

    def _send_stop(
        self,
        backend: backends.Backend,
        run: backends.Run,
        now: datetime.datetime,
    ) -> effects.Effects:
        run.stop_sent_at = now
        run.stop_observed_at = self._observed.at(now)
        run.stops_sent += 1
        return [self._stop_effect(backend, run.order.key)]

    def _stop_effect(
        self, backend: backends.Backend, key: model.RunKey
    ) -> effects.StopRun:
        return effects.StopRun(
            backend.incarnation, backend.report.address, backend.fence, key
        )

    def _poll(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Poll a server if a poll is needed and due, and none is under way."""
        # Checked first because it rules out most servers at each tick.
        if backend.is_polling or now < backend.next_poll_at:
            return []
        is_needed = (
            backend.runs
            or backend.foreign_runs
            or backend.is_acknowledgement_due(now)
            or backend.is_check_due(now)
            or backend.is_check_wanted
            or backend.state
            in (
                backends.BackendState.UNVERIFIED,
                backends.BackendState.SUSPECT,
            )
        )
        if not is_needed or backend.state is backends.BackendState.FENCED:
            return []
        backend.is_polling = True
        backend.poll_count += 1
        backend.poll_number = backend.poll_count
        backend.poll_sent_at = self._observed.at(now)
        # A server that has restarted counts its ends anew, so ends are
        # acknowledged only to one that has just answered a poll, or while
        # nothing can have ended there since.
        acknowledges = (
            backend.acknowledge_at is not None
            and backend.state is backends.BackendState.READY
            and (not backend.runs or backend.last_polled_at == now)
        )
        backend.is_acknowledging = acknowledges and not backend.runs
        may_extend = backend.runs and backend.may_extend_lease(now)
        may_wait = (
            backend.runs
            and backend.state is backends.BackendState.READY
            and not any(
                run.settled_by_poll is not None
                for run in backend.runs.values()
            )
            # A poll that got no answer is repeated without a wait.
            and not (self._settings.fast_settlement and backend.failed_polls)
        )
        backend.poll_wait = POLL_WAIT if may_wait else model.ZERO
        backend.poll_acknowledged = backend.acknowledged if acknowledges else 0
        return [
            effects.PollBackend(
                incarnation=backend.incarnation,
                address=backend.report.address,
                fence=backend.fence,
                acknowledged=backend.poll_acknowledged,
                lease_ends_ms=backend.extend_lease(now)
                if may_extend
                else None,
                wait=backend.poll_wait,
                number=backend.poll_number,
            )
        ]

    def _check(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Send an additional poll, which neither waits nor changes anything.

        A poll under way may wait at the server, or may have been lost.
        """
        states = backends.BackendState
        if backend.check_number is not None or backend.state not in (
            states.READY,
            states.SUSPECT,
        ):
            return []
        backend.poll_count += 1
        backend.check_number = backend.poll_count
        backend.check_sent_at = self._observed.at(now)
        return [
            effects.PollBackend(
                incarnation=backend.incarnation,
                address=backend.report.address,
                fence=backend.fence,
                acknowledged=0,
                lease_ends_ms=None,
                wait=model.ZERO,
                number=backend.check_number,
            )
        ]

    # Replies of backend servers.

    def started(
        self,
        incarnation: model.BackendIncarnation,
        key: model.RunKey,
        outcome: model.CallOutcome,
        server_clock_ms: int | None,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Handle the reply to an order to start a run."""
        self._end_start(key)
        backend = self._backends.get(incarnation)
        run = backend.runs.get(key) if backend is not None else None
        if backend is None or run is None:
            return []
        if server_clock_ms is not None:
            backend.record_clock(server_clock_ms, now)
            backend.last_heard_at = now
        outcomes = model.CallOutcome
        match outcome:
            case outcomes.ACCEPTED:
                if self._settings.fast_settlement:
                    self._handle_late_answer(run, now)
                if run.state is backends.RunState.ORDERED:
                    run.state = backends.RunState.RUNNING
                    run.accepted_at = self._observed.at(now)
                return []
            case outcomes.UNKNOWN:
                return self._handle_unanswered_start(backend, run, now)
            case outcomes.FENCED:
                return self._handle_lost_backend(backend, outcome, now)
            case outcomes.OTHER_INCARNATION:
                self._end_run(
                    backend, run, model.TaskEnd.NOT_RUN, outcome.value, now
                )
                return self._handle_lost_backend(backend, outcome, now)
            case outcomes.UNHEALTHY | outcomes.NOT_SENT:
                self._end_run(
                    backend, run, model.TaskEnd.NOT_RUN, outcome.value, now
                )
                return self._mark_suspect(backend, now, outcome.value)
            case _:
                self._end_run(
                    backend, run, model.TaskEnd.NOT_RUN, outcome.value, now
                )
                return [
                    effects.Log(
                        "run.refused",
                        {
                            "task": key.task,
                            "run": key.run,
                            "backend": incarnation.backend_id,
                            "reason": outcome.value,
                        },
                    )
                ]

    def _handle_unanswered_start(
        self,
        backend: backends.Backend,
        run: backends.Run,
        now: datetime.datetime,
    ) -> effects.Effects:
        done: effects.Effects = []
        if not self._settings.fast_settlement:
            done = self._mark_suspect(backend, now, "start unanswered")
        elif run.state is not backends.RunState.ORDERED:
            # It is being settled already, or is known to have been started.
            return []
        run.is_overdue = self._settings.fast_settlement
        self._record_late_start(backend, run, now)
        if run.is_stop_confirmed:
            _settle_by_next_poll(backend, run, now)
            return [*done, *self._poll_to_settle(backend, now)]
        run.state = backends.RunState.IN_DOUBT
        run.stops_sent = 0
        run.stop_requested_at = run.stop_requested_at or now
        return [*done, *self._send_stop(backend, run, now)]

    def _record_late_start(
        self,
        backend: backends.Backend,
        run: backends.Run,
        now: datetime.datetime,
    ) -> None:
        """Record that an unanswered start may be carried out late."""
        backend.order_pending_until = now + backends.LATE_ORDER_LIMIT
        limits = self._late_starts.setdefault(run.order.ref.name, {})
        limits[backend.incarnation.backend_id] = (
            run.sent_at + backends.LATE_RUN_LIMIT
        )

    def _handle_late_answer(
        self, run: backends.Run, now: datetime.datetime
    ) -> None:
        """Learn from an accepted start; it may have been stopped meanwhile.

        A run that was started before it was stopped ends as any other one
        does, when its end is listed.
        """
        observed_now = self._observed.at(now)
        self._answer_times.learn(observed_now - run.ordered_at)
        if run.state is backends.RunState.IN_DOUBT:
            run.state = backends.RunState.ORDERED
        elif run.state is backends.RunState.SETTLED and not run.is_moved:
            run.accepted_at = run.accepted_at or observed_now

    def _poll_to_settle(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Poll a server, with an additional poll if one is under way."""
        done = self._poll(backend, now)
        if not done and self._settings.fast_settlement:
            done = self._check(backend, now)
        return done

    def stopped(
        self,
        incarnation: model.BackendIncarnation,
        key: model.RunKey,
        outcome: model.CallOutcome,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Handle the reply to an order to stop a run."""
        backend = self._backends.get(incarnation)
        if backend is None:
            return []
        if outcome in LOST_OUTCOMES:
            return self._handle_lost_backend(backend, outcome, now)
        run = backend.runs.get(key)
        if outcome is not model.CallOutcome.ACCEPTED:
            if (
                self._settings.fast_settlement
                and outcome is model.CallOutcome.UNKNOWN
                and (
                    run is None
                    or run.is_stop_confirmed
                    or run.state is backends.RunState.IN_DOUBT
                )
            ):
                # Another stop was answered, or ticks judge it sooner.
                return []
            return self._mark_suspect(backend, now, "stop unanswered")
        if run is not None:
            run.is_stop_confirmed = True
            if run.state is backends.RunState.IN_DOUBT:
                _settle_by_next_poll(backend, run, now)
                return self._poll_to_settle(backend, now)
        return self._poll(backend, now)

    def polled(
        self,
        incarnation: model.BackendIncarnation,
        outcome: model.CallOutcome,
        server_clock_ms: int | None,
        running: tuple[model.RunKey, ...],
        ended: tuple[model.EndedRun, ...],
        now: datetime.datetime,
        number: int | None = None,
        percents: tuple[int, ...] = (),
    ) -> effects.Effects:
        """Handle a backend server's lists of runs."""
        backend = self._backends.get(incarnation)
        if backend is None:
            return []
        if number is None or not self._settings.fast_settlement:
            number = backend.poll_number
        if number == backend.check_number:
            backend.check_number = None
        elif number == backend.poll_number:
            backend.is_polling = False
            if backend.is_acknowledging:
                backend.is_acknowledging = False
                self.changes += 1
        elif outcome not in LOST_OUTCOMES:
            # Another poll has been sent instead of this one.
            return []
        if backend.state is backends.BackendState.FENCED:
            # The poll was answered before the newer scheduler's first call.
            return []
        if outcome in LOST_OUTCOMES:
            return self._handle_lost_backend(backend, outcome, now)
        if (
            outcome is not model.CallOutcome.ACCEPTED
            or server_clock_ms is None
        ):
            return self._poll_failed(backend, now, outcome, number)
        backend.is_check_wanted = False
        backend.record_clock(server_clock_ms, now)
        backend.last_heard_at = backend.last_polled_at = now
        backend.failed_polls = backend.failed_checks = 0
        if self._is_poll_overdue(backend, now):
            backend.is_polling = False
        backend.next_poll_at = now
        if (
            number == backend.poll_number
            and backend.poll_acknowledged >= backend.acknowledged
        ):
            # A reply that was overtaken may not list the ends yet, so only
            # the reply to their acknowledgement shows that it has arrived.
            backend.acknowledge_at = None
        self._record_answer(backend)
        if self._settings.run_progress:
            self._record_progress(backend, running, percents, now)
        self._process_ended_runs(backend, ended, now)
        self._free_settled_runs(backend, running, now, number)
        done = self._verify(backend, running, now)
        done += self._poll(backend, now)
        if any(
            run.settled_by_poll is not None
            and run.settled_by_poll > backend.poll_count
            for run in backend.runs.values()
        ):
            # A stop was confirmed while this poll was under way.
            done += self._poll_to_settle(backend, now)
        return done

    def _record_progress(
        self,
        backend: backends.Backend,
        running: tuple[model.RunKey, ...],
        percents: tuple[int, ...],
        now: datetime.datetime,
    ) -> None:
        observed_now = self._observed.at(now)
        for key, percent in zip(running, percents, strict=False):
            run = backend.runs.get(key)
            if run is not None and run.record_percent(percent, observed_now):
                self.progress_rises[run.order.queue] += 1

    def _process_ended_runs(
        self,
        backend: backends.Backend,
        ended: tuple[model.EndedRun, ...],
        now: datetime.datetime,
    ) -> None:
        for entry in ended:
            # An end that is listed again was not acknowledged.
            backend.acknowledge_at = now + ACKNOWLEDGE_DELAY
            if entry.serial <= backend.acknowledged:
                continue
            backend.acknowledged = entry.serial
            key = model.RunKey(entry.task, entry.run)
            backend.foreign_runs.discard(key)
            backend.foreign_stop_sent_at.pop(key, None)
            run = backend.runs.get(key)
            if run is not None:
                self._record_presence(backend, run)
                self._record_end(run)
                self._record_settlement(backend, run, entry.end.value, now)
                self._end_run(
                    backend, run, _task_end(entry.end), entry.end.value, now
                )

    def _free_settled_runs(
        self,
        backend: backends.Backend,
        running: tuple[model.RunKey, ...],
        now: datetime.datetime,
        number: int,
    ) -> None:
        """Free the resources of settled runs that are not there."""
        present = set(running)
        present_tasks = {key.task for key in running}
        for key, run in list(backend.runs.items()):
            poll = run.settled_by_poll
            if poll is None or number < poll:
                continue
            if key in present:
                run.settled_by_poll = None
                self._record_settlement(backend, run, "started", now)
                backend.assume_longest_lease()
                self._record_presence(backend, run)
            elif not run.is_moved:
                self._record_settlement(backend, run, NEVER_STARTED, now)
                self._end_run(
                    backend, run, model.TaskEnd.NOT_RUN, NEVER_STARTED, now
                )
            elif key.task not in present_tasks:
                # An earlier run of the task may have started late.
                if not _is_older(run, backend, now):
                    self._record_end(run)
                elif run.fate is model.ServerFate.SILENT:
                    self._record_crash(run)
                self._end_run(
                    backend, run, model.TaskEnd.GONE, "restarted", now
                )

    def _verify(
        self,
        backend: backends.Backend,
        running: tuple[model.RunKey, ...],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Mark a server ready, an unverified one once it has no foreign runs.

        Foreign runs of an unverified server are stopped.
        """
        done: effects.Effects = []
        if backend.state is backends.BackendState.UNVERIFIED:
            backend.foreign_runs = {
                key for key in running if key not in backend.runs
            }
            for key in running:
                if key not in backend.foreign_runs:
                    continue
                sent = backend.foreign_stop_sent_at.get(key)
                if sent is None or now - sent > STOP_RETRY:
                    backend.foreign_stop_sent_at[key] = now
                    done.append(self._stop_effect(backend, key))
            if backend.foreign_runs:
                backend.next_poll_at = now + POLL_RETRY
                return done
        if backend.state is not backends.BackendState.READY:
            done.append(
                effects.Log(
                    "backend.ready",
                    {
                        "backend": backend.incarnation.backend_id,
                        "was": backend.state.value,
                        "fence": backend.fence,
                        "running": len(running),
                    },
                )
            )
            backend.state = backends.BackendState.READY
            self._usable_until = None
            self.changes += 1
        return done

    def _poll_failed(
        self,
        backend: backends.Backend,
        now: datetime.datetime,
        outcome: model.CallOutcome,
        number: int,
    ) -> effects.Effects:
        if (
            self._settings.fast_settlement
            and outcome is model.CallOutcome.UNKNOWN
            and backend.state is backends.BackendState.READY
        ):
            if number != backend.poll_number:
                return self._handle_unanswered_check(backend, now)
            if not backend.failed_polls:
                # A quick poll decides whether the server is silent.
                backend.failed_polls = 1
                backend.next_poll_at = now
                return self._poll(backend, now)
        backend.failed_polls += 1
        delay = POLL_RETRY
        if now >= backend.order_pending_until:
            delay *= 2 ** min(backend.failed_polls - 1, 8)
        backend.next_poll_at = now + min(delay, POLL_RETRY_MAX)
        return self._mark_suspect(backend, now, f"look {outcome.value}")

    def _handle_unanswered_check(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Repeat an additional poll, or consider the server silent."""
        backend.failed_checks += 1
        if backend.failed_checks < UNANSWERED_MAX:
            return self._check(backend, now)
        return self._mark_suspect(backend, now, "look unanswered")

    def _answer_limit(self) -> datetime.timedelta:
        """Return how long an answer may take; more if this host is late.

        Answers that have arrived may not have been read yet.
        """
        bound = self._answer_times.bound
        return 2 * bound if self._observed.was_late else bound

    def _is_poll_overdue(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> bool:
        """Return whether the poll under way should have been answered.

        One that acknowledges ends must not be overtaken by an order.
        """
        if not self._settings.fast_settlement or not backend.is_polling:
            return False
        open_for = self._observed.at(now) - backend.poll_sent_at
        return (
            not backend.is_acknowledging
            and open_for > backend.poll_wait + self._answer_limit()
        )

    def _settle_overdue_calls(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Settle starts, stops and polls that are not answered in time."""
        done: effects.Effects = []
        limit = self._answer_limit()
        observed_now = self._observed.at(now)
        states = backends.RunState
        for run in backend.runs.values():
            if run.state is states.ORDERED:
                if observed_now - run.ordered_at > limit:
                    done += self._handle_unanswered_start(backend, run, now)
            elif (
                run.state is states.IN_DOUBT
                and not run.is_stop_confirmed
                and run.stop_observed_at is not None
                and observed_now - run.stop_observed_at > limit
            ):
                if run.stops_sent >= UNANSWERED_MAX:
                    done += self._mark_suspect(backend, now, "stop unanswered")
                else:
                    done += self._send_stop(backend, run, now)
        if backend.check_number is not None:
            if observed_now - backend.check_sent_at > limit:
                backend.check_number = None
                done += self._handle_unanswered_check(backend, now)
        elif self._should_have_ended(backend, limit, now):
            # The poll under way, which would list the end, may be lost.
            backend.checked_poll = backend.poll_number
            done += self._check(backend, now)
        elif self._is_poll_overdue(backend, now):
            waited = observed_now - backend.check_sent_at
            is_ready = backend.state is backends.BackendState.READY
            if is_ready or waited > CHECK_RETRY:
                done += self._check(backend, now)
        return done

    def _should_have_ended(
        self,
        backend: backends.Backend,
        limit: datetime.timedelta,
        now: datetime.datetime,
    ) -> bool:
        """Return whether a run is overdue since a poll was sent.

        This is asked once for each poll.
        """
        if not backend.is_polling or (
            backend.checked_poll == backend.poll_number
        ):
            return False
        observed_now = self._observed.at(now)
        if observed_now - backend.poll_sent_at <= limit:
            return False
        slowness = backend.learned_slowness.slowness
        return any(
            run.accepted_at is not None
            and observed_now - run.accepted_at
            > OVERDUE_FACTOR * slowness * run.order.estimate + limit
            for run in backend.runs.values()
        )

    def _record_settlement(
        self,
        backend: backends.Backend,
        run: backends.Run,
        found: str,
        now: datetime.datetime,
    ) -> None:
        """Log what has become of a start that was not answered in time."""
        if not run.is_overdue:
            return
        run.is_overdue = False
        held = now - run.sent_at
        if found == "started" and run.accepted_at is None:
            # The bound was too short for this server's answer.
            elapsed = self._observed.at(now) - run.ordered_at
            self._answer_times.learn(elapsed)
        self.settlement_seconds += SETTLEMENT_WEIGHT * (
            held.total_seconds() - self.settlement_seconds
        )
        self.pending_logs.append(
            effects.Log(
                "run.settled",
                {
                    "task": run.order.ref.name,
                    "run": run.order.run,
                    "backend": backend.incarnation.backend_id,
                    "found": found,
                    "processors": run.order.resources.processors,
                    "held_ms": model.milliseconds(held),
                },
            )
        )

    def _mark_suspect(
        self, backend: backends.Backend, now: datetime.datetime, reason: str
    ) -> effects.Effects:
        if backend.state is not backends.BackendState.READY:
            return []
        backend.state = backends.BackendState.SUSPECT
        self._usable_until = None
        self.changes += 1
        heard = backend.last_heard_at
        age = None if heard is None else (now - heard).total_seconds()
        return [
            effects.Log(
                "backend.suspect",
                {
                    "backend": backend.incarnation.backend_id,
                    "reason": reason,
                    "heard_seconds_ago": age,
                },
            )
        ]

    def _handle_lost_backend(
        self,
        backend: backends.Backend,
        outcome: model.CallOutcome,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Give up an incarnation that this host can no longer schedule."""
        if outcome is model.CallOutcome.OTHER_INCARNATION:
            self._ended_incarnations.add(backend.incarnation)
            self._record_crashes(backend)
            return self.end_incarnation(backend.incarnation, now, "other life")
        return self._mark_fenced(backend, now)

    def _mark_fenced(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Give up a server that takes orders from a newer scheduler."""
        if backend.state is backends.BackendState.FENCED:
            return []
        backend.state = backends.BackendState.FENCED
        self._usable_until = None
        self._record_answer(backend)
        for run in list(backend.runs.values()):
            self._end_run(backend, run, model.TaskEnd.LOST, "fenced", now)
        backend.foreign_runs.clear()
        for other in self._backends.values():
            # The newer scheduler is likely to have them, too.
            if other.report.zone == backend.report.zone:
                other.is_check_wanted = True
        return [
            effects.Log(
                "backend.fenced",
                {
                    "backend": backend.incarnation.backend_id,
                    "fence": backend.fence,
                },
            )
        ]

    def _end_run(
        self,
        backend: backends.Backend,
        run: backends.Run,
        end: model.TaskEnd,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        """Free a run's resources, and report its end if not yet reported."""
        if end is model.TaskEnd.NOT_RUN:
            self._record_end(run)
        self._remove_run(backend, run)
        self._report_end(backend, run, end, reason, now)

    def _remove_run(
        self, backend: backends.Backend, run: backends.Run
    ) -> None:
        """Free a run's resources."""
        backend.remove_run(run)
        # Another run with this key may have been ordered since the end of this
        # one was reported, for a later request for the same job.
        if self._backend_by_run.get(run.order.key) is backend:
            del self._backend_by_run[run.order.key]
            self._end_start(run.order.key)
        self.changes += 1

    def _report_end(
        self,
        backend: backends.Backend,
        run: backends.Run,
        end: model.TaskEnd,
        reason: str,
        now: datetime.datetime,
    ) -> None:
        if run.is_end_reported:
            return
        run.is_end_reported = True
        self._active_run_counts[run.order.ref.name] -= 1
        if not self._active_run_counts[run.order.ref.name]:
            del self._active_run_counts[run.order.ref.name]
        since = run.accepted_at or run.ordered_at
        elapsed = self._observed.at(now) - since
        slowness = backend.learned_slowness.slowness
        if run.was_cold:
            slowness *= max(1.0, self._cold_slowness.slowness)
        self._learn(backend, run, end, elapsed, now)
        self.ended.append(
            EndedTask(
                run.order,
                end,
                backend.incarnation.backend_id,
                elapsed,
                reason,
                slowness,
            )
        )

    def _learn(
        self,
        backend: backends.Backend,
        run: backends.Run,
        end: model.TaskEnd,
        elapsed: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        name = str(backend.incarnation)
        if end is model.TaskEnd.DONE:
            is_in_time = self._settings.run_progress and self._compare(
                backend, run, elapsed
            )
            if run.was_cold:
                usual = run.order.estimate * backend.learned_slowness.slowness
                self._cold_slowness.learn(elapsed, usual)
            elif is_in_time or not run.is_long_by_itself:
                backend.learn_slowness(elapsed, run.order.estimate)
            self._detector.task_done(name, run.order.queue)
            if backend.ejected_until is not None:
                backend.ejected_until = None
                self._usable_until = None
                self.changes += 1
        elif end is model.TaskEnd.FAILED:
            is_faulty = self._detector.task_failed(name, run.order.queue)
            if is_faulty and self._may_eject(backend, now):
                backend.ejected_until = now + EJECTION_TIME
                self._usable_until = None
                self.pending_logs.append(
                    effects.Log(
                        "backend.set_aside",
                        {
                            "backend": backend.incarnation.backend_id,
                            "seconds": EJECTION_TIME.total_seconds(),
                            "task": run.order.ref.name,
                            "slowness": round(
                                backend.learned_slowness.slowness, 2
                            ),
                        },
                    )
                )

    def _may_eject(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> bool:
        """Return whether a server may be ejected beside the ejected ones."""
        zone = backend.report.zone
        others = [
            each
            for each in self._backends.values()
            if each.report.zone == zone and each is not backend
        ]
        ejected = sum(each.is_ejected(now) for each in others)
        usable = sum(each.is_usable(now) for each in others)
        limit = max(1.0, MAX_EJECTED_SHARE * (usable + ejected + 1))
        return ejected + 1 <= limit

    def _compare(
        self,
        backend: backends.Backend,
        run: backends.Run,
        elapsed: datetime.timedelta,
    ) -> bool:
        """Return whether a run ended in time, and record it for earlier ones.

        Runs are compared with each other to tell a slow server from tasks
        that take long by themselves.
        """
        limit = stuck_runs.IN_TIME_FACTOR * run.order.estimate
        is_in_time = elapsed <= limit
        for other in backend.runs.values():
            if other.ordered_at <= run.ordered_at:
                other.later_in_time += is_in_time
                other.later_late += not is_in_time
        return is_in_time

    # Crashes.

    def _record_silence(self, backend: backends.Backend) -> None:
        """Record that a server may have crashed under its runs.

        A server that drains ends its runs when it leaves, which is no crash.
        """
        if backend.report.advertised_state is model.AdvertisedState.READY:
            for run in backend.runs.values():
                self._record_fate(run, model.ServerFate.SILENT)

    def _record_crashes(self, backend: backends.Backend) -> None:
        """Record that a server has crashed under its runs."""
        if backend.report.advertised_state is model.AdvertisedState.READY:
            for run in backend.runs.values():
                self._record_crash(run)

    def _record_crash(self, run: backends.Run) -> None:
        """Record that a server has crashed under a run.

        A start without an answer may have been sent to a server that was down
        already, so it stays a possible crash.
        """
        is_answered = run.accepted_at is not None
        fates = model.ServerFate
        self._record_fate(run, fates.CRASHED if is_answered else fates.SILENT)

    def _record_answer(self, backend: backends.Backend) -> None:
        """Record that a server which was silent has not crashed."""
        for run in backend.runs.values():
            if run.is_end_reported and run.incarnation == backend.incarnation:
                self._record_end(run)

    def _record_end(self, run: backends.Run) -> None:
        """Record that a run did not crash its server."""
        if run.fate is model.ServerFate.SILENT:
            self._record_fate(run, model.ServerFate.ALIVE)

    def _record_presence(
        self, backend: backends.Backend, run: backends.Run
    ) -> None:
        """Record that a moved run was started by the new incarnation."""
        if run.is_moved and run.incarnation != backend.incarnation:
            self._record_fate(run, model.ServerFate.ALIVE)
            run.incarnation = backend.incarnation
            run.fate = None

    def _record_fate(self, run: backends.Run, fate: model.ServerFate) -> None:
        if run.fate is fate or run.incarnation is None:
            return
        run.fate = fate
        evidence = model.CrashEvidence(
            run.order.ref.name, run.incarnation, fate
        )
        self.crash_evidence.append(evidence)
        self.pending_logs.append(
            effects.Log(
                "run.crash_evidence",
                {
                    "task": evidence.task,
                    "run": run.order.run,
                    "backend": run.incarnation.backend_id,
                    "life": run.incarnation.started_ms,
                    "fate": fate.value,
                    "was_alone": not run.was_shared,
                },
            )
        )

    # Time.

    def tick(self, now: datetime.datetime) -> effects.Effects:
        """Repeat unanswered stops, poll, and report runs of expired leases."""
        self._forget_late_starts(now)
        self._check_idle_pools(now)
        done: effects.Effects = []
        for backend in list(self._backends.values()):
            if (
                not backend.runs
                and backend.state is backends.BackendState.READY
                and backend.acknowledge_at is None
                and now >= backend.order_pending_until
                and not backend.foreign_runs
                and not backend.is_check_wanted
            ):
                # There is nothing to poll for on an idle server.
                continue
            if backend.state is backends.BackendState.FENCED:
                continue
            done += failures.confine(backend, self._tick_backend, backend, now)
        return done

    def _check_idle_pools(self, now: datetime.datetime) -> None:
        """Have a server of each pool polled that has long been idle.

        A server tells only in answers that another host has fenced it off.
        The one that was polled least recently is polled.
        """
        if now - self._pools_checked_at < POOL_CHECK_INTERVAL:
            return
        self._pools_checked_at = now
        idle: dict[str, backends.Backend] = {}
        busy = set()
        for backend in self._backends.values():
            polled_at = backend.last_polled_at
            if (
                backend.state is not backends.BackendState.READY
                or polled_at is None
            ):
                continue
            zone = backend.report.zone
            if backend.is_polling or now - polled_at < IDLE_POOL_LIMIT:
                busy.add(zone)
            known = idle.setdefault(zone, backend)
            if polled_at < (known.last_polled_at or polled_at):
                idle[zone] = backend
        for zone, backend in idle.items():
            if zone not in busy:
                backend.is_check_wanted = True

    def _tick_backend(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        done: effects.Effects = []
        if backend.is_polling and (
            self._observed.at(now) - backend.poll_sent_at > POLL_LIMIT
        ):
            backend.is_polling = False
        for run in backend.runs.values():
            if _is_stop_due(run, now):
                done += self._send_stop(backend, run, now)
        if self._settings.fast_settlement:
            done += self._settle_overdue_calls(backend, now)
        if backend.state is backends.BackendState.SUSPECT:
            self._report_lapsed_runs(backend, now)
        return done + self._poll(backend, now)

    def _forget_late_starts(self, now: datetime.datetime) -> None:
        """Forget the oldest starts that can no longer be carried out."""
        while self._late_starts:
            task, limits = next(iter(self._late_starts.items()))
            if any(now < limit for limit in limits.values()):
                return
            del self._late_starts[task]

    def _report_lapsed_runs(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> None:
        """Report the end of runs whose lease has certainly expired.

        Their resources stay occupied, as the server has not listed their ends.
        A start without an answer may yet be carried out by an incarnation of
        the server that knows neither the fence nor the stop.
        """
        if not backend.runs or now < backend.latest_lapse_time(now):
            return
        self._record_silence(backend)
        for run in backend.runs.values():
            run.stop_requested_at = run.stop_requested_at or now
            run.has_lapsed = True
            if not run.may_start(now):
                self._report_end(
                    backend, run, model.TaskEnd.GONE, "lease expired", now
                )


def _is_stop_due(run: backends.Run, now: datetime.datetime) -> bool:
    return (
        run.stop_requested_at is not None
        and not run.is_stop_confirmed
        and (run.stop_sent_at is None or now - run.stop_sent_at > STOP_RETRY)
    )


def _is_older(
    run: backends.Run, backend: backends.Backend, now: datetime.datetime
) -> bool:
    """Return whether a run was ordered before its server started.

    A server's clock counts from its start, and is not fast.
    """
    uptime = backend.uptime(now)
    return uptime is None or now - run.sent_at > uptime


def _settle_by_next_poll(
    backend: backends.Backend, run: backends.Run, now: datetime.datetime
) -> None:
    run.state = backends.RunState.SETTLED
    run.settled_by_poll = backend.poll_count + 1
    backend.next_poll_at = now


def _task_end(end: model.RunEnd) -> model.TaskEnd:
    if end is model.RunEnd.DONE:
        return model.TaskEnd.DONE
    if end is model.RunEnd.FAILED:
        return model.TaskEnd.FAILED
    return model.TaskEnd.GONE
