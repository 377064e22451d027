"""The reducer: applies an event to the state and returns effects as data.

::

    reducer = Reducer(local_host, clock.now())
    effects = reducer.apply(events.Ticked(), clock.now())

It passes each event to the component that owns the state concerned: the front
for jobs of callers that are connected to this host, the scheduler for jobs
that this host schedules, the run tracker for the backend servers of its
pools, and ownership for the assignment of pools to hosts.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

from waxwingwalk.core import clock
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import backend_list_sharing
from waxwingwalk.dispatch import catalog_sharing
from waxwingwalk.dispatch import crashes
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import failures
from waxwingwalk.dispatch import front as dispatch_front
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import links
from waxwingwalk.dispatch import lookahead
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import ownership as dispatch_ownership
from waxwingwalk.dispatch import placement as dispatch_placement
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import scheduler as dispatch_scheduler
from waxwingwalk.dispatch import settings as dispatch_settings

TICK_INTERVAL = datetime.timedelta(milliseconds=25)
# The tick interval of an idle host. It must be short compared with the silence
# of 0.6 s that closes a link once work has begun on it.
IDLE_TICK_INTERVAL = datetime.timedelta(milliseconds=100)
# The minimum interval between announcements of a changed load to peers.
LOAD_ANNOUNCEMENT_INTERVAL = datetime.timedelta(milliseconds=20)
# The announcements that a host sends, and so about those that it receives, are
# limited as the schedulers of a region grow in number.
MAX_ANNOUNCEMENTS_PER_SECOND = 150
# A host that has claimed a pool acquires its servers once it has a list that
# is no older than this. A host without a pool reads the list
# every 5 s, and a server gets no task later than 2 s after it has said that
# it drains.
BACKEND_LIST_AGE_MAX = datetime.timedelta(seconds=1)
# It does not wait longer than this for the list, as the store may be down.
BACKEND_LIST_WAIT_MAX = datetime.timedelta(milliseconds=300)
# Part of a drain that is reserved for the answers of schedulers to arrive.
DRAIN_ANSWER_TIME = datetime.timedelta(milliseconds=200)
# Links are checked at each tick, and before any other event if the last check
# is older than this. Ticks are at most half as far apart, and a link expires
# after three times as long.
LINK_CHECK_DELAY_MAX = datetime.timedelta(milliseconds=200)
# After a pause that is longer than this, callers of this host may have left,
# and may have repeated their requests at another host: the platform's callers
# do so 1.3 s after a failure.
LONG_PAUSE = datetime.timedelta(milliseconds=600)
# After a long pause no job is routed and no task starts until what callers'
# connections received has been read, or until this time has passed.
HOLD_LIMIT = datetime.timedelta(seconds=1)
# The interval at which the ownership of pools is evaluated, in addition to
# evaluations at each event that may change it.
OWNERSHIP_INTERVAL = datetime.timedelta(milliseconds=100)
# In fleets of up to this many hosts, every host has a link to every other.
FULL_MESH_MAX_HOSTS = 12


# Number of servers of a pool that are probed at a time.
PROBED_SERVERS = 3
# The reason of the answer to a job that could not be handled.
REASON_INTERNAL_ERROR = "internal error"


class Reducer:
    """Applies events to the state of one dispatch host."""

    def __init__(
        self,
        local_host: model.HostRecord,
        now: datetime.datetime,
        *,
        job_order: ordering.JobOrder | None = None,
        placement: dispatch_placement.Placement | None = None,
        settings: dispatch_settings.DispatchSettings | None = None,
        work_limits: dispatch_settings.WorkLimits | None = None,
        zone_evacuation: evacuation.Evacuation | None = None,
    ) -> None:
        self.local_host = local_host
        self.settings = settings or dispatch_settings.DispatchSettings()
        self.catalog: model.Catalog | None = None
        self.catalog_sharing = catalog_sharing.CatalogSharing(
            local_host.address
        )
        self.hosts = dispatch_hosts.Hosts(local_host)
        self.ownership = dispatch_ownership.Ownership(self.hosts)
        self.evacuation = zone_evacuation or evacuation.Evacuation()
        self._observed = observed_time.ObservedTime()
        self.run_tracker = run_tracker.RunTracker(
            self._observed, self.evacuation, self.settings, work_limits
        )
        self._crash_history = crashes.CrashHistory()
        placement = placement or dispatch_placement.FastestInTime()
        look_ahead = None
        if self.settings.look_ahead:
            placement = look_ahead = lookahead.LookAhead(placement)
        self.scheduler = dispatch_scheduler.Scheduler(
            self.run_tracker,
            job_order or ordering.PriorityThenSlack(),
            placement,
            self._observed,
            self._crash_history,
            self.evacuation,
            self.ownership.claims,
            self.settings,
            look_ahead,
            work_limits,
        )
        self.front = dispatch_front.Front(
            self.hosts,
            self.ownership,
            self.scheduler,
            self.evacuation,
            self.settings,
        )
        self.drain_deadline: datetime.datetime | None = None
        self._links: dict[int, links.Link] = {}
        self._backend_reports: dict[
            model.BackendIncarnation, model.BackendReport
        ] = {}
        self._backends_listed_at = clock.DISTANT_PAST
        self._backend_list_sharing = backend_list_sharing.BackendListSharing()
        self._announced_claims: dict[str, int] = {}
        self._announced_changes = 0
        self._load_announced_at = now
        self._links_checked_at = now
        self._pauses = 0
        self._held_since: datetime.datetime | None = None
        self._ownership_evaluated_at = now
        self._link_targets: frozenset[str] = frozenset()
        self._is_exiting = False
        self._probe_count = 0
        self._handlers: dict[type, Callable[..., effects.Effects]] = {
            events.Ticked: self._tick,
            events.JobSubmitted: self._submit,
            events.JobAbandoned: self._abandon,
            events.CatalogRead: self._adopt_catalog,
            events.CatalogRejected: self._reject_catalog,
            events.EvacuationsListed: self._list_evacuations,
            events.BackendsListed: self._update_backends,
            events.HostsListed: self._update_hosts,
            events.PoolsListed: self._update_pools,
            events.PoolWritten: self._record_pool_write,
            events.BackendsProbed: self._record_probe,
            events.LinkOpened: self._open_link,
            events.LinkFailed: self._fail_link,
            events.LinkClosed: self._close_link,
            events.MessageReceived: self._receive,
            events.RunStarted: self._run_started,
            events.RunStopped: self._run_stopped,
            events.BackendPolled: self._backend_polled,
            events.ConnectionsRead: self._resume_starts,
            events.DrainRequested: self._start_drain,
        }
        self._message_handlers: dict[
            type, Callable[[Any, int, datetime.datetime], effects.Effects]
        ] = {
            messages.SubmitJob: self._submit_for_peer,
            messages.AbandonJob: self._abandon_for_peer,
            messages.LimitJob: self._limit_for_peer,
            messages.JobEnded: self._handle_peer_answer,
            messages.OfferTask: self.scheduler.handle_offer,
            messages.StopTask: self._stop_task_for_peer,
            messages.TaskEnded: self.scheduler.handle_peer_task_end,
            messages.HostStatus: self._handle_host_status,
            messages.KeepAlive: self._handle_keep_alive,
            messages.RequestCatalog: self._send_catalog_part,
            messages.CatalogPart: self._handle_catalog_part,
            messages.ShareCatalog: self._decode_peer_catalog,
            messages.ReleaseBackend: self._record_backend_release,
            messages.RequestBackends: self._subscribe_to_backends,
            messages.ShareBackends: self._update_shared_backends,
            messages.ReportCrashes: self._record_reported_crashes,
        }

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing that requires frequent ticks."""
        return not (
            self.front.pending
            or self.scheduler.jobs
            or self.ownership.claims
            or self.drain_deadline
        )

    @property
    def tick_interval(self) -> datetime.timedelta:
        """The interval at which Ticked has to be applied."""
        return IDLE_TICK_INTERVAL if self.is_idle else TICK_INTERVAL

    @property
    def is_ready(self) -> bool:
        """Whether the host can accept jobs of callers."""
        return self.catalog is not None and self.drain_deadline is None

    def needs_recent_backends(self, now: datetime.datetime) -> bool:
        """Return whether the list of backend servers is to be read often.

        A linked host that schedules pools may depend on it.
        """
        return (
            self.ownership.may_schedule
            or self._backend_list_sharing.has_subscribers(now)
        )

    def apply(
        self, event: events.Event, now: datetime.datetime
    ) -> effects.Effects:
        """Apply an event; return the effects to carry out."""
        done: effects.Effects = []
        if now - self._links_checked_at > LINK_CHECK_DELAY_MAX:
            # This host was paused or is behind. What arrived meanwhile must
            # not start work for the far ends of links that have expired.
            delay = now - self._links_checked_at
            done.append(
                effects.Log(
                    "process.delayed",
                    {"delay_ms": model.milliseconds(delay)},
                )
            )
            done += self._check_links(now)
            if delay > LONG_PAUSE:
                self._pauses += 1
                self._held_since = now
                self.front.hold_jobs()
                self.scheduler.hold_starts()
                done.append(effects.ReadConnections(self._pauses))
        name = type(event).__name__
        try:
            done += self._handlers[type(event)](event, now)
        except Exception as error:
            done.append(effects.ReportFailure(name, error))
            done += self._answer_failed(event)
        for step in (
            self.front.route_waiting,
            self._report_crashes,
            self.scheduler.process_ended_runs,
        ):
            done += failures.confine(name, step, now)
        done += failures.confine(name, self._answer_local, done, now)
        for step in (self._announce_claims, self._announce_load):
            done += failures.confine(name, step, now)
        if isinstance(event, events.Ticked):
            # The tick may have ended the work of this host.
            self._observed.expect_tick(now, self.tick_interval)
        return done

    def _answer_failed(self, event: events.Event) -> effects.Effects:
        """Answer whoever waits for the outcome of an event that failed."""
        if isinstance(event, events.JobSubmitted):
            return [
                effects.AnswerJob(
                    event.job.job_id,
                    model.JobOutcome.LOST,
                    REASON_INTERNAL_ERROR,
                    None,
                )
            ]
        if isinstance(event, events.MessageReceived) and isinstance(
            event.message, messages.SubmitJob
        ):
            ended = messages.JobEnded(
                event.message.job_id,
                model.JobOutcome.LOST,
                REASON_INTERNAL_ERROR,
                None,
                event.message.request,
            )
            return [effects.Send(event.link, ended)]
        return []

    def _report_crashes(self, now: datetime.datetime) -> effects.Effects:
        """Record new evidence of crashes, and send it to linked hosts.

        Links that a host has accepted lead to all hosts that may offer it
        tasks or ask it for jobs. Over them the evidence on a run arrives
        before its end.
        """
        evidence = self.run_tracker.crash_evidence
        if not evidence:
            return []
        self.run_tracker.crash_evidence = []
        report = messages.ReportCrashes(evidence)
        done: effects.Effects = [
            effects.Send(number, report)
            for number, link in self._links.items()
            if not link.is_outbound
        ]
        return done + self._record_crashes(evidence, now)

    def _record_reported_crashes(
        self,
        message: messages.ReportCrashes,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self._record_crashes(message.evidence, now)

    def _record_crashes(
        self, evidence: list[model.CrashEvidence], now: datetime.datetime
    ) -> effects.Effects:
        for each in evidence:
            self._crash_history.record(each, now)
        tasks = dict.fromkeys(each.task for each in evidence)
        return self.scheduler.record_crashes(tasks, now)

    def _answer_local(
        self, done: effects.Effects, now: datetime.datetime
    ) -> effects.Effects:
        """Pass answers of the scheduler of this host through the front.

        The front removes the job, or routes it again if this host is leaving.
        """
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

    def _resume_starts(
        self, event: events.ConnectionsRead, now: datetime.datetime
    ) -> effects.Effects:
        if event.pause != self._pauses:
            return []
        return self._resume(now)

    def _resume(self, now: datetime.datetime) -> effects.Effects:
        self._held_since = None
        self.front.resume_jobs()
        return self.scheduler.resume_starts(now)

    # Rows read from the store.

    def _adopt_catalog(
        self, event: events.CatalogRead, now: datetime.datetime
    ) -> effects.Effects:
        """Adopt a newer catalog; older versions are ignored."""
        known = self.catalog
        version = event.catalog.version
        done = self.catalog_sharing.finish_decoding(
            event.document, version, self._observed.at(now)
        )
        if known is not None and version <= known.version:
            return done
        self.catalog = event.catalog
        done += [
            effects.Log(
                "catalog.adopted",
                {
                    "version": version,
                    "was": None if known is None else known.version,
                    "queues": len(event.catalog.queues),
                },
            ),
            *self.catalog_sharing.adopt(
                version, event.document, self._observed.at(now)
            ),
        ]
        # Hosts that do not reach the store learn of the version by this.
        for number in self._links:
            done += self._send_keep_alive(number, now)
        return done

    def _reject_catalog(
        self, event: events.CatalogRejected, now: datetime.datetime
    ) -> effects.Effects:
        return self.catalog_sharing.finish_decoding(
            event.document, None, self._observed.at(now)
        )

    def _list_evacuations(
        self, event: events.EvacuationsListed, now: datetime.datetime
    ) -> effects.Effects:
        changes = self.evacuation.rows_listed(event.zones, event.version, now)
        return self._apply_evacuations(changes, "store", now)

    def _merge_evacuations(
        self,
        notices: list[evacuation.Notice] | None,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Record what the host at the far end of a link knows."""
        if notices is None:
            return []
        changes = self.evacuation.merge(notices, now)
        source = self._links[link].host.address
        return self._apply_evacuations(changes, source, now)

    def _apply_evacuations(
        self,
        changes: list[evacuation.Notice],
        source: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Tell all linked hosts, and have unstarted jobs routed again.

        Linked hosts are told first, so that they route the jobs elsewhere.
        """
        if not changes:
            return []
        self.run_tracker.forget_usable()
        done: effects.Effects = [_log_change(each, source) for each in changes]
        for number in self._links:
            done += self._send_keep_alive(number, now)
        if self.scheduler.is_evacuated:
            done += self.scheduler.reject_unstarted_jobs(
                now, dispatch_scheduler.REASON_EVACUATED
            )
        return [*done, *self.scheduler.dispatch(now)]

    def _update_backends(
        self, event: events.BackendsListed, now: datetime.datetime
    ) -> effects.Effects:
        if self._backend_list_sharing.is_outdated(event.version, now):
            return []
        done = self._backend_list_sharing.record_list(
            event.version, event.reports, now
        )
        return [*done, *self._replace_backends(event.reports, now)]

    def _subscribe_to_backends(
        self,
        message: messages.RequestBackends,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self._backend_list_sharing.handle_request(message, link, now)

    def _update_shared_backends(
        self,
        message: messages.ShareBackends,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Replace the servers of the pools that another host has listed."""
        if not self._backend_list_sharing.handle_list(message, link, now):
            return []
        pools = set(message.pools)
        others = (
            each
            for each in self._backend_reports.values()
            if each.zone not in pools
        )
        shared = (each for each in message.reports if each.zone in pools)
        return self._replace_backends((*others, *shared), now)

    def _replace_backends(
        self, reports: Iterable[model.BackendReport], now: datetime.datetime
    ) -> effects.Effects:
        self._backend_reports = {
            report.incarnation: report for report in reports
        }
        self._backends_listed_at = now
        self.run_tracker.forget_unlisted(self._backend_reports)
        for report in self._backend_reports.values():
            self.ownership.add_pool(report.zone)
        return self._reconcile_backends(now)

    def _request_backends(self, now: datetime.datetime) -> effects.Effects:
        """Ask linked hosts for the list of servers if this one's is old.

        Hosts that schedule pools come first, as they read it often.
        """
        if not (
            self.ownership.claims and self._backend_list_sharing.is_old(now)
        ):
            return []
        hosts: dict[str, int] = {}
        for number, link in self._links.items():
            hosts.setdefault(link.host.address, number)
        ordered = sorted(
            hosts, key=lambda address: not self._is_scheduler(address)
        )
        return self._backend_list_sharing.request_if_old(
            set(self.ownership.claims),
            {hosts[address]: address for address in ordered},
            now,
        )

    def _reconcile_backends(self, now: datetime.datetime) -> effects.Effects:
        """Acquire the servers of claimed pools; release all others."""
        done: effects.Effects = []
        listed = {
            incarnation.backend_id: incarnation
            for incarnation in self._backend_reports
        }
        for backend in list(self.run_tracker):
            done += failures.confine(
                backend, self._reconcile_backend, backend, listed, now
            )
        scheduled = {
            backend.incarnation.backend_id: backend.incarnation
            for backend in self.run_tracker
        }
        for report in self._backend_reports.values():
            # Most servers are of pools that other hosts schedule.
            if report.zone not in self.ownership.claims:
                continue
            done += failures.confine(
                report.incarnation,
                self._acquire_backend,
                report,
                scheduled,
                now,
            )
        return done

    def _reconcile_backend(
        self,
        backend: backends.Backend,
        listed: dict[str, model.BackendIncarnation],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Update a scheduled server by its report; release or follow it.

        ``listed`` are the listed incarnations by id.
        """
        incarnation = backend.incarnation
        report = self._backend_reports.get(incarnation)
        if backend.report.zone not in self.ownership.claims:
            return self._release_backend(backend, now)
        if backend.is_releasing and not backend.has_active_runs:
            # It is acquired again under the new claim.
            return self.run_tracker.release(
                incarnation, now, "pool claimed again"
            )
        if report is not None:
            return self.run_tracker.update_report(report)
        newer = listed.get(incarnation.backend_id)
        if newer is None:
            return self.run_tracker.record_missing(incarnation, now)
        if (
            newer.started_ms > incarnation.started_ms
            and not self.run_tracker.is_over(newer)
        ):
            return self._follow_restart(backend, newer, now)
        return []

    def _acquire_backend(
        self,
        report: model.BackendReport,
        scheduled: dict[str, model.BackendIncarnation],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Acquire a listed server of a claimed pool if it is due.

        ``scheduled`` are the incarnations that are scheduled here, by id.
        """
        incarnation = report.incarnation
        claim = self.ownership.claims.get(report.zone)
        acquired = self.run_tracker.get(incarnation)
        if (
            acquired is not None
            and acquired.state is not backends.BackendState.FENCED
        ):
            return []
        if claim is None or not self._is_list_recent(claim, now):
            return []
        # The list may lag behind a restart of the server. Acquiring the
        # former incarnation would fence off the newer one.
        known = scheduled.get(incarnation.backend_id, incarnation)
        if known != incarnation or self.run_tracker.is_over(incarnation):
            return []
        # A fenced server is acquired again only under a newer claim.
        if (
            acquired is not None
            and pool_rows.claim_fence(acquired.fence) >= claim.fence
        ):
            return []
        if not self.ownership.may_acquire(
            report.zone, incarnation, self._observed.at(now)
        ):
            return []
        fence = claim.next_order_fence(incarnation.backend_id)
        return self.run_tracker.acquire(report, fence, now)

    def _follow_restart(
        self,
        backend: backends.Backend,
        successor: model.BackendIncarnation,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Schedule the new incarnation of a server that has restarted.

        It gets no work until the platform lists it: it may be of another kind
        than its former one.
        """
        claim = self.ownership.claims.get(backend.report.zone)
        if claim is None or backend.state is backends.BackendState.FENCED:
            # Another scheduler stops the runs that are left there.
            return self.run_tracker.give_up_restarted(backend.incarnation, now)
        report = self._backend_reports.get(successor)
        fence = claim.next_order_fence(successor.backend_id)
        if report is not None:
            return self.run_tracker.follow_restart(
                backend.incarnation, report, fence, now
            )
        report = dataclasses.replace(backend.report, incarnation=successor)
        done = self.run_tracker.follow_restart(
            backend.incarnation, report, fence, now
        )
        return [*done, *self.run_tracker.record_missing(successor, now)]

    def _is_list_recent(
        self, claim: dispatch_ownership.Claim, now: datetime.datetime
    ) -> bool:
        """Return whether the list of servers is recent enough for a claim.

        Its age is measured on the clock, as servers change their state while
        this host is paused.
        """
        if now - self._backends_listed_at <= BACKEND_LIST_AGE_MAX:
            return True
        waited = self._observed.at(now) - claim.since
        return waited > BACKEND_LIST_WAIT_MAX

    def _release_backend(
        self, backend: backends.Backend, now: datetime.datetime
    ) -> effects.Effects:
        """Release a server to the new owner of its pool once it is idle.

        A server that does not answer is released when the leases of its runs
        have expired, as the runs may complete until then.
        """
        self.run_tracker.begin_release(backend)
        pool = backend.report.zone
        if backend.has_active_runs:
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

    def _update_hosts(
        self, event: events.HostsListed, now: datetime.datetime
    ) -> effects.Effects:
        for record in event.hosts:
            self.hosts.update_record(record, self._observed.at(now))
        return self._update_link_targets(now)

    def _update_link_targets(self, now: datetime.datetime) -> effects.Effects:
        peers = self.hosts.all()
        if len(peers) < FULL_MESH_MAX_HOSTS:
            targets = {peer.record.address for peer in peers}
        else:
            targets = self.ownership.needed_hosts(self._observed.at(now))
        targets.discard(self.local_host.address)
        self.hosts.set_link_targets(targets, self._observed.at(now))
        if targets == self._link_targets:
            return []
        self._link_targets = frozenset(targets)
        return [effects.LinkHosts(self._link_targets)]

    def _update_pools(
        self, event: events.PoolsListed, now: datetime.datetime
    ) -> effects.Effects:
        done = self.ownership.rows_listed(event.rows, self._observed.at(now))
        return [
            *done,
            *self._reconcile_backends(now),
            *self._update_link_targets(now),
        ]

    def _record_pool_write(
        self, event: events.PoolWritten, now: datetime.datetime
    ) -> effects.Effects:
        done = self.ownership.written(
            event.pool, event.version, event.row, self._observed.at(now)
        )
        return [*done, *self._reconcile_backends(now)]

    def _record_probe(
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
            self.hosts.link_opened(
                event.link, event.host, self._observed.at(now)
            )
        else:
            self.hosts.inbound_link_opened(event.host, self._observed.at(now))
        known = self._crash_history.recent(now)
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
            *(
                [effects.Send(event.link, messages.ReportCrashes(known))]
                if known
                else []
            ),
        ]

    def _fail_link(
        self, event: events.LinkFailed, now: datetime.datetime
    ) -> effects.Effects:
        self.hosts.link_failed(
            event.address, event.refused, self._observed.at(now)
        )
        return self._reevaluate_ownership(now)

    def _close_link(
        self, event: events.LinkClosed, now: datetime.datetime
    ) -> effects.Effects:
        link = self._links.pop(event.link, None)
        if link is None:
            return []
        self.hosts.link_closed(event.link, self._observed.at(now))
        self._backend_list_sharing.close_link(event.link)
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
        done += self.catalog_sharing.close_link(
            event.link, self._observed.at(now)
        )
        return [*done, *self._reevaluate_ownership(now)]

    def _reevaluate_ownership(self, now: datetime.datetime) -> effects.Effects:
        self._record_fencing(now)
        done = self.ownership.decide(self._observed.at(now))
        return [*done, *self._reconcile_backends(now)]

    def _record_fencing(self, now: datetime.datetime) -> None:
        """Record which servers refuse the present claims."""
        for pool, claim in self.ownership.claims.items():
            servers = [
                backend
                for backend in self.run_tracker
                if backend.report.zone == pool
            ]
            # Those that refused an earlier claim are acquired again.
            fenced = [
                backend
                for backend in servers
                if backend.state is backends.BackendState.FENCED
                and pool_rows.claim_fence(backend.fence) >= claim.fence
            ]
            self.ownership.record_fencing(
                pool, len(fenced), len(servers), self._observed.at(now)
            )

    def _receive(
        self, event: events.MessageReceived, now: datetime.datetime
    ) -> effects.Effects:
        link = self._links.get(event.link)
        if link is None:
            return []
        link.last_heard_at = now
        handler = self._message_handlers[type(event.message)]
        return handler(event.message, event.link, now)

    def _submit_for_peer(
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
                        message.request,
                    ),
                )
            ]
        return self.scheduler.submit(
            dispatch_front.job_from_message(message, now),
            link,
            now,
            message.request,
        )

    def _abandon_for_peer(
        self,
        message: messages.AbandonJob,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.scheduler.abandon(
            message.job_id, link, now, message.request
        )

    def _limit_for_peer(
        self,
        message: messages.LimitJob,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        expires = now + message.expires_in_ms * model.MILLISECOND
        self.scheduler.limit_job(
            message.job_id, link, message.request, expires
        )
        return []

    def _handle_peer_answer(
        self,
        message: messages.JobEnded,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        if not self.front.is_answer_to_pending(
            message.job_id, message.request
        ):
            return []
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

    def _stop_task_for_peer(
        self,
        message: messages.StopTask,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.scheduler.stop_peer_task(message, link, now)

    def _handle_host_status(
        self,
        message: messages.HostStatus,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        peer = self.hosts.by_link(link)
        if peer is None:
            return []
        former = peer.status
        peer.update_status(message, now)
        self.scheduler.update_peer_status(link, message.loads, now)
        done = self._merge_evacuations(message.evacuated, link, now)
        done += self._record_catalog_version(message, link, now)
        changed = (
            former is None
            or former.is_leaving != message.is_leaving
            or former.releasing != message.releasing
            or [load.fence for load in former.loads]
            != [load.fence for load in message.loads]
        )
        if changed:
            done += self._reevaluate_ownership(now)
        return [*done, *self.scheduler.dispatch(now)]

    def _handle_keep_alive(
        self,
        message: messages.KeepAlive,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        done = self._merge_evacuations(message.evacuated, link, now)
        return [*done, *self._record_catalog_version(message, link, now)]

    def _record_catalog_version(
        self,
        message: messages.HostStatus | messages.KeepAlive,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.catalog_sharing.record_version(
            link,
            self._links[link].host.address,
            message.catalog_version,
            self._observed.at(now),
        )

    def _send_catalog_part(
        self,
        message: messages.RequestCatalog,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.catalog_sharing.handle_request(
            message, link, self._observed.at(now)
        )

    def _handle_catalog_part(
        self,
        message: messages.CatalogPart,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.catalog_sharing.handle_part(
            message, link, self._observed.at(now)
        )

    def _decode_peer_catalog(
        self,
        message: messages.ShareCatalog,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        return self.catalog_sharing.handle_document(message, link)

    def _record_backend_release(
        self,
        message: messages.ReleaseBackend,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        peer = self.hosts.by_link(link)
        if peer is None:
            return []
        peer.record_release(message)
        return self._reconcile_backends(now)

    # Backend servers.

    def _run_started(
        self, event: events.RunStarted, now: datetime.datetime
    ) -> effects.Effects:
        return [
            *self.run_tracker.started(
                event.incarnation,
                event.run,
                event.outcome,
                event.server_clock_ms,
                now,
            ),
            *self.scheduler.dispatch_postponed(now),
        ]

    def _run_stopped(
        self, event: events.RunStopped, now: datetime.datetime
    ) -> effects.Effects:
        if self._is_outdated(event):
            return []
        return self.run_tracker.stopped(
            event.incarnation, event.run, event.outcome, now
        )

    def _is_outdated(
        self, event: events.RunStopped | events.BackendPolled
    ) -> bool:
        """Return whether a server was acquired again after a call to it."""
        backend = self.run_tracker.get(event.incarnation)
        return (
            backend is not None
            and event.fence is not None
            and event.fence != backend.fence
        )

    def _backend_polled(
        self, event: events.BackendPolled, now: datetime.datetime
    ) -> effects.Effects:
        if self._is_outdated(event):
            return []
        backend = self.run_tracker.get(event.incarnation)
        if event.successor is not None and backend is not None:
            return self._follow_restart(backend, event.successor, now)
        known = self.run_tracker.changes
        done = self.run_tracker.polled(
            event.incarnation,
            event.outcome,
            event.server_clock_ms,
            event.running,
            event.ended,
            now,
            event.number,
            event.percents,
        )
        if self.run_tracker.changes != known and not self.run_tracker.ended:
            # The free capacity may have changed. If runs have ended as well,
            # process_ended_runs dispatches instead.
            done += self.scheduler.dispatch(now)
        return done

    # Time.

    def _tick(
        self, event: events.Ticked, now: datetime.datetime
    ) -> effects.Effects:
        self._observed.ticked(now, self.tick_interval)
        done: effects.Effects = []
        for step in (
            self._check_links,
            self._end_hold,
            self._tick_catalog_sharing,
            self._request_backends,
            self.run_tracker.tick,
            self.scheduler.tick,
            self._return_jobs,
            self._evaluate_ownership,
            self._check_drain,
        ):
            done += failures.confine(step.__qualname__, step, now)
        return done

    def _end_hold(self, now: datetime.datetime) -> effects.Effects:
        if self._held_since is None or now - self._held_since <= HOLD_LIMIT:
            return []
        return self._resume(now)

    def _tick_catalog_sharing(self, now: datetime.datetime) -> effects.Effects:
        return self.catalog_sharing.tick(self._observed.at(now))

    def _return_jobs(self, now: datetime.datetime) -> effects.Effects:
        if self.ownership.claims:
            return []
        return self.scheduler.return_jobs(now)

    def _evaluate_ownership(self, now: datetime.datetime) -> effects.Effects:
        """Evaluate the ownership of pools, links and probes if it is time."""
        if now - self._ownership_evaluated_at < OWNERSHIP_INTERVAL:
            return []
        self._ownership_evaluated_at = now
        done = self._reevaluate_ownership(now)
        done += self._update_link_targets(now)
        for pool in self.ownership.pools_to_probe(self._observed.at(now)):
            done.append(
                effects.ProbeBackends(pool, self._addresses_to_probe(pool))
            )
        return done

    def _addresses_to_probe(self, pool: str) -> tuple[str, ...]:
        """Return the addresses of some servers of a pool, in turn.

        Some of those that are listed may not be there.
        """
        addresses = [
            report.address
            for report in self._backend_reports.values()
            if report.zone == pool
        ]
        if not addresses:
            return ()
        self._probe_count += 1
        first = self._probe_count * PROBED_SERVERS % len(addresses)
        return tuple((addresses[first:] + addresses[:first])[:PROBED_SERVERS])

    def _check_links(self, now: datetime.datetime) -> effects.Effects:
        """Close the links that have been silent; send due keep-alives."""
        self._links_checked_at = now
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
        return done

    def _send_keep_alive(
        self, number: int, now: datetime.datetime
    ) -> effects.Effects:
        link = self._links[number]
        link.keep_alive_sent_at = now
        version = 0 if self.catalog is None else self.catalog.version
        if link.is_outbound:
            keep_alive = messages.KeepAlive(version, self.evacuation.notices)
            return [effects.Send(number, keep_alive)]
        status = messages.HostStatus(
            self._pool_loads(
                now, with_free_capacity=self._is_linked_to_scheduler(link)
            ),
            self.drain_deadline is not None,
            version,
            self._pools_in_release(),
            self.evacuation.notices,
        )
        return [effects.Send(number, status)]

    def _pools_in_release(self) -> list[str]:
        """Return the pools given up here whose servers are not yet released.

        A fenced server has no runs of this host any more.
        """
        return sorted(
            {
                backend.report.zone
                for backend in self.run_tracker
                if backend.state is not backends.BackendState.FENCED
            }
            - self.ownership.claims.keys()
        )

    def _is_linked_to_scheduler(self, link: links.Link) -> bool:
        """Return whether the host at the far end schedules a pool.

        Only such hosts offer tasks.
        """
        return self._is_scheduler(link.host.address)

    def _is_scheduler(self, address: str) -> bool:
        """Return whether the host at an address says that it schedules."""
        peer = self.hosts.get(address)
        return (
            peer is not None
            and peer.status is not None
            and bool(peer.status.loads)
        )

    def _pool_loads(
        self, now: datetime.datetime, *, with_free_capacity: bool
    ) -> list[messages.PoolLoad]:
        """Return the load of this host's pools.

        Only hosts that schedule a pool need to know the free capacity.
        """
        backlog = self.scheduler.backlog(now) / model.MILLISECOND
        loads = []
        for pool, claim in self.ownership.claims.items():
            services = {
                backend.report.service
                for backend in self.run_tracker
                if backend.report.zone == pool
            }
            # A pool without servers is listed too, because other hosts learn
            # from the loads who has claimed it.
            for service in sorted(services) or [""]:
                free_capacity = []
                if with_free_capacity:
                    free_capacity = self.scheduler.advertised_capacity(
                        pool, service, now
                    )
                loads.append(
                    messages.PoolLoad(
                        pool,
                        claim.fence,
                        service,
                        free_capacity,
                        round(backlog, 1),
                        self.scheduler.advertised_balance(pool, service, now),
                    )
                )
        return loads

    def _announce_claims(self, now: datetime.datetime) -> effects.Effects:
        """Send changed claims at once over all inbound links."""
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
        """Send the free capacity to other schedulers when it changes.

        Hosts that schedule no pool receive the load with the next keep-alive.
        """
        if self.run_tracker.changes == self._announced_changes:
            return []
        elapsed = now - self._load_announced_at
        if elapsed < LOAD_ANNOUNCEMENT_INTERVAL:
            return []
        receivers = [
            number
            for number, link in self._links.items()
            if not link.is_outbound and self._is_linked_to_scheduler(link)
        ]
        if elapsed.total_seconds() < (
            len(receivers) / MAX_ANNOUNCEMENTS_PER_SECOND
        ):
            return []
        self._announced_changes, self._load_announced_at = (
            self.run_tracker.changes,
            now,
        )
        if not self.ownership.claims:
            return []
        done: effects.Effects = []
        for number in receivers:
            done += self._send_keep_alive(number, now)
        return done

    # Shutdown.

    def _start_drain(
        self, event: events.DrainRequested, now: datetime.datetime
    ) -> effects.Effects:
        """Give up pools and unstarted jobs.

        The process exits when the rest is finished or the time limit has
        passed. A further request may bring the limit forward.
        """
        deadline = now + event.limit
        if self.drain_deadline is not None:
            self.drain_deadline = min(deadline, self.drain_deadline)
            return self._limit_jobs(now)
        self.drain_deadline = deadline
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
        done += self._limit_jobs(now)
        done += self.scheduler.reject_unstarted_jobs(now)
        return [*done, *self._reconcile_backends(now)]

    def _limit_jobs(self, now: datetime.datetime) -> effects.Effects:
        """Let all jobs end before the drain does."""
        if self.drain_deadline is None:
            return []
        latest = self.drain_deadline - DRAIN_ANSWER_TIME
        self.scheduler.limit_jobs(latest)
        return self.front.limit_jobs(latest, now)

    def _check_drain(self, now: datetime.datetime) -> effects.Effects:
        """Exit when no work is left or the time limit has passed.

        Requests are read until the listeners are closed, so callers are
        answered at the time limit even if the drain has ended before.
        """
        if self.drain_deadline is None:
            return []
        done: effects.Effects = []
        jobs, scheduled = len(self.front.pending), len(self.scheduler.jobs)
        backends_left = len(list(self.run_tracker))
        is_idle = not (jobs or scheduled or backends_left)
        if now >= self.drain_deadline:
            done += self.front.answer_all(now)
        elif not is_idle:
            return done
        if self._is_exiting:
            return done
        self._is_exiting = True
        return [
            *done,
            effects.Log(
                "drain.ended",
                {
                    "is_idle": is_idle,
                    "jobs": jobs,
                    "scheduled": scheduled,
                    "backends": backends_left,
                },
            ),
            effects.Exit(),
        ]


def _log_change(change: evacuation.Notice, source: str) -> effects.Log:
    """Return the log line of the start or end of an evacuation."""
    if change.is_evacuated:
        return effects.Log(
            "evacuation.started",
            {
                "zone": change.zone,
                "version": change.version,
                "source": source,
            },
        )
    return effects.Log(
        "evacuation.ended",
        {"zone": change.zone, "version": change.version, "source": source},
    )
