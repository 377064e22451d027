"""Counts refused requests and closed connections, and logs them in sums."""

import collections
from typing import Protocol

from waxwingwalk.connections import limits


class Log(Protocol):
    """A structured log."""

    def info(self, event: str, **fields: object) -> object: ...


class Counter(Protocol):
    """A counter with the listener and the reason as labels."""

    def record_refusal(self, listener: str, reason: str) -> None: ...


class Refusals:
    """What was refused, by listener and reason.

    A crowd of clients causes one line for each of these in each interval.
    """

    def __init__(self, log: Log, counter: Counter) -> None:
        self._log = log
        self._counter = counter
        self._counts: collections.Counter[
            tuple[limits.Listener, limits.Reason]
        ] = collections.Counter()

    def record_refusal(
        self, listener: limits.Listener, reason: limits.Reason
    ) -> None:
        """Count a refusal."""
        self._counts[listener, reason] += 1
        self._counter.record_refusal(listener.value, reason.value)

    def log_refusals(self) -> None:
        """Log what was refused since the last call."""
        for (listener, reason), count in self._counts.items():
            self._log.info(
                "connection.refused",
                listener=listener.value,
                reason=reason.value,
                count=count,
            )
        self._counts.clear()
