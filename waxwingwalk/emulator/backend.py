"""Emulated backend server.

It refuses orders with an old fence, an expired lease or an old run number. It
checks neither its capacity nor that a task runs only once at a time in the
fleet: both are up to the scheduler.
"""

from collections.abc import Callable
import dataclasses
import datetime

from waxwingwalk.core import clock
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import timeline as emulator_timeline

# The platform caps leases at this length.
LEASE_MAX_MS = 1000
# The clock runs 2% slow, which the platform allows.
CLOCK_RATE = 0.98
# Time from the order to stop a run until the run ends.
STOP_DURATION = datetime.timedelta(milliseconds=50)

Outcome = model.CallOutcome


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A run in progress."""

    key: model.RunKey
    resources: model.Resources
    is_stopping: bool = False
    is_standing: bool = False
    started_at: datetime.datetime = clock.DISTANT_PAST
    duration: datetime.timedelta = model.MILLISECOND


@dataclasses.dataclass(frozen=True, slots=True)
class TaskDefinition:
    """What a task does; known to the emulation only.

    ``work`` is the run time on a server of slowness 1. A task with a
    ``crash_delay`` crashes each server on which it has run that long.
    """

    spec: str
    service: str
    resources: model.Resources
    work: datetime.timedelta
    fails: bool = False
    crash_delay: datetime.timedelta | None = None


class Observer:
    """Receives the starts and ends of runs on backend servers."""

    def run_started(
        self, backend: "EmulatedBackend", key: model.RunKey, spec: str
    ) -> None:
        """Handle the start of a run."""

    def run_ended(
        self, backend: "EmulatedBackend", key: model.RunKey, end: str
    ) -> None:
        """Handle the end of a run.

        ``end`` is the value of a ``RunEnd``, or ``crashed``.
        """

    def server_crashed(
        self, backend: "EmulatedBackend", key: model.RunKey
    ) -> None:
        """Handle that a run is about to crash its server."""


class EmulatedBackend:
    """A backend server with a capacity, a fence and a lease.

    It keeps a list of running and one of ended runs, which polls return.
    """

    def __init__(
        self,
        timeline: emulator_timeline.Timeline,
        report: model.BackendReport,
        slowness: float,
        get_definition: Callable[[str], TaskDefinition],
        observer: Observer,
    ) -> None:
        self._timeline = timeline
        self._get_definition = get_definition
        self._observer = observer
        self.report = report
        self.slowness = slowness
        self.is_up = True
        self.is_stuck = False
        # Whether polls list the progress of runs.
        self.reports_progress = False
        self.fails_all = False
        self.runs: dict[model.RunKey, RunningTask] = {}
        self._reset()

    def _reset(self) -> None:
        self._started_at = self._timeline.now()
        self._fence = 0
        self._lease_ends_ms = 0
        self._ended_runs: list[model.EndedRun] = []
        self._last_serial = 0
        self._highest_ended_run: dict[str, int] = {}
        self._poll_waiters: list[Callable[[], None]] = []

    @property
    def server_clock_ms(self) -> int:
        """The time on the server's clock, counted from its start."""
        elapsed = self._timeline.now() - self._started_at
        return int(elapsed / model.MILLISECOND * CLOCK_RATE)

    def crash(self) -> None:
        """Lose all runs and state; calls get no answer until the restart."""
        self.is_up = False
        for key in list(self.runs):
            del self.runs[key]
            self._observer.run_ended(self, key, "crashed")
        self._poll_waiters.clear()

    def restart(self) -> None:
        """Start a new incarnation under the same id, without any state."""
        self.is_up = True
        self._reset()
        started_ms = int(self._timeline.now().timestamp() * 1000)
        incarnation = model.BackendIncarnation(
            self.report.incarnation.backend_id, started_ms
        )
        self.report = dataclasses.replace(
            self.report,
            incarnation=incarnation,
            advertised_state=model.AdvertisedState.READY,
        )

    # Orders.

    def start(self, order: effects.StartRun) -> events.RunStarted:
        """Handle an order to start a run."""
        outcome = self._start(order)
        return events.RunStarted(
            order.incarnation, order.run, outcome, self.server_clock_ms
        )

    def _start(self, order: effects.StartRun) -> Outcome:
        if order.fence < self._fence:
            return Outcome.FENCED
        self._fence = order.fence
        if order.lease_ends_ms <= self.server_clock_ms:
            return Outcome.EXPIRED
        self._extend_lease(order.lease_ends_ms)
        if order.run in self.runs:
            return Outcome.ACCEPTED
        if order.run.run <= self._highest_ended_run.get(order.run.task, 0):
            return Outcome.OLD_RUN
        definition = self._get_definition(order.run.task)
        running = RunningTask(
            order.run,
            definition.resources,
            is_standing=self.is_stuck,
            started_at=self._timeline.now(),
            duration=max(definition.work * self.slowness, model.MILLISECOND),
        )
        self.runs[order.run] = running
        self._observer.run_started(self, order.run, order.spec)
        if definition.crash_delay is not None:
            self._timeline.call_later(
                definition.crash_delay, lambda: self._crash_under(running)
            )
        if not self.is_stuck:
            end = "failed" if definition.fails or self.fails_all else "done"
            work = definition.work * self.slowness
            if self.fails_all:
                work = model.MILLISECOND
            self._timeline.call_later(work, lambda: self._end(running, end))
        return Outcome.ACCEPTED

    def stop(self, order: effects.StopRun) -> events.RunStopped:
        """Handle an order to stop a run."""
        if order.fence < self._fence:
            return events.RunStopped(
                order.incarnation, order.run, Outcome.FENCED, order.fence
            )
        self._fence = order.fence
        running = self.runs.get(order.run)
        if running is None:
            self._record_ended(order.run)
        elif not running.is_stopping:
            running.is_stopping = True
            self._timeline.call_later(
                STOP_DURATION, lambda: self._end(running, "stopped")
            )
        return events.RunStopped(
            order.incarnation, order.run, Outcome.ACCEPTED, order.fence
        )

    def poll(
        self,
        order: effects.PollBackend,
        reply: Callable[[events.BackendPolled], None],
    ) -> None:
        """Renew the lease and reply with the lists of runs.

        The reply is delayed until a run ends, at most for ``order.wait``; it
        is immediate if there are ended runs to report.
        """
        if order.fence < self._fence:
            reply(
                events.BackendPolled(
                    order.incarnation,
                    Outcome.FENCED,
                    fence=order.fence,
                    number=order.number,
                )
            )
            return
        self._fence = order.fence
        if order.lease_ends_ms is not None:
            self._extend_lease(order.lease_ends_ms)
        self._ended_runs = [
            each
            for each in self._ended_runs
            if each.serial > order.acknowledged
        ]
        if self._ended_runs or not order.wait:
            reply(self._build_poll_reply(order))
            return
        is_answered = False

        def send_reply() -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                reply(self._build_poll_reply(order))

        self._poll_waiters.append(send_reply)
        self._timeline.call_later(order.wait, send_reply)

    def _build_poll_reply(
        self, order: effects.PollBackend
    ) -> events.BackendPolled:
        incarnation = order.incarnation
        if incarnation != self.report.incarnation:
            return events.BackendPolled(
                incarnation,
                Outcome.OTHER_INCARNATION,
                successor=self.report.incarnation,
                fence=order.fence,
                number=order.number,
            )
        return events.BackendPolled(
            incarnation,
            Outcome.ACCEPTED,
            self.server_clock_ms,
            tuple(self.runs),
            tuple(self._ended_runs),
            order.fence,
            number=order.number,
            percents=tuple(self._percent(each) for each in self.runs.values()),
        )

    def _percent(self, running: RunningTask) -> int:
        """Return the progress of a run, 0 if the server reports none."""
        if not self.reports_progress or running.is_standing:
            return 0
        elapsed = self._timeline.now() - running.started_at
        return min(99, int(100 * elapsed / running.duration))

    # Ends of runs.

    def _crash_under(self, running: RunningTask) -> None:
        if self.runs.get(running.key) is running:
            self._observer.server_crashed(self, running.key)

    def _extend_lease(self, lease_ends_ms: int) -> None:
        capped = min(lease_ends_ms, self.server_clock_ms + LEASE_MAX_MS)
        self._lease_ends_ms = max(self._lease_ends_ms, capped)
        remaining = (self._lease_ends_ms - self.server_clock_ms) / CLOCK_RATE
        self._timeline.call_later(
            (remaining + 1) * model.MILLISECOND, self._check_lease
        )

    def _check_lease(self) -> None:
        if self.server_clock_ms >= self._lease_ends_ms:
            for running in list(self.runs.values()):
                self._end(running, "lapsed")

    def _end(self, running: RunningTask, end: str) -> None:
        if self.runs.get(running.key) is not running:
            return
        del self.runs[running.key]
        self._record_ended(running.key)
        self._last_serial += 1
        self._ended_runs.append(
            model.EndedRun(
                self._last_serial,
                running.key.task,
                running.key.run,
                model.RunEnd(end),
            )
        )
        self._observer.run_ended(self, running.key, end)
        poll_waiters, self._poll_waiters = self._poll_waiters, []
        for send_reply in poll_waiters:
            send_reply()

    def _record_ended(self, key: model.RunKey) -> None:
        highest = self._highest_ended_run.get(key.task, 0)
        self._highest_ended_run[key.task] = max(highest, key.run)
