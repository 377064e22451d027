"""Jobs of the callers that are connected to this host.

The host passes each job to a host that schedules a pool, and waits for the
answer. It keeps no state that has to survive a crash: when the host crashes,
its callers' connections break, and they ask another host.
"""

import copy
import dataclasses
import datetime

from waxwingwalk.dispatch import balance
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ownership as dispatch_ownership
from waxwingwalk.dispatch import scheduler as dispatch_scheduler
from waxwingwalk.dispatch import settings as dispatch_settings

# A pool of another zone is chosen only if its backlog is this much shorter.
LOCAL_ZONE_PREFERENCE = datetime.timedelta(milliseconds=60)
# A job waits this long for a scheduler while a pool changes owners. A
# successor that is notified that the owner leaves claims the pool within about
# 10 ms. After a crash of the owner, a new claim takes longer than this limit,
# and the caller is better off asking another host.
SCHEDULER_WAIT_LIMIT = datetime.timedelta(milliseconds=100)
# A caller that is refused because there is no scheduler is asked to retry
# after this time, by when one has probably been found.
NO_SCHEDULER_RETRY = datetime.timedelta(seconds=1)
# Bounds of the same for a job that is refused because all zones are evacuated,
# which lasts. Within them it is spread, so that callers do not all return at
# once.
EVACUATED_RETRY_MIN = datetime.timedelta(seconds=2)
EVACUATED_RETRY_MAX = dispatch_scheduler.RETRY_AFTER_MAX


@dataclasses.dataclass(slots=True)
class PendingJob:
    """A job that waits for its answer.

    ``request`` is the number of the caller's request. ``link`` is the link to
    its scheduler, None if this host schedules it or no scheduler is known.
    ``unrouted_since`` is set while none is known. ``avoided`` is the address
    of a scheduler that returned the job because its zone is evacuated.
    """

    job: model.Job
    request: int
    link: int | None = None
    unrouted_since: datetime.datetime | None = None
    avoided: str | None = None
    # The scheduler that refused it, after which it is routed once more.
    refused_by: str | None = None
    address: str | None = None


class Front:
    """Routes callers' jobs to schedulers."""

    def __init__(
        self,
        hosts: dispatch_hosts.Hosts,
        ownership: dispatch_ownership.Ownership,
        scheduler: dispatch_scheduler.Scheduler,
        zone_evacuation: evacuation.Evacuation | None = None,
        settings: dispatch_settings.DispatchSettings | None = None,
    ) -> None:
        self._evacuation = zone_evacuation or evacuation.Evacuation()
        self._settings = settings or dispatch_settings.DispatchSettings()
        self._pool_choice: balance.PoolChoice = balance.TwoChoices()
        # What was sent to each scheduler since its last status, in
        # thousandths of a core, with the time of the status.
        self._sent: dict[str, tuple[datetime.datetime | None, int]] = {}
        self._hosts = hosts
        self._ownership = ownership
        self._scheduler = scheduler
        self._pending: dict[str, PendingJob] = {}
        # In the order of arrival.
        self._unrouted: dict[str, None] = {}
        self._is_held = False
        self._requests = 0
        # When all jobs expire, as this host shuts down.
        self._latest_expiry: datetime.datetime | None = None

    @property
    def pending(self) -> dict[str, PendingJob]:
        """The jobs that wait for an answer; not to be modified."""
        return self._pending

    @property
    def is_held(self) -> bool:
        """Whether jobs are not routed for now, as this host was paused."""
        return self._is_held

    def copy_for_trial(
        self, scheduler: dispatch_scheduler.Scheduler
    ) -> "Front":
        """Return a copy that asks a copy of the scheduler for its backlog."""
        trial = copy.copy(self)
        trial._scheduler = scheduler
        trial._sent = dict(self._sent)
        return trial

    def preview_route(
        self, job: model.Job, now: datetime.datetime
    ) -> str | None:
        """Return the address of the scheduler that a new job would go to."""
        return self._choose_address(PendingJob(job, 0), now)

    def known_backlog(
        self, address: str, now: datetime.datetime
    ) -> datetime.timedelta:
        """Return the backlog of a scheduler, as far as it is known here."""
        return self._backlog(address, now)

    def links_in_use(self) -> set[int]:
        """Return the links to the schedulers of pending jobs."""
        return {
            each.link
            for each in self._pending.values()
            if each.link is not None
        }

    def hold_jobs(self) -> None:
        """Route no jobs until ``resume_jobs``."""
        self._is_held = True

    def resume_jobs(self) -> None:
        """Route jobs again."""
        self._is_held = False

    def submit(
        self, job: model.Job, now: datetime.datetime
    ) -> effects.Effects:
        """Route a caller's job to a scheduler."""
        self._requests += 1
        pending = PendingJob(self._limit_expiry(job), self._requests)
        if self._latest_expiry is not None and now >= self._latest_expiry:
            return [_refuse_leaving(job.job_id)]
        self._pending[job.job_id] = pending
        return self._route(pending, now)

    def limit_jobs(
        self, latest: datetime.datetime, now: datetime.datetime
    ) -> effects.Effects:
        """Let all jobs, present and later ones, expire at a time.

        A scheduler refuses at once what it cannot complete in this time.
        """
        self._latest_expiry = latest
        done: effects.Effects = []
        for pending in self._pending.values():
            limited = self._limit_expiry(pending.job)
            if limited is pending.job:
                continue
            pending.job = limited
            if pending.link is not None:
                message = messages.LimitJob(
                    limited.job_id,
                    model.milliseconds(limited.expires - now),
                    pending.request,
                )
                done.append(effects.Send(pending.link, message))
        return done

    def _limit_expiry(self, job: model.Job) -> model.Job:
        """Return the job, which expires before this host exits."""
        latest = self._latest_expiry
        if latest is None or job.expires <= latest:
            return job
        return dataclasses.replace(job, expires=latest)

    def answer_all(self, now: datetime.datetime) -> effects.Effects:
        """Answer all callers that still wait, as this host is about to exit.

        Nothing of a job has run that no scheduler has.
        """
        done: effects.Effects = []
        for job_id, pending in list(self._pending.items()):
            if job_id in self._unrouted:
                del self._pending[job_id], self._unrouted[job_id]
                done.append(_refuse_leaving(job_id))
                continue
            if pending.link is None:
                done += self._scheduler.abandon(job_id, None, now)
            else:
                message = messages.AbandonJob(job_id, pending.request)
                done.append(effects.Send(pending.link, message))
            done += self._answer(
                job_id,
                model.JobOutcome.LOST,
                dispatch_scheduler.REASON_LEAVING,
                None,
            )
        return done

    def _route(
        self, pending: PendingJob, now: datetime.datetime
    ) -> effects.Effects:
        job = pending.job
        if self._is_held:
            pending.link = None
            self._unrouted[job.job_id] = None
            return []
        if self._evacuation.are_evacuated(self._ownership.pools):
            return self._refuse_evacuated(job.job_id)
        address = self._choose_address(pending, now)
        pending.address = address
        if address is None:
            return self._wait_for_scheduler(pending, now)
        pending.unrouted_since = None
        self._unrouted.pop(job.job_id, None)
        log = effects.Log(
            "job.routed",
            {
                "job": job.job_id,
                "queue": job.queue,
                "scheduler": address,
                "expires_in_ms": model.milliseconds(job.expires - now),
            },
        )
        if address == self._hosts.local_host.address:
            pending.link = None
            return [log, *self._scheduler.submit(job, None, now)]
        peer = self._hosts.get(address)
        assert peer is not None and peer.link is not None
        pending.link = peer.link
        return [log, effects.Send(peer.link, _to_message(pending, now))]

    def _wait_for_scheduler(
        self, pending: PendingJob, now: datetime.datetime
    ) -> effects.Effects:
        """Hold a job for SCHEDULER_WAIT_LIMIT at most, then refuse it."""
        # No host has the job now, so no closed link can lose it.
        pending.link = None
        if pending.unrouted_since is None:
            pending.unrouted_since = now
        if now - pending.unrouted_since < SCHEDULER_WAIT_LIMIT:
            self._unrouted[pending.job.job_id] = None
            return []
        return self._answer(
            pending.job.job_id,
            model.JobOutcome.NOT_RUN,
            "no scheduler",
            NO_SCHEDULER_RETRY,
        )

    def route_waiting(self, now: datetime.datetime) -> effects.Effects:
        """Route the jobs that wait for a scheduler, or refuse them."""
        if self._is_held:
            return []
        done: effects.Effects = []
        for job_id in list(self._unrouted):
            done += self._route(self._pending[job_id], now)
        return done

    def _refuse_evacuated(self, job_id: str) -> effects.Effects:
        """Refuse a job of which nothing ran, as all zones are evacuated."""
        spread = EVACUATED_RETRY_MAX - EVACUATED_RETRY_MIN
        return self._answer(
            job_id,
            model.JobOutcome.NOT_RUN,
            dispatch_scheduler.REASON_EVACUATED,
            EVACUATED_RETRY_MIN + spread * evacuation.hash_share(job_id),
        )

    def _choose_address(
        self, pending: PendingJob, now: datetime.datetime
    ) -> str | None:
        """Return the address of the scheduler for a job."""
        if self._settings.zone_balance:
            return self._choose_balanced(pending, now)
        return self._choose_scheduler(pending, now)

    def _choose_scheduler(
        self, pending: PendingJob, now: datetime.datetime
    ) -> str | None:
        """Return the address of the scheduler with the shortest backlog.

        Schedulers in the zone of this host are preferred. Those of evacuated
        zones are left out, and come last for the jobs that are not yet in the
        share of a zone whose evacuation has just ended.
        """
        best: tuple[bool, datetime.timedelta, str] | None = None
        for pool in self._ownership.pools:
            if self._evacuation.is_evacuated(pool):
                continue
            address = self._ownership.owner_address(pool)
            if address is None or address == pending.avoided:
                continue
            wait = self._backlog(address, now)
            if pool != self._hosts.local_host.zone:
                wait += LOCAL_ZONE_PREFERENCE
            is_last = not self._evacuation.admits(
                pool, pending.job.job_id, now
            )
            if best is None or (is_last, wait) < best[:2]:
                best = (is_last, wait, address)
        return None if best is None else best[2]

    def _choose_balanced(
        self, pending: PendingJob, now: datetime.datetime
    ) -> str | None:
        """Return the scheduler where a job is expected to end soonest."""
        views = self._pool_views(pending, now)
        job = pending.job
        processors = sum(
            step.count * step.room.processors
            for step in job.steps
            if not step.after
        )
        estimate = max(step.estimate for step in job.steps)
        chosen = self._pool_choice.choose(
            views, job.job_id, processors, estimate
        )
        if chosen is None:
            return None
        address = chosen.address
        known_at = self._status_time(address)
        self._sent[address] = (known_at, chosen.sent + processors)
        return address

    def _pool_views(
        self, pending: PendingJob, now: datetime.datetime
    ) -> list[balance.PoolView]:
        """Return the pools to which a job may be routed.

        Those of evacuated zones are left out, as are zones whose evacuation
        has just ended if the job is not yet in their share of the work, unless
        there is no other.
        """
        views = []
        for pool in self._ownership.pools:
            address = self._ownership.owner_address(pool)
            if (
                address is None
                or address in (pending.refused_by, pending.avoided)
                or self._evacuation.is_evacuated(pool)
            ):
                continue
            is_admitted = self._evacuation.admits(
                pool, pending.job.job_id, now
            )
            views.append((is_admitted, self._pool_view(pool, address, now)))
        admitted = [view for is_admitted, view in views if is_admitted]
        return admitted or [view for _, view in views]

    def _status_time(self, address: str) -> datetime.datetime | None:
        peer = self._hosts.get(address)
        return None if peer is None else peer.status_at

    def _pool_view(
        self, pool: str, address: str, now: datetime.datetime
    ) -> balance.PoolView:
        is_local = pool == self._hosts.local_host.zone
        backlog = self._backlog(address, now)
        is_here = address == self._hosts.local_host.address
        if is_here:
            loads = self._scheduler.advertised_balances(pool, now)
            known_at: datetime.datetime | None = now
            sent = 0
        else:
            peer = self._hosts.get(address)
            status = None if peer is None else peer.status
            loads = [
                load.balance
                for load in (() if status is None else status.loads)
                if load.pool == pool and load.balance is not None
            ]
            known_at = self._status_time(address)
            sent_since, sent = self._sent.get(address, (None, 0))
            if sent_since != known_at:
                sent = 0
        age = model.ZERO if known_at is None else now - known_at
        if not loads and not is_here:
            return balance.PoolView(address, is_local, backlog, age, sent=sent)
        return balance.PoolView(
            address,
            is_local,
            backlog,
            age,
            sum(each.free for each in loads),
            sum(each.capacity for each in loads),
            max((each.demand for each in loads), default=0.0),
            sent,
        )

    def _backlog(
        self, address: str, now: datetime.datetime
    ) -> datetime.timedelta:
        if address == self._hosts.local_host.address:
            return self._scheduler.backlog(now)
        peer = self._hosts.get(address)
        if peer is None or peer.status is None:
            return model.ZERO
        longest = max(
            (load.backlog_ms for load in peer.status.loads), default=0.0
        )
        return longest * model.MILLISECOND

    def is_answer_to_pending(self, job_id: str, request: int) -> bool:
        """Return whether an answer is to the pending request for a job.

        Hosts of former versions do not number requests.
        """
        pending = self._pending.get(job_id)
        return pending is not None and request in (0, pending.request)

    def answered(
        self,
        job_id: str,
        link: int | None,
        outcome: model.JobOutcome,
        reason: str,
        retry_after: datetime.timedelta | None,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Handle a scheduler's answer; route again if the scheduler leaves.

        A job is returned once at most because of an evacuation.
        """
        pending = self._pending.get(job_id)
        if pending is None or pending.link != link:
            return []
        if (
            outcome is model.JobOutcome.NOT_RUN
            and reason == dispatch_scheduler.REASON_LEAVING
            and now < pending.job.expires
        ):
            return self._route(pending, now)
        if (
            outcome is model.JobOutcome.NOT_RUN
            and reason == dispatch_scheduler.REASON_EVACUATED
            and pending.avoided is None
            and now < pending.job.expires
        ):
            pending.avoided = self._address_of(link)
            return self._route(pending, now)
        if (
            self._settings.zone_balance
            and outcome is model.JobOutcome.NOT_RUN
            and reason in balance.CAPACITY_REASONS
            and pending.refused_by is None
            and pending.address is not None
        ):
            rerouted = self._reroute(pending, now)
            if rerouted is not None:
                return rerouted
        if outcome is model.JobOutcome.NOT_RUN and retry_after is None:
            retry_after = NO_SCHEDULER_RETRY
        return self._answer(job_id, outcome, reason, retry_after)

    def _address_of(self, link: int | None) -> str:
        """Return the address of the scheduler at the far end of a link."""
        peer = None if link is None else self._hosts.by_link(link)
        record = self._hosts.local_host if peer is None else peer.record
        return record.address

    def _reroute(
        self, pending: PendingJob, now: datetime.datetime
    ) -> effects.Effects | None:
        """Route a refused job once more, if another zone may serve it.

        Nothing of it has run. None means that no other zone is expected to
        complete it while its answer has value.
        """
        pending.refused_by = pending.address
        job = pending.job
        longest = sum((step.estimate for step in job.steps), model.ZERO)
        views = self._pool_views(pending, now)
        if not any(
            view.free is not None
            and view.freshness > 0
            and now + view.wait(0, longest) + longest < job.due
            for view in views
        ):
            return None
        return self._route(pending, now)

    def _answer(
        self,
        job_id: str,
        outcome: model.JobOutcome,
        reason: str,
        retry_after: datetime.timedelta | None,
    ) -> effects.Effects:
        del self._pending[job_id]
        self._unrouted.pop(job_id, None)
        return [effects.AnswerJob(job_id, outcome, reason, retry_after)]

    def abandon(self, job_id: str, now: datetime.datetime) -> effects.Effects:
        """Abandon a job whose caller has left or cancelled it."""
        pending = self._pending.pop(job_id, None)
        if pending is None:
            return []
        if job_id in self._unrouted:
            self._unrouted.pop(job_id, None)
            return [effects.Log("job.left", {"job": job_id})]
        if pending.link is None:
            return self._scheduler.abandon(job_id, None, now)
        return [
            effects.Send(
                pending.link, messages.AbandonJob(job_id, pending.request)
            ),
            effects.Log("job.left", {"job": job_id}),
        ]

    def close_link(self, link: int) -> effects.Effects:
        """Answer the jobs whose scheduler was lost with a link."""
        done: effects.Effects = []
        for job_id, pending in list(self._pending.items()):
            if pending.link == link:
                done += self._answer(
                    job_id, model.JobOutcome.LOST, "scheduler lost", None
                )
        return done


def _refuse_leaving(job_id: str) -> effects.AnswerJob:
    """Return the refusal of a job of which nothing has run."""
    return effects.AnswerJob(
        job_id,
        model.JobOutcome.NOT_RUN,
        dispatch_scheduler.REASON_LEAVING,
        NO_SCHEDULER_RETRY,
    )


def _to_message(
    pending: PendingJob, now: datetime.datetime
) -> messages.SubmitJob:
    job = pending.job
    return messages.SubmitJob(
        job_id=job.job_id,
        queue=job.queue,
        service=job.service,
        priority=job.priority,
        attempts=job.attempts,
        spec=job.spec,
        stretch=job.stretch,
        steps=job.steps,
        due_in_ms=model.milliseconds(job.due - now),
        expires_in_ms=model.milliseconds(job.expires - now),
        request=pending.request,
    )


def job_from_message(
    message: messages.SubmitJob, now: datetime.datetime
) -> model.Job:
    """Return the job that another host submitted."""
    return model.Job(
        job_id=message.job_id,
        queue=message.queue,
        service=message.service,
        priority=message.priority,
        attempts=message.attempts,
        spec=message.spec,
        stretch=message.stretch,
        steps=tuple(message.steps),
        due=now + message.due_in_ms * model.MILLISECOND,
        expires=now + message.expires_in_ms * model.MILLISECOND,
    )
