"""Client of backend servers, using JSON over HTTP.

A task whose outcome is "not sent" may be sent again; one whose outcome is
"lost" may not. Only a connection that could not be opened proves that a
request was not sent; after any other failure the task counts as lost.
"""

import asyncio
from collections.abc import Sequence
import dataclasses
import datetime
import functools
import socket
from typing import Any

import aiohttp
import orjson
import pydantic
import yarl

from waxwingwalk.core import effects
from waxwingwalk.core import identity
from waxwingwalk.core import model
from waxwingwalk.entry import json_values
from waxwingwalk.entry import traffic

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# Number of parsed backend server addresses that are cached.
URL_CACHE_SIZE = 4096
CONTROL_TIMEOUT = datetime.timedelta(seconds=1)
# The kernel closes a connection whose data stays unacknowledged for this long.
ACK_TIMEOUT = datetime.timedelta(seconds=3)


# The largest number of running tasks that a reply may report.
RUNNING_MAX = 100_000


@dataclasses.dataclass(slots=True)
class Reply:
    """Outcome of an attempt, and the contents of its reply, if any."""

    outcome: model.TaskOutcome
    result: Any = None
    detail: str = ""
    leaving: bool = False
    running: int | None = None
    task: str | None = None
    incarnation: str | None = None


@dataclasses.dataclass(slots=True)
class TaskStatus:
    """Status of a task; ``state`` is "" if the server gave no valid reply."""

    state: str
    reply: Reply | None = None


class _ReplyModel(pydantic.BaseModel):
    task: str
    incarnation: str
    status: str
    result: json_values.JsonValue = None
    error: str = ""
    leaving: bool = False
    running: int | None = pydantic.Field(None, ge=0, le=RUNNING_MAX)


_OUTCOMES = {
    "done": model.TaskOutcome.DONE,
    "failed": model.TaskOutcome.FAILED,
    "not_run": model.TaskOutcome.NOT_RUN,
}


def parse_reply(content: bytes) -> Reply:
    """Parse a reply; a malformed one leaves the outcome unknown (LOST)."""
    try:
        parsed = _ReplyModel.model_validate_json(content)
    except pydantic.ValidationError:
        return Reply(model.TaskOutcome.LOST, detail="malformed reply")
    outcome = _OUTCOMES.get(parsed.status)
    if outcome is None:
        return Reply(model.TaskOutcome.LOST, detail="malformed reply")
    return Reply(
        outcome,
        parsed.result,
        parsed.error,
        parsed.leaving,
        parsed.running,
        parsed.task,
        parsed.incarnation,
    )


@functools.lru_cache(maxsize=URL_CACHE_SIZE)
def _tasks_url(address: str) -> yarl.URL:
    return yarl.URL(f"http://{address}/v1/tasks")


def _open_socket(address_info: Any) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family=family, type=kind, proto=protocol)
    milliseconds = int(ACK_TIMEOUT.total_seconds() * 1000)
    opened.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
    )
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return opened


class _Response(aiohttp.ClientResponse):
    """A response that can close its connection after it has been read.

    The base class forgets the connection at the end of the response.
    """

    transport: asyncio.Transport | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        self.transport = connection.transport
        return await super().start(connection)

    def close_connection(self) -> None:
        """Close the connection, so that no other task uses it."""
        if self.transport is not None:
            self.transport.close()


class BackendClient:
    """Runs tasks on backend servers, stops them and queries their status.

    An idle connection is reused only if a reply arrived over it within
    ``freshness``. Otherwise a new connection is opened. A task that was
    refused before gets a connection of its own.
    """

    def __init__(
        self,
        zone: str,
        incarnation: str,
        freshness: datetime.timedelta,
        sent_traffic: traffic.Traffic,
    ) -> None:
        self._zone = zone
        self._incarnation = incarnation
        self._traffic = sent_traffic
        self._freshness = freshness
        self._session = self._new_session()
        self._old_sessions: list[aiohttp.ClientSession] = []

    def _new_session(self) -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=self._freshness.total_seconds(),
            use_dns_cache=False,
            socket_factory=_open_socket,
        )
        return aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            headers={"Content-Type": "application/json"},
            response_class=_Response,
        )

    def set_freshness(self, freshness: datetime.timedelta) -> None:
        """Set the freshness for connections that are opened from now on."""
        if freshness != self._freshness:
            self._freshness = freshness
            self._old_sessions.append(self._session)
            self._session = self._new_session()

    async def close(self) -> None:
        """Close all connections."""
        for session in [*self._old_sessions, self._session]:
            await session.close()

    async def run(self, effect: effects.SendTask) -> Reply:
        """Run a task and wait for its outcome."""
        if not effect.use_new_connection:
            return await self._run(self._session, effect)
        async with self._new_session() as session:
            return await self._run(session, effect)

    async def _run(
        self, session: aiohttp.ClientSession, effect: effects.SendTask
    ) -> Reply:
        body = orjson.dumps(
            {
                "task": identity.task_name(effect.job_id, effect.index),
                "incarnation": self._incarnation,
                "service": effect.service,
                "payload": effect.payload,
                "lease_seconds": effect.lease.total_seconds(),
                "zone": self._zone,
            }
        )
        timeout = aiohttp.ClientTimeout(
            total=max(0.001, effect.timeout.total_seconds()),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        self._traffic.count("task", len(body))
        try:
            async with session.post(
                _tasks_url(effect.address),
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                reply = parse_reply(await response.read())
                if self._is_foreign(reply, effect):
                    # The reply to this task will follow on the connection.
                    assert isinstance(response, _Response)
                    response.close_connection()
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return Reply(model.TaskOutcome.NOT_SENT, detail=str(error))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = str(error) or type(error).__name__
            return Reply(model.TaskOutcome.LOST, detail=detail)
        return reply

    def _is_foreign(self, reply: Reply, effect: effects.SendTask) -> bool:
        """Return whether a reply names another task or incarnation."""
        if reply.task is None:
            return False
        name = identity.task_name(effect.job_id, effect.index)
        return (reply.task, reply.incarnation) != (name, self._incarnation)

    async def status(self, address: str, task: str) -> TaskStatus:
        """Query the status of a task over a new connection."""
        self._traffic.count("status")
        content = await self._post_control(
            address,
            "/v1/tasks/status",
            {"task": task},
            use_new_connection=True,
        )
        if content is None:
            return TaskStatus("")
        try:
            parsed = _ReplyModel.model_validate_json(content)
        except pydantic.ValidationError:
            return TaskStatus("")
        if parsed.status in ("done", "failed"):
            return TaskStatus(parsed.status, parse_reply(content))
        return TaskStatus(parsed.status)

    async def stop(self, address: str, tasks: Sequence[str]) -> None:
        """Stop tasks; failures are ignored."""
        self._traffic.count("stop")
        await self._post_control(
            address, "/v1/tasks/stop", {"tasks": list(tasks)}
        )

    async def renew(
        self, address: str, tasks: Sequence[str], lease: datetime.timedelta
    ) -> None:
        """Extend the leases of running tasks; failures are ignored."""
        self._traffic.count("renew")
        body = {"tasks": list(tasks), "lease_seconds": lease.total_seconds()}
        await self._post_control(address, "/v1/leases", body)

    async def _post_control(
        self,
        address: str,
        path: str,
        body: dict[str, Any],
        *,
        use_new_connection: bool = False,
    ) -> bytes | None:
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT.total_seconds())
        headers = {"Connection": "close"} if use_new_connection else None
        session = self._session
        if use_new_connection:
            session = self._new_session()
        try:
            async with session.post(
                f"http://{address}{path}",
                data=orjson.dumps(body),
                timeout=timeout,
                headers=headers,
                allow_redirects=False,
            ) as response:
                content = await response.read()
                return content if response.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        finally:
            if use_new_connection:
                await session.close()
