"""Forwards requests to the process that a job or key belongs to."""

import datetime

import aiohttp
import orjson
import pydantic

from waxwingwalk.core import identity
from waxwingwalk.core import results
from waxwingwalk.entry import open_requests
from waxwingwalk.entry import replies
from waxwingwalk.entry import traffic

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# The time-out of a forwarded request is the requested wait plus this margin.
REPLY_MARGIN = datetime.timedelta(seconds=2)
TARGET_HEADER = "X-Waxwingwalk-Target"


class _ForwardedReply(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")

    code: results.ResultCode


class Forwarder:
    """Sends requests to one incarnation of a peer, without retries."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        sent_traffic: traffic.Traffic,
        unanswered: open_requests.OpenRequests,
    ) -> None:
        self._session = session
        self._traffic = sent_traffic
        self._unanswered = unanswered

    async def forward(
        self,
        target: identity.ProcessId,
        action: str,
        body: bytes,
        *,
        wait: datetime.timedelta,
        code_if_gone: results.ResultCode,
        code_if_lost: results.ResultCode,
    ) -> replies.Reply:
        """Return the peer's reply.

        The reply has ``code_if_gone`` if that incarnation has ended,
        COORDINATOR_UNREACHABLE if no connection could be opened, so that the
        request was not sent, and ``code_if_lost`` if the request may have
        arrived but got no valid reply before this process ends.
        """
        if self._unanswered.is_ended:
            return unreachable()
        try:
            async with self._unanswered.until_end():
                return await self._forward(
                    target, action, body, wait, code_if_gone, code_if_lost
                )
        except open_requests.ProcessEndedError:
            return replies.Reply(code_if_lost)

    async def _forward(
        self,
        target: identity.ProcessId,
        action: str,
        body: bytes,
        wait: datetime.timedelta,
        code_if_gone: results.ResultCode,
        code_if_lost: results.ResultCode,
    ) -> replies.Reply:
        self._traffic.count(f"forward_{action}", len(body))
        timeout = aiohttp.ClientTimeout(
            total=(wait + REPLY_MARGIN).total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        try:
            async with self._session.post(
                f"http://{target.address}/v1/forward/{action}",
                data=body,
                headers={TARGET_HEADER: target.incarnation},
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                if response.status == 421:
                    return replies.Reply(code_if_gone)
                return _parse_reply(await response.read(), code_if_lost)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return replies.Reply(code_if_gone)
            return unreachable()
        except aiohttp.ConnectionTimeoutError:
            return unreachable()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return replies.Reply(code_if_lost)


def unreachable() -> replies.Reply:
    """Return the reply if a job's process cannot be reached now."""
    return replies.Reply(
        results.ResultCode.COORDINATOR_UNREACHABLE,
        {"retry_after_seconds": 1.0},
    )


def _parse_reply(
    content: bytes, code_if_lost: results.ResultCode
) -> replies.Reply:
    try:
        code = _ForwardedReply.model_validate_json(content).code
    except pydantic.ValidationError:
        return replies.Reply(code_if_lost)
    members = orjson.loads(content)
    del members["code"]
    return replies.Reply(code, members)
