"""Pools that no host schedules, though hosts could."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ownership as dispatch_ownership
from waxwingwalk.dispatch import pool_rows

POOL = "north"
ROW_VERSION = 10
TICK = 100


def host(name, zone=POOL, incarnation="1", processors=1.0):
    """Return a host's record."""
    return model.HostRecord(name, incarnation, zone, processors)


class UnscheduledPoolTestCase(unittest.TestCase):
    """A host that has restarted with its fleet; its pool has an old row."""

    def setUp(self):
        self.build(host("b", incarnation="2"))

    def build(self, local_host):
        self.local_host = local_host
        self.hosts = dispatch_hosts.Hosts(local_host)
        self.ownership = dispatch_ownership.Ownership(self.hosts)
        self.ownership.add_pool(POOL)

    def know(self, *records):
        """Learn of hosts from the store."""
        for record in records:
            self.hosts.update_record(record, builders.START)

    def list_row(self, *order, version=ROW_VERSION, at=0):
        rows = {POOL: (version, pool_rows.PoolRow(order))}
        return self.ownership.rows_listed(rows, builders.at(at))

    def decide_until(self, end, start, targets=None):
        """Evaluate the ownership at ticks; return the effects.

        Links are opened to the hosts that ``targets`` names, if they are
        needed; all others that are needed do not answer.
        """
        done = []
        for at in range(start, end, TICK):
            now = builders.at(at)
            needed = self.ownership.needed_hosts(now)
            needed.discard(self.local_host.address)
            self.hosts.set_link_targets(needed, now)
            for link, record in enumerate(targets or ()):
                peer = self.hosts.get(record.address)
                if record.address in needed and peer.link is None:
                    self.hosts.link_opened(link, record, now)
            done += self.ownership.decide(now)
        return done

    def writes(self, done):
        return builders.of_type(done, effects.WritePool)

    def logged(self, done):
        return [
            each.fields
            for each in builders.of_type(done, effects.Log)
            if each.event == "pool.unscheduled"
        ]


class UnscheduledLogTests(UnscheduledPoolTestCase):
    def test_reason_why_no_host_takes_the_pool_over_is_logged_once(self):
        linked = host("a", processors=2.0)
        self.hosts.link_opened(1, linked, builders.START)
        self.list_row(linked)
        self.assertEqual(self.logged(self.decide_until(2900, 0)), [])
        (fields,) = self.logged(self.decide_until(9000, 2900))
        self.assertEqual(fields["reason"], "another host precedes")
        self.assertEqual(fields["waits_for"], "a")

    def test_scheduled_pool_is_not_logged(self):
        self.list_row(self.local_host)
        self.assertEqual(self.logged(self.decide_until(9000, 0)), [])


class LostHostTests(UnscheduledPoolTestCase):
    def setUp(self):
        super().setUp()
        # So many hosts are known that not all are linked to each other.
        self.lost = [
            host(f"lost-{number}", processors=2.0) for number in range(20)
        ]
        self.linked = host("c", incarnation="2", processors=0.5)
        self.know(*self.lost, self.linked)

    def test_hosts_that_are_gone_for_good_do_not_keep_the_pool(self):
        # All hosts of the row have restarted since.
        self.list_row(host("b"), host("c"))
        done = self.decide_until(2500, 0, targets=[self.linked])
        (write,) = self.writes(done)
        self.assertEqual(write.row.owner, self.local_host)

    def test_lost_hosts_after_this_one_in_the_row_do_not_keep_the_pool(self):
        self.know(host("a", incarnation="2", processors=0.2))
        self.list_row(host("a"), host("c"), host("b"), *self.lost)
        done = self.decide_until(2500, 0, targets=[self.linked])
        (write,) = self.writes(done)
        self.assertEqual(write.row.owner, self.local_host)

    def test_links_to_few_hosts_are_tried_at_a_time(self):
        self.list_row(host("b"), host("c"))
        needed = self.ownership.needed_hosts(builders.START)
        self.assertLessEqual(
            len(needed), 2 + dispatch_ownership.LINKED_CANDIDATES_MAX
        )


class InquiryTests(UnscheduledPoolTestCase):
    """A host that knows no scheduler of a pool and reaches its servers."""

    def setUp(self):
        super().setUp()
        self.other = host("a", processors=2.0)
        self.version = ROW_VERSION

    def reach_until(self, end, start):
        """Evaluate the ownership, with probes that succeed."""
        done = []
        for at in range(start, end, TICK):
            now = builders.at(at)
            for pool in self.ownership.pools_to_probe(now):
                self.ownership.probed(pool, True)
            done += self.ownership.decide(now)
        return self.writes(done)

    def store(self, write, at):
        """Store a row that this host has written."""
        self.assertEqual(write.if_version, self.version)
        self.version += 1
        self.ownership.written(POOL, self.version, write.row, builders.at(at))

    def inquire(self):
        """Let this host inquire about the pool, which it does at 3 s."""
        (inquiry,) = self.reach_until(3000, 0)
        self.assertEqual(inquiry.row.inquirer, self.local_host)
        self.store(inquiry, 3000)
        return inquiry

    def test_only_host_that_is_left_of_a_fleet_takes_its_pool_over(self):
        self.know(self.other, host("c"))
        self.list_row(host("a", incarnation="0"), host("b"))
        inquiry = self.inquire()
        self.assertEqual(inquiry.row.owner, host("a", incarnation="0"))
        (write,) = self.reach_until(5500, 3000)
        self.assertEqual(write.row.owner, self.local_host)
        self.assertIsNone(write.row.inquirer)
        self.store(write, 5500)
        claim = self.ownership.claims[POOL]
        self.assertEqual(claim.fence, pool_rows.fence(self.version, 0))

    def test_pool_whose_scheduler_answers_is_not_taken_over(self):
        self.know(self.other)
        self.list_row(self.other)
        self.inquire()
        answered = self.version + 1
        self.list_row(self.other, version=answered, at=4000)
        self.assertEqual(self.reach_until(6500, 4000), [])
        (again,) = self.reach_until(7000, 6500)
        self.assertEqual(again.row.inquirer, self.local_host)
        self.assertEqual(again.if_version, answered)
        self.assertEqual(self.ownership.claims, {})

    def test_scheduler_without_a_link_answers_an_inquiry_once(self):
        self.list_row(self.local_host)
        row = pool_rows.PoolRow((self.local_host,), self.other)
        self.version += 1
        done = self.ownership.rows_listed(
            {POOL: (self.version, row)}, builders.at(20)
        )
        (answer,) = self.writes(done)
        self.assertIsNone(answer.row.inquirer)
        self.assertEqual(answer.row.owner, self.local_host)
        self.store(answer, 30)
        self.assertEqual(self.reach_until(9000, 40), [])

    def test_linked_host_that_precedes_and_claims_nothing_is_passed_over(
        self,
    ):
        # It reaches no server of the pool, or the store turns it away.
        self.hosts.link_opened(1, self.other, builders.START)
        self.list_row(self.other, self.local_host)
        self.inquire()
        (write,) = self.reach_until(5500, 3000)
        self.assertEqual(write.row.owner, self.local_host)

    def test_pool_that_is_not_reached_is_left_alone(self):
        self.know(self.other)
        self.list_row(self.other)
        self.assertEqual(self.writes(self.decide_until(9000, 0)), [])

    def test_inquiry_of_another_host_is_waited_for(self):
        self.know(self.other)
        self.list_row(host("a", incarnation="0"))
        row = pool_rows.PoolRow(
            (host("a", incarnation="0"),), host("c", incarnation="2")
        )
        self.version += 1
        self.ownership.rows_listed(
            {POOL: (self.version, row)}, builders.at(2000)
        )
        self.assertEqual(self.reach_until(4500, 0), [])
        (inquiry,) = self.reach_until(5000, 4500)
        self.assertEqual(inquiry.row.inquirer, self.local_host)
