"""Processor sharing: how a stand-in backend server runs tasks.

Up to ``slots`` tasks run at full speed; beyond that all slow down alike.
"""

import asyncio
import dataclasses


@dataclasses.dataclass(eq=False, slots=True)
class _Running:
    remaining: float
    done: asyncio.Future[None]


class ProcessorSharing:
    """Runs tasks given in seconds of work at a relative speed."""

    def __init__(self, slots: int, speed: float) -> None:
        self._slots = slots
        self._speed = speed
        self._running: set[_Running] = set()
        self._updated_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def running(self) -> int:
        """How many tasks run now."""
        return len(self._running)

    def set_speed(self, speed: float) -> None:
        """Change the speed, also of tasks that run already."""
        self._advance()
        self._speed = speed
        self._schedule()

    async def run(self, work: float) -> None:
        """Return when a task of so much work is done."""
        self._advance()
        loop = asyncio.get_running_loop()
        entry = _Running(work, loop.create_future())
        self._running.add(entry)
        self._schedule()
        try:
            await entry.done
        finally:
            self._advance()
            self._running.discard(entry)
            self._schedule()

    def _rate(self) -> float:
        crowd = max(1.0, len(self._running) / self._slots)
        return self._speed / crowd

    def _advance(self) -> None:
        now = asyncio.get_running_loop().time()
        progress = (now - self._updated_at) * self._rate()
        self._updated_at = now
        for entry in self._running:
            entry.remaining -= progress

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting = [e.remaining for e in self._running if not e.done.done()]
        if waiting:
            delay = max(0.0, min(waiting) / self._rate())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._finish)

    def _finish(self) -> None:
        self._timer = None
        self._advance()
        for entry in list(self._running):
            if entry.remaining <= 1e-6 and not entry.done.done():
                entry.done.set_result(None)
        self._schedule()
