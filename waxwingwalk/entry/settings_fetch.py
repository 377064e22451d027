"""Fetches settings from a peer that has a newer revision."""

import datetime

import aiohttp

from waxwingwalk.core import events
from waxwingwalk.entry import links

FETCH_TIMEOUT = datetime.timedelta(seconds=2)


class PeerSettingsFetcher:
    """Fetches a peer's newest revision, one fetch at a time."""

    def __init__(
        self, session: aiohttp.ClientSession, notify: links.EventHandler
    ) -> None:
        self._session = session
        self._notify = notify
        self._is_fetching = False

    async def fetch(self, address: str) -> None:
        """Fetch and apply the revision.

        A failed fetch is not retried here; the reducer requests another one
        when it next receives the number of a newer revision.
        """
        if self._is_fetching:
            return
        self._is_fetching = True
        try:
            document = await self._get(address)
        finally:
            self._is_fetching = False
        if document is not None:
            self._notify(events.SettingsRead(document))

    async def _get(self, address: str) -> str | None:
        timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT.total_seconds())
        try:
            async with self._session.get(
                f"http://{address}/v1/settings", timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                return await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
