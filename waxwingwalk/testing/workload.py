"""Processor sharing, by which a stand-in backend server runs tasks.

Up to ``slots`` tasks run at full speed; beyond that, all tasks slow down
equally.
"""

import asyncio
import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class _RunningTask:
    remaining: float
    done: asyncio.Future[None]


class ProcessorSharing:
    """Runs tasks, given as seconds of work at speed 1."""

    def __init__(self, slots: int, speed: float) -> None:
        self._slots = slots
        self._speed = speed
        self._running: set[_RunningTask] = set()
        self._updated_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """The number of running tasks."""
        return len(self._running)

    def set_speed(self, speed: float) -> None:
        """Change the speed, also for running tasks."""
        self._advance()
        self._speed = speed
        self._schedule()

    async def run(self, work: float) -> None:
        """Wait until a task with this much work is done."""
        self._advance()
        loop = asyncio.get_running_loop()
        task = _RunningTask(work, loop.create_future())
        self._running.add(task)
        self._schedule()
        try:
            await task.done
        finally:
            self._advance()
            self._running.discard(task)
            self._schedule()

    def _rate(self) -> float:
        overcommit = max(1.0, len(self._running) / self._slots)
        return self._speed / overcommit

    def _advance(self) -> None:
        now = asyncio.get_running_loop().time()
        progress = (now - self._updated_at) * self._rate()
        self._updated_at = now
        for task in self._running:
            task.remaining -= progress

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting = [
            task.remaining for task in self._running if not task.done.done()
        ]
        if waiting:
            delay = max(0.0, min(waiting) / self._rate())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._finish)

    def _finish(self) -> None:
        self._timer = None
        self._advance()
        for task in list(self._running):
            if task.remaining <= 1e-6 and not task.done.done():
                task.done.set_result(None)
        self._schedule()
