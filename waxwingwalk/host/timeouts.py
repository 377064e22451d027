"""Time limits of calls."""

import asyncio
import datetime
import types

from waxwingwalk.dispatch import observed_time


class PatientTimeout:
    """Raises ``TimeoutError`` in its block after a limit, like asyncio's.

    If the event loop was behind when the limit passed, the reply may have
    arrived without having been read. The limit is then extended by the delay
    of the loop, in all by no more than the limit itself.

    ::

        async with PatientTimeout(datetime.timedelta(milliseconds=350)):
            reply = await reader.read()
    """

    def __init__(self, limit: datetime.timedelta) -> None:
        self._limit = limit.total_seconds()
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._due = 0.0
        self._extension = 0.0
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._due = self._loop.time() + self._limit
        self._timer = self._loop.call_at(self._due, self._check)

    def _check(self) -> None:
        """Expire, or extend the limit if this call comes late."""
        now = self._loop.time()
        delay = now - self._due
        extension = min(delay, self._limit - self._extension)
        tolerance = observed_time.TIMER_TOLERANCE.total_seconds()
        if delay < tolerance or extension <= 0.0:
            self._timeout.reschedule(now)
            return
        self._extension += extension
        self._due = now + extension
        self._timer = self._loop.call_at(self._due, self._check)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, error, traceback)
