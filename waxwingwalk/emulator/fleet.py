"""Emulated fleet: dispatch hosts, backend servers, links, store, callers.

Hosts run the real reducer. Its effects take simulated time and may be lost:
hosts are killed, freeze and are cut off; backend servers crash, restart and
execute orders late; the store goes down.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import datetime
import random

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reconnection
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.emulator import backend as emulated_backend
from waxwingwalk.emulator import guarantees
from waxwingwalk.emulator import timeline as emulator_timeline

# Time in which the event loop of a host reads what has arrived.
LOOP_DELAY = datetime.timedelta(milliseconds=1)
LINK_DELAY = datetime.timedelta(milliseconds=1)
STORE_DELAY = datetime.timedelta(milliseconds=12)
LONG_FACTOR = 7
CALL_TIMEOUT = datetime.timedelta(milliseconds=350)
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
RECONNECT_DELAY = datetime.timedelta(milliseconds=150)
STORE_READ_INTERVAL = datetime.timedelta(milliseconds=500)
# The row of a crashed backend server is removed after this time.
ROW_EXPIRY = datetime.timedelta(milliseconds=4500)
# Delay before a caller repeats a request that failed.
CALLER_RETRY_DELAY = datetime.timedelta(milliseconds=1300)
# Range of the delay of late orders, in seconds.
LATE_ORDER_SECONDS = (2.0, 12.0)
# Time from a document's arrival to the version that it holds.
DECODE_DELAY = datetime.timedelta(milliseconds=20)
# A message that was on its way for longer closes its link when it arrives.
MESSAGE_DELAY_MAX = datetime.timedelta(milliseconds=600)

# How long a task runs before it crashes its server.
CRASH_DELAY = datetime.timedelta(milliseconds=20)

SERVICE = "refunds"
Outcome = model.CallOutcome


@dataclasses.dataclass(slots=True)
class Caller:
    """A caller of a job, with its attempts and its final answer."""

    job: model.Job
    submitted_at: datetime.datetime
    objective: datetime.timedelta
    timeout: datetime.timedelta
    host: "Host | None" = None
    attempts: int = 0
    refusals: int = 0
    has_left: bool = False
    answer: effects.AnswerJob | None = None
    answered_at: datetime.datetime | None = None
    # Whether the host has read the latest request, which it has not while it
    # is frozen.
    is_read: bool = False

    @property
    def is_owed_answer(self) -> bool:
        """Whether a request was read that has no answer yet."""
        return self.is_read and self.answer is None and not self.has_left


@dataclasses.dataclass(slots=True)
class EmulatedLink:
    """A link between two hosts; each end has its own number for it.

    ``delivery_times`` holds, for each sender, when its last message arrives:
    messages of a link arrive in the order in which they were sent.
    ``closed_end`` is the host that has closed its end if the far end has not
    noticed.
    """

    opener: "Host"
    acceptor: "Host"
    opener_number: int
    acceptor_number: int
    is_open: bool = True
    closed_end: "Host | None" = None
    opened_at: datetime.datetime | None = None
    delivery_times: dict[str, datetime.datetime] = dataclasses.field(
        default_factory=dict
    )

    def other_end(self, number: int) -> tuple["Host", int]:
        """Return the far end of the end with a number."""
        if number == self.opener_number:
            return self.acceptor, self.acceptor_number
        return self.opener, self.opener_number


class Host:
    """A dispatch host, which may be down or frozen.

    ``deferred`` holds the events that arrived while it was frozen. A host
    that ``freezes_after_event`` handles one more event; the effects of this
    event are carried out after it wakes.
    """

    def __init__(self, address: str, zone: str) -> None:
        self.address = address
        self.zone = zone
        self.incarnation = 0
        self.is_up = False
        self.is_frozen = False
        self.freezes_after_event = False
        self.deferred: list[Callable[[], None]] = []
        self.reducer: dispatch_reducer.Reducer | None = None
        self.list_read_at: datetime.datetime | None = None
        self.links: dict[int, EmulatedLink] = {}
        self.link_targets: frozenset[str] = frozenset()
        self.has_exited = False
        # When the last message has left the queue of its network interface.
        self.uplink_free_at: datetime.datetime | None = None
        # Handshakes that it has begun, and links that wait to be opened.
        self.handshakes = 0
        self.waiting_connections: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        # When its processor has done all handshakes so far.
        self.handshakes_done_at: datetime.datetime | None = None
        self.reconnections: dict[str, reconnection.Reconnection] = {}


class Fleet:
    """Hosts, backend servers and callers on one timeline."""

    def __init__(
        self,
        seed: int,
        job_order: ordering.JobOrder | None = None,
        placement: dispatch_placement.Placement | None = None,
        settings: dispatch_settings.DispatchSettings | None = None,
    ) -> None:
        self._settings = settings
        self._job_order = job_order
        self._placement = placement
        # Is called with each log line of a host, if set.
        self.observe_log: Callable[[effects.Log], None] | None = None
        self.timeline = emulator_timeline.Timeline()
        self.random = random.Random(seed)
        self.task_definitions: dict[str, emulated_backend.TaskDefinition] = {}
        self.checker = guarantees.GuaranteeChecker(
            self.timeline, self.task_definitions, self.crash_and_restart
        )
        self.hosts: dict[str, Host] = {}
        self.backends: dict[str, emulated_backend.EmulatedBackend] = {}
        self.listed_backends: dict[str, model.BackendReport] = {}
        self.callers: dict[str, Caller] = {}
        self.isolated_zones: set[str] = set()
        self._isolated_hosts: set[str] = set()
        self._is_store_down = False
        self.hosts_without_store: set[str] = set()
        # Rises with each listing, though the list may not have changed.
        self._list_version = 0
        self.late_share = 0.0
        # The kinds of orders that may be carried out late.
        self.late_orders: tuple[type, ...] = (
            effects.StartRun,
            effects.StopRun,
            effects.PollBackend,
        )
        # The log lines of all hosts, by event.
        self.log_counts: collections.Counter[str] = collections.Counter()
        # Share of calls of backend servers whose request or reply is lost.
        self.call_loss_share = 0.0
        # Calls of backend servers, and their replies, take up to this longer.
        self.call_delay = model.ZERO
        # Backend servers to which orders to stop a run are lost.
        self.stops_are_lost: set[str] = set()
        # Backend servers that no host can reach.
        self.unreachable_backends: set[str] = set()
        # Pairs of a sender and a receiver between which nothing arrives.
        self.silent_paths: set[tuple[str, str]] = set()
        # Messages of links take up to this long, or exactly as long as their
        # path is given here.
        self.message_delay = LINK_DELAY
        self.path_delays: dict[tuple[str, str], datetime.timedelta] = {}
        # Hosts read the list of backend servers as of this time, if set.
        self.listed_backends_snapshot: (
            tuple[model.BackendReport, ...] | None
        ) = None
        # Hosts that schedule no pool read the list at this interval.
        self.idle_list_interval = STORE_READ_INTERVAL
        self.do_callers_repeat = True
        # A server that a task has crashed is back after this time, under its
        # id or under another one at the same address.
        self.crash_down_time = datetime.timedelta(seconds=3)
        self.do_servers_keep_ids = True
        # The ids that have replaced others.
        self._replacements: dict[str, str] = {}
        # The rows of hosts. That of a host that was killed stays.
        self._host_rows: dict[str, model.HostRecord] = {}
        self._rows: dict[str, tuple[int, pool_rows.PoolRow]] = {}
        # The rows that evacuate zones, with their versions.
        self._evacuations: dict[str, int] = {}
        self._last_version = 0
        self._last_link_number = 0
        # Time that a handshake takes of the processors of both hosts. If set,
        # hosts also wait before they connect again, as real ones do.
        self.handshake_time: datetime.timedelta | None = None
        self._delays = random.Random(seed)
        # Bits a second that a host can send over all its links together, if
        # limited. What it cannot send at once waits in the order of sending.
        self.uplink_bits_per_second: float | None = None
        # Bytes and messages sent over links by kind, and links closed.
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.sent_messages: collections.Counter[str] = collections.Counter()
        self.closed_links = 0
        # The catalogs that documents hold; other documents are malformed.
        self.catalogs: dict[str, model.Catalog] = {}
        self.document = ""
        self.write_catalog(1)

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
            service=SERVICE,
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
            self.task_definitions.__getitem__,
            self.checker,
        )
        self.backends[backend_id] = backend
        self.listed_backends[backend_id] = report
        return backend

    def write_catalog(self, version: int, size: int = 1) -> str:
        """Write a version of the catalog to the store; return its document.

        The document has about ``size`` bytes.
        """
        self.document = f"{version}:".ljust(size, "q")
        self.catalogs[self.document] = model.Catalog(
            version, (), frozenset({SERVICE})
        )
        return self.document

    def _unix_ms(self) -> int:
        return int(self.timeline.now().timestamp() * 1000)

    # Faults.

    def start_host(self, host: Host) -> None:
        """Start the process of a host, as a new incarnation."""
        host.incarnation += 1
        host.is_up = True
        host.has_exited = False
        record = model.HostRecord(
            host.address, f"{host.incarnation:04d}", host.zone
        )
        host.reducer = dispatch_reducer.Reducer(
            record,
            self.timeline.now(),
            job_order=self._job_order,
            placement=self._placement,
            zone_evacuation=evacuation.Evacuation(
                self.timeline.now() + evacuation.LEARN_LIMIT
            ),
            settings=self._settings,
        )
        self.checker.record_host_started(host.address)
        self._host_rows[host.address] = record
        host.link_targets = frozenset()
        host.list_read_at = None
        incarnation = host.incarnation
        self._tick(host, incarnation)
        self._read_store(host, incarnation)

    def kill_host(self, host: Host, *, silently: bool = False) -> None:
        """Kill the process of a host.

        Peers and callers see resets, unless it goes ``silently`` as in a
        power loss.
        """
        host.is_up = False
        host.is_frozen = host.freezes_after_event = False
        host.deferred.clear()
        host.reducer = None
        host.uplink_free_at = host.handshakes_done_at = None
        host.handshakes = 0
        host.waiting_connections.clear()
        host.reconnections.clear()
        links, host.links = list(host.links.values()), {}
        for link in links:
            if not silently:
                self._close_link(link)
        for caller in self.callers.values():
            if caller.host is host and caller.answer is None:
                caller.host = None
                if not silently:
                    self._repeat_request_later(caller)

    def set_seeds(self, host: Host, addresses: frozenset[str]) -> None:
        """Make a host connect to others before it has read the store."""
        self._set_link_targets(host, addresses)

    def break_links(self) -> None:
        """Break all links at once."""
        for host in self.hosts.values():
            for link in list(host.links.values()):
                self._close_link(link)

    def has_links_to_targets(self, host: Host) -> bool:
        """Return whether a host has a link to each one that it wants."""
        linked = {
            link.acceptor.address
            for link in host.links.values()
            if link.opener is host
        }
        return host.link_targets <= linked

    def isolate_host(self, host: Host) -> None:
        """Partition a host from the other hosts and the store."""
        self._isolated_hosts.add(host.address)
        self.checker.record_contact_lost(host.address)

    def reconnect_host(self, host: Host) -> None:
        """End the partition of a host."""
        self._isolated_hosts.discard(host.address)
        self.checker.record_contact_regained(host.address)

    def stop_store(self) -> None:
        """Make the store refuse all calls."""
        self._is_store_down = True
        self.checker.record_contact_lost("store")

    def start_store(self) -> None:
        """Make the store serve calls again."""
        self._is_store_down = False
        self.checker.record_contact_regained("store")

    def cut_store_of(self, host: Host) -> None:
        """Partition a host from the store only."""
        self.hosts_without_store.add(host.address)
        self.checker.record_store_lost(host.address)

    def reconnect_store_of(self, host: Host) -> None:
        """End the partition of a host from the store."""
        self.hosts_without_store.discard(host.address)
        self.checker.record_store_regained(host.address)

    def _reaches_store(self, host: Host) -> bool:
        return not (
            self._is_store_down
            or host.address in self._isolated_hosts
            or host.address in self.hosts_without_store
        )

    def evacuate_zone(self, zone: str) -> None:
        """Write the row that evacuates a zone, if the store is up."""
        if self._is_store_down or zone in self._evacuations:
            return
        self._last_version += 1
        self._evacuations[zone] = self._last_version
        self.checker.record_evacuation(zone)

    def end_evacuation(self, zone: str) -> None:
        """Remove the row that evacuates a zone, later if the store is down."""
        if zone not in self._evacuations:
            return
        if self._is_store_down:
            self.timeline.call_later(
                STORE_READ_INTERVAL, lambda: self.end_evacuation(zone)
            )
            return
        self._last_version += 1
        del self._evacuations[zone]
        self.checker.record_evacuation_end(zone)

    def freeze_host(self, host: Host) -> None:
        """Freeze the process of a host; events for it are deferred."""
        host.is_frozen = True
        self.checker.record_contact_lost(host.address)

    def freeze_host_after_event(self, host: Host) -> None:
        """Freeze a host once it has handled one more event.

        The effects of this event are carried out after it wakes.
        """
        host.freezes_after_event = True

    def wake_host(self, host: Host) -> None:
        """Resume a frozen host and apply its deferred events."""
        host.is_frozen = host.freezes_after_event = False
        self.checker.record_contact_regained(host.address)
        deferred, host.deferred = host.deferred, []
        for action in deferred:
            action()

    def drain_host(self, host: Host, limit: datetime.timedelta) -> None:
        """Ask a host to shut down."""
        self._apply(host, events.DrainRequested(limit))

    def drain_backend(self, backend_id: str) -> None:
        """Make a backend server advertise that it is draining.

        While the store is down, the change is deferred.
        """
        backend = self.backends[backend_id]
        if self._is_store_down:
            self.timeline.call_later(
                STORE_READ_INTERVAL, lambda: self.drain_backend(backend_id)
            )
            return
        backend.report = dataclasses.replace(
            backend.report, advertised_state=model.AdvertisedState.DRAINING
        )
        self.listed_backends[backend_id] = backend.report
        self.checker.record_draining(backend_id)

    def crash_backend(self, backend_id: str) -> None:
        """Crash a backend server; its row in the store expires later."""
        backend = self.backends[backend_id]
        backend.crash()
        incarnation = backend.report.incarnation

        def expire() -> None:
            listed = self.listed_backends.get(backend_id)
            if listed is not None and listed.incarnation == incarnation:
                del self.listed_backends[backend_id]

        self.timeline.call_later(ROW_EXPIRY, expire)

    def crash_and_restart(self, backend_id: str) -> None:
        """Crash a backend server, which is back after ``crash_down_time``."""
        self.crash_backend(backend_id)

        def restart() -> None:
            if self.backends[backend_id].is_up:
                return
            if self.do_servers_keep_ids:
                self.restart_backend(backend_id)
            else:
                self.replace_backend(backend_id)

        self.timeline.call_later(self.crash_down_time, restart)

    def replace_backend(self, backend_id: str) -> None:
        """Start a server under a new id at the address of a crashed one."""
        former = self.backends[backend_id]
        new_id = f"{backend_id}+"
        self._replacements[backend_id] = new_id
        self.listed_backends.pop(backend_id, None)
        self.add_backend(
            new_id,
            former.report.zone,
            former.report.capacity,
            former.slowness,
        )

    def resize_backend(
        self, backend_id: str, capacity: model.Resources
    ) -> None:
        """Change the capacity of a backend server, which says so at once."""
        backend = self.backends[backend_id]
        former = backend.report.capacity
        backend.report = dataclasses.replace(backend.report, capacity=capacity)
        if backend_id in self.listed_backends:
            self.listed_backends[backend_id] = backend.report
        if not capacity.holds(former):
            self.checker.record_shrinkage(backend_id, former)

    def hide_backend(self, backend_id: str) -> None:
        """Remove the row of a backend server, which goes on running."""
        self.listed_backends.pop(backend_id, None)

    def show_backend(self, backend_id: str) -> None:
        """List a backend server again if it is up."""
        backend = self.backends[backend_id]
        if backend.is_up:
            self.listed_backends[backend_id] = backend.report

    def hold_backend_list(self) -> None:
        """Make hosts read the list of backend servers as it is now."""
        self.listed_backends_snapshot = tuple(self.listed_backends.values())
        self.checker.record_contact_lost("list")

    def release_backend_list(self) -> None:
        """Make hosts read the current list of backend servers again."""
        self.listed_backends_snapshot = None
        self.checker.record_contact_regained("list")

    def restart_backend(self, backend_id: str) -> None:
        """Restart a crashed backend server under the same id."""
        backend = self.backends[backend_id]
        backend.restart()
        self.checker.record_restart(backend_id)
        self.listed_backends[backend_id] = backend.report

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
        timeout: datetime.timedelta = datetime.timedelta(seconds=3),
        fails: bool = False,
        crashing_tasks: int = 0,
        queue: str = "q",
        priority: int = 0,
        long_tasks: Collection[int] = (),
    ) -> Caller:
        """Submit a job of equal tasks at a host.

        Its first ``crashing_tasks`` tasks crash the servers that start them.
        Those whose indexes are in ``long_tasks`` take LONG_FACTOR times as
        long as the others.
        """
        now = self.timeline.now()
        estimate = estimate or work
        step = model.Step(tasks, resources, estimate)
        job = model.Job(
            job_id=job_id,
            queue=queue,
            service=SERVICE,
            priority=priority,
            attempts=3,
            spec=f"spec of {job_id}",
            stretch=1.6,
            steps=(step,),
            due=now + 1.6 * estimate + datetime.timedelta(milliseconds=60),
            expires=now + timeout,
        )
        for index in range(tasks):
            name = model.TaskRef(job_id, 0, index).name
            self.task_definitions[name] = emulated_backend.TaskDefinition(
                job.spec,
                SERVICE,
                resources,
                work * (LONG_FACTOR if index in long_tasks else 1),
                fails,
                CRASH_DELAY if index < crashing_tasks else None,
            )
        caller = Caller(job, now, job.due - now, timeout)
        self.callers[job_id] = caller
        self._send_job(caller, host)
        return caller

    def _send_job(self, caller: Caller, host: Host) -> None:
        caller.attempts += 1
        caller.host = host
        caller.is_read = False
        if not host.is_up or host.has_exited:
            self._repeat_request_later(caller)
            return
        if host.is_frozen:
            self._defer(host, lambda: self._read_request(host, caller))
            return
        caller.is_read = True
        self._apply(host, events.JobSubmitted(caller.job))

    def _read_request(self, host: Host, caller: Caller) -> None:
        """Submit a job whose host has read the request only now.

        A request carries durations, which count from when it is read.
        """
        now = self.timeline.now()
        job = dataclasses.replace(
            caller.job,
            due=now + caller.objective,
            expires=now + caller.timeout,
        )
        caller.is_read = True
        self._apply(host, events.JobSubmitted(job))

    def _repeat_request_later(
        self, caller: Caller, retry_at: Host | None = None
    ) -> None:
        """Make a caller repeat a failed request later, at a random host.

        The caller does not try again if no host is up at that time.
        """

        def repeat() -> None:
            if caller.has_left or caller.answer is not None:
                return
            if not self.do_callers_repeat:
                return
            up = [each for each in self.hosts.values() if each.is_up]
            if retry_at is not None:
                up = [retry_at]
            if up:
                now = self.timeline.now()
                caller.job = dataclasses.replace(
                    caller.job,
                    due=now + caller.objective,
                    expires=now + caller.timeout,
                )
                self._send_job(caller, self.random.choice(up))

        self.timeline.call_later(CALLER_RETRY_DELAY, repeat)

    def reset_caller(self, caller: Caller, retry_at: Host) -> None:
        """Reset a caller's connection; it repeats its request elsewhere."""
        host, caller.host = caller.host, None
        if host is not None:
            self._apply(host, events.JobAbandoned(caller.job.job_id))
        self._repeat_request_later(caller, retry_at)

    def abandon_job(self, caller: Caller) -> None:
        """Make a caller abandon its request, if it has no answer yet."""
        if caller.answer is not None:
            return
        caller.has_left = True
        host = caller.host
        if host is not None and host.is_up:
            self._apply(host, events.JobAbandoned(caller.job.job_id))

    def _record_answer(self, host: Host, effect: effects.AnswerJob) -> None:
        caller = self.callers.get(effect.job_id)
        if caller is None or caller.host is not host or caller.has_left:
            return
        outcomes = model.JobOutcome
        if effect.outcome is outcomes.LOST and caller.attempts < 5:
            caller.host = None
            self._repeat_request_later(caller)
            return
        if effect.outcome is outcomes.NOT_RUN:
            caller.refusals += 1
        caller.answer = effect
        caller.answered_at = self.timeline.now()
        if effect.outcome is outcomes.DONE:
            self.checker.check_done_job(effect.job_id)
        elif effect.outcome is outcomes.FAILED:
            self.checker.check_failed_job(effect.job_id)

    def check_refused_jobs(self) -> None:
        """Check the jobs whose every attempt was refused as not run.

        Call it at the end: until then, a task of a refused job may still be
        started by mistake.
        """
        for job_id, caller in self.callers.items():
            if caller.attempts and caller.refusals == caller.attempts:
                self.checker.check_refused_job(job_id)

    # Running.

    def run(self, duration: datetime.timedelta) -> None:
        """Advance the simulated time."""
        self.timeline.run_until(self.timeline.now() + duration)

    def _tick(self, host: Host, incarnation: int) -> None:
        if host.incarnation != incarnation or not host.is_up:
            return
        self._apply(host, events.Ticked())
        if host.has_exited and self._close_callers_listener(host):
            self.kill_host(host)
            return
        self.timeline.call_later(
            dispatch_reducer.TICK_INTERVAL,
            lambda: self._tick(host, incarnation),
        )

    def _close_callers_listener(self, host: Host) -> bool:
        """Return whether the requests that a host has read are answered.

        After the limit of its drain, those without an answer are cut off.
        """
        unanswered = [
            job_id
            for job_id, caller in self.callers.items()
            if caller.host is host and caller.is_owed_answer
        ]
        deadline = None
        if host.reducer is not None:
            deadline = host.reducer.drain_deadline
        if unanswered and deadline is not None:
            if self.timeline.now() < deadline:
                return False
            for job_id in unanswered:
                self.checker.record_unanswered_caller(job_id)
        return True

    def _read_store(self, host: Host, incarnation: int) -> None:
        """Apply the rows of the store, as the followers of a host do."""
        if host.incarnation != incarnation or not host.is_up:
            return
        self.timeline.call_later(
            STORE_READ_INTERVAL, lambda: self._read_store(host, incarnation)
        )
        if not self._reaches_store(host):
            return
        records = tuple(self._host_rows.values())
        self._apply_evacuations(host)
        read = events.CatalogRead(self.catalogs[self.document], self.document)
        self._apply(host, read)
        self._apply(host, events.HostsListed(records))
        self._apply(host, events.PoolsListed(dict(self._rows)))
        if not self._is_list_due(host):
            return
        host.list_read_at = self.timeline.now()
        reports = self.listed_backends_snapshot
        if reports is None:
            reports = tuple(self.listed_backends.values())
        self._list_version += 1
        version = self._list_version
        self._apply(host, events.BackendsListed(reports, version))

    def _apply_evacuations(self, host: Host) -> None:
        listed = events.EvacuationsListed(
            dict(self._evacuations), self._last_version
        )
        self._apply(host, listed, frozenset(self._evacuations))

    def _is_list_due(self, host: Host) -> bool:
        """Return whether a host reads the list of backend servers now."""
        if host.list_read_at is None or host.reducer is None:
            return True
        if host.reducer.needs_recent_backends(self.timeline.now()):
            return True
        elapsed = self.timeline.now() - host.list_read_at
        return elapsed >= self.idle_list_interval

    def _apply(
        self,
        host: Host,
        event: events.Event,
        evacuated: frozenset[str] = frozenset(),
    ) -> None:
        """Apply an event to the reducer of a host and execute the effects.

        The event tells the host of the zones that are ``evacuated``.
        """
        if host.is_frozen:
            self._defer(host, lambda: self._apply(host, event, evacuated))
            return
        if host.reducer is None:
            return
        self.checker.record_informed(host.address, evacuated)
        done = host.reducer.apply(event, self.timeline.now())
        if host.freezes_after_event:
            incarnation = host.incarnation

            def execute_deferred() -> None:
                if host.incarnation == incarnation and host.is_up:
                    self._execute_effects(host, done)

            self.freeze_host(host)
            host.freezes_after_event = False
            host.deferred.append(execute_deferred)
            return
        self._execute_effects(host, done)

    def _execute_effects(self, host: Host, done: effects.Effects) -> None:
        for effect in done:
            self._execute_effect(host, effect)

    def _defer(self, host: Host, action: Callable[[], None]) -> None:
        """Run an action when a frozen host wakes, unless it was killed."""
        incarnation = host.incarnation

        def run_deferred() -> None:
            if host.incarnation == incarnation and host.is_up:
                action()

        host.deferred.append(run_deferred)

    def _execute_effect(self, host: Host, effect: effects.Effect) -> None:
        match effect:
            case effects.Log():
                self.log_counts[effect.event] += 1
                if self.observe_log is not None:
                    self.observe_log(effect)
            case effects.Send():
                self._send(host, effect.link, effect.message)
            case (
                effects.StartRun() | effects.StopRun() | effects.PollBackend()
            ):
                self._send_order(host, effect)
            case effects.AnswerJob():
                self._record_answer(host, effect)
            case effects.LinkHosts():
                self._set_link_targets(host, effect.hosts)
            case effects.CloseLink():
                link = host.links.get(effect.link)
                if link is not None:
                    self._close_link_end(host, effect.link, link)
            case effects.WritePool():
                self._write_pool(host, effect)
            case effects.ProbeBackends():
                probed = events.BackendsProbed(
                    effect.pool,
                    not self._are_zones_partitioned(host.zone, effect.pool),
                )
                self._apply_later(host, LINK_DELAY, probed)
            case effects.ReadConnections():
                read = events.ConnectionsRead(effect.pause)
                self._apply_later(host, LOOP_DELAY, read)
            case effects.DecodeCatalog():
                catalog = self.catalogs.get(effect.document)
                decoded: events.Event = (
                    events.CatalogRejected(effect.document)
                    if catalog is None
                    else events.CatalogRead(catalog, effect.document)
                )
                self._apply_later(host, DECODE_DELAY, decoded)
            case effects.Exit():
                host.has_exited = True
                self._host_rows.pop(host.address, None)
            case effects.ReportFailure():
                # The emulator shows errors of the program, and hides none.
                raise effect.error
            case _:
                return

    def _apply_later(
        self, host: Host, delay: datetime.timedelta, event: events.Event
    ) -> None:
        incarnation = host.incarnation

        def deliver() -> None:
            if host.incarnation == incarnation and host.is_up:
                self._apply(host, event)

        self.timeline.call_later(delay, deliver)

    # Links.

    def _are_zones_partitioned(self, one: str, other: str) -> bool:
        if one == other:
            return False
        return one in self.isolated_zones or other in self.isolated_zones

    def _are_hosts_partitioned(self, one: Host, other: Host) -> bool:
        return (
            self._are_zones_partitioned(one.zone, other.zone)
            or one.address in self._isolated_hosts
            or other.address in self._isolated_hosts
        )

    def _is_path_silent(self, sender: Host, receiver: Host) -> bool:
        return (sender.address, receiver.address) in self.silent_paths

    def _set_link_targets(
        self, host: Host, link_targets: frozenset[str]
    ) -> None:
        added = link_targets - host.link_targets
        host.link_targets = link_targets
        for address in sorted(added):
            self._connect(host, address, host.incarnation)

    def _connect(self, host: Host, address: str, incarnation: int) -> None:
        def attempt() -> None:
            if host.incarnation != incarnation or not host.is_up:
                return
            if address not in host.link_targets:
                return
            peer = self.hosts[address]
            if (
                self._are_hosts_partitioned(host, peer)
                or self._is_path_silent(host, peer)
                or self._is_path_silent(peer, host)
                or peer.is_frozen
            ):
                failed = events.LinkFailed(address, False)
                self._apply_later(host, CONNECT_TIMEOUT, failed)
                self.timeline.call_later(CONNECT_TIMEOUT, retry_later)
                return
            if not peer.is_up or peer.reducer is None or host.reducer is None:
                self._apply_later(
                    host, LINK_DELAY, events.LinkFailed(address, True)
                )
                retry_later()
                return
            if self.handshake_time is None:
                self._open_link(host, peer)
            elif host.handshakes >= reconnection.HANDSHAKES_MAX:
                host.waiting_connections.append(attempt)
            else:
                self._shake_hands(host, peer, retry_later)

        def retry_later() -> None:
            delay = RECONNECT_DELAY
            if self.handshake_time is not None:
                delay = self._reconnection(host, address).after_failure()
            self.timeline.call_later(
                delay,
                lambda: self._connect(host, address, incarnation),
            )

        self.timeline.call_later(LINK_DELAY, attempt)

    def _reconnection(
        self, host: Host, address: str
    ) -> reconnection.Reconnection:
        return host.reconnections.setdefault(
            address, reconnection.Reconnection(self._delays.random)
        )

    def _reconnect(self, link: EmulatedLink) -> None:
        """Make the opener of a closed link connect again."""
        host, address = link.opener, link.acceptor.address
        incarnation = host.incarnation
        if self.handshake_time is None or link.opened_at is None:
            self._connect(host, address, incarnation)
            return
        lasted = self.timeline.now() - link.opened_at
        delay = self._reconnection(host, address).after_link(lasted)
        self.timeline.call_later(
            delay, lambda: self._connect(host, address, incarnation)
        )

    def _shake_hands(
        self, host: Host, peer: Host, retry_later: Callable[[], None]
    ) -> None:
        """Open a link once the processors of both hosts have worked for it."""
        assert self.handshake_time is not None
        now = self.timeline.now()
        done_at = now
        for each in (host, peer):
            begins_at = max(now, each.handshakes_done_at or now)
            each.handshakes_done_at = begins_at + self.handshake_time
            done_at = max(done_at, each.handshakes_done_at)
        host.handshakes += 1
        incarnations = (host.incarnation, peer.incarnation)

        def finish() -> None:
            if host.incarnation != incarnations[0] or not host.is_up:
                return
            host.handshakes -= 1
            if (
                done_at - now > CONNECT_TIMEOUT
                or peer.incarnation != incarnations[1]
                or not peer.is_up
            ):
                failed = events.LinkFailed(peer.address, False)
                self._apply(host, failed)
                retry_later()
            else:
                self._open_link(host, peer)
            if host.waiting_connections:
                host.waiting_connections.popleft()()

        self.timeline.call_later(min(done_at - now, CONNECT_TIMEOUT), finish)

    def _open_link(self, opener: Host, acceptor: Host) -> None:
        assert opener.reducer is not None and acceptor.reducer is not None
        self._last_link_number += 2
        link = EmulatedLink(
            opener,
            acceptor,
            self._last_link_number,
            self._last_link_number + 1,
        )
        link.opened_at = self.timeline.now()
        opener.links[link.opener_number] = link
        acceptor.links[link.acceptor_number] = link
        self._apply(
            opener,
            events.LinkOpened(
                link.opener_number, acceptor.reducer.local_host, True
            ),
        )
        self._apply(
            acceptor,
            events.LinkOpened(
                link.acceptor_number, opener.reducer.local_host, False
            ),
        )

    def _close_link_end(
        self, host: Host, number: int, link: EmulatedLink
    ) -> None:
        """Close one end of a link; the far end may not notice."""
        peer, _ = link.other_end(number)
        if not self._is_path_silent(host, peer):
            self._close_link(link)
            return
        link.closed_end = host
        host.links.pop(number, None)
        self._apply_later(host, LINK_DELAY, events.LinkClosed(number))
        if host is link.opener and host.is_up:
            self._reconnect(link)

    def _close_link(self, link: EmulatedLink) -> None:
        """Close a link and notify the ends that are up.

        The opener connects again.
        """
        if not link.is_open:
            return
        link.is_open = False
        self.closed_links += 1
        for host, number in (
            (link.opener, link.opener_number),
            (link.acceptor, link.acceptor_number),
        ):
            if host.links.pop(number, None) is not None:
                self._apply_later(host, LINK_DELAY, events.LinkClosed(number))
        if link.opener.is_up and link.closed_end is not link.opener:
            self._reconnect(link)

    def _send(
        self, host: Host, number: int, message: messages.Message
    ) -> None:
        link = host.links.get(number)
        if link is None or not link.is_open:
            return
        receiver, receiver_number = link.other_end(number)
        if self._is_path_silent(host, receiver):
            return
        evacuated: frozenset[str] = frozenset()
        if isinstance(message, messages.HostStatus | messages.KeepAlive):
            evacuated = self.checker.evacuations_known_to(host.address)
        now = self.timeline.now()
        delay = self._draw_message_delay(host, receiver)
        delay += self._queue_for_uplink(host, message)
        arrives_at = max(
            now + delay, link.delivery_times.get(host.address, now)
        )
        link.delivery_times[host.address] = arrives_at

        def deliver() -> None:
            if not link.is_open or self._are_hosts_partitioned(host, receiver):
                return
            if link.closed_end is receiver:
                if not self._is_path_silent(receiver, host):
                    self._close_link(link)
                return
            if self.timeline.now() - now > MESSAGE_DELAY_MAX:
                self._close_link_end(receiver, receiver_number, link)
                return
            received = events.MessageReceived(receiver_number, message)
            self._apply(receiver, received, evacuated)

        self.timeline.call_later(arrives_at - now, deliver)

    def _queue_for_uplink(
        self, host: Host, message: messages.Message
    ) -> datetime.timedelta:
        """Return how long it takes until a message has left its host."""
        self.sent_messages[message.kind] += 1
        if self.uplink_bits_per_second is None:
            return model.ZERO
        frame = messages.Frame(0.0, [message])
        size = len(messages.decoder.dump_json(frame))
        self.sent_bytes[message.kind] += size
        now = self.timeline.now()
        begins_at = max(now, host.uplink_free_at or now)
        host.uplink_free_at = begins_at + datetime.timedelta(
            seconds=8 * size / self.uplink_bits_per_second
        )
        return host.uplink_free_at - now

    def _draw_message_delay(
        self, sender: Host, receiver: Host
    ) -> datetime.timedelta:
        delay = self.path_delays.get((sender.address, receiver.address))
        if delay is not None:
            return delay
        if self.message_delay > LINK_DELAY:
            return self.random.random() * self.message_delay
        return LINK_DELAY

    # Backend servers.

    def _send_order(
        self,
        host: Host,
        order: effects.StartRun | effects.StopRun | effects.PollBackend,
    ) -> None:
        backend = self.backends.get(order.incarnation.backend_id)
        if isinstance(order, effects.StartRun) and (
            self.timeline.now() > order.send_by
        ):
            dropped = _unanswered_event(order, Outcome.DROPPED)
            self._apply_later(host, LOOP_DELAY, dropped)
            return
        if isinstance(order, effects.StartRun) and backend is not None:
            self.checker.check_start_order(
                host.address, backend.report.zone, order.run
            )
        wait = getattr(order, "wait", model.ZERO)
        if (
            backend is None
            or not backend.is_up
            or order.incarnation.backend_id in self.unreachable_backends
            or self._are_zones_partitioned(host.zone, backend.report.zone)
        ):
            replacement = self._replacements.get(order.incarnation.backend_id)
            if replacement is not None and self.backends[replacement].is_up:
                other = _unanswered_event(order, Outcome.OTHER_INCARNATION)
                self._apply_later(host, LINK_DELAY, other)
                return
            lost = _unanswered_event(order, Outcome.UNKNOWN)
            self._apply_later(host, CALL_TIMEOUT + wait, lost)
            return
        if self.random.random() < self.late_share and isinstance(
            order, self.late_orders
        ):
            late = datetime.timedelta(
                seconds=self.random.uniform(*LATE_ORDER_SECONDS)
            )
            self.timeline.call_later(
                late,
                lambda: self._execute_order(backend, order, _discard_reply),
            )
            lost = _unanswered_event(order, Outcome.UNKNOWN)
            self._apply_later(host, CALL_TIMEOUT + wait, lost)
            return
        is_reply_lost = False
        is_request_lost = (
            isinstance(order, effects.StopRun)
            and order.incarnation.backend_id in self.stops_are_lost
        )
        if self.call_loss_share and (
            self.random.random() < self.call_loss_share
        ):
            is_request_lost = self.random.random() < 0.5
            is_reply_lost = not is_request_lost
        incarnation = host.incarnation
        is_finished = False

        def reply(event: events.Event) -> None:
            nonlocal is_finished
            if is_finished or host.incarnation != incarnation:
                return
            if (
                is_reply_lost
                or order.incarnation.backend_id in self.unreachable_backends
                or self._are_zones_partitioned(host.zone, backend.report.zone)
            ):
                return
            is_finished = True
            self._apply_later(host, LINK_DELAY, event)

        def time_out() -> None:
            nonlocal is_finished
            if (
                not is_finished
                and host.incarnation == incarnation
                and host.is_up
            ):
                is_finished = True
                self._apply(host, _unanswered_event(order, Outcome.UNKNOWN))

        def reply_later(event: events.Event) -> None:
            self.timeline.call_later(
                self._draw_call_delay(), lambda: reply(event)
            )

        if not is_request_lost:
            self.timeline.call_later(
                LINK_DELAY + self._draw_call_delay(),
                lambda: self._execute_order(
                    backend, order, reply_later if self.call_delay else reply
                ),
            )
        self.timeline.call_later(CALL_TIMEOUT + wait, time_out)

    def _draw_call_delay(self) -> datetime.timedelta:
        if not self.call_delay:
            return model.ZERO
        # Most calls are fast, so that those that are not are overtaken.
        return self.random.random() ** 4 * self.call_delay

    def _execute_order(
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

    def _write_pool(self, host: Host, effect: effects.WritePool) -> None:
        def write() -> None:
            if not self._reaches_store(host):
                written = events.PoolWritten(effect.pool, None, None)
                self._apply(host, written)
                return
            version, _ = self._rows.get(effect.pool, (0, None))
            if version == effect.if_version:
                self._last_version += 1
                self._rows[effect.pool] = (self._last_version, effect.row)
            current = self._rows[effect.pool]
            self._apply(host, events.PoolWritten(effect.pool, *current))

        incarnation = host.incarnation

        def attempt() -> None:
            if host.incarnation == incarnation and host.is_up:
                write()

        self.timeline.call_later(STORE_DELAY, attempt)


def _discard_reply(event: events.Event) -> None:
    """Discard a reply."""


def _unanswered_event(
    order: effects.StartRun | effects.StopRun | effects.PollBackend,
    outcome: Outcome,
) -> events.Event:
    match order:
        case effects.StartRun():
            return events.RunStarted(
                order.incarnation, order.run, outcome, None
            )
        case effects.StopRun():
            return events.RunStopped(
                order.incarnation, order.run, outcome, order.fence
            )
        case _:
            return events.BackendPolled(
                order.incarnation,
                outcome,
                fence=order.fence,
                number=order.number,
            )
