"""The reducer of a dispatch host: events in, effects out.

::

    reducer = Reducer(local_host, clock.now())
    effects = reducer.apply(events.Ticked(), clock.now())

It hands each event to the part that owns the state concerned: the front for
callers' jobs, the scheduler for the jobs of the pools that this host
schedules, the run tracker for their backend servers, ownership for who
schedules what.
"""

from collections.abc import Callable
import datetime
from typing import Any

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import front as dispatch_front
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import links
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import ownership as dispatch_ownership
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import scheduler as dispatch_scheduler

# A changed load is told to peers no more often than this.
STATUS_INTERVAL = datetime.timedelta(milliseconds=20)
# How often it is looked at who should schedule what, beside each event that
# may change it.
OWNERSHIP_INTERVAL = datetime.timedelta(milliseconds=100)
# Fleets up to this size link every host to every other.
FULL_MESH_MAX = 12


class Reducer:
    """Applies events to the state of one dispatch host."""

    def __init__(
        self,
        local_host: model.HostRecord,
        now: datetime.datetime,
        *,
        job_order: ordering.JobOrder | None = None,
        placement: dispatch_placement.Placement | None = None,
    ) -> None:
        self.local_host = local_host
        self.catalog: model.Catalog | None = None
        self.document = ""
        self.hosts = dispatch_hosts.Hosts(local_host)
        self.ownership = dispatch_ownership.Ownership(self.hosts)
        self.run_tracker = run_tracker.RunTracker()
        self.scheduler = dispatch_scheduler.Scheduler(
            self.run_tracker,
            job_order or ordering.PriorityThenSlack(),
            placement or dispatch_placement.FastestInTime(),
        )
        self.front = dispatch_front.Front(
            self.hosts, self.ownership, self.scheduler
        )
        self.drain_deadline: datetime.datetime | None = None
        self._links: dict[int, links.Link] = {}
        self._reports: dict[model.BackendIncarnation, model.BackendReport] = {}
        self._announced_claims: dict[str, int] = {}
        self._announced_changes = 0
        self._load_announced_at = now
        self._ownership_evaluated_at = now
        self._wanted_hosts: frozenset[str] = frozenset()
        self._is_over = False
        self._handlers: dict[type, Callable[..., effects.Effects]] = {
            events.Ticked: self._tick,
            events.JobSubmitted: self._submit,
            events.JobAbandoned: self._abandon,
            events.CatalogRead: self._read_catalog,
            events.BackendsListed: self._list_backends,
            events.HostsListed: self._list_hosts,
            events.PoolsListed: self._list_pools,
            events.PoolWritten: self._pool_written,
            events.BackendsProbed: self._probed,
            events.LinkOpened: self._open_link,
            events.LinkFailed: self._fail_link,
            events.LinkClosed: self._close_link,
            events.MessageReceived: self._receive,
            events.RunStarted: self._run_started,
            events.RunStopped: self._run_stopped,
            events.BackendPolled: self._backend_polled,
            events.DrainRequested: self._drain,
        }
        self._message_handlers: dict[
            type, Callable[[Any, int, datetime.datetime], effects.Effects]
        ] = {
            messages.SubmitJob: self._submitted_by_peer,
            messages.AbandonJob: self._abandoned_by_peer,
            messages.JobEnded: self._answered_by_peer,
            messages.OfferTask: self.scheduler.offered,
            messages.StopTask: self._stopped_by_peer,
            messages.TaskEnded: self.scheduler.peer_task_ended,
            messages.HostStatus: self._host_status,
            messages.KeepAlive: self._keep_alive,
            messages.ShareCatalog: self._share_catalog,
            messages.ReleaseBackend: self._released,
        }

    @property
    def is_idle(self) -> bool:
        """Whether nothing is under way that needs a close look at time."""
        return not (
            self.front.pending
            or self.scheduler.jobs
            or self.ownership.claims
            or self.drain_deadline
        )

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.catalog is not None and self.drain_deadline is None

    def apply(
        self, event: events.Event, now: datetime.datetime
    ) -> effects.Effects:
        """Take in an event; return what has to happen."""
        done = self._handlers[type(event)](event, now)
        done += self.front.route_waiting(now)
        done += self.scheduler.process_ended_runs(now)
        done += self._answer_local(done, now)
        done += self._announce_claims(now)
        done += self._announce_load(now)
        return done

    def _answer_local(
        self, done: effects.Effects, now: datetime.datetime
    ) -> effects.Effects:
        """Pass answers of jobs scheduled here through the front."""
        more: effects.Effects = []
        for effect in list(done):
            if not isinstance(effect, effects.AnswerJob):
                continue
            if effect.job_id in self.front.pending:
                done.remove(effect)
                more += self.front.answered(
                    effect.job_id,
                    None,
                    effect.outcome,
                    effect.reason,
                    effect.retry_after,
                    now,
                )
        return more

    # Callers.

    def _submit(
        self, event: events.JobSubmitted, now: datetime.datetime
    ) -> effects.Effects:
        if event.job.job_id in self.front.pending:
            return []
        return self.front.submit(event.job, now)

    def _abandon(
        self, event: events.JobAbandoned, now: datetime.datetime
    ) -> effects.Effects:
        return self.front.abandon(event.job_id, now)

    # The store.

    def _read_catalog(
        self, event: events.CatalogRead, now: datetime.datetime
    ) -> effects.Effects:
        """Adopt a newer catalog; an older one never returns."""
        known = self.catalog
        if known is not None and event.catalog.version <= known.version:
            return []
        self.catalog = event.catalog
        self.document = event.document
        return [
            effects.Log(
                "catalog.adopted",
                {
                    "version": event.catalog.version,
                    "was": None if known is None else known.version,
                    "queues": len(event.catalog.queues),
                },
            ),
            *self._push_catalog(),
        ]

    def _push_catalog(self) -> effects.Effects:
        """Send the catalog over links whose far end has an older one."""
        if self.catalog is None:
            return []
        version = self.catalog.version
        done: effects.Effects = []
        for number, link in self._links.items():
            if link.catalog_version < version:
                link.catalog_version = version
                done.append(
                    effects.Send(
                        number,
                        messages.ShareCatalog(version, self.document),
                    )
                )
        return done

    def _list_backends(
        self, event: events.BackendsListed, now: datetime.datetime
    ) -> effects.Effects:
        self._reports = {
            report.incarnation: report for report in event.reports
        }
        for report in event.reports:
            self.ownership.add_pool(report.zone)
        return self._reconcile_backends(now)

    def _reconcile_backends(self, now: datetime.datetime) -> effects.Effects:
        """Take the servers of claimed pools, give up those of others."""
        done: effects.Effects = []
        claims = self.ownership.claims
        incarnations = {
            incarnation.backend_id: incarnation
            for incarnation in self._reports
        }
        for backend in list(self.run_tracker):
            incarnation = backend.incarnation
            report = self._reports.get(incarnation)
            if backend.report.zone not in claims:
                done += self._release_backend(backend, now)
            elif report is not None:
                done += self.run_tracker.update_report(report)
            elif incarnation.backend_id in incarnations:
                newer = incarnations[incarnation.backend_id]
                if newer.started_ms > incarnation.started_ms:
                    done += self.run_tracker.end_incarnation(
                        incarnation, now, "newer life"
                    )
            else:
                done += self.run_tracker.record_missing(incarnation, now)
        for incarnation, report in self._reports.items():
            claim = claims.get(report.zone)
            if claim is None:
                continue
            held = self.run_tracker.get(incarnation)
            if held is not None and (
                held.state is not backends.BackendState.FENCED
                or pool_rows.claim_fence(held.fence) >= claim.fence
            ):
                continue
            if self.ownership.may_acquire(report.zone, incarnation, now):
                fence = claim.next_order_fence(incarnation.backend_id)
                done += self.run_tracker.acquire(report, fence, now)
        return done

    def _release_backend(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Give a server to the new owner of its pool once it is idle."""
        self.run_tracker.begin_release(backend)
        pool = backend.report.zone
        if backend.runs and backend.state is backends.BackendState.READY:
            return []
        done = self.run_tracker.release(
            backend.incarnation, now, "pool has a new owner"
        )
        message = messages.ReleaseBackend(
            pool,
            backend.incarnation.backend_id,
            backend.incarnation.started_ms,
        )
        for number, link in self._links.items():
            if not link.is_outbound:
                done.append(effects.Send(number, message))
        return done

    def _list_hosts(
        self, event: events.HostsListed, now: datetime.datetime
    ) -> effects.Effects:
        for record in event.hosts:
            self.hosts.update_record(record, now)
        return self._want_links(now)

    def _want_links(self, now: datetime.datetime) -> effects.Effects:
        peers = self.hosts.all()
        if len(peers) < FULL_MESH_MAX:
            wanted = {peer.record.address for peer in peers}
        else:
            wanted = self.ownership.needed_hosts(now)
        wanted.discard(self.local_host.address)
        self.hosts.set_link_targets(wanted, now)
        if wanted == self._wanted_hosts:
            return []
        self._wanted_hosts = frozenset(wanted)
        return [effects.LinkHosts(self._wanted_hosts)]

    def _list_pools(
        self, event: events.PoolsListed, now: datetime.datetime
    ) -> effects.Effects:
        done = self.ownership.rows_listed(event.rows, now)
        return [*done, *self._reconcile_backends(now), *self._want_links(now)]

    def _pool_written(
        self, event: events.PoolWritten, now: datetime.datetime
    ) -> effects.Effects:
        done = self.ownership.written(
            event.pool, event.version, event.row, now
        )
        return [*done, *self._reconcile_backends(now)]

    def _probed(
        self, event: events.BackendsProbed, now: datetime.datetime
    ) -> effects.Effects:
        self.ownership.probed(event.pool, event.is_reachable)
        return []

    # Links.

    def _open_link(
        self, event: events.LinkOpened, now: datetime.datetime
    ) -> effects.Effects:
        self._links[event.link] = links.Link(
            event.host, event.is_outbound, now
        )
        if event.is_outbound:
            self.hosts.link_opened(event.link, event.host, now)
        else:
            self.hosts.inbound_link_opened(event.host, now)
        return [
            effects.Log(
                "link.opened",
                {
                    "host": event.host.address,
                    "incarnation": event.host.incarnation,
                    "is_ours": event.is_outbound,
                },
            ),
            *self._send_keep_alive(event.link, now),
        ]

    def _fail_link(
        self, event: events.LinkFailed, now: datetime.datetime
    ) -> effects.Effects:
        self.hosts.link_failed(event.address, event.refused, now)
        return self._reevaluate_ownership(now)

    def _close_link(
        self, event: events.LinkClosed, now: datetime.datetime
    ) -> effects.Effects:
        link = self._links.pop(event.link, None)
        if link is None:
            return []
        self.hosts.link_closed(event.link, now)
        done: effects.Effects = [
            effects.Log(
                "link.closed",
                {
                    "host": link.host.address,
                    "is_ours": link.is_outbound,
                    "heard_seconds_ago": (
                        now - link.last_heard_at
                    ).total_seconds(),
                },
            )
        ]
        if link.is_outbound:
            done += self.front.close_link(event.link)
        else:
            self.hosts.inbound_link_closed(link.host)
        done += self.scheduler.close_link(event.link, now)
        return [*done, *self._reevaluate_ownership(now)]

    def _reevaluate_ownership(self, now: datetime.datetime) -> effects.Effects:
        done = self.ownership.decide(now)
        return [*done, *self._reconcile_backends(now)]

    def _receive(
        self, event: events.MessageReceived, now: datetime.datetime
    ) -> effects.Effects:
        link = self._links.get(event.link)
        if link is None:
            return []
        link.last_heard_at = now
        handler = self._message_handlers[type(event.message)]
        return handler(event.message, event.link, now)

    def _submitted_by_peer(
        self,
        message: messages.SubmitJob,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        if not self.ownership.claims:
            return [
                effects.Send(
                    link,
                    messages.JobEnded(
                        message.job_id,
                        model.JobOutcome.NOT_RUN,
                        dispatch_scheduler.REASON_LEAVING,
                        None,
                    ),
                )
            ]
        return self.scheduler.submit(
            dispatch_front.job_from_message(message, now), link, now
        )

    def _abandoned_by_peer(
        self,
        message: messages.AbandonJob,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.scheduler.abandon(message.job_id, link, now)

    def _answered_by_peer(
        self,
        message: messages.JobEnded,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        retry_after = None
        if message.return_in_ms is not None:
            retry_after = message.return_in_ms * model.MILLISECOND
        return self.front.answered(
            message.job_id,
            link,
            message.outcome,
            message.reason,
            retry_after,
            now,
        )

    def _stopped_by_peer(
        self,
        message: messages.StopTask,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.scheduler.stop_offered(message, now)

    def _host_status(
        self,
        message: messages.HostStatus,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        peer = self.hosts.by_link(link)
        if peer is None:
            return []
        was = peer.status
        peer.status = message
        self.scheduler.peer_status(link, message.loads)
        self._links[link].catalog_version = message.catalog_version
        done: effects.Effects = self._push_catalog()
        changed = (
            was is None
            or was.is_leaving != message.is_leaving
            or [load.fence for load in was.loads]
            != [load.fence for load in message.loads]
        )
        if changed:
            done += self._reevaluate_ownership(now)
        return [*done, *self.scheduler.dispatch(now)]

    def _keep_alive(
        self,
        message: messages.KeepAlive,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        self._links[link].catalog_version = message.catalog_version
        return self._push_catalog()

    def _share_catalog(
        self,
        message: messages.ShareCatalog,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Have a peer's catalog decoded; CatalogRead follows."""
        known = self.catalog
        if known is not None and message.version <= known.version:
            return []
        return [effects.DecodeCatalog(message.document)]

    def _released(
        self,
        message: messages.ReleaseBackend,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        self.ownership.released(message)
        return self._reconcile_backends(now)

    # Backend servers.

    def _run_started(
        self, event: events.RunStarted, now: datetime.datetime
    ) -> effects.Effects:
        return self.run_tracker.started(
            event.incarnation,
            event.run,
            event.outcome,
            event.server_clock_ms,
            now,
        )

    def _run_stopped(
        self, event: events.RunStopped, now: datetime.datetime
    ) -> effects.Effects:
        return self.run_tracker.stopped(
            event.incarnation, event.run, event.outcome, now
        )

    def _backend_polled(
        self, event: events.BackendPolled, now: datetime.datetime
    ) -> effects.Effects:
        known = self.run_tracker.changes
        done = self.run_tracker.polled(
            event.incarnation,
            event.outcome,
            event.server_clock_ms,
            event.running,
            event.ended,
            now,
        )
        if self.run_tracker.changes != known and not self.run_tracker.ended:
            # A server has become usable; ends are acted on by themselves.
            done += self.scheduler.dispatch(now)
        return done

    # Time.

    def _tick(
        self, event: events.Ticked, now: datetime.datetime
    ) -> effects.Effects:
        done: effects.Effects = []
        busy = self.front.links_in_use() | self.scheduler.links_in_use()
        watched = self.ownership.watched_hosts()
        for number, link in list(self._links.items()):
            is_busy = number in busy or link.host.address in watched
            if not is_busy:
                link.busy_since = None
            elif link.busy_since is None:
                link.busy_since = now
            if link.is_timed_out(now):
                done.append(effects.CloseLink(number, "silent"))
                done += self._close_link(events.LinkClosed(number), now)
            elif link.is_keep_alive_due(now):
                done += self._send_keep_alive(number, now)
        done += self.run_tracker.tick(now)
        done += self.scheduler.tick(now)
        if now - self._ownership_evaluated_at < OWNERSHIP_INTERVAL:
            return [*done, *self._check_drain(now)]
        self._ownership_evaluated_at = now
        done += self._reevaluate_ownership(now)
        done += self._want_links(now)
        for pool in self.ownership.pools_to_probe(now):
            addresses = tuple(
                report.address
                for report in self._reports.values()
                if report.zone == pool
            )
            done.append(effects.ProbeBackends(pool, addresses[:3]))
        return [*done, *self._check_drain(now)]

    def _send_keep_alive(
        self, number: int, now: datetime.datetime
    ) -> effects.Effects:
        link = self._links[number]
        link.keep_alive_sent_at = now
        version = 0 if self.catalog is None else self.catalog.version
        if link.is_outbound:
            return [effects.Send(number, messages.KeepAlive(version))]
        status = messages.HostStatus(
            self._loads(now, has_rooms=self._is_scheduler(link)),
            self.drain_deadline is not None,
            version,
        )
        return [effects.Send(number, status)]

    def _is_scheduler(self, link: links.Link) -> bool:
        """Tell whether a link's far end schedules jobs, and offers tasks."""
        peer = self.hosts.get(link.host.address)
        return (
            peer is not None
            and peer.status is not None
            and bool(peer.status.loads)
        )

    def _loads(
        self, now: datetime.datetime, *, has_rooms: bool
    ) -> list[messages.PoolLoad]:
        """Return this host's pools; only schedulers need to know the rooms."""
        backlog = self.scheduler.backlog(now) / model.MILLISECOND
        loads = []
        for pool, claim in self.ownership.claims.items():
            services = {
                backend.report.service
                for backend in self.run_tracker
                if backend.report.zone == pool
            }
            for service in sorted(services) or [""]:
                rooms = []
                if has_rooms:
                    rooms = self.scheduler.free_rooms(pool, service, now)
                loads.append(
                    messages.PoolLoad(
                        pool, claim.fence, service, rooms, round(backlog, 1)
                    )
                )
        return loads

    def _announce_claims(self, now: datetime.datetime) -> effects.Effects:
        """Tell every host at once which pools this one schedules now."""
        claimed = {
            pool: claim.fence for pool, claim in self.ownership.claims.items()
        }
        if claimed == self._announced_claims:
            return []
        self._announced_claims = claimed
        done: effects.Effects = []
        for number, link in self._links.items():
            if not link.is_outbound:
                done += self._send_keep_alive(number, now)
        return done

    def _announce_load(self, now: datetime.datetime) -> effects.Effects:
        """Tell other schedulers how much room there is when that changes.

        Hosts that schedule nothing hear of it with the next sign of life.
        """
        if self.run_tracker.changes == self._announced_changes:
            return []
        if now - self._load_announced_at < STATUS_INTERVAL:
            return []
        self._announced_changes, self._load_announced_at = (
            self.run_tracker.changes,
            now,
        )
        if not self.ownership.claims:
            return []
        done: effects.Effects = []
        for number, link in self._links.items():
            if not link.is_outbound and self._is_scheduler(link):
                done += self._send_keep_alive(number, now)
        return done

    # The end.

    def _drain(
        self, event: events.DrainRequested, now: datetime.datetime
    ) -> effects.Effects:
        """Leave: have others schedule, end what is under way, then exit."""
        self.drain_deadline = now + event.limit
        self.ownership.is_leaving = True
        self.ownership.claims.clear()
        done: effects.Effects = [
            effects.Log(
                "drain.started",
                {
                    "limit_seconds": event.limit.total_seconds(),
                    "jobs": len(self.front.pending),
                    "scheduled": len(self.scheduler.jobs),
                },
            )
        ]
        for number in self._links:
            done += self._send_keep_alive(number, now)
        done += self.scheduler.reject_unstarted_jobs(now)
        return [*done, *self._reconcile_backends(now)]

    def _check_drain(self, now: datetime.datetime) -> effects.Effects:
        if self.drain_deadline is None or self._is_over:
            return []
        is_idle = (
            not self.front.pending
            and not self.scheduler.jobs
            and not list(self.run_tracker)
        )
        if not is_idle and now < self.drain_deadline:
            return []
        self._is_over = True
        return [
            effects.Log("drain.ended", {"is_idle": is_idle}),
            effects.Exit(),
        ]
