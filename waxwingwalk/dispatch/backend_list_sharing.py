"""Distribution of the list of backend servers between hosts.

A scheduler reads from the store what backend servers say of themselves: their
capacity, which may shrink while tasks run, whether they drain, and of which
kind they are. The store may turn single hosts away. A scheduler whose list has
become old therefore asks one linked host after the other, until one that
reaches the store sends its list, and goes on to send newer ones for a while.

If no linked host reaches the store, schedulers go on with the last list.
"""

import dataclasses
import datetime

from waxwingwalk.core import clock
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

# A scheduler reads the list every 0.5 s. It changes with each heartbeat of a
# server, which is sent about every 1.5 s. What a server has said must be in
# force after 4.5 s.
LIST_AGE_MAX = datetime.timedelta(seconds=2)
# How often the same host is asked again, and how long the answer of a host may
# take that schedules no pool, and so reads the list first.
REQUEST_INTERVAL = datetime.timedelta(milliseconds=500)
# A host that was asked sends newer lists for this time.
SUBSCRIPTION_TIME = datetime.timedelta(seconds=2)
# A list that is older than this is not sent when it is asked for; the next one
# that the store delivers is.
SENT_AGE_MAX = datetime.timedelta(milliseconds=700)


@dataclasses.dataclass(slots=True)
class _Subscription:
    """A host that needs the list, and the version that it has."""

    pools: frozenset[str]
    version: int
    ends_at: datetime.datetime


@dataclasses.dataclass(slots=True)
class _Request:
    """The host that is asked now."""

    link: int
    address: str
    sent_at: datetime.datetime
    answered_at: datetime.datetime | None = None


class BackendListSharing:
    """The newest list of this host, its requests, and those of others.

    Times are those of the clock, as servers change while a host is paused.

    ::

        sharing = BackendListSharing()
        sharing.record_list(12, reports, now)  # effects for subscribers
        sharing.request_if_old({"north"}, {3: "10.1.0.4:8166"}, now)
    """

    def __init__(self) -> None:
        # The version of the newest list, whether from the store or a host.
        self._version = 0
        # The newest list that the store has delivered, and its version.
        self._reports: tuple[model.BackendReport, ...] = ()
        self._reports_version = 0
        self._store_listed_at = clock.DISTANT_PAST
        self._received_at = clock.DISTANT_PAST
        self._request: _Request | None = None
        self._subscriptions: dict[int, _Subscription] = {}

    def has_subscribers(self, now: datetime.datetime) -> bool:
        """Return whether a linked host depends on the lists of this one."""
        return any(each.ends_at > now for each in self._subscriptions.values())

    def is_outdated(self, version: int, now: datetime.datetime) -> bool:
        """Return whether a list of the store is older than a received one."""
        is_received_recent = now - self._received_at < LIST_AGE_MAX
        return is_received_recent and version < self._version

    def is_old(self, now: datetime.datetime) -> bool:
        """Return whether the store has long delivered no list."""
        return now - self._store_listed_at > LIST_AGE_MAX

    def record_list(
        self,
        version: int,
        reports: tuple[model.BackendReport, ...],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Record a list that the store has delivered; send it to others."""
        self._version = self._reports_version = version
        self._reports = reports
        self._store_listed_at = now
        self._request = None
        done: effects.Effects = []
        for link, subscription in list(self._subscriptions.items()):
            if subscription.ends_at <= now:
                del self._subscriptions[link]
            else:
                done += self._send_list(link, subscription)
        return done

    def _send_list(
        self, link: int, subscription: _Subscription
    ) -> effects.Effects:
        version = self._reports_version
        if subscription.version >= version:
            return []
        subscription.version = version
        reports = [
            each for each in self._reports if each.zone in subscription.pools
        ]
        pools = sorted(subscription.pools)
        return [
            effects.Send(link, messages.ShareBackends(version, pools, reports))
        ]

    def request_if_old(
        self,
        pools: set[str],
        hosts: dict[int, str],
        now: datetime.datetime,
    ) -> effects.Effects:
        """Ask a linked host if the list is old, and it is time to.

        ``pools`` are those that this host schedules, ``hosts`` the addresses
        of linked hosts by link, in the order in which they are asked.
        """
        age = now - self._store_listed_at
        if not (pools and hosts and self.is_old(now)):
            return []
        request = self._request
        if request is not None and now - request.sent_at < REQUEST_INTERVAL:
            return []
        done: effects.Effects = []
        if request is None or not self._is_answered(request, now):
            link = _next_link(request, hosts)
            request = _Request(link, hosts[link], now)
            done.append(
                effects.Log(
                    "backends.requested",
                    {
                        "host": request.address,
                        "version": self._version,
                        "age_ms": model.milliseconds(age),
                    },
                )
            )
        request.sent_at = now
        self._request = request
        message = messages.RequestBackends(sorted(pools), self._version)
        return [*done, effects.Send(request.link, message)]

    def _is_answered(self, request: _Request, now: datetime.datetime) -> bool:
        answered_at = request.answered_at
        return answered_at is not None and now - answered_at < LIST_AGE_MAX

    def handle_request(
        self,
        message: messages.RequestBackends,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Subscribe a host to the lists of this one."""
        subscription = _Subscription(
            frozenset(message.pools), message.version, now + SUBSCRIPTION_TIME
        )
        self._subscriptions[link] = subscription
        if now - self._store_listed_at > SENT_AGE_MAX:
            return []
        return self._send_list(link, subscription)

    def handle_list(
        self,
        message: messages.ShareBackends,
        link: int,
        now: datetime.datetime,
    ) -> bool:
        """Record another host's list; return whether it is to be applied."""
        request = self._request
        if request is None or request.link != link:
            return False
        request.answered_at = now
        if message.version <= self._version:
            return False
        self._version = message.version
        self._received_at = now
        return True

    def close_link(self, link: int) -> None:
        """Forget the host at the far end of a link that is closed."""
        self._subscriptions.pop(link, None)
        if self._request is not None and self._request.link == link:
            self._request = None


def _next_link(request: _Request | None, hosts: dict[int, str]) -> int:
    """Return the link to the host after the one that was asked last."""
    links = list(hosts)
    if request is None or request.link not in hosts:
        return links[0]
    return links[(links.index(request.link) + 1) % len(links)]
