"""An emulated fleet: dispatch hosts, backend servers, links, store, callers.

Hosts run the real reducer. Whatever it asks for takes simulated time, and
may get lost: hosts die, freeze and are cut off; backend servers crash and are
born again, and carry orders out late; the store is down.
"""

from collections.abc import Callable
import dataclasses
import datetime
import random

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.emulator import backend as emulated_backend
from waxwingwalk.emulator import judge as emulator_judge
from waxwingwalk.emulator import timeline as emulator_timeline

TICK = datetime.timedelta(milliseconds=25)
LINK_DELAY = datetime.timedelta(milliseconds=1)
STORE_DELAY = datetime.timedelta(milliseconds=12)
CALL_TIMEOUT = datetime.timedelta(milliseconds=350)
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
RECONNECT_PAUSE = datetime.timedelta(milliseconds=150)
LIST_INTERVAL = datetime.timedelta(milliseconds=500)
# A platform list lacks a crashed server after this time.
LIST_EXPIRY = datetime.timedelta(milliseconds=4500)
# Callers whose request broke ask again after this time.
CALLER_RETRY = datetime.timedelta(milliseconds=1300)
LATE_ORDER = (2.0, 12.0)

Service = "refunds"
Outcome = model.CallOutcome


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller's job: its attempts and its last answer."""

    job: model.Job
    submitted_at: datetime.datetime
    objective: datetime.timedelta
    patience: datetime.timedelta
    host: "Host | None" = None
    attempts: int = 0
    refusals: int = 0
    has_left: bool = False
    answer: effects.AnswerJob | None = None
    answered_at: datetime.datetime | None = None


@dataclasses.dataclass(slots=True)
class EmulatedLink:
    """A link between two hosts; each end knows it by its own number."""

    near: "Host"
    far: "Host"
    near_number: int
    far_number: int
    is_open: bool = True


class Host:
    """A dispatch host, which may be dead or frozen."""

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.lives = 0
        self.is_up = False
        self.is_frozen = False
        self.missed: list[Callable[[], None]] = []
        self.reducer: dispatch_reducer.Reducer | None = None
        self.links: dict[int, EmulatedLink] = {}
        self.wanted: frozenset[str] = frozenset()
        self.has_exited = False


class Fleet:
    """Hosts, backend servers and callers on one timeline."""

    def __init__(
        self,
        seed: int,
        job_order: ordering.JobOrder | None = None,
        placement: dispatch_placement.Placement | None = None,
    ) -> None:
        self._job_order = job_order
        self._placement = placement
        self.timeline = emulator_timeline.Timeline()
        self.random = random.Random(seed)
        self.truths: dict[str, emulated_backend.TaskTruth] = {}
        self.judge = emulator_judge.Judge(self.timeline, self.truths)
        self.hosts: dict[str, Host] = {}
        self.backends: dict[str, emulated_backend.EmulatedBackend] = {}
        self.listed: dict[str, model.BackendReport] = {}
        self.callers: dict[str, Caller] = {}
        self.cut_zones: set[str] = set()
        self._cut_hosts: set[str] = set()
        self._is_store_down = False
        self.late_share = 0.0
        self._rows: dict[str, tuple[int, pool_rows.PoolRow]] = {}
        self._version = 0
        self._numbers = 0
        self._catalog = model.Catalog(1, (), frozenset({Service}))

    # Building.

    def add_host(self, address: str, zone: str) -> Host:
        """Add a host and start it."""
        host = Host(address, zone)
        self.hosts[address] = host
        self.start_host(host)
        return host

    def add_backend(
        self,
        backend_id: str,
        zone: str,
        capacity: model.Resources,
        slowness: float = 1.0,
    ) -> emulated_backend.EmulatedBackend:
        """Add a backend server that registers at once."""
        report = model.BackendReport(
            incarnation=model.BackendIncarnation(backend_id, self._unix_ms()),
            service=Service,
            address=backend_id,
            zone=zone,
            advertised_state=model.AdvertisedState.READY,
            capacity=capacity,
            labels=frozenset(),
        )
        backend = emulated_backend.EmulatedBackend(
            self.timeline,
            report,
            slowness,
            self.truths.__getitem__,
            self.judge,
        )
        self.backends[backend_id] = backend
        self.listed[backend_id] = report
        return backend

    def _unix_ms(self) -> int:
        return int(self.timeline.now().timestamp() * 1000)

    # Faults.

    def start_host(self, host: Host) -> None:
        """Start a host's process."""
        host.lives += 1
        host.is_up = True
        host.has_exited = False
        record = model.HostRecord(host.address, f"{host.lives:04d}", host.zone)
        host.reducer = dispatch_reducer.Reducer(
            record,
            self.timeline.now(),
            job_order=self._job_order,
            placement=self._placement,
        )
        host.wanted = frozenset()
        life = host.lives
        self._tick(host, life)
        self._list(host, life)

    def kill_host(self, host: Host, *, silently: bool = False) -> None:
        """Kill a host; silently, as a power loss does, or with resets."""
        host.is_up = False
        host.is_frozen = False
        host.missed.clear()
        host.reducer = None
        links, host.links = list(host.links.values()), {}
        for link in links:
            if not silently:
                self._break(link)
        for caller in self.callers.values():
            if caller.host is host and caller.answer is None:
                caller.host = None
                if not silently:
                    self._ask_again(caller)

    def cut_host(self, host: Host) -> None:
        """Cut a host off from the other hosts and the store."""
        self._cut_hosts.add(host.address)
        self.judge.contact_lost(host.address)

    def mend_host(self, host: Host) -> None:
        """End the cut of a host."""
        self._cut_hosts.discard(host.address)
        self.judge.contact_regained(host.address)

    def stop_store(self) -> None:
        """Have the store refuse all calls."""
        self._is_store_down = True
        self.judge.contact_lost("store")

    def start_store(self) -> None:
        """Have the store serve again."""
        self._is_store_down = False
        self.judge.contact_regained("store")

    def freeze_host(self, host: Host) -> None:
        """Stop a host's process; what arrives waits."""
        host.is_frozen = True
        self.judge.contact_lost(host.address)

    def wake_host(self, host: Host) -> None:
        """Let a frozen host go on."""
        host.is_frozen = False
        self.judge.contact_regained(host.address)
        missed, host.missed = host.missed, []
        for action in missed:
            action()

    def drain_host(self, host: Host, limit: datetime.timedelta) -> None:
        """Ask a host to shut down."""
        self._apply(host, events.DrainRequested(limit))

    def drain_backend(self, backend_id: str) -> None:
        """Have a backend server say that it is leaving, once it can."""
        backend = self.backends[backend_id]
        if self._is_store_down:
            self.timeline.after(
                LIST_INTERVAL, lambda: self.drain_backend(backend_id)
            )
            return
        backend.report = dataclasses.replace(
            backend.report, advertised_state=model.AdvertisedState.DRAINING
        )
        self.listed[backend_id] = backend.report
        self.judge.draining(backend_id)

    def crash_backend(self, backend_id: str) -> None:
        """Crash a backend server; the list notices later."""
        backend = self.backends[backend_id]
        backend.crash()
        incarnation = backend.report.incarnation

        def expire() -> None:
            listed = self.listed.get(backend_id)
            if listed is not None and listed.incarnation == incarnation:
                del self.listed[backend_id]

        self.timeline.after(LIST_EXPIRY, expire)

    def bear_backend(self, backend_id: str) -> None:
        """Start a crashed backend server again under its id."""
        backend = self.backends[backend_id]
        backend.born_again()
        self.judge.born(backend_id)
        self.listed[backend_id] = backend.report

    # Callers.

    def submit(
        self,
        job_id: str,
        host: Host,
        tasks: int,
        work: datetime.timedelta,
        resources: model.Resources,
        *,
        estimate: datetime.timedelta | None = None,
        patience: datetime.timedelta = datetime.timedelta(seconds=3),
        fails: bool = False,
        queue: str = "q",
        priority: int = 0,
    ) -> Caller:
        """Submit a job of equal tasks at a host."""
        now = self.timeline.now()
        estimate = estimate or work
        step = model.Step(tasks, resources, estimate)
        job = model.Job(
            job_id=job_id,
            queue=queue,
            service=Service,
            priority=priority,
            attempts=3,
            spec=f"spec of {job_id}",
            stretch=1.6,
            steps=(step,),
            due=now + 1.6 * estimate + datetime.timedelta(milliseconds=60),
            expires=now + patience,
        )
        for index in range(tasks):
            name = model.TaskRef(job_id, 0, index).name
            self.truths[name] = emulated_backend.TaskTruth(
                job.spec, Service, resources, work, fails
            )
        caller = Caller(job, now, job.due - now, patience)
        self.callers[job_id] = caller
        self._ask(caller, host)
        return caller

    def _ask(self, caller: Caller, host: Host) -> None:
        caller.attempts += 1
        caller.host = host
        if not host.is_up:
            self._ask_again(caller)
            return
        self._apply(host, events.JobSubmitted(caller.job))

    def _ask_again(self, caller: Caller) -> None:
        """Have a caller whose request broke ask another host later."""

        def ask() -> None:
            if caller.has_left or caller.answer is not None:
                return
            up = [each for each in self.hosts.values() if each.is_up]
            if up:
                now = self.timeline.now()
                caller.job = dataclasses.replace(
                    caller.job,
                    due=now + caller.objective,
                    expires=now + caller.patience,
                )
                self._ask(caller, self.random.choice(up))

        self.timeline.after(CALLER_RETRY, ask)

    def leave(self, caller: Caller) -> None:
        """Have a caller give up its request, if it still waits."""
        if caller.answer is not None:
            return
        caller.has_left = True
        host = caller.host
        if host is not None and host.is_up:
            self._apply(host, events.JobAbandoned(caller.job.job_id))

    def _answer(self, host: Host, effect: effects.AnswerJob) -> None:
        caller = self.callers.get(effect.job_id)
        if caller is None or caller.host is not host or caller.has_left:
            return
        outcomes = model.JobOutcome
        if effect.outcome is outcomes.LOST and caller.attempts < 5:
            caller.host = None
            self._ask_again(caller)
            return
        if effect.outcome is outcomes.NOT_RUN:
            caller.refusals += 1
        caller.answer = effect
        caller.answered_at = self.timeline.now()
        if effect.outcome is outcomes.DONE:
            self.judge.answered_done(effect.job_id)

    def settle(self) -> None:
        """Check what can be said only at the end."""
        for job_id, caller in self.callers.items():
            if caller.attempts and caller.refusals == caller.attempts:
                self.judge.refused_for_good(job_id)

    # Running.

    def run(self, duration: datetime.timedelta) -> None:
        """Let simulated time pass."""
        self.timeline.run_until(self.timeline.now() + duration)

    def _tick(self, host: Host, life: int) -> None:
        if host.lives != life or not host.is_up:
            return
        self._apply(host, events.Ticked())
        if host.has_exited:
            self.kill_host(host)
            return
        self.timeline.after(TICK, lambda: self._tick(host, life))

    def _list(self, host: Host, life: int) -> None:
        """Read the store's tables, as a host's followers do."""
        if host.lives != life or not host.is_up:
            return
        self.timeline.after(LIST_INTERVAL, lambda: self._list(host, life))
        if self._is_store_down or host.address in self._cut_hosts:
            return
        records = tuple(
            each.reducer.local_host
            for each in self.hosts.values()
            if each.reducer is not None
        )
        self._apply(host, events.CatalogRead(self._catalog, "1"))
        self._apply(host, events.HostsListed(records))
        self._apply(host, events.PoolsListed(dict(self._rows)))
        reports = tuple(self.listed.values())
        self._apply(host, events.BackendsListed(reports))

    def _apply(self, host: Host, event: events.Event) -> None:
        """Apply an event to a host's reducer and carry out the effects."""
        if host.is_frozen:
            life = host.lives

            def again() -> None:
                if host.lives == life and host.is_up:
                    self._apply(host, event)

            host.missed.append(again)
            return
        if host.reducer is None:
            return
        for effect in host.reducer.apply(event, self.timeline.now()):
            self._carry_out(host, effect)

    def _carry_out(self, host: Host, effect: effects.Effect) -> None:
        match effect:
            case effects.Send():
                self._send(host, effect.link, effect.message)
            case (
                effects.StartRun() | effects.StopRun() | effects.PollBackend()
            ):
                self._order(host, effect)
            case effects.AnswerJob():
                self._answer(host, effect)
            case effects.LinkHosts():
                self._want(host, effect.hosts)
            case effects.CloseLink():
                link = host.links.get(effect.link)
                if link is not None:
                    self._break(link)
            case effects.WritePool():
                self._write(host, effect)
            case effects.ProbeBackends():
                probed = events.BackendsProbed(
                    effect.pool, not self._is_cut(host.zone, effect.pool)
                )
                self._later(host, LINK_DELAY, probed)
            case effects.Exit():
                host.has_exited = True
            case _:
                return

    def _later(
        self, host: Host, delay: datetime.timedelta, event: events.Event
    ) -> None:
        life = host.lives

        def deliver() -> None:
            if host.lives == life and host.is_up:
                self._apply(host, event)

        self.timeline.after(delay, deliver)

    # Links.

    def _is_cut(self, one: str, other: str) -> bool:
        if one == other:
            return False
        return one in self.cut_zones or other in self.cut_zones

    def _is_apart(self, one: Host, other: Host) -> bool:
        return (
            self._is_cut(one.zone, other.zone)
            or one.address in self._cut_hosts
            or other.address in self._cut_hosts
        )

    def _want(self, host: Host, wanted: frozenset[str]) -> None:
        new = wanted - host.wanted
        host.wanted = wanted
        for address in sorted(new):
            self._connect(host, address, host.lives)

    def _connect(self, host: Host, address: str, life: int) -> None:
        def attempt() -> None:
            if host.lives != life or not host.is_up:
                return
            if address not in host.wanted:
                return
            far = self.hosts[address]
            if self._is_apart(host, far) or far.is_frozen:
                failed = events.LinkFailed(address, False)
                self._later(host, CONNECT_TIMEOUT, failed)
                self.timeline.after(CONNECT_TIMEOUT, self_retry)
                return
            if not far.is_up or far.reducer is None or host.reducer is None:
                self._later(host, LINK_DELAY, events.LinkFailed(address, True))
                self_retry()
                return
            self._open(host, far)

        def self_retry() -> None:
            self.timeline.after(
                RECONNECT_PAUSE, lambda: self._connect(host, address, life)
            )

        self.timeline.after(LINK_DELAY, attempt)

    def _open(self, near: Host, far: Host) -> None:
        assert near.reducer is not None and far.reducer is not None
        self._numbers += 2
        link = EmulatedLink(near, far, self._numbers, self._numbers + 1)
        near.links[link.near_number] = link
        far.links[link.far_number] = link
        self._apply(
            near,
            events.LinkOpened(link.near_number, far.reducer.local_host, True),
        )
        self._apply(
            far,
            events.LinkOpened(link.far_number, near.reducer.local_host, False),
        )

    def _break(self, link: EmulatedLink) -> None:
        """Break a link; ends that are not cut off hear of it."""
        if not link.is_open:
            return
        link.is_open = False
        for host, number in (
            (link.near, link.near_number),
            (link.far, link.far_number),
        ):
            if host.links.pop(number, None) is not None:
                self._later(host, LINK_DELAY, events.LinkClosed(number))
        if link.near.is_up:
            self._connect(link.near, link.far.address, link.near.lives)

    def _send(
        self, host: Host, number: int, message: messages.Message
    ) -> None:
        link = host.links.get(number)
        if link is None or not link.is_open:
            return
        is_near = link.near is host and link.near_number == number
        far = link.far if is_near else link.near
        far_number = link.far_number if is_near else link.near_number

        def deliver() -> None:
            if link.is_open and not self._is_apart(host, far):
                received = events.MessageReceived(far_number, message)
                self._apply(far, received)

        self.timeline.after(LINK_DELAY, deliver)

    # Backend servers.

    def _order(
        self,
        host: Host,
        order: effects.StartRun | effects.StopRun | effects.PollBackend,
    ) -> None:
        backend = self.backends.get(order.incarnation.backend_id)
        wait = getattr(order, "wait", model.ZERO)
        if (
            backend is None
            or not backend.is_up
            or self._is_cut(host.zone, backend.report.zone)
        ):
            lost = _unanswered(order, Outcome.UNKNOWN)
            self._later(host, CALL_TIMEOUT + wait, lost)
            return
        if self.random.random() < self.late_share:
            late = datetime.timedelta(seconds=self.random.uniform(*LATE_ORDER))
            self.timeline.after(
                late, lambda: self._execute(backend, order, _ignore)
            )
            lost = _unanswered(order, Outcome.UNKNOWN)
            self._later(host, CALL_TIMEOUT + wait, lost)
            return
        life = host.lives
        is_over = False

        def reply(event: events.Event) -> None:
            nonlocal is_over
            if is_over or host.lives != life:
                return
            if self._is_cut(host.zone, backend.report.zone):
                return
            is_over = True
            self._later(host, LINK_DELAY, event)

        def time_out() -> None:
            nonlocal is_over
            if not is_over and host.lives == life and host.is_up:
                is_over = True
                self._apply(host, _unanswered(order, Outcome.UNKNOWN))

        self.timeline.after(
            LINK_DELAY, lambda: self._execute(backend, order, reply)
        )
        self.timeline.after(CALL_TIMEOUT + wait, time_out)

    def _execute(
        self,
        backend: emulated_backend.EmulatedBackend,
        order: effects.StartRun | effects.StopRun | effects.PollBackend,
        reply: Callable[[events.Event], None],
    ) -> None:
        if not backend.is_up:
            return
        match order:
            case effects.StartRun():
                reply(backend.start(order))
            case effects.StopRun():
                reply(backend.stop(order))
            case effects.PollBackend():
                backend.poll(order, reply)

    # The store.

    def _write(self, host: Host, effect: effects.WritePool) -> None:
        def settle() -> None:
            if self._is_store_down or host.address in self._cut_hosts:
                written = events.PoolWritten(effect.pool, None, None)
                self._apply(host, written)
                return
            version, _ = self._rows.get(effect.pool, (0, None))
            if version == effect.if_version:
                self._version += 1
                self._rows[effect.pool] = (self._version, effect.row)
            now = self._rows[effect.pool]
            self._apply(host, events.PoolWritten(effect.pool, *now))

        life = host.lives

        def attempt() -> None:
            if host.lives == life and host.is_up:
                settle()

        self.timeline.after(STORE_DELAY, attempt)


def _ignore(event: events.Event) -> None:
    """Lose a reply."""


def _unanswered(
    order: effects.StartRun | effects.StopRun | effects.PollBackend,
    outcome: Outcome,
) -> events.Event:
    match order:
        case effects.StartRun():
            return events.RunStarted(
                order.incarnation, order.run, outcome, None
            )
        case effects.StopRun():
            return events.RunStopped(order.incarnation, order.run, outcome)
        case _:
            return events.BackendPolled(order.incarnation, outcome)
