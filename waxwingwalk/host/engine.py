"""Passes events to the dispatch reducer and executes its effects."""

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
from waxwingwalk.dispatch import scheduler
from waxwingwalk.host import logs
from waxwingwalk.host import metrics

# The outcome of a call that raised an exception: it may have been sent.
UNKNOWN = model.CallOutcome.UNKNOWN
# The reducer ends a drain at the first tick after its limit.
EXIT_SLACK = datetime.timedelta(milliseconds=100)
# Iterations of the event loop within which the request and the end of an
# accepted connection are read, and the request's handler is cancelled.
READ_ITERATIONS = 10
# The loop may accept one connection in each iteration, so the above is
# repeated while requests are read, up to a full queue of connections.
READ_REPEATS_MAX = 15


class BackendClient(Protocol):
    """The client of backend servers, as the engine uses it."""

    async def start(self, order: effects.StartRun) -> events.RunStarted: ...

    async def stop(self, order: effects.StopRun) -> events.RunStopped: ...

    async def poll(
        self, order: effects.PollBackend
    ) -> events.BackendPolled: ...

    async def accepts_connections(self, address: str) -> bool: ...


class LinkSender(Protocol):
    """The links to other hosts, as the engine uses them."""

    def set_link_targets(self, addresses: frozenset[str]) -> None: ...

    def send(self, number: int, message: messages.Message) -> None: ...

    def close_link(self, number: int) -> None: ...


class PoolWriter(Protocol):
    """The client of the store, as the engine uses it."""

    async def write_pool(
        self, order: effects.WritePool
    ) -> events.PoolWritten: ...


class CatalogDecoder(Protocol):
    """Decodes the operators' document, without blocking the event loop."""

    async def decode(self, document: str) -> model.Catalog | None: ...


@dataclasses.dataclass(slots=True)
class Adapters:
    """The targets of effects; attached once all of them are built."""

    backends: BackendClient
    links: LinkSender
    pools: PoolWriter
    catalogs: CatalogDecoder


class Engine:
    """Runs the reducer of one dispatch host."""

    def __init__(
        self,
        reducer: dispatch_reducer.Reducer,
        time: clock.Clock,
        log: logs.HostLog,
        host_metrics: metrics.HostMetrics,
    ) -> None:
        self._reducer = reducer
        self._clock = time
        self._log = log
        self._metrics = host_metrics
        self._request_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiters: dict[str, asyncio.Future[effects.AnswerJob]] = {}
        self.adapters: Adapters | None = None
        self.exited = asyncio.Event()
        # Set when the listeners close, and requests without a complete body
        # are refused.
        self.closing = asyncio.Event()

    @property
    def reducer(self) -> dispatch_reducer.Reducer:
        """The reducer; callers must not change its state."""
        return self._reducer

    @property
    def clock(self) -> clock.Clock:
        """The clock that supplies the time of events."""
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
        """Run a job and return its answer; cancelling the call abandons it."""
        self._request_count += 1
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
            self._metrics.record_job_abandoned(job.queue)
            self.apply(events.JobAbandoned(job.job_id))
            raise
        finally:
            del self._waiters[job.job_id]
        self._metrics.record_job_answered(
            job.queue, answer, self._clock.now() - started
        )
        return answer

    @property
    def waiting_jobs(self) -> list[str]:
        """The ids of the jobs whose callers wait, in order of arrival."""
        return list(self._waiters)

    def is_waiting(self, job_id: str) -> bool:
        """Return whether a caller of this host waits for a job's answer."""
        return job_id in self._waiters

    def cancel(self, job_id: str) -> bool:
        """Cancel a job of a waiting caller; return whether there was one."""
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
        """Apply an event and execute its effects.

        An effect that fails does not keep the others from being executed, as
        the reducer counts on all of them.
        """
        for effect in self._reducer.apply(event, self._clock.now()):
            try:
                self._execute(effect)
            except Exception as error:
                self.report_failure(type(effect).__name__, error)

    def _execute(self, effect: effects.Effect) -> None:
        adapters = self.adapters
        if adapters is None:
            raise RuntimeError("engine.adapters must be set before use")
        match effect:
            case effects.Log():
                self._metrics.record_decision(effect.event)
                self._log.info(effect.event, **effect.fields)
            case effects.Send():
                adapters.links.send(effect.link, effect.message)
            case effects.StartRun():
                self._call(
                    adapters.backends.start(effect),
                    events.RunStarted(
                        effect.incarnation, effect.run, UNKNOWN, None
                    ),
                )
            case effects.StopRun():
                self._call(
                    adapters.backends.stop(effect),
                    events.RunStopped(
                        effect.incarnation, effect.run, UNKNOWN, effect.fence
                    ),
                )
            case effects.PollBackend():
                self._call(
                    adapters.backends.poll(effect),
                    events.BackendPolled(
                        effect.incarnation,
                        UNKNOWN,
                        fence=effect.fence,
                        number=effect.number,
                    ),
                )
            case effects.AnswerJob():
                waiter = self._waiters.get(effect.job_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(effect)
            case _:
                self._execute_infrequent(effect, adapters)

    def _execute_infrequent(
        self, effect: effects.Effect, adapters: Adapters
    ) -> None:
        match effect:
            case effects.LinkHosts():
                adapters.links.set_link_targets(effect.hosts)
            case effects.CloseLink():
                adapters.links.close_link(effect.link)
            case effects.WritePool():
                self._call(
                    adapters.pools.write_pool(effect),
                    events.PoolWritten(effect.pool, None, None),
                )
            case effects.ProbeBackends():
                self._spawn(self._probe(effect, adapters.backends))
            case effects.DecodeCatalog():
                self.read_catalog(effect.document)
            case effects.ReadConnections():
                self._spawn(self._read_connections(effect))
            case effects.ReportFailure():
                self.report_failure(effect.where, effect.error)
            case effects.Exit():
                self.exited.set()

    def read_catalog(self, document: str) -> None:
        """Decode the operators' document in a task, then apply the result."""
        if self.adapters is None:
            raise RuntimeError("engine.adapters must be set before use")
        self._call(
            self._decode_catalog(document, self.adapters.catalogs),
            events.CatalogRejected(document),
        )

    async def _decode_catalog(
        self, document: str, catalogs: CatalogDecoder
    ) -> events.Event:
        catalog = await catalogs.decode(document)
        if catalog is None:
            return events.CatalogRejected(document)
        return events.CatalogRead(catalog, document)

    async def _read_connections(self, effect: effects.ReadConnections) -> None:
        """Let the event loop read all connections and run their handlers."""
        for _ in range(READ_REPEATS_MAX):
            requests = self._request_count
            for _ in range(READ_ITERATIONS):
                await asyncio.sleep(0)
            if self._request_count == requests:
                break
        self.apply(events.ConnectionsRead(effect.pause))

    def _call(
        self,
        call: Coroutine[Any, Any, events.Event],
        if_failed: events.Event,
    ) -> None:
        """Run a client's call in a task, and apply the event it returns.

        If the call raises an exception, ``if_failed`` is applied, so that the
        reducer does not wait for its outcome for ever.
        """
        self._spawn(self._apply_outcome(call, if_failed))

    async def _apply_outcome(
        self,
        call: Coroutine[Any, Any, events.Event],
        if_failed: events.Event,
    ) -> None:
        try:
            event = await call
        except Exception as error:
            self.report_failure(type(if_failed).__name__, error)
            event = if_failed
        self.apply(event)

    async def _probe(
        self, effect: effects.ProbeBackends, backends: BackendClient
    ) -> None:
        accepted = await asyncio.gather(
            *(backends.accepts_connections(each) for each in effect.addresses),
            return_exceptions=True,
        )
        for each in accepted:
            if isinstance(each, BaseException):
                self.report_failure("probe", each)
        is_reachable = any(each is True for each in accepted)
        self.apply(events.BackendsProbed(effect.pool, is_reachable))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.report_failure("effect", task.exception())

    def report_failure(self, where: str, error: BaseException | None) -> None:
        """Log an exception that no handler caught."""
        self._log.error(
            "internal.error",
            where=where,
            error=f"{type(error).__name__}: {error}",
            exc_info=error,
        )

    async def drain(self, limit: datetime.timedelta) -> None:
        """Shut down; return when no work is left or the limit has passed."""
        try:
            async with asyncio.timeout((limit + EXIT_SLACK).total_seconds()):
                self.apply(events.DrainRequested(limit))
                await self.exited.wait()
        except Exception as error:
            # The listeners have to be closed in any case.
            self.report_failure("drain", error)

    def answer_remaining(self) -> None:
        """Answer the callers that the reducer has left without an answer."""
        for job_id, waiter in self._waiters.items():
            if not waiter.done():
                waiter.set_result(
                    effects.AnswerJob(
                        job_id,
                        model.JobOutcome.LOST,
                        scheduler.REASON_LEAVING,
                        None,
                    )
                )

    async def close(self) -> None:
        """Cancel the running tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
