"""Signals that end a process."""

import asyncio
from collections.abc import Callable
import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Termination:
    """Stops the event loop on the first signal, and calls back on later ones.

    The entrypoint of aiomisc has to be built with ``catch_signals=()``. It
    would restore the default handlers before it stops the services, so that a
    second signal would kill the process while they drain.

    ::

        Termination(service.end_drain).catch_signals()
    """

    def __init__(self, end_drain: Callable[[], None]) -> None:
        self._end_drain = end_drain
        self._is_stopping = False

    def catch_signals(self) -> None:
        """Handle the signals on the running event loop from now on."""
        loop = asyncio.get_running_loop()
        for number in SIGNALS:
            loop.add_signal_handler(number, self._terminate)

    def _terminate(self) -> None:
        if self._is_stopping:
            self._end_drain()
            return
        self._is_stopping = True
        asyncio.get_running_loop().stop()
