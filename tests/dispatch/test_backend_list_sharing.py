"""Schedulers that the store turns away, while it serves other hosts."""

import dataclasses

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

ZONE = reducer_case.ZONE
SHRUNK = model.Resources(processors=8000, memory=65_536)
OTHER_ZONE = "south"
THIRD = model.HostRecord("third", "1", ZONE)
THIRD_LINK = 7


class BackendListTestCase(reducer_case.ReducerTestCase):
    def list_backends(self, version, at, *reports):
        return self.apply(
            events.BackendsListed(reports or (self.report,), version), at
        )

    def shrunk(self):
        return dataclasses.replace(self.report, capacity=SHRUNK)

    def sent(self, done, kind):
        return [
            each
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, kind)
        ]


class RequestTests(BackendListTestCase):
    """A scheduler whose list has become old."""

    def setUp(self):
        super().setUp()
        self.schedule_here()
        self.list_backends(20, 10)

    def requests(self, end, start):
        """Return the requests of ticks; all links stay alive meanwhile."""
        done = []
        for at in range(start, end, reducer_case.TICK):
            for link in (reducer_case.OUTBOUND, reducer_case.INBOUND):
                self.receive(messages.KeepAlive(0), at, link)
            done += self.apply(events.Ticked(), at)
        return self.sent(done, messages.RequestBackends)

    def share(self, version, at, *reports, link=reducer_case.OUTBOUND):
        message = messages.ShareBackends(version, [ZONE], list(reports))
        return self.receive(message, at, link)

    def capacity(self):
        return self.reducer.run_tracker.get(
            self.report.incarnation
        ).report.capacity

    def test_old_list_is_requested_and_the_capacity_that_shrank_is_used(self):
        self.assertEqual(self.requests(2000, 25), [])
        (request,) = self.requests(2100, 2000)
        self.assertEqual(request.message.pools, [ZONE])
        self.assertEqual(request.message.version, 20)
        self.share(21, 2100, self.shrunk())
        self.assertEqual(self.capacity(), SHRUNK)

    def test_host_that_does_not_answer_is_replaced_by_the_next(self):
        self.apply(events.LinkOpened(THIRD_LINK, THIRD, True), 20)
        asked = [each.link for each in self.requests(2400, 25)]
        for at in range(2400, 3000, reducer_case.TICK):
            self.receive(messages.KeepAlive(0), at, THIRD_LINK)
        asked += [each.link for each in self.requests(3000, 2400)]
        self.assertEqual(len(asked), 2)
        self.assertEqual(len(set(asked)), 2)

    def test_host_that_answers_is_asked_again(self):
        self.apply(events.LinkOpened(THIRD_LINK, THIRD, True), 20)
        (first,) = self.requests(2100, 25)
        self.share(21, 2150, self.report, link=first.link)
        later = self.requests(2900, 2150)
        self.assertEqual({each.link for each in later}, {first.link})

    def test_list_that_is_older_or_was_not_requested_is_ignored(self):
        self.share(21, 1000, self.shrunk())
        self.requests(2100, 1025)
        self.share(19, 2150, self.shrunk())
        self.assertEqual(self.capacity(), builders.CAPACITY)

    def test_older_list_of_the_store_does_not_replace_a_received_one(self):
        self.requests(2100, 25)
        self.share(30, 2150, self.shrunk())
        self.list_backends(25, 2200)
        self.assertEqual(self.capacity(), SHRUNK)
        self.list_backends(31, 2300)
        self.assertEqual(self.capacity(), builders.CAPACITY)

    def test_servers_of_other_pools_are_kept(self):
        other = builders.report("server-2", zone=OTHER_ZONE)
        self.list_backends(21, 20, self.report, other)
        self.requests(2100, 25)
        self.share(30, 2150, self.report)
        listed = self.reducer._backend_reports
        self.assertIn(other.incarnation, listed)

    def test_nothing_is_requested_once_the_store_delivers_lists(self):
        self.requests(2100, 25)
        self.list_backends(30, 2150)
        self.assertEqual(self.requests(4000, 2150), [])


class SubscriptionTests(BackendListTestCase):
    """A host that another one asks, which the store turns away."""

    def request(self, version, at):
        message = messages.RequestBackends([ZONE], version)
        done = self.receive(message, at, reducer_case.INBOUND)
        return self.sent(done, messages.ShareBackends)

    def test_recent_list_is_sent_at_once_and_each_newer_one(self):
        other = builders.report("server-2", zone=OTHER_ZONE)
        self.list_backends(20, 10, self.report, other)
        (share,) = self.request(15, 20)
        self.assertEqual(share.message.version, 20)
        self.assertEqual(share.message.reports, [self.report])
        done = self.list_backends(21, 600, self.shrunk(), other)
        (share,) = self.sent(done, messages.ShareBackends)
        self.assertEqual(share.message.reports, [self.shrunk()])

    def test_old_list_is_not_sent_and_the_next_one_is_read_soon(self):
        self.schedule_at_peer()
        self.list_backends(20, 10)
        now = builders.at(1500)
        self.assertFalse(self.reducer.needs_recent_backends(now))
        self.assertEqual(self.request(15, 1500), [])
        self.assertTrue(self.reducer.needs_recent_backends(now))
        done = self.list_backends(20, 1600)
        self.assertEqual(len(self.sent(done, messages.ShareBackends)), 1)

    def test_subscription_ends_when_it_is_not_renewed(self):
        self.schedule_at_peer()
        self.request(15, 100)
        later = builders.at(2200)
        self.assertFalse(self.reducer.needs_recent_backends(later))
        done = self.list_backends(20, 2200)
        self.assertEqual(self.sent(done, messages.ShareBackends), [])

    def test_subscription_ends_with_the_link(self):
        self.request(15, 100)
        self.apply(events.LinkClosed(reducer_case.INBOUND), 200)
        done = self.list_backends(20, 300)
        self.assertEqual(self.sent(done, messages.ShareBackends), [])
