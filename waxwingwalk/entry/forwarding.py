"""Requests passed on to the process that a job or key belongs to."""

import datetime

import aiohttp
import orjson
import pydantic

from waxwingwalk.core import identity
from waxwingwalk.core import results
from waxwingwalk.entry import replies
from waxwingwalk.entry import traffic

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# Beyond the wait that was asked for, a forwarded request gets this long.
SPARE_TIME = datetime.timedelta(seconds=2)
TARGET_HEADER = "X-Waxwingwalk-Target"


class _ForwardedReply(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")

    code: results.ResultCode


class Forwarder:
    """Sends a request to one incarnation of a peer, once."""

    def __init__(
        self, session: aiohttp.ClientSession, counted: traffic.Traffic
    ) -> None:
        self._session = session
        self._traffic = counted

    async def forward(
        self,
        target: identity.ProcessId,
        action: str,
        body: bytes,
        *,
        wait: datetime.timedelta,
        gone: results.ResultCode,
        lost: results.ResultCode,
    ) -> replies.Reply:
        """Return the peer's reply.

        ``gone`` is the code if that incarnation has ended, ``lost`` the code
        if the request may have arrived and no reply came.
        """
        self._traffic.count(f"forward_{action}", len(body))
        timeout = aiohttp.ClientTimeout(
            total=(wait + SPARE_TIME).total_seconds(),
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
                    return replies.Reply(gone)
                return _parse(await response.read(), lost)
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                return replies.Reply(gone)
            return _unreachable()
        except aiohttp.ConnectionTimeoutError:
            return _unreachable()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return replies.Reply(lost)


def _unreachable() -> replies.Reply:
    return replies.Reply(
        results.ResultCode.COORDINATOR_UNREACHABLE,
        {"retry_after_seconds": 1.0},
    )


def _parse(content: bytes, lost: results.ResultCode) -> replies.Reply:
    try:
        code = _ForwardedReply.model_validate_json(content).code
    except pydantic.ValidationError:
        return replies.Reply(lost)
    members = orjson.loads(content)
    del members["code"]
    return replies.Reply(code, members)
