"""Carries out what the ledger of a process decides on its connections."""

import asyncio
import collections
from collections.abc import Callable
import datetime
from typing import Protocol

from waxwingwalk.connections import limits
from waxwingwalk.core import clock


class GuardedConnection(Protocol):
    """A connection that reads and refuses when it is told to."""

    connection: limits.Connection

    def read_slice(self) -> None: ...

    def refuse(self, reason: limits.Reason) -> None: ...


class Recorder(Protocol):
    """Records what is refused."""

    def record_refusal(
        self, listener: limits.Listener, reason: limits.Reason
    ) -> None: ...

    def log_refusals(self) -> None: ...


class ReadTurns:
    """Lets one connection in each iteration of the event loop read on."""

    def __init__(self) -> None:
        self._waiting: collections.deque[GuardedConnection] = (
            collections.deque()
        )

    def add(self, connection: GuardedConnection) -> None:
        """Let a connection read a slice when it is its turn."""
        self._waiting.append(connection)
        if len(self._waiting) == 1:
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        connection = self._waiting[0]
        try:
            connection.read_slice()
        finally:
            self._waiting.popleft()
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._take_turn)


class Guard:
    """The connections of all listeners of a process.

    ``request_limits`` returns the limits on a request that are in force.
    """

    def __init__(
        self,
        ledger: limits.Ledger,
        request_limits: Callable[[], limits.RequestLimits],
        time: clock.Clock,
        recorder: Recorder,
    ) -> None:
        self._ledger = ledger
        self._request_limits = request_limits
        self._clock = time
        self._turns = ReadTurns()
        self._recorder = recorder
        self._protocols: dict[limits.Connection, GuardedConnection] = {}

    @property
    def ledger(self) -> limits.Ledger:
        """What the connections hold."""
        return self._ledger

    @property
    def request_limits(self) -> limits.RequestLimits:
        """The limits on a request that are in force."""
        return self._request_limits()

    def now(self) -> datetime.datetime:
        """Return the time of the process's clock."""
        return self._clock.now()

    def wait_for_turn(self, protocol: GuardedConnection) -> None:
        """Let a connection read a slice when it is its turn."""
        self._turns.add(protocol)

    def connection_made(self, protocol: GuardedConnection) -> None:
        """Accept a connection, or refuse it or another one."""
        self._protocols[protocol.connection] = protocol
        for each in self._ledger.open(protocol.connection):
            self._refuse(each, limits.Reason.CONNECTIONS)

    def connection_lost(self, protocol: GuardedConnection) -> None:
        """Forget a connection."""
        self._protocols.pop(protocol.connection, None)
        self._ledger.close(protocol.connection)

    def hold(self, connection: limits.Connection, size: int) -> None:
        """Record what a connection holds; refuse requests if it is much."""
        now = self.now()
        for each in self._ledger.hold(connection, size, now):
            self._refuse(each, limits.Reason.MEMORY)

    def check(self) -> None:
        """Refuse requests that make no progress, and log what was refused.

        It has to be called once a second or so.
        """
        idle = self.request_limits.idle
        for each, reason in self._ledger.stalled(idle, self.now()):
            self._refuse(each, reason)
        self._recorder.log_refusals()

    def _refuse(
        self, connection: limits.Connection, reason: limits.Reason
    ) -> None:
        protocol = self._protocols.get(connection)
        if protocol is not None:
            protocol.refuse(reason)

    def record_refusal(
        self, listener: limits.Listener, reason: limits.Reason
    ) -> None:
        """Record that a request was refused, or a connection closed."""
        self._recorder.record_refusal(listener, reason)
