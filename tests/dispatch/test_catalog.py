"""What a host does with versions of the configuration."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

INBOUND, OUTBOUND = reducer_case.INBOUND, reducer_case.OUTBOUND


class CatalogTests(reducer_case.ReducerTestCase):
    def read(self, version, at, document="document"):
        catalog = model.Catalog(version, (), frozenset())
        return self.apply(events.CatalogRead(catalog, document), at)

    def receive_status(self, version, at):
        """Receive the version of the peer over both links."""
        status = messages.HostStatus([], False, version, [])
        done = self.receive(status, at)
        keep_alive = messages.KeepAlive(version)
        return done + self.receive(keep_alive, at, link=INBOUND)

    def sent(self, done, kind):
        return [
            each
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, kind)
        ]

    def test_document_is_not_sent_to_hosts_with_an_older_version(self):
        # It was sent at each status, also at those that a host had sent before
        # it processed the document.
        done = self.read(5, 1)
        for at in range(2, 500):
            done += self.receive_status(4, at)
        for kind in (messages.ShareCatalog, messages.CatalogPart):
            self.assertEqual(self.sent(done, kind), [])

    def test_adopted_version_is_told_at_once_over_all_links(self):
        done = self.read(5, 1)
        (alive,) = self.sent(done, messages.KeepAlive)
        (status,) = self.sent(done, messages.HostStatus)
        self.assertEqual((alive.link, status.link), (OUTBOUND, INBOUND))
        for each in (alive, status):
            self.assertEqual(each.message.catalog_version, 5)
        self.assertEqual(self.sent(self.read(5, 2), messages.KeepAlive), [])

    def test_older_and_equal_versions_are_ignored(self):
        self.read(5, 1)
        for version in (5, 4):
            self.read(version, 2)
            self.assertEqual(self.reducer.catalog.version, 5)

    def test_missed_version_is_requested_from_one_link_and_adopted(self):
        self.read(5, 1)
        done = self.receive_status(6, 2) + self.tick_until(650, 25)
        (sent,) = self.sent(done, messages.RequestCatalog)
        part = messages.CatalogPart(6, 0, 3, "new")
        done = self.receive(part, 650, link=sent.link)
        self.assertEqual(
            builders.of_type(done, effects.DecodeCatalog),
            [effects.DecodeCatalog("new")],
        )
        self.read(6, 660, "new")
        self.assertEqual(self.reducer.catalog.version, 6)

    def test_rejected_document_is_requested_from_the_other_host(self):
        other = model.HostRecord("other", "1", reducer_case.ZONE)
        self.apply(events.LinkOpened(7, other, False), 0)
        self.read(5, 1)
        self.receive_status(6, 2)
        self.receive(messages.KeepAlive(6), 2, link=7)
        done = self.tick_until(650, 25)
        (first,) = self.sent(done, messages.RequestCatalog)
        part = messages.CatalogPart(6, 0, 3, "bad")
        self.receive(part, 650, link=first.link)
        done = self.apply(events.CatalogRejected("bad"), 660)
        (second,) = self.sent(done, messages.RequestCatalog)
        self.assertEqual(first.link == 7, second.link != 7)

    def test_paused_host_does_not_blame_the_host_that_it_asked(self):
        self.read(5, 1)
        self.receive_status(6, 2)
        self.tick_until(650, 25)
        # It reads an answer that arrived in time after a pause.
        done = self.apply(events.Ticked(), 1200)
        logged = [each.event for each in builders.of_type(done, effects.Log)]
        self.assertNotIn("catalog.transfer_failed", logged)
