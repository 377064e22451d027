"""Which host is asked for the operators' document, and what it answers."""

import datetime
import json
import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import catalog_sharing
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import messages

ONE, TWO, THREE = 1, 2, 3
WAIT_MS = 600
DOCUMENT = "".join(f'{{"queue":"{number}"}}' for number in range(2000))


class SharingTestCase(unittest.TestCase):
    """A host with version 5, linked to others."""

    def setUp(self):
        self.sharing = catalog_sharing.CatalogSharing("local")
        self.sharing.adopt(5, "old", builders.at(0))

    def learn(self, link, version, at):
        """Record that the host at the far end of a link has a version."""
        return self.sharing.record_version(
            link, f"host-{link}", version, builders.at(at)
        )

    def tick(self, at):
        return self.sharing.tick(builders.at(at))

    def part(self, link, at, version=6, offset=0, total=9, content="abc"):
        """Receive a part."""
        part = messages.CatalogPart(version, offset, total, content)
        return self.sharing.handle_part(part, link, builders.at(at))

    def start_transfer(self, *links):
        """Start a transfer; return the link over which it was requested."""
        for link in links:
            self.assertEqual(self.learn(link, 6, 0), [])
        return self.requested(self.tick(WAIT_MS)).link

    def requested(self, done):
        (sent,) = builders.of_type(done, effects.Send)
        self.assertIsInstance(sent.message, messages.RequestCatalog)
        return sent

    def failures(self, done):
        return [
            each.fields["reason"]
            for each in builders.of_type(done, effects.Log)
            if each.event == "catalog.transfer_failed"
        ]


class RequestTests(SharingTestCase):
    def test_store_has_time_to_deliver_a_newer_version(self):
        self.assertEqual(self.learn(ONE, 6, 0), [])
        self.assertEqual(self.tick(WAIT_MS - 1), [])
        sent = self.requested(self.tick(WAIT_MS))
        self.assertEqual(sent.message, messages.RequestCatalog(6, 0))

    def test_version_from_the_store_ends_the_wait(self):
        self.learn(ONE, 6, 0)
        self.sharing.adopt(6, "new", builders.at(100))
        self.assertEqual(self.tick(WAIT_MS), [])

    def test_version_from_the_store_ends_the_transfer(self):
        link = self.start_transfer(ONE)
        self.sharing.adopt(6, "new", builders.at(610))
        self.assertEqual(self.part(link, 620), [])

    def test_host_without_a_document_asks_at_once(self):
        self.sharing = catalog_sharing.CatalogSharing("local")
        self.requested(self.learn(ONE, 1, 0))

    def test_wait_is_not_begun_again_by_each_version(self):
        # 2,500 versions a day come in bursts. A host that does not reach the
        # store must not wait until the last one of a burst.
        for number in range(5):
            self.assertEqual(self.learn(ONE, 6 + number, 120 * number), [])
        self.requested(self.tick(WAIT_MS))

    def test_false_version_does_not_end_the_wait_for_others(self):
        # A host that claims a version which it does not deliver must not make
        # this one ask others for each version before the store delivers it.
        self.learn(ONE, 10**9, 0)
        self.requested(self.tick(WAIT_MS))
        self.part(ONE, WAIT_MS + 1, total=0, content="")
        self.assertEqual(self.learn(TWO, 6, WAIT_MS + 2), [])
        self.assertEqual(self.tick(WAIT_MS + 3), [])

    def test_repeated_statuses_request_nothing(self):
        self.start_transfer(ONE, TWO)
        for at in range(WAIT_MS, WAIT_MS + 100):
            self.assertEqual(self.learn(ONE, 6, at), [])
            self.assertEqual(self.learn(TWO, 6, at), [])

    def test_hosts_do_not_all_ask_the_same_one(self):
        links = set()
        for number in range(20):
            self.sharing = catalog_sharing.CatalogSharing(f"local-{number}")
            self.sharing.adopt(5, "old", builders.at(0))
            links.add(self.start_transfer(ONE, TWO, THREE))
        self.assertEqual(links, {ONE, TWO, THREE})


class TransferTests(SharingTestCase):
    def test_parts_are_requested_one_after_the_other(self):
        link = self.start_transfer(ONE)
        for offset in (3, 6):
            sent = self.requested(self.part(link, 610, offset=offset - 3))
            self.assertEqual(sent.message, messages.RequestCatalog(6, offset))
        done = self.part(link, 620, offset=6)
        self.assertEqual(done, [effects.DecodeCatalog("abcabcabc")])

    def test_nothing_is_requested_while_the_document_is_decoded(self):
        link = self.start_transfer(ONE, TWO)
        self.part(link, 610, total=3)
        self.assertEqual(self.tick(5000), [])

    def test_unanswered_request_makes_it_ask_another_host(self):
        first = self.start_transfer(ONE, TWO)
        self.assertEqual(self.tick(WAIT_MS + 300), [])
        done = self.tick(WAIT_MS + 301)
        self.assertEqual(self.failures(done), ["no answer"])
        self.assertNotEqual(self.requested(done).link, first)

    def test_closed_link_makes_it_ask_another_host(self):
        first = self.start_transfer(ONE, TWO)
        self.part(first, 610)
        done = self.sharing.close_link(first, builders.at(620))
        sent = self.requested(done)
        self.assertNotEqual(sent.link, first)
        self.assertEqual(sent.message.offset, 0)

    def test_only_host_is_asked_again_after_a_growing_delay(self):
        self.start_transfer(ONE)
        at, requests = WAIT_MS, []
        for at in range(WAIT_MS, 20_000, 25):
            if builders.of_type(self.tick(at), effects.Send):
                requests.append(at)
        gaps = [b - a for a, b in zip(requests, requests[1:], strict=False)]
        self.assertEqual(gaps, sorted(gaps))
        self.assertGreater(len(gaps), 3)
        delay_max = catalog_sharing.RETRY_DELAY_MAX + datetime.timedelta(
            milliseconds=400
        )
        self.assertLessEqual(
            datetime.timedelta(milliseconds=max(gaps)), delay_max
        )

    def test_refusal_makes_it_ask_another_host_at_once(self):
        for version in (5, 6):
            self.setUp()
            first = self.start_transfer(ONE, TWO)
            done = self.part(first, 601, version=version, total=0, content="")
            self.assertNotEqual(self.requested(done).link, first)

    def test_host_without_its_version_is_asked_ever_less_often(self):
        self.learn(ONE, 10**9, 0)
        requests = 0
        for at in range(WAIT_MS, 60_000, 25):
            if builders.of_type(self.tick(at), effects.Send):
                requests += 1
                self.part(ONE, at, version=5, total=0, content="")
        self.assertLess(requests, 20)

    def test_busy_host_is_asked_again_soon(self):
        link = self.start_transfer(ONE)
        self.part(link, WAIT_MS, total=0, content="")
        self.assertEqual(self.tick(WAIT_MS + 299), [])
        self.requested(self.tick(WAIT_MS + 300))

    def test_newer_version_of_the_sender_starts_over(self):
        link = self.start_transfer(ONE)
        self.part(link, 610)
        done = self.part(link, 620, version=7, total=6, content="xyz")
        sent = self.requested(done)
        self.assertEqual(sent.message, messages.RequestCatalog(7, 3))
        done = self.part(
            link, 630, version=7, offset=3, total=6, content="uvw"
        )
        self.assertEqual(done, [effects.DecodeCatalog("xyzuvw")])

    def test_slow_transfer_ends(self):
        # One character in each answer would keep the transfer for ever.
        link = self.start_transfer(ONE, TWO)
        failures = []
        for number in range(1000):
            at = WAIT_MS + 100 * number
            self.part(link, at, offset=number, total=10_000, content="a")
            failures += self.failures(self.tick(at))
        self.assertIn("too slow", failures)

    def test_part_of_another_link_is_ignored(self):
        first = self.start_transfer(ONE, TWO)
        other = ONE + TWO - first
        self.assertEqual(self.part(other, 610, content="evil"), [])
        sent = self.requested(self.part(first, 620))
        self.assertEqual(sent.message.offset, 3)


class HostilePartTests(SharingTestCase):
    """A wrong part ends its transfer; another host is asked at once."""

    WRONG = (
        {"offset": 1},
        {"offset": -3},
        {"offset": 3, "total": 12},
        {"offset": 3, "total": -1},
        {"offset": 3, "content": ""},
        {"offset": 3, "content": "a" * 7},
        {"offset": 3, "content": "a" * 9000, "total": 9},
        {"version": 5, "offset": 3},
        {"version": 7, "offset": 3},
        {"version": 7, "total": 2**40},
        {"version": 7, "total": 10**5, "content": "a" * 9000},
    )

    def test_wrong_part_costs_its_transfer_only(self):
        for wrong in self.WRONG:
            with self.subTest(**wrong):
                self.setUp()
                first = self.start_transfer(ONE, TWO)
                self.requested(self.part(first, 610))
                done = self.part(first, 620, **wrong)
                self.assertEqual(self.failures(done), ["wrong part"])
                sent = self.requested(done)
                self.assertNotEqual(sent.link, first)
                self.assertEqual(sent.message, messages.RequestCatalog(6, 0))
                done = self.part(sent.link, 630, total=3)
                self.assertEqual(done, [effects.DecodeCatalog("abc")])

    def test_wrong_content_costs_its_transfer_only(self):
        for version, reason in ((None, "malformed"), (5, "other version")):
            with self.subTest(reason=reason):
                self.setUp()
                first = self.start_transfer(ONE, TWO)
                self.part(first, 610, total=3)
                done = self.sharing.finish_decoding(
                    "abc", version, builders.at(620)
                )
                self.assertEqual(self.failures(done), [reason])
                self.assertNotEqual(self.requested(done).link, first)

    def test_endless_newer_versions_end_the_transfer(self):
        link = self.start_transfer(ONE)
        failures = []
        for version in range(7, 100):
            failures += self.failures(self.part(link, 610, version=version))
        self.assertEqual(failures, ["wrong part"])

    def test_version_that_is_malformed_everywhere_is_seldom_requested(self):
        # Hosts of two versions of the software may disagree on a document.
        requests = 0
        for link in (ONE, TWO):
            self.learn(link, 6, 0)
        for at in range(WAIT_MS, 60_000, 100):
            for sent in builders.of_type(self.tick(at), effects.Send):
                requests += 1
                self.part(sent.link, at, total=3)
                more = self.sharing.finish_decoding(
                    "abc", None, builders.at(at)
                )
                for again in builders.of_type(more, effects.Send):
                    requests += 1
                    self.part(again.link, at, total=3)
                    self.sharing.finish_decoding("abc", None, builders.at(at))
        self.assertEqual(requests, 2)


class AnswerTests(SharingTestCase):
    def setUp(self):
        super().setUp()
        self.sharing.adopt(6, DOCUMENT, builders.at(0))

    def ask(self, link, version, offset, at=0):
        request = messages.RequestCatalog(version, offset)
        done = self.sharing.handle_request(request, link, builders.at(at))
        (sent,) = done
        self.assertEqual(sent.link, link)
        return sent.message

    def receive_all(self, document):
        """Return all parts of a document, put together."""
        self.sharing.adopt(7, document, builders.at(0))
        received = ""
        while len(received) < len(document):
            part = self.ask(ONE, 7, len(received))
            size = len(json.dumps(part.content))
            self.assertLessEqual(size, catalog_sharing.PART_BYTES_MAX)
            self.assertEqual(part.offset, len(received))
            self.assertEqual(part.total, len(document))
            received += part.content
        return received

    def test_parts_are_bounded_and_complete(self):
        # Quotes, characters of several bytes, and control characters take
        # more space in a message than in the document.
        for document in (
            DOCUMENT,
            '"' * 20_000,
            "\x00" * 20_000,
            "\u20ac\U0001f600" * 10_000,
            "a" * 8191 + "\x00" * 10,
        ):
            self.assertEqual(self.receive_all(document), document)

    def test_request_for_an_older_version_gets_the_newer_from_its_start(self):
        part = self.ask(ONE, 5, 4000)
        self.assertEqual((part.version, part.offset), (6, 0))

    def test_request_that_cannot_be_met_is_refused(self):
        for version, offset in ((7, 0), (6, len(DOCUMENT)), (6, -1)):
            self.assertEqual(self.ask(ONE, version, offset).total, 0)

    def test_host_without_a_document_refuses(self):
        self.sharing = catalog_sharing.CatalogSharing("local")
        self.assertEqual(self.ask(ONE, 0, 0).total, 0)

    def test_parts_go_to_few_hosts_at_a_time(self):
        # Otherwise the parts of one host fill its network interface.
        for link in (ONE, TWO):
            self.assertGreater(self.ask(link, 6, 0).total, 0)
        self.assertEqual(self.ask(THREE, 6, 0).total, 0)
        # The first two have not requested the next part.
        self.assertGreater(self.ask(THREE, 6, 0, at=400).total, 0)

    def test_closed_link_makes_room_for_another_host(self):
        for link in (ONE, TWO):
            self.ask(link, 6, 0)
        self.sharing.close_link(ONE, builders.at(1))
        self.assertGreater(self.ask(THREE, 6, 0).total, 0)


class DocumentOfPreviousVersionTests(SharingTestCase):
    """Documents in one message, from hosts of the previous version."""

    def test_newer_document_is_decoded_once(self):
        message = messages.ShareCatalog(6, "new")
        done = self.sharing.handle_document(message, ONE)
        self.assertEqual(done, [effects.DecodeCatalog("new")])
        self.assertEqual(self.sharing.handle_document(message, TWO), [])

    def test_older_document_is_ignored(self):
        message = messages.ShareCatalog(5, "other")
        self.assertEqual(self.sharing.handle_document(message, ONE), [])
