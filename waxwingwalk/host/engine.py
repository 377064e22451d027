"""Feeds events to the dispatch reducer and carries out its effects."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import datetime
from typing import Any
from typing import Protocol

from waxwingwalk.core import clock
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.host import logs
from waxwingwalk.host import metrics


class BackendOrders(Protocol):
    """What the engine needs of a client of backend servers."""

    async def start(self, order: effects.StartRun) -> events.RunStarted: ...

    async def stop(self, order: effects.StopRun) -> events.RunStopped: ...

    async def poll(
        self, order: effects.PollBackend
    ) -> events.BackendPolled: ...

    async def accepts_connections(self, address: str) -> bool: ...


class LinkSender(Protocol):
    """What the engine needs of the links to other hosts."""

    def set_link_targets(self, addresses: frozenset[str]) -> None: ...

    def send(self, number: int, message: messages.Message) -> None: ...

    def close_link(self, number: int) -> None: ...


class PoolWriter(Protocol):
    """What the engine needs of the store."""

    async def write_pool(
        self, order: effects.WritePool
    ) -> events.PoolWritten: ...


class CatalogDecoder(Protocol):
    """Decodes the operators' document."""

    def decode(self, document: str) -> model.Catalog | None: ...


@dataclasses.dataclass(slots=True)
class Outside:
    """What the effects act upon; attached once all of it is built."""

    backends: BackendOrders
    links: LinkSender
    pools: PoolWriter
    catalogs: CatalogDecoder


class Engine:
    """One dispatch host's reducer at work."""

    def __init__(
        self,
        reducer: dispatch_reducer.Reducer,
        time: clock.Clock,
        log: logs.HostLog,
        measured: metrics.HostMetrics,
    ) -> None:
        self._reducer = reducer
        self._clock = time
        self._log = log
        self._metrics = measured
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiters: dict[str, asyncio.Future[effects.AnswerJob]] = {}
        self.outside: Outside | None = None
        self.exited = asyncio.Event()

    @property
    def reducer(self) -> dispatch_reducer.Reducer:
        """The reducer, whose state is to be read only."""
        return self._reducer

    @property
    def clock(self) -> clock.Clock:
        """The clock that events are timed by."""
        return self._clock

    @property
    def log(self) -> logs.HostLog:
        """The host's log."""
        return self._log

    @property
    def metrics(self) -> metrics.HostMetrics:
        """The host's metrics."""
        return self._metrics

    async def run_job(self, job: model.Job) -> effects.AnswerJob:
        """Have a job run; cancelling the call abandons it."""
        if job.job_id in self._waiters:
            return effects.AnswerJob(
                job.job_id, model.JobOutcome.LOST, "twice", None
            )
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[effects.AnswerJob] = loop.create_future()
        self._waiters[job.job_id] = waiter
        started = self._clock.now()
        try:
            self.apply(events.JobSubmitted(job))
            answer = await waiter
        except asyncio.CancelledError:
            self._metrics.job_abandoned(job.queue)
            self.apply(events.JobAbandoned(job.job_id))
            raise
        finally:
            del self._waiters[job.job_id]
        self._metrics.job_answered(
            job.queue, answer, self._clock.now() - started
        )
        return answer

    def is_waiting(self, job_id: str) -> bool:
        """Tell whether a caller here waits for the answer to a job."""
        return job_id in self._waiters

    def cancel(self, job_id: str) -> bool:
        """Stop a job of a caller here; tell whether there was one."""
        waiter = self._waiters.get(job_id)
        if waiter is None or waiter.done():
            return False
        self.apply(events.JobAbandoned(job_id))
        waiter.set_result(
            effects.AnswerJob(
                job_id, model.JobOutcome.CANCELLED, "cancelled", None
            )
        )
        return True

    def apply(self, event: events.Event) -> None:
        """Apply an event and carry out its effects."""
        for effect in self._reducer.apply(event, self._clock.now()):
            self._carry_out(effect)

    def _carry_out(self, effect: effects.Effect) -> None:
        outside = self.outside
        if outside is None:
            raise RuntimeError("the engine has nothing to act upon yet")
        match effect:
            case effects.Log():
                self._metrics.decision(effect.event)
                self._log.info(effect.event, **effect.fields)
            case effects.Send():
                outside.links.send(effect.link, effect.message)
            case effects.StartRun():
                self._spawn(self._ordered(outside.backends.start(effect)))
            case effects.StopRun():
                self._spawn(self._ordered(outside.backends.stop(effect)))
            case effects.PollBackend():
                self._spawn(self._ordered(outside.backends.poll(effect)))
            case effects.AnswerJob():
                waiter = self._waiters.get(effect.job_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(effect)
            case _:
                self._carry_out_rare(effect, outside)

    def _carry_out_rare(
        self, effect: effects.Effect, outside: Outside
    ) -> None:
        match effect:
            case effects.LinkHosts():
                outside.links.set_link_targets(effect.hosts)
            case effects.CloseLink():
                outside.links.close_link(effect.link)
            case effects.WritePool():
                self._spawn(self._ordered(outside.pools.write_pool(effect)))
            case effects.ProbeBackends():
                self._spawn(self._probe(effect, outside.backends))
            case effects.DecodeCatalog():
                catalog = outside.catalogs.decode(effect.document)
                if catalog is not None:
                    read = events.CatalogRead(catalog, effect.document)
                    self._spawn(self._later(read))
            case effects.Exit():
                self.exited.set()

    async def _later(self, event: events.Event) -> None:
        self.apply(event)

    async def _ordered(self, call: Coroutine[Any, Any, events.Event]) -> None:
        self.apply(await call)

    async def _probe(
        self, effect: effects.ProbeBackends, backends: BackendOrders
    ) -> None:
        accepted = await asyncio.gather(
            *(backends.accepts_connections(each) for each in effect.addresses)
        )
        self.apply(events.BackendsProbed(effect.pool, any(accepted)))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.report_failure("effect", task.exception())

    def report_failure(self, where: str, error: BaseException | None) -> None:
        """Log an error that no handler was ready for."""
        self._log.error(
            "internal.error",
            where=where,
            error=f"{type(error).__name__}: {error}",
            exc_info=error,
        )

    async def drain(self, limit: datetime.timedelta) -> None:
        """Shut down: return when nothing is left to do here."""
        self.apply(events.DrainRequested(limit))
        await self.exited.wait()

    async def close(self) -> None:
        """Cancel what is under way."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
