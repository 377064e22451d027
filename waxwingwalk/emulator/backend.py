"""An emulated backend server: it guards nothing but its fence."""

from collections.abc import Callable
import dataclasses
import datetime

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import timeline as emulator_timeline

# The platform shortens longer leases to this.
LEASE_MAX_MS = 1000
# A clock that is 2% slow, as the platform allows.
CLOCK_RATE = 0.98
STOP_TIME = datetime.timedelta(milliseconds=50)

Outcome = model.CallOutcome


@dataclasses.dataclass(slots=True)
class RunningTask:
    """A run under way."""

    key: model.RunKey
    room: model.Resources
    is_stopping: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TaskTruth:
    """What only the emulation knows of a task."""

    spec: str
    service: str
    room: model.Resources
    work: datetime.timedelta
    fails: bool = False


class Observer:
    """Is told what backend servers do; the judge overrides this."""

    def started(
        self, backend: "EmulatedBackend", key: model.RunKey, spec: str
    ) -> None:
        """A run began."""

    def ended(
        self, backend: "EmulatedBackend", key: model.RunKey, how: str
    ) -> None:
        """A run ended."""


class EmulatedBackend:
    """A backend server with a room, a fence, a lease and two lists."""

    def __init__(
        self,
        timeline: emulator_timeline.Timeline,
        report: model.BackendReport,
        slowness: float,
        truth: Callable[[str], TaskTruth],
        observer: Observer,
    ) -> None:
        self._timeline = timeline
        self._truth = truth
        self._observer = observer
        self.report = report
        self.slowness = slowness
        self.is_up = True
        self.is_stuck = False
        self.fails_all = False
        self.runs: dict[model.RunKey, RunningTask] = {}
        self._reset()

    def _reset(self) -> None:
        self._born_at = self._timeline.now()
        self._fence = 0
        self._lease_ends_ms = 0
        self._ended: list[model.EndedRun] = []
        self._serial = 0
        self._highest_ended: dict[str, int] = {}
        self._waiters: list[Callable[[], None]] = []

    @property
    def server_clock_ms(self) -> int:
        """The server's own clock."""
        elapsed = self._timeline.now() - self._born_at
        return int(elapsed / model.MILLISECOND * CLOCK_RATE)

    def crash(self) -> None:
        """Lose everything; calls get no answer until it is born again."""
        self.is_up = False
        for key in list(self.runs):
            del self.runs[key]
            self._observer.ended(self, key, "crashed")
        self._waiters.clear()

    def born_again(self) -> None:
        """Start again under the same id, knowing nothing."""
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
        """Carry out an order to start."""
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
        self._extend(order.lease_ends_ms)
        if order.run in self.runs:
            return Outcome.ACCEPTED
        if order.run.run <= self._highest_ended.get(order.run.task, 0):
            return Outcome.OLD_RUN
        truth = self._truth(order.run.task)
        running = RunningTask(order.run, truth.room)
        self.runs[order.run] = running
        self._observer.started(self, order.run, order.spec)
        if not self.is_stuck:
            how = "failed" if truth.fails or self.fails_all else "done"
            work = truth.work * self.slowness
            if self.fails_all:
                work = model.MILLISECOND
            self._timeline.after(work, lambda: self._end(running, how))
        return Outcome.ACCEPTED

    def stop(self, order: effects.StopRun) -> events.RunStopped:
        """Carry out an order to stop."""
        if order.fence < self._fence:
            return events.RunStopped(
                order.incarnation, order.run, Outcome.FENCED
            )
        self._fence = order.fence
        running = self.runs.get(order.run)
        if running is None:
            self._note_ended(order.run)
        elif not running.is_stopping:
            running.is_stopping = True
            self._timeline.after(
                STOP_TIME, lambda: self._end(running, "stopped")
            )
        return events.RunStopped(
            order.incarnation, order.run, Outcome.ACCEPTED
        )

    def poll(
        self,
        order: effects.PollBackend,
        reply: Callable[[events.BackendPolled], None],
    ) -> None:
        """Renew the lease and reply with the lists, at once or later."""
        if order.fence < self._fence:
            reply(events.BackendPolled(order.incarnation, Outcome.FENCED))
            return
        self._fence = order.fence
        if order.lease_ends_ms is not None:
            self._extend(order.lease_ends_ms)
        self._ended = [
            each for each in self._ended if each.serial > order.acknowledged
        ]
        if self._ended or not order.wait:
            reply(self._lists(order.incarnation))
            return
        is_answered = False

        def answer() -> None:
            nonlocal is_answered
            if not is_answered:
                is_answered = True
                reply(self._lists(order.incarnation))

        self._waiters.append(answer)
        self._timeline.after(order.wait, answer)

    def _lists(
        self, incarnation: model.BackendIncarnation
    ) -> events.BackendPolled:
        if incarnation != self.report.incarnation:
            return events.BackendPolled(incarnation, Outcome.OTHER_INCARNATION)
        return events.BackendPolled(
            incarnation,
            Outcome.ACCEPTED,
            self.server_clock_ms,
            tuple(self.runs),
            tuple(self._ended),
        )

    # Ends.

    def _extend(self, lease_ends_ms: int) -> None:
        capped = min(lease_ends_ms, self.server_clock_ms + LEASE_MAX_MS)
        self._lease_ends_ms = max(self._lease_ends_ms, capped)
        left = (self._lease_ends_ms - self.server_clock_ms) / CLOCK_RATE
        self._timeline.after((left + 1) * model.MILLISECOND, self._check_lease)

    def _check_lease(self) -> None:
        if self.server_clock_ms >= self._lease_ends_ms:
            for running in list(self.runs.values()):
                self._end(running, "lapsed")

    def _end(self, running: RunningTask, how: str) -> None:
        if self.runs.get(running.key) is not running:
            return
        del self.runs[running.key]
        self._note_ended(running.key)
        self._serial += 1
        self._ended.append(
            model.EndedRun(
                self._serial,
                running.key.task,
                running.key.run,
                model.RunEnd(how),
            )
        )
        self._observer.ended(self, running.key, how)
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter()

    def _note_ended(self, key: model.RunKey) -> None:
        highest = self._highest_ended.get(key.task, 0)
        self._highest_ended[key.task] = max(highest, key.run)
