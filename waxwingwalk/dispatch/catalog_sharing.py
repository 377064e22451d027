"""Distribution of the operators' document between hosts.

A host reads the document from the store. Hosts tell each other the version
that they have; one that stays behind, as it does not reach the store, requests
the document from one linked host, part by part.
"""

import dataclasses
import datetime
import json
import zlib

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import messages

# How long a host that knows of a newer version waits for the store to deliver
# it. A host without any document does not wait.
CATALOG_WAIT = datetime.timedelta(milliseconds=600)
# A request that is not answered in this time has failed.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=300)
# Maximum size of the content of a part as JSON, in bytes. With its envelope, a
# part occupies a link of 19 Mbit/s for 3.5 ms.
PART_BYTES_MAX = 8192
# Maximum length of a document, in characters; as long as a frame between hosts
# of the previous version.
DOCUMENT_MAX = 16 * 2**20
# Hosts to which this one sends parts at the same time. Their parts share the
# network interface, so a job's message waits for this many parts at most.
RECEIVERS_MAX = 2
# Delay before a host is asked again that failed to deliver the document,
# doubled with each further failure up to the maximum.
RETRY_DELAY = datetime.timedelta(milliseconds=300)
RETRY_DELAY_MAX = datetime.timedelta(seconds=5)
# The same for a host that delivered a document which is malformed here. Hosts
# of different versions may judge a document differently.
MALFORMED_RETRY_DELAY = datetime.timedelta(seconds=60)
# How long failures count after that delay.
FAILURES_KEPT = datetime.timedelta(seconds=60)
# Newer versions of which the time is kept at which this host learned of them.
VERSIONS_KEPT_MAX = 64
# A transfer that takes longer has failed. 3 MB are 400 parts; a host that is
# short of processor time needs 50 ms for each.
TRANSFER_TIMEOUT = datetime.timedelta(seconds=30)
# How often a transfer may start over because its sender has a newer version.
RESTARTS_MAX = 10


@dataclasses.dataclass(slots=True)
class _Transfer:
    """A document that is being received over a link.

    ``total`` is its length in characters, 0 until the first part has arrived;
    ``received`` is the length of the parts so far.
    """

    link: int
    version: int
    started_at: datetime.datetime
    requested_at: datetime.datetime
    total: int = 0
    received: int = 0
    restarts: int = 0
    parts: list[str] = dataclasses.field(default_factory=list)

    def restart(self, version: int) -> None:
        """Start over with a newer version."""
        self.version = version
        self.total = self.received = 0
        self.parts.clear()
        self.restarts += 1


@dataclasses.dataclass(slots=True)
class _Failures:
    """Failures of a host to deliver, and when it may be asked again."""

    count: int
    retry_at: datetime.datetime


class CatalogSharing:
    """Decides which host to ask for the document, and answers others.

    ::

        sharing = CatalogSharing(local_host.address)
        effects = sharing.record_version(link, address, version, now)
        effects = sharing.handle_part(part, link, now)
        effects = sharing.tick(now)

    Times are those of ``ObservedTime``: a host that was paused does not blame
    others for answers that it has not read yet.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._version = 0
        self._document = ""
        # The newest version that the far end of each link has told.
        self._offers: dict[int, int] = {}
        self._addresses: dict[int, str] = {}
        # When this host learned of versions that are newer than its own.
        self._learned_at: dict[int, datetime.datetime] = {}
        self._transfer: _Transfer | None = None
        # Documents from other hosts that are being decoded: the version that
        # each is said to have, and the host that sent it.
        self._decoding: dict[str, tuple[int, str]] = {}
        self._failures: dict[str, _Failures] = {}
        # When each receiver has last requested a part.
        self._receivers: dict[int, datetime.datetime] = {}

    # What this host learns.

    def record_version(
        self, link: int, address: str, version: int, now: datetime.datetime
    ) -> effects.Effects:
        """Record the version of the host at the far end of a link."""
        if self._offers.get(link) == version:
            return []
        self._offers[link] = version
        self._addresses[link] = address
        return self._continue(now)

    def adopt(
        self, version: int, document: str, now: datetime.datetime
    ) -> effects.Effects:
        """Record that a version took effect."""
        self._version, self._document = version, document
        transfer = self._transfer
        if transfer is not None and transfer.version <= version:
            self._transfer = None
        self._learned_at = {
            newer: learned_at
            for newer, learned_at in self._learned_at.items()
            if newer > version
        }
        self._failures = {
            address: failures
            for address, failures in self._failures.items()
            if now - failures.retry_at < FAILURES_KEPT
        }
        return self._continue(now)

    def finish_decoding(
        self, document: str, version: int | None, now: datetime.datetime
    ) -> effects.Effects:
        """Record the version that a document holds, None if malformed.

        Documents that did not come from a host are ignored.
        """
        expected = self._decoding.pop(document, None)
        if expected is None:
            return []
        claimed, address = expected
        if version == claimed:
            self._failures.pop(address, None)
            return []
        reason = "malformed" if version is None else "other version"
        done = self._fail(address, claimed, reason, now)
        self._failures[address].retry_at = now + MALFORMED_RETRY_DELAY
        return [*done, *self._continue(now)]

    def close_link(self, link: int, now: datetime.datetime) -> effects.Effects:
        """Forget a link; a transfer over it starts over with another host."""
        self._offers.pop(link, None)
        self._receivers.pop(link, None)
        done: effects.Effects = []
        if self._transfer is not None and self._transfer.link == link:
            done = self._fail_transfer("link closed", now)
        self._addresses.pop(link, None)
        return [*done, *self._continue(now)]

    def tick(self, now: datetime.datetime) -> effects.Effects:
        """Handle requests without an answer; request what is due."""
        if not self._learned_at:
            return []
        transfer = self._transfer
        done: effects.Effects = []
        if transfer is not None:
            if now - transfer.requested_at > ANSWER_TIMEOUT:
                done = self._fail_transfer("no answer", now)
            elif now - transfer.started_at > TRANSFER_TIMEOUT:
                done = self._fail_transfer("too slow", now)
        return [*done, *self._continue(now)]

    # Receiving.

    def handle_document(
        self, message: messages.ShareCatalog, link: int
    ) -> effects.Effects:
        """Decode a document that a host of the previous version sent."""
        newest = max(
            (version for version, _ in self._decoding.values()),
            default=self._version,
        )
        if message.version <= max(newest, self._version):
            return []
        address = self._addresses.get(link, "")
        self._decoding[message.document] = (message.version, address)
        return [effects.DecodeCatalog(message.document)]

    def handle_part(
        self, part: messages.CatalogPart, link: int, now: datetime.datetime
    ) -> effects.Effects:
        """Add a part to the transfer; request the next one."""
        transfer = self._transfer
        if transfer is None or transfer.link != link:
            return []
        if part.total == 0 and part.version < transfer.version:
            done = self._fail_transfer("not available", now)
            return [*done, *self._continue(now)]
        if part.total == 0:
            # The host sends to others at the moment.
            address = self._addresses[link]
            count = self._failure_count(address)
            self._failures[address] = _Failures(count, now + RETRY_DELAY)
            self._transfer = None
            return self._continue(now)
        if part.version > transfer.version:
            transfer.restart(part.version)
        if not _is_next(part, transfer):
            done = self._fail_transfer("wrong part", now)
            return [*done, *self._continue(now)]
        transfer.total = part.total
        transfer.received += len(part.content)
        transfer.parts.append(part.content)
        if transfer.received < transfer.total:
            transfer.requested_at = now
            return [_request(transfer)]
        self._transfer = None
        document = "".join(transfer.parts)
        self._decoding[document] = (transfer.version, self._addresses[link])
        return [effects.DecodeCatalog(document)]

    def _continue(self, now: datetime.datetime) -> effects.Effects:
        """Request the newest version that is known, once that is due."""
        newest = max(self._offers.values(), default=0)
        if newest <= self._version:
            self._learned_at.clear()
            self._transfer = None
            return []
        if newest not in self._learned_at:
            self._learned_at[newest] = now
            if len(self._learned_at) > VERSIONS_KEPT_MAX:
                del self._learned_at[max(self._learned_at)]
        if self._transfer is not None or self._decoding:
            return []
        link = self._choose_link(now)
        if link is None:
            return []
        transfer = _Transfer(link, self._offers[link], now, now)
        self._transfer = transfer
        return [
            effects.Log(
                "catalog.requested",
                {
                    "host": self._addresses[link],
                    "version": transfer.version,
                    "was": self._version or None,
                },
            ),
            _request(transfer),
        ]

    def _choose_link(self, now: datetime.datetime) -> int | None:
        """Return the link to the host to ask, None if there is none now.

        Hosts that failed less go first, then newer versions. Among the others
        each host has an order of its own, so that not all ask the same one.
        """

        def rank(link: int) -> tuple[int, int, int]:
            address = self._addresses[link]
            pair = f"{self._address} {address} {self._offers[link]}"
            return (
                self._failure_count(address),
                -self._offers[link],
                zlib.crc32(pair.encode()),
            )

        return min(
            (
                link
                for link, version in self._offers.items()
                if self._is_due(version, now)
                and self._may_ask(self._addresses[link], now)
            ),
            key=rank,
            default=None,
        )

    def _is_due(self, version: int, now: datetime.datetime) -> bool:
        """Return whether the store had the time to deliver a version.

        Versions may follow each other faster than that, so what counts is
        when the first one up to this one became known.
        """
        if not self._version:
            return version > 0
        return any(
            learned_at <= now - CATALOG_WAIT
            for newer, learned_at in self._learned_at.items()
            if newer <= version
        )

    def _may_ask(self, address: str, now: datetime.datetime) -> bool:
        failures = self._failures.get(address)
        return failures is None or now >= failures.retry_at

    def _failure_count(self, address: str) -> int:
        failures = self._failures.get(address)
        return 0 if failures is None else failures.count

    def _fail_transfer(
        self, reason: str, now: datetime.datetime
    ) -> effects.Effects:
        transfer, self._transfer = self._transfer, None
        if transfer is None:
            return []
        address = self._addresses[transfer.link]
        return self._fail(address, transfer.version, reason, now)

    def _fail(
        self,
        address: str,
        version: int,
        reason: str,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Record that a host has not delivered; it is avoided for a while."""
        count = self._failure_count(address)
        delay = min(RETRY_DELAY * 2 ** min(count, 10), RETRY_DELAY_MAX)
        self._failures[address] = _Failures(count + 1, now + delay)
        return [
            effects.Log(
                "catalog.transfer_failed",
                {"host": address, "version": version, "reason": reason},
            )
        ]

    # Sending.

    def handle_request(
        self,
        request: messages.RequestCatalog,
        link: int,
        now: datetime.datetime,
    ) -> effects.Effects:
        """Answer with the part that was requested, or with an empty one.

        A host that asked for an older version gets the newer one from its
        start.
        """
        offset = request.offset if request.version == self._version else 0
        if (
            request.version > self._version
            or not 0 <= offset < len(self._document)
            or not self._admit_receiver(link, now)
        ):
            refusal = messages.CatalogPart(self._version, 0, 0, "")
            return [effects.Send(link, refusal)]
        content = _cut(self._document, offset)
        total = len(self._document)
        if offset + len(content) == total:
            del self._receivers[link]
        part = messages.CatalogPart(self._version, offset, total, content)
        return [effects.Send(link, part)]

    def _admit_receiver(self, link: int, now: datetime.datetime) -> bool:
        """Return whether a host gets a part, as one of few at a time."""
        if link not in self._receivers:
            for other, requested_at in list(self._receivers.items()):
                if now - requested_at > ANSWER_TIMEOUT:
                    del self._receivers[other]
            if len(self._receivers) >= RECEIVERS_MAX:
                return False
        self._receivers[link] = now
        return True


def _request(transfer: _Transfer) -> effects.Send:
    return effects.Send(
        transfer.link,
        messages.RequestCatalog(transfer.version, transfer.received),
    )


def _is_next(part: messages.CatalogPart, transfer: _Transfer) -> bool:
    """Return whether a part continues a transfer."""
    end = part.offset + len(part.content)
    return (
        part.version == transfer.version
        and transfer.restarts <= RESTARTS_MAX
        and part.offset == transfer.received
        and 0 < part.total <= DOCUMENT_MAX
        and transfer.total in (0, part.total)
        and 0 < len(part.content) <= PART_BYTES_MAX
        and end <= part.total
    )


def _cut(document: str, offset: int) -> str:
    """Return the characters from an offset that fit into a part."""
    content = document[offset : offset + PART_BYTES_MAX]
    while (size := len(json.dumps(content))) > PART_BYTES_MAX:
        content = content[: max(1, len(content) * PART_BYTES_MAX // size - 1)]
    return content
