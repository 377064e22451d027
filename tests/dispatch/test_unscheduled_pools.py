"""Pools that no host schedules, though hosts could."""

import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import messages
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


class InquiryTestCase(UnscheduledPoolTestCase):
    """A host that reaches the servers of its pool, and the store."""

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


class InquiryTests(InquiryTestCase):
    """No scheduler of the pool is known."""

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


class MalformedRowTests(InquiryTestCase):
    def list_malformed(self, at=0):
        return self.writes(
            self.ownership.rows_listed(
                {POOL: (self.version, None)}, builders.at(at)
            )
        )

    def test_malformed_row_of_a_pool_is_replaced(self):
        (write,) = self.list_malformed()
        self.store(write, 10)
        self.assertIn(POOL, self.ownership.claims)

    def test_malformed_row_that_replaced_a_good_one_is_replaced(self):
        self.list_row(self.local_host)
        self.version += 1
        (write,) = self.list_malformed(at=10)
        self.assertEqual(write.if_version, self.version)

    def test_row_that_was_removed_is_written_again(self):
        self.list_row(self.local_host)
        done = self.ownership.written(POOL, 0, None, builders.at(10))
        (write,) = self.writes(done)
        self.assertEqual(write.if_version, 0)


class FencedOwnerTests(InquiryTestCase):
    """An owner whose servers have seen the fence of another host."""

    def setUp(self):
        super().setUp()
        self.list_row(self.local_host)
        self.first_fence = self.ownership.claims[POOL].fence

    def record_fencing(self, fenced, servers, at):
        self.ownership.record_fencing(POOL, fenced, servers, builders.at(at))

    def test_owner_that_all_servers_refuse_claims_under_a_newer_fence(self):
        # Its successor took over while it was paused, and is gone since.
        self.record_fencing(4, 4, 0)
        (inquiry,) = self.reach_until(3000, 0)
        self.assertEqual(inquiry.row.inquirer, self.local_host)
        self.assertEqual(self.ownership.claims, {})
        self.store(inquiry, 3000)
        (write,) = self.reach_until(5500, 3000)
        self.store(write, 5500)
        self.assertGreater(self.ownership.claims[POOL].fence, self.first_fence)

    def test_fenced_owner_leaves_the_pool_to_a_host_that_answers(self):
        self.record_fencing(4, 4, 0)
        (inquiry,) = self.reach_until(3000, 0)
        self.store(inquiry, 3000)
        self.list_row(self.other, version=self.version + 1, at=3500)
        self.assertEqual(self.reach_until(5500, 3000), [])
        self.assertEqual(self.ownership.claims, {})

    def test_fenced_owner_does_not_answer_an_inquiry(self):
        self.record_fencing(4, 4, 0)
        row = pool_rows.PoolRow((self.local_host,), self.other)
        done = self.ownership.rows_listed(
            {POOL: (self.version + 1, row)}, builders.at(100)
        )
        self.assertEqual(self.writes(done), [])

    def test_successor_of_a_linked_scheduler_needs_no_inquiry(self):
        self.record_fencing(4, 4, 0)
        self.hosts.link_opened(1, self.other, builders.START)
        load = messages.PoolLoad(POOL, self.first_fence + 1, "s", [], 0.0)
        status = messages.HostStatus([load], False, 1)
        self.hosts.by_link(1).update_status(status)
        self.list_row(self.other, self.local_host, version=11, at=200)
        self.hosts.update_record(host("c"), builders.START)
        self.hosts.link_opened(2, host("c"), builders.START)
        self.hosts.link_closed(1, builders.at(300))
        self.hosts.link_failed("a", True, builders.at(310))
        self.ownership.decide(builders.at(320))
        self.assertIn(POOL, self.ownership.claims)

    def test_claim_that_one_server_refuses_is_renewed_and_kept(self):
        self.record_fencing(1, 4, 0)
        (inquiry,) = self.reach_until(5500, 0)
        self.assertEqual(inquiry.row.inquirer, self.local_host)
        self.store(inquiry, 5500)
        self.assertIn(POOL, self.ownership.claims)
        (write,) = self.reach_until(8000, 5500)
        self.store(write, 8000)
        self.assertGreater(self.ownership.claims[POOL].fence, self.first_fence)


class FencedServerTests(reducer_case.ReducerTestCase):
    def test_owner_of_an_idle_pool_learns_that_it_was_fenced_off(self):
        self.report = builders.report()
        second = builders.report("server-2")
        self.apply(events.BackendsListed((self.report, second)), 0)
        self.schedule_here()
        self.apply(builders.polled(second), 1)
        done = self.tick_until(1900, 25)
        self.assertEqual(builders.of_type(done, effects.PollBackend), [])
        done = self.tick_until(3000, 1900)
        (poll,) = builders.of_type(done, effects.PollBackend)
        fenced = events.BackendPolled(
            poll.incarnation, model.CallOutcome.FENCED
        )
        self.apply(fenced, 3000)
        # The other server is polled at once.
        done = self.apply(events.Ticked(), 3025)
        (other,) = builders.of_type(done, effects.PollBackend)
        self.assertNotEqual(other.incarnation, poll.incarnation)

    def fence_off(self, at):
        self.apply(
            events.BackendPolled(
                self.report.incarnation, model.CallOutcome.FENCED
            ),
            at,
        )

    def test_servers_that_a_lost_successor_fenced_are_acquired_again(self):
        self.schedule_here()
        first = self.reducer.run_tracker.get(self.report.incarnation).fence
        self.fence_off(10)
        done = self.tick_until(3000, 25)
        (probe, *_) = builders.of_type(done, effects.ProbeBackends)
        self.assertEqual(probe.pool, reducer_case.ZONE)
        self.apply(events.BackendsProbed(probe.pool, True), 3000)
        version = reducer_case.ROW_VERSION
        for start in (3000, 6000):
            done = self.tick_until(start + 2500, start)
            (write,) = builders.of_type(done, effects.WritePool)
            self.assertEqual(write.if_version, version)
            version += 1
            self.apply(
                events.PoolWritten(write.pool, version, write.row),
                start + 2500,
            )
        self.tick_until(9000, 8500)
        server = self.reducer.run_tracker.get(self.report.incarnation)
        self.assertGreater(server.fence, first)
        self.assertIs(server.state, backends.BackendState.UNVERIFIED)
