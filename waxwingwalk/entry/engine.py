"""The engine: applies events to the reducer and executes its effects."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import datetime
from typing import Any
from typing import Protocol

import structlog

from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.core import reducer as core_reducer
from waxwingwalk.core import state as core_state
from waxwingwalk.entry import backend_client


class BackendRunner(Protocol):
    """The interface of a client of backend servers."""

    def set_freshness(self, freshness: datetime.timedelta) -> None: ...

    async def run(self, effect: effects.SendTask) -> backend_client.Reply: ...

    async def status(
        self, address: str, task: str
    ) -> backend_client.TaskStatus: ...

    async def stop(self, address: str, tasks: list[str]) -> None: ...

    async def renew(
        self, address: str, tasks: list[str], lease: datetime.timedelta
    ) -> None: ...


class PeerSender(Protocol):
    """The interface of the links to peers."""

    def send(self, address: str, message: messages.Message) -> None: ...


class Engine:
    """Runs the reducer of one entry process.

    Components that depend on the engine themselves are attached after it is
    constructed, by :func:`waxwingwalk.wiring.build_entry`.
    """

    def __init__(
        self,
        reducer: core_reducer.Reducer,
        time: clock.Clock,
        backends: BackendRunner,
        logger: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._reducer = reducer
        self._clock = time
        self._backends = backends
        self._log = logger
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiters: dict[str, list[asyncio.Future[model.Answer]]] = {}
        self.peers: PeerSender | None = None
        self.claim: Callable[[effects.ClaimKey], None] | None = None
        self.fetch_settings: (
            Callable[[str], Coroutine[Any, Any, None]] | None
        ) = None
        self.exited = asyncio.Event()

    @property
    def state(self) -> core_state.State:
        """The reducer's state; callers must not modify it."""
        return self._reducer.state

    @property
    def clock(self) -> clock.Clock:
        """The clock that timestamps events."""
        return self._clock

    def apply(self, event: events.Event) -> None:
        """Apply an event and execute its effects.

        An effect that fails does not keep the others from being executed.
        """
        requested = self._reducer.apply(event, self._clock.now())
        stops: dict[str, list[str]] = {}
        for effect in requested:
            try:
                self._execute(effect, stops)
            except Exception as error:
                self.report_failure(type(effect).__name__, error)
        for address, tasks in stops.items():
            self._spawn(self._backends.stop(address, tasks))

    def _execute(
        self, effect: effects.Effect, stops: dict[str, list[str]]
    ) -> None:
        """Execute an effect; add tasks to stop to ``stops``, by address."""
        match effect:
            case effects.SendTask():
                # The log comes second, as the task has to be sent.
                self._spawn(self._run(effect))
                self._log_placement(effect)
            case effects.SendToPeer():
                if self.peers is not None:
                    self.peers.send(effect.address, effect.message)
            case effects.DeliverAnswer():
                self._deliver(effect.answer)
            case effects.StopTask():
                name = identity.task_name(effect.job_id, effect.index)
                stops.setdefault(effect.address, []).append(name)
            case effects.Log():
                self._log.info(effect.event, **effect.fields)
            case _:
                self._execute_infrequent(effect)

    def _execute_infrequent(self, effect: effects.Effect) -> None:
        match effect:
            case effects.ClaimKey():
                if self.claim is not None:
                    self.claim(effect)
            case effects.ReadTaskStatus():
                self._spawn(self._read_status(effect))
            case effects.RenewLeases():
                tasks = [identity.task_name(*ref) for ref in effect.tasks]
                self._spawn(
                    self._backends.renew(effect.address, tasks, effect.lease)
                )
            case effects.FetchSettings():
                if self.fetch_settings is not None:
                    self._spawn(self.fetch_settings(effect.address))
            case effects.Exit():
                self.exited.set()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def report_failure(self, where: str, error: Exception) -> None:
        """Log an unexpected exception."""
        self._log.error(
            "internal.error",
            where=where,
            error=f"{type(error).__name__}: {error}",
            exc_info=error,
        )

    async def close(self) -> None:
        """Cancel all running operations."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # Tasks.

    async def _run(self, effect: effects.SendTask) -> None:
        options = self.state.settings.process()
        self._backends.set_freshness(options.connection_freshness)
        try:
            reply = await self._backends.run(effect)
        except Exception as error:
            # The task may have been sent before the exception was raised.
            self.report_failure("task", error)
            detail = f"{type(error).__name__}: {error}"
            reply = backend_client.Reply(model.TaskOutcome.LOST, detail=detail)
        self._apply_reply(
            effect.job_id,
            effect.index,
            effect.attempt,
            effect.backend_id,
            reply,
        )

    def _apply_reply(
        self,
        job_id: str,
        index: int,
        attempt: int,
        backend_id: str,
        reply: backend_client.Reply,
    ) -> None:
        self.apply(
            events.TaskReplied(
                job_id=job_id,
                index=index,
                attempt=attempt,
                backend_id=backend_id,
                outcome=reply.outcome,
                result=reply.result,
                detail=reply.detail,
                leaving=reply.leaving,
                running=reply.running,
                reply_task=reply.task,
                reply_incarnation=reply.incarnation,
            )
        )

    async def _read_status(self, effect: effects.ReadTaskStatus) -> None:
        name = identity.task_name(effect.job_id, effect.index)
        status = await self._backends.status(effect.address, name)
        if status.reply is not None:
            self._apply_recovered_reply(effect, status.reply)
            return
        is_known = None if status.state == "" else status.state == "running"
        self.apply(
            events.TaskStatusRead(
                effect.job_id, effect.index, effect.attempt, is_known
            )
        )

    def _apply_recovered_reply(
        self, effect: effects.ReadTaskStatus, reply: backend_client.Reply
    ) -> None:
        """Apply a result that was queried because its reply was lost."""
        attempt = self.state.attempts.get((effect.job_id, effect.index))
        if attempt is None or attempt.number != effect.attempt:
            return
        self._apply_reply(
            effect.job_id,
            effect.index,
            effect.attempt,
            attempt.backend_id,
            reply,
        )

    def _log_placement(self, effect: effects.SendTask) -> None:
        share = self.state.settings.process().decision_log_share
        if share < 1.0 and self.state.random.random() >= share:
            return
        self._log.info(
            "task.placed",
            job=effect.job_id,
            task=effect.index,
            service=effect.service,
            backend_server=effect.backend_id,
            reason=effect.reason,
            runner_up=effect.runner_up,
            occupancy=round(effect.occupancy, 2),
            estimate=round(effect.estimate, 4),
            revision=self.state.settings.number,
        )

    # Answers.

    def wait_for(self, job_id: str) -> asyncio.Future[model.Answer]:
        """Return a future of a job's answer.

        For a new job, call this before the job is submitted: a refusal is
        delivered at once, and refused jobs are not kept in the state.
        """
        future: asyncio.Future[model.Answer] = (
            asyncio.get_running_loop().create_future()
        )
        job = self.state.jobs.get(job_id)
        if job is not None and job.answer is not None:
            future.set_result(job.answer)
        else:
            self._waiters.setdefault(job_id, []).append(future)
        return future

    def _deliver(self, answer: model.Answer) -> None:
        for future in self._waiters.pop(answer.job_id, []):
            if not future.done():
                future.set_result(answer)
