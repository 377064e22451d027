"""Runs on the backend servers that this host orders.

Backend servers neither guard their room nor refuse a second run of a task
elsewhere. A run therefore occupies its room from the order until the server
lists its end, or it is certain that the order never took effect. A server is
used only after it was fenced off from its former scheduler and runs nothing
that that one started.
"""

import collections
from collections.abc import Iterator
import dataclasses
import datetime
import enum

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.routing import outliers

# A look at a server waits this long for an end. Leases are renewed as often,
# which leaves time for two looks that fail before the lease is over.
POLL_WAIT = datetime.timedelta(milliseconds=300)
# A look that failed is repeated after this time, doubled up to the maximum.
POLL_RETRY = datetime.timedelta(milliseconds=60)
POLL_RETRY_MAX = datetime.timedelta(milliseconds=500)
# Ends on a server on which nothing runs any more are acknowledged after this
# time, or with the next look if a run is ordered before: a busy server saves a
# call that way. The platform expects it within seconds.
ACKNOWLEDGE_DELAY = datetime.timedelta(milliseconds=250)
# An unanswered stop is sent again after this time.
STOP_RETRY = datetime.timedelta(milliseconds=150)
# A server that fails everything is set aside for this long, then tried.
EJECTION_TIME = datetime.timedelta(seconds=3)
# The platform's list may lack a living server for about two seconds.
MISSING_GRACE = datetime.timedelta(seconds=2.5)


# Answers by which a life is lost to this host.
LOST_OUTCOMES = frozenset(
    {model.CallOutcome.FENCED, model.CallOutcome.OTHER_INCARNATION}
)


class TaskEnd(enum.Enum):
    """How a run ended for whoever ordered it.

    NOT_RUN never began and GONE began and is over; both may run again. LOST
    may still be running under another scheduler.
    """

    DONE = "done"
    FAILED = "failed"
    NOT_RUN = "not_run"
    GONE = "gone"
    LOST = "lost"


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTask:
    """The end of a run that was ordered here.

    ``slowness`` is that of the backend server, without this run.
    """

    order: backends.TaskOrder
    end: TaskEnd
    backend_id: str
    elapsed: datetime.timedelta
    slowness: float = 1.0


class RunTracker:
    """Orders runs, follows them to their end, and accounts for room."""

    def __init__(self) -> None:
        self._backends: dict[model.BackendIncarnation, backends.Backend] = {}
        self._places: dict[model.RunKey, backends.Backend] = {}
        self._tasks: collections.Counter[str] = collections.Counter()
        self._detector = outliers.LikelihoodDetector()
        self.ended: list[EndedTask] = []
        # Log lines about what single runs have taught.
        self.pending_logs: effects.Effects = []
        # Counts what may have changed the free room.
        self.changes = 0
        # Valid at one time, and until a server's state changes.
        self._usable: list[backends.Backend] = []
        self._usable_at: datetime.datetime | None = None
        self._largest_free = 0
        self._largest_free_at: tuple[datetime.datetime, int] | None = None

    def __iter__(self) -> Iterator[backends.Backend]:
        return iter(self._backends.values())

    def get(
        self, incarnation: model.BackendIncarnation
    ) -> backends.Backend | None:
        """Return a backend server that is ordered here, if it is."""
        return self._backends.get(incarnation)

    def usable(self, now: datetime.datetime) -> list[backends.Backend]:
        """Return the backend servers on which runs may be ordered now."""
        if self._usable_at != now:
            self._usable = [
                each for each in self._backends.values() if each.is_usable(now)
            ]
            self._usable_at = now
        return self._usable

    def largest_free(self, now: datetime.datetime) -> int:
        """Return the most processors that are free on one usable server."""
        usable = self.usable(now)
        if self._largest_free_at != (now, self.changes):
            self._largest_free_at = (now, self.changes)
            self._largest_free = max(
                (each.free.processors for each in usable), default=0
            )
        return self._largest_free

    def has_run_of(self, task: str) -> bool:
        """Tell whether a run of a task may still be under way here.

        One whose lease has certainly lapsed is not, though a silent server
        has not listed its end yet.
        """
        return self._tasks[task] > 0

    # Which servers are ordered here.

    def acquire(
        self, report: model.BackendReport, fence: int, now: datetime.datetime
    ) -> effects.Effects:
        """Begin to order a backend server."""
        backend = backends.Backend(report, fence, now)
        self._backends[report.incarnation] = backend
        self._usable_at = None
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
        """Order a backend server no more; what runs there may go on."""
        return self._drop(
            incarnation, TaskEnd.LOST, "backend.released", reason, now
        )

    def begin_release(self, backend: backends.Backend) -> None:
        """Order no new runs on a server that is to be released."""
        backend.is_releasing = True
        self._usable_at = None

    def end_incarnation(
        self,
        incarnation: model.BackendIncarnation,
        now: datetime.datetime,
        reason: str,
    ) -> effects.Effects:
        """Forget a life that is over; what it ran is over too."""
        return self._drop(
            incarnation, TaskEnd.GONE, "backend.gone", reason, now
        )

    def _drop(
        self,
        incarnation: model.BackendIncarnation,
        end: TaskEnd,
        event: str,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Forget a backend server, with the same end for all its runs."""
        backend = self._backends.pop(incarnation, None)
        self._usable_at = None
        if backend is None:
            return []
        for run in list(backend.runs.values()):
            self._end(backend, run, end, now)
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

    def report(self, report: model.BackendReport) -> effects.Effects:
        """Take in what a backend server says of itself."""
        backend = self._backends[report.incarnation]
        changed = (
            backend.report.advertised_state is not report.advertised_state
        )
        backend.update_report(report)
        backend.missing_since = None
        self._usable_at = None
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

    def missing(
        self, incarnation: model.BackendIncarnation, now: datetime.datetime
    ) -> effects.Effects:
        """Note that the platform's list lacks a backend server."""
        backend = self._backends[incarnation]
        if backend.missing_since is None:
            backend.missing_since = now
            self._usable_at = None
        is_silent = backend.state is not backends.BackendState.READY
        is_over = now - backend.missing_since > MISSING_GRACE
        if is_over and (is_silent or not backend.runs):
            return self.end_incarnation(incarnation, now, "not listed")
        return []

    # Orders.

    def start(
        self,
        order: backends.TaskOrder,
        backend: backends.Backend,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Order a run; the caller has made sure that it fits."""
        lease_end = backend.lease_end(now)
        if lease_end is None:
            raise ValueError(f"{backend!r} has shown no clock yet")
        backend.add_run(backends.Run(order, now))
        self.changes += 1
        self._places[order.key] = backend
        self._tasks[order.ref.name] += 1
        return [
            effects.StartRun(
                incarnation=backend.incarnation,
                address=backend.report.address,
                fence=backend.fence,
                run=order.key,
                spec=order.spec,
                lease_ends_ms=lease_end,
            ),
            *self._poll(backend, now),
        ]

    def stop(
        self, key: model.RunKey, now: datetime.datetime
    ) -> effects.Effects:
        """Stop a run; its end is reported when it is certain."""
        backend = self._places.get(key)
        if backend is None:
            return []
        run = backend.runs[key]
        if run.stop_wanted_at is not None:
            return []
        run.stop_wanted_at = now
        return self._send_stop(backend, run, now)

    def _send_stop(
        self,
        backend: backends.Backend,
        run: backends.Run,
        now: datetime.datetime,
    ) -> effects.Effects:
        run.stop_sent_at = now
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
        """Fetch the lists, unless that is under way or not needed."""
        is_needed = (
            backend.runs
            or backend.foreign
            or backend.is_acknowledgement_due(now)
            or backend.state
            in (
                backends.BackendState.UNVERIFIED,
                backends.BackendState.SUSPECT,
            )
        )
        if backend.is_polling or not is_needed or now < backend.next_poll_at:
            return []
        if backend.state is backends.BackendState.FENCED:
            return []
        backend.is_polling = True
        backend.poll_count += 1
        may_extend = backend.runs and backend.may_extend_lease(now)
        may_wait = (
            backend.runs
            and backend.state is backends.BackendState.READY
            and not any(
                run.settled_by_poll is not None
                for run in backend.runs.values()
            )
        )
        return [
            effects.PollBackend(
                incarnation=backend.incarnation,
                address=backend.report.address,
                fence=backend.fence,
                acknowledged=backend.acknowledged,
                lease_ends_ms=backend.lease_end(now) if may_extend else None,
                wait=POLL_WAIT if may_wait else model.ZERO,
            )
        ]

    # Answers.

    def started(
        self,
        incarnation: model.BackendIncarnation,
        key: model.RunKey,
        outcome: model.CallOutcome,
        server_clock_ms: int | None,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Take in the answer to an order to start."""
        backend = self._backends.get(incarnation)
        run = backend.runs.get(key) if backend is not None else None
        if backend is None or run is None:
            return []
        if server_clock_ms is not None:
            backend.read_clock(server_clock_ms, now)
            backend.last_heard_at = now
        outcomes = model.CallOutcome
        match outcome:
            case outcomes.ACCEPTED:
                if run.state is backends.RunState.ORDERED:
                    run.state = backends.RunState.RUNNING
                    run.accepted_at = now
                return []
            case outcomes.UNKNOWN:
                return self._start_unanswered(backend, run, now)
            case outcomes.FENCED | outcomes.OTHER_INCARNATION:
                return self._lost(backend, outcome, now)
            case outcomes.UNHEALTHY | outcomes.NOT_SENT:
                self._end(backend, run, TaskEnd.NOT_RUN, now)
                return self._suspect(backend, now, outcome.value)
            case _:
                self._end(backend, run, TaskEnd.NOT_RUN, now)
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

    def _start_unanswered(
        self,
        backend: backends.Backend,
        run: backends.Run,
        now: datetime.datetime,
    ) -> effects.Effects:
        done = self._suspect(backend, now, "start unanswered")
        if run.is_stop_confirmed:
            _settle_by_next_poll(backend, run, now)
            return [*done, *self._poll(backend, now)]
        run.state = backends.RunState.DOUBTFUL
        run.stop_wanted_at = run.stop_wanted_at or now
        return [*done, *self._send_stop(backend, run, now)]

    def stopped(
        self,
        incarnation: model.BackendIncarnation,
        key: model.RunKey,
        outcome: model.CallOutcome,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Take in the answer to an order to stop."""
        backend = self._backends.get(incarnation)
        if backend is None:
            return []
        if outcome in LOST_OUTCOMES:
            return self._lost(backend, outcome, now)
        if outcome is not model.CallOutcome.ACCEPTED:
            return self._suspect(backend, now, "stop unanswered")
        run = backend.runs.get(key)
        if run is not None:
            run.is_stop_confirmed = True
            if run.state is backends.RunState.DOUBTFUL:
                _settle_by_next_poll(backend, run, now)
        return self._poll(backend, now)

    def polled(
        self,
        incarnation: model.BackendIncarnation,
        outcome: model.CallOutcome,
        server_clock_ms: int | None,
        running: tuple[model.RunKey, ...],
        ended: tuple[model.EndedRun, ...],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Take in a backend server's lists."""
        backend = self._backends.get(incarnation)
        if backend is None:
            return []
        backend.is_polling = False
        if outcome in LOST_OUTCOMES:
            return self._lost(backend, outcome, now)
        if (
            outcome is not model.CallOutcome.ACCEPTED
            or server_clock_ms is None
        ):
            return self._poll_failed(backend, now, outcome)
        backend.read_clock(server_clock_ms, now)
        backend.last_heard_at = now
        backend.failed_polls = 0
        backend.next_poll_at = now
        backend.acknowledge_at = None
        self._process_ended_runs(backend, ended, now)
        self._settle(backend, running, now)
        done = self._verify(backend, running, now)
        return [*done, *self._poll(backend, now)]

    def _process_ended_runs(
        self,
        backend: backends.Backend,
        ended: tuple[model.EndedRun, ...],
        now: datetime.datetime,
    ) -> None:
        for entry in ended:
            if entry.serial <= backend.acknowledged:
                continue
            backend.acknowledged = entry.serial
            backend.acknowledge_at = now + ACKNOWLEDGE_DELAY
            key = model.RunKey(entry.task, entry.run)
            backend.foreign.discard(key)
            backend.foreign_stops.pop(key, None)
            run = backend.runs.get(key)
            if run is not None:
                self._end(backend, run, _task_end(entry.end), now)

    def _settle(
        self,
        backend: backends.Backend,
        running: tuple[model.RunKey, ...],
        now: datetime.datetime,
    ) -> None:
        """Free the room of orders that are known never to take effect."""
        present = set(running)
        for key, run in list(backend.runs.items()):
            poll = run.settled_by_poll
            if poll is not None and backend.poll_count >= poll:
                if key in present:
                    run.settled_by_poll = None
                else:
                    self._end(backend, run, TaskEnd.NOT_RUN, now)

    def _verify(
        self,
        backend: backends.Backend,
        running: tuple[model.RunKey, ...],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Clear away what former schedulers left; use the server then."""
        done: effects.Effects = []
        if backend.state is backends.BackendState.UNVERIFIED:
            backend.foreign = {
                key for key in running if key not in backend.runs
            }
            for key in backend.foreign:
                sent = backend.foreign_stops.get(key)
                if sent is None or now - sent > STOP_RETRY:
                    backend.foreign_stops[key] = now
                    done.append(self._stop_effect(backend, key))
            if backend.foreign:
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
            self._usable_at = None
            self.changes += 1
        return done

    def _poll_failed(
        self,
        backend: backends.Backend,
        now: datetime.datetime,
        outcome: model.CallOutcome,
    ) -> effects.Effects:
        backend.failed_polls += 1
        pause = POLL_RETRY * 2 ** min(backend.failed_polls - 1, 8)
        backend.next_poll_at = now + min(pause, POLL_RETRY_MAX)
        return self._suspect(backend, now, f"look {outcome.value}")

    def _suspect(
        self, backend: backends.Backend, now: datetime.datetime, reason: str
    ) -> effects.Effects:
        if backend.state is not backends.BackendState.READY:
            return []
        backend.state = backends.BackendState.SUSPECT
        self._usable_at = None
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

    def _lost(
        self,
        backend: backends.Backend,
        outcome: model.CallOutcome,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Give up a life that this host can order no more."""
        if outcome is model.CallOutcome.OTHER_INCARNATION:
            return self.end_incarnation(backend.incarnation, now, "other life")
        return self._fenced(backend, now)

    def _fenced(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Give up a server that obeys a newer scheduler."""
        if backend.state is backends.BackendState.FENCED:
            return []
        backend.state = backends.BackendState.FENCED
        self._usable_at = None
        for run in list(backend.runs.values()):
            self._end(backend, run, TaskEnd.LOST, now)
        backend.foreign.clear()
        return [
            effects.Log(
                "backend.fenced",
                {
                    "backend": backend.incarnation.backend_id,
                    "fence": backend.fence,
                },
            )
        ]

    def _end(
        self,
        backend: backends.Backend,
        run: backends.Run,
        end: TaskEnd,
        now: datetime.datetime,
    ) -> None:
        """Free a run's room, and report its end if that was not done."""
        backend.remove_run(run)
        self._places.pop(run.order.key, None)
        self.changes += 1
        self._report(backend, run, end, now)

    def _report(
        self,
        backend: backends.Backend,
        run: backends.Run,
        end: TaskEnd,
        now: datetime.datetime,
    ) -> None:
        if run.is_reported:
            return
        run.is_reported = True
        self._tasks[run.order.ref.name] -= 1
        if not self._tasks[run.order.ref.name]:
            del self._tasks[run.order.ref.name]
        elapsed = now - (run.accepted_at or run.ordered_at)
        slowness = backend.learned_slowness.slowness
        self._learn(backend, run, end, elapsed, now)
        self.ended.append(
            EndedTask(
                run.order,
                end,
                backend.incarnation.backend_id,
                elapsed,
                slowness,
            )
        )

    def _learn(
        self,
        backend: backends.Backend,
        run: backends.Run,
        end: TaskEnd,
        elapsed: datetime.timedelta,
        now: datetime.datetime,
    ) -> None:
        name = str(backend.incarnation)
        if end is TaskEnd.DONE:
            backend.learn_slowness(elapsed, run.order.estimate)
            self._detector.task_done(name, run.order.queue)
            backend.ejected_until = None
        elif end is TaskEnd.FAILED:
            if self._detector.task_failed(name, run.order.queue):
                backend.ejected_until = now + EJECTION_TIME
                self._usable_at = None
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

    # Time.

    def tick(self, now: datetime.datetime) -> effects.Effects:
        """Send again what went unanswered; give up what has lapsed."""
        done: effects.Effects = []
        for backend in list(self._backends.values()):
            if backend.state is backends.BackendState.FENCED:
                continue
            for run in backend.runs.values():
                if _is_stop_due(run, now):
                    done += self._send_stop(backend, run, now)
            if backend.state is backends.BackendState.SUSPECT:
                self._lapse(backend, now)
            done += self._poll(backend, now)
        return done

    def _lapse(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> None:
        """Report runs whose lease is certainly over; keep their room."""
        if not backend.runs or now < backend.lapses_by(now):
            return
        for run in backend.runs.values():
            run.stop_wanted_at = run.stop_wanted_at or now
            self._report(backend, run, TaskEnd.GONE, now)


def _is_stop_due(run: backends.Run, now: datetime.datetime) -> bool:
    return (
        run.stop_wanted_at is not None
        and not run.is_stop_confirmed
        and (run.stop_sent_at is None or now - run.stop_sent_at > STOP_RETRY)
    )


def _settle_by_next_poll(
    backend: backends.Backend, run: backends.Run, now: datetime.datetime
) -> None:
    run.state = backends.RunState.SETTLED
    run.settled_by_poll = backend.poll_count + 1
    backend.next_poll_at = now


def _task_end(end: model.RunEnd) -> TaskEnd:
    if end is model.RunEnd.DONE:
        return TaskEnd.DONE
    if end is model.RunEnd.FAILED:
        return TaskEnd.FAILED
    return TaskEnd.GONE
