"""Client of the platform's workers, which are the backend servers."""

import asyncio
import datetime
import time
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec
import orjson

from waxwingwalk.core import clock
from waxwingwalk.core import decoding
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model
from waxwingwalk.host import metrics
from waxwingwalk.host import timeouts
from waxwingwalk.store import follower

# Within a zone a call is answered in a few milliseconds. The rest allows for a
# pause of this process or of the server.
CALL_TIMEOUT = datetime.timedelta(milliseconds=350)
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=200)
# The total time of a call has a limit of its own.
CLIENT_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
)
# Maximum connections to one server, of which polls use one. A server accepts
# 64 connections from all hosts together.
CONNECTIONS_MAX = 6
KEEPALIVE_TIMEOUT = datetime.timedelta(seconds=30)

Outcome = model.CallOutcome
T = TypeVar("T")
# Outcomes by the reason that a worker gives for refusing a start.
REFUSAL_OUTCOMES = {
    "fence": Outcome.FENCED,
    "old": Outcome.OLD_RUN,
    "late": Outcome.EXPIRED,
    "room": Outcome.NO_ROOM,
}
RUN_ENDS = {
    "done": model.RunEnd.DONE,
    "failed": model.RunEnd.FAILED,
    "stopped": model.RunEnd.STOPPED,
    "lapsed": model.RunEnd.LAPSED,
}


class StartDroppedError(Exception):
    """A start was out of date before it could be written."""


class _Reply(msgspec.Struct):
    clock_ms: decoding.ClockMs


class _Refusal(msgspec.Struct):
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    """A row of running tasks; the load follows.

    A run without a valid progress is still a run, which holds capacity.
    """

    task: str
    run: decoding.Count
    checkpoint: Any = None
    percent: Any = 0

    @property
    def progress(self) -> int:
        """The progress in percent, 0 if it is not valid."""
        percent = self.percent
        is_valid = isinstance(percent, int | float) and 0 <= percent <= 100
        return int(percent) if is_valid else 0


class _EndedRow(msgspec.Struct, array_like=True):
    """A row of ended runs; a checkpoint follows."""

    serial: decoding.Count
    task: str
    run: decoding.Count
    end: str


class _RunLists(msgspec.Struct):
    clock_ms: decoding.ClockMs
    born: decoding.ClockMs | None = None
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


_reply_decoder: decoding.Decoder[_Reply] = decoding.Decoder(_Reply)
_refusal_decoder: decoding.Decoder[_Refusal] = decoding.Decoder(_Refusal)
_lists_decoder: decoding.Decoder[_RunLists] = decoding.Decoder(_RunLists)


class PlatformBackends:
    """Calls the platform's workers over HTTP."""

    def __init__(
        self,
        host_metrics: metrics.HostMetrics,
        time_source: clock.Clock | None = None,
        log: follower.FollowerLog | None = None,
    ) -> None:
        self._metrics = host_metrics
        self._log = log
        self._clock = time_source or clock.SystemClock()
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=CONNECTIONS_MAX,
            keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds(),
        )
        self._session = _session(connector)
        # Of the same connections. A start is checked when it has got one,
        # right before it is written; other calls need not be.
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._check_send_time)
        trace.on_connection_reuseconn.append(self._check_send_time)
        self._start_session = _session(
            connector, connector_owner=False, trace_configs=[trace]
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._start_session.close()
        await self._session.close()

    async def _check_send_time(
        self, session: aiohttp.ClientSession, context: Any, params: object
    ) -> None:
        if self._clock.now() > context.trace_request_ctx:
            raise StartDroppedError

    async def start(self, order: effects.StartRun) -> events.RunStarted:
        """Start a run."""
        body = {
            "task": order.run.task,
            "run": order.run.run,
            "spec": order.spec,
            "deadline_ms": order.lease_ends_ms,
            "fence": order.fence,
        }
        outcome, content = await self._call(
            "start",
            order.address,
            "/run-start",
            order.incarnation,
            body,
            send_by=order.send_by,
        )
        server_clock_ms = decode_clock(content)
        if content and server_clock_ms is None:
            self._log_malformed("start", order.incarnation)
        return events.RunStarted(
            order.incarnation, order.run, outcome, server_clock_ms
        )

    async def stop(self, order: effects.StopRun) -> events.RunStopped:
        """Stop a run."""
        body = {
            "task": order.run.task,
            "run": order.run.run,
            "fence": order.fence,
        }
        outcome, _ = await self._call(
            "stop", order.address, "/run-stop", order.incarnation, body
        )
        return events.RunStopped(
            order.incarnation, order.run, outcome, order.fence
        )

    async def poll(self, order: effects.PollBackend) -> events.BackendPolled:
        """Fetch the lists of runs, and renew the lease."""
        wait_ms = int(order.wait / model.MILLISECOND)
        body: dict[str, Any] = {
            "fence": order.fence,
            "acked_upto": order.acknowledged,
            "wait_ms": wait_ms,
        }
        if order.lease_ends_ms is not None:
            body["deadline_ms"] = order.lease_ends_ms
        outcome, content = await self._call(
            "hold",
            order.address,
            "/hold",
            order.incarnation,
            body,
            CALL_TIMEOUT + order.wait,
        )
        if outcome is not Outcome.ACCEPTED:
            return events.BackendPolled(
                order.incarnation,
                outcome,
                fence=order.fence,
                number=order.number,
            )
        polled = decode_lists(order, content)
        if polled.outcome is Outcome.UNKNOWN:
            self._log_malformed("hold", order.incarnation)
        return polled

    def _log_malformed(
        self, call: str, incarnation: model.BackendIncarnation
    ) -> None:
        if self._log is not None:
            self._log.info(
                "backend.malformed",
                backend=incarnation.backend_id,
                call=call,
            )

    async def accepts_connections(self, address: str) -> bool:
        """Return whether a worker accepts a connection."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, OverflowError, TimeoutError, ValueError):
            return False
        writer.close()
        return True

    async def _call(
        self,
        kind: str,
        address: str,
        path: str,
        incarnation: model.BackendIncarnation,
        body: dict[str, Any],
        timeout: datetime.timedelta = CALL_TIMEOUT,
        send_by: datetime.datetime | None = None,
    ) -> tuple[Outcome, bytes]:
        started = time.monotonic()
        outcome, content = await self._send(
            f"http://{address}{path}", incarnation, body, timeout, send_by
        )
        elapsed = datetime.timedelta(seconds=time.monotonic() - started)
        self._metrics.record_backend_call(kind, outcome.value, elapsed)
        return outcome, content

    async def _send(
        self,
        url: str,
        incarnation: model.BackendIncarnation,
        body: dict[str, Any],
        timeout: datetime.timedelta,
        send_by: datetime.datetime | None,
    ) -> tuple[Outcome, bytes]:
        session = self._session if send_by is None else self._start_session
        try:
            async with (
                timeouts.PatientTimeout(timeout),
                session.post(
                    url,
                    data=orjson.dumps(body),
                    headers={"Expect-Instance": incarnation.backend_id},
                    timeout=CLIENT_TIMEOUT,
                    allow_redirects=False,
                    trace_request_ctx=send_by,
                ) as response,
            ):
                content = await response.read()
                return decode_outcome(response.status, content), content
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Outcome.NOT_SENT, b""
        except StartDroppedError:
            return Outcome.DROPPED, b""
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Outcome.UNKNOWN, b""


def _session(
    connector: aiohttp.TCPConnector, **options: Any
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        headers={"Content-Type": "application/json"},
        **options,
    )


def decode_outcome(status: int, content: bytes) -> Outcome:
    """Return what the status of an answer, and its reason, mean."""
    match status:
        case 200:
            return Outcome.ACCEPTED
        case 409:
            refusal = _parse(_refusal_decoder, content)
            reason = "" if refusal is None else refusal.reason
            return REFUSAL_OUTCOMES.get(reason, Outcome.INVALID)
        case 400 | 404:
            return Outcome.INVALID
        case 421:
            return Outcome.OTHER_INCARNATION
        case 429 | 503:
            return Outcome.UNHEALTHY
        case _:
            return Outcome.UNKNOWN


def decode_clock(content: bytes) -> int | None:
    """Return the worker's clock in an answer, None if it has none."""
    reply = _parse(_reply_decoder, content)
    return None if reply is None else reply.clock_ms


def decode_lists(
    order: effects.PollBackend, content: bytes
) -> events.BackendPolled:
    """Return what a worker's lists of runs say, UNKNOWN if malformed."""
    incarnation = order.incarnation
    lists = _parse(_lists_decoder, content)
    if lists is None:
        return events.BackendPolled(
            incarnation,
            Outcome.UNKNOWN,
            fence=order.fence,
            number=order.number,
        )
    if lists.born is not None and lists.born != incarnation.started_ms:
        return events.BackendPolled(
            incarnation,
            Outcome.OTHER_INCARNATION,
            successor=model.BackendIncarnation(
                incarnation.backend_id, lists.born
            ),
            fence=order.fence,
            number=order.number,
        )
    return events.BackendPolled(
        incarnation,
        Outcome.ACCEPTED,
        lists.clock_ms,
        tuple(model.RunKey(row.task, row.run) for row in lists.running),
        tuple(
            model.EndedRun(
                row.serial,
                row.task,
                row.run,
                RUN_ENDS.get(row.end, model.RunEnd.STOPPED),
            )
            for row in lists.ended
        ),
        order.fence,
        number=order.number,
        percents=tuple(row.progress for row in lists.running),
    )


def _parse(decoder: decoding.Decoder[T], content: bytes) -> T | None:
    try:
        return decoder.decode(content)
    except decoding.MalformedError:
        return None
