"""Client of the platform's workers, which are the backend servers."""

import asyncio
import datetime
import time
from typing import Annotated
from typing import Any
from typing import TypeVar

import aiohttp
import orjson
import pydantic

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import model
from waxwingwalk.host import metrics
from waxwingwalk.host import timeouts

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
ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)
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


class _Reply(pydantic.BaseModel):
    clock_ms: int
    reason: str = ""


def _first_columns(count: int) -> pydantic.BeforeValidator:
    """Return a validator that drops the columns of a row after the first."""

    def cut(row: Any) -> Any:
        return row[:count] if isinstance(row, list) else row

    return pydantic.BeforeValidator(cut)


def _pad_running(row: Any) -> Any:
    """Return task, run and percent of a row, 0 if that is not valid.

    A run without a valid progress is still a run, which holds capacity.
    """
    if not isinstance(row, list):
        return row
    percent = row[3] if len(row) > 3 else 0
    is_number = isinstance(percent, int | float) and 0 <= percent <= 100
    return [*row[:2], int(percent) if is_number else 0]


# Of task, run, checkpoint, percent and load, the first two and the percent.
_RunningRow = Annotated[
    tuple[str, int, int], pydantic.BeforeValidator(_pad_running)
]
# Serial number, task, run and how the run ended; a checkpoint follows.
_EndedRow = Annotated[tuple[int, str, int, str], _first_columns(4)]


class _RunLists(pydantic.BaseModel):
    clock_ms: int
    born: int | None = None
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


class PlatformBackends:
    """Calls the platform's workers over HTTP."""

    def __init__(self, host_metrics: metrics.HostMetrics) -> None:
        self._metrics = host_metrics
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=CONNECTIONS_MAX,
                keepalive_timeout=KEEPALIVE_TIMEOUT.total_seconds(),
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            headers={"Content-Type": "application/json"},
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

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
            "start", order.address, "/run-start", order.incarnation, body
        )
        reply = _parse(_Reply, content)
        return events.RunStarted(
            order.incarnation,
            order.run,
            outcome,
            None if reply is None else reply.clock_ms,
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
        return _to_polled_event(order, _parse(_RunLists, content))

    async def accepts_connections(self, address: str) -> bool:
        """Return whether a worker accepts a connection."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError, ValueError):
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
    ) -> tuple[Outcome, bytes]:
        started = time.monotonic()
        outcome, content = await self._send(
            f"http://{address}{path}", incarnation, body, timeout
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
    ) -> tuple[Outcome, bytes]:
        try:
            async with (
                timeouts.PatientTimeout(timeout),
                self._session.post(
                    url,
                    data=orjson.dumps(body),
                    headers={"Expect-Instance": incarnation.backend_id},
                    timeout=CLIENT_TIMEOUT,
                    allow_redirects=False,
                ) as response,
            ):
                content = await response.read()
                return _outcome(response.status, content), content
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Outcome.NOT_SENT, b""
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Outcome.UNKNOWN, b""


def _outcome(status: int, content: bytes) -> Outcome:
    match status:
        case 200:
            return Outcome.ACCEPTED
        case 409:
            reply = _parse(_Reply, content)
            reason = "" if reply is None else reply.reason
            return REFUSAL_OUTCOMES.get(reason, Outcome.INVALID)
        case 400 | 404:
            return Outcome.INVALID
        case 421:
            return Outcome.OTHER_INCARNATION
        case 429 | 503:
            return Outcome.UNHEALTHY
        case _:
            return Outcome.UNKNOWN


def _to_polled_event(
    order: effects.PollBackend, lists: _RunLists | None
) -> events.BackendPolled:
    incarnation = order.incarnation
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
        tuple(model.RunKey(row[0], row[1]) for row in lists.running),
        tuple(
            model.EndedRun(
                serial, task, run, RUN_ENDS.get(end, model.RunEnd.STOPPED)
            )
            for serial, task, run, end in lists.ended
        ),
        order.fence,
        number=order.number,
        percents=tuple(row[2] for row in lists.running),
    )


def _parse(kind: type[ModelT], content: bytes) -> ModelT | None:
    try:
        return kind.model_validate_json(content)
    except pydantic.ValidationError:
        return None
