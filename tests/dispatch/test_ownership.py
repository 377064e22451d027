import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import hosts as dispatch_hosts
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import ownership as dispatch_ownership
from waxwingwalk.dispatch import pool_rows

POOL = "north"


def host(name, zone=POOL, incarnation="1", processors=1.0):
    """Return a host's record."""
    return model.HostRecord(name, incarnation, zone, processors)


class OwnershipTests(unittest.TestCase):
    def setUp(self):
        self.local_host = host("b")
        self.others = [host("a", processors=2.0), host("c", processors=0.5)]
        self.hosts = dispatch_hosts.Hosts(self.local_host)
        self.ownership = dispatch_ownership.Ownership(self.hosts)
        self.ownership.add_pool(POOL)
        for number, record in enumerate(self.others):
            self.hosts.link_opened(number, record, builders.START)

    def list_row(self, *order, version=10, at=0):
        rows = {POOL: (version, pool_rows.PoolRow(tuple(order)))}
        return self.ownership.rows_listed(rows, builders.at(at))

    def set_status(self, link, *, leaving=False, fence=None, releasing=None):
        loads = []
        if fence is not None:
            loads = [messages.PoolLoad(POOL, fence, "s", [], 0.0)]
        status = messages.HostStatus(loads, leaving, 1, releasing)
        self.hosts.by_link(link).update_status(status)

    def release(self, link, report):
        """Receive the release of a server from a former owner."""
        incarnation = report.incarnation
        self.hosts.by_link(link).record_release(
            messages.ReleaseBackend(
                POOL, incarnation.backend_id, incarnation.started_ms
            )
        )

    def may_acquire(self, report, at):
        return self.ownership.may_acquire(
            POOL, report.incarnation, builders.at(at)
        )

    def writes(self, done):
        return builders.of_type(done, effects.WritePool)

    def test_first_row_is_written_by_the_most_preferred_host_only(self):
        done = self.ownership.rows_listed({}, builders.START)
        self.assertEqual(self.writes(done), [])
        self.hosts.link_closed(0, builders.at(1))
        self.hosts.link_failed("a", True, builders.at(2))
        (write,) = self.writes(self.ownership.decide(builders.at(3)))
        self.assertEqual(write.row.owner, self.local_host)
        self.assertEqual(write.if_version, 0)

    def test_nothing_is_decided_before_the_rows_were_listed(self):
        self.hosts.link_failed("a", True, builders.at(2))
        self.assertEqual(self.ownership.decide(builders.at(3)), [])

    def test_host_may_schedule_when_it_owns_a_pool_or_one_has_no_row(self):
        a, c = self.others
        self.assertTrue(self.ownership.may_schedule)
        self.list_row(a, self.local_host, c, version=10)
        self.assertFalse(self.ownership.may_schedule)
        self.list_row(self.local_host, a, c, version=11)
        self.assertTrue(self.ownership.may_schedule)

    def test_host_may_schedule_while_the_pool_of_its_zone_is_not_known(self):
        ownership = dispatch_ownership.Ownership(self.hosts)
        ownership.add_pool("south")
        rows = {"south": (9, pool_rows.PoolRow((self.others[0],)))}
        ownership.rows_listed(rows, builders.START)
        self.assertTrue(ownership.may_schedule)

    def test_owner_and_standby_are_linked_to_and_watch_each_other(self):
        a, c = self.others
        self.list_row(a, self.local_host, c)
        self.assertEqual(
            self.ownership.needed_hosts(builders.START), {"a", "b"}
        )
        self.assertIn(a.address, self.ownership.watched_hosts())
        self.assertNotIn(c.address, self.ownership.watched_hosts())

    def test_preceding_hosts_are_linked_to_without_owner_and_standby(self):
        a, c = self.others
        d = host("d")
        self.hosts.update_record(d, builders.START)
        # Without this link the host would be isolated and claim nothing.
        self.hosts.link_opened(7, host("e", zone="south"), builders.START)
        self.list_row(a, c, d, self.local_host)
        self.hosts.set_link_targets({"a", "c"}, builders.START)
        self.assertNotIn("d", self.ownership.needed_hosts(builders.START))
        for number, record in enumerate(self.others):
            self.hosts.link_closed(number, builders.at(1))
            self.hosts.link_failed(record.address, True, builders.at(2))
        needed = self.ownership.needed_hosts(builders.at(3))
        self.assertEqual(needed, {"a", "c", "d"})
        # Nothing is claimed while d may still be alive.
        self.hosts.set_link_targets(needed, builders.at(3))
        self.ownership.decide(builders.at(4))
        self.assertEqual(self.ownership.claims, {})
        self.hosts.link_failed("d", True, builders.at(5))
        self.ownership.decide(builders.at(6))
        self.assertIn(POOL, self.ownership.claims)

    def test_host_that_was_found_dead_is_not_considered_alive_again(self):
        a, _ = self.others
        self.hosts.link_closed(0, builders.at(1))
        self.hosts.link_failed("a", True, builders.at(2))
        self.hosts.set_link_targets(set(), builders.at(3))
        self.assertFalse(self.hosts.is_alive(a, builders.at(4)))
        self.hosts.inbound_link_opened(a, builders.at(5))
        self.assertTrue(self.hosts.is_alive(a, builders.at(6)))

    def test_host_that_knows_no_pool_may_schedule(self):
        ownership = dispatch_ownership.Ownership(self.hosts)
        self.assertTrue(ownership.may_schedule)

    def test_owner_claims_with_the_fence_of_the_row(self):
        self.list_row(self.local_host, *self.others)
        claim = self.ownership.claims[POOL]
        self.assertEqual(claim.fence, pool_rows.fence(10, 0))

    def test_successor_claims_when_the_owner_refuses_connections(self):
        self.list_row(self.others[0], self.local_host)
        self.assertEqual(self.ownership.claims, {})
        self.hosts.link_closed(0, builders.at(10))
        self.ownership.decide(builders.at(11))
        self.assertEqual(self.ownership.claims, {})
        self.hosts.link_failed("a", True, builders.at(12))
        self.ownership.decide(builders.at(13))
        self.assertEqual(
            self.ownership.claims[POOL].fence, pool_rows.fence(10, 1)
        )

    def test_unreachable_owner_is_considered_dead_after_a_delay(self):
        self.list_row(self.others[0], self.local_host)
        self.hosts.link_closed(0, builders.at(10))
        self.ownership.decide(builders.at(500))
        self.assertEqual(self.ownership.claims, {})
        self.ownership.decide(builders.at(700))
        self.assertIn(POOL, self.ownership.claims)

    def isolate(self):
        """Cut this host, the standby of its pool, off from all others."""
        self.list_row(self.others[0], self.local_host)
        self.hosts.link_closed(0, builders.at(10))
        self.hosts.link_closed(1, builders.at(10))

    def test_isolated_successor_does_not_claim(self):
        self.isolate()
        self.ownership.decide(builders.at(2000))
        self.assertEqual(self.ownership.claims, {})
        self.ownership.probed(POOL, False)
        self.ownership.decide(builders.at(4000))
        self.assertEqual(self.ownership.claims, {})

    def test_isolated_successor_claims_servers_that_it_reaches(self):
        # A zone that is cut off while its owner is dead.
        self.isolate()
        self.ownership.decide(builders.at(700))
        self.assertEqual(
            self.ownership.pools_to_probe(builders.at(700)), [POOL]
        )
        self.ownership.probed(POOL, True)
        self.ownership.decide(builders.at(1000))
        self.assertEqual(self.ownership.claims, {})
        self.ownership.decide(builders.at(2300))
        self.assertIn(POOL, self.ownership.claims)

    def test_owner_loses_its_pool_when_it_restarts(self):
        self.list_row(self.others[0], self.local_host)
        self.hosts.link_closed(0, builders.at(10))
        newer = host("a", incarnation="2", processors=2.0)
        self.hosts.link_opened(7, newer, builders.at(11))
        self.ownership.decide(builders.at(12))
        self.assertIn(POOL, self.ownership.claims)

    def test_leaving_owner_is_succeeded_and_may_let_its_runs_end(self):
        report = builders.report()
        self.list_row(self.others[0], self.local_host)
        self.set_status(0, leaving=True, releasing=[POOL])
        self.ownership.decide(builders.at(10))
        self.assertIn(POOL, self.ownership.claims)
        self.assertFalse(self.may_acquire(report, 20))
        self.release(0, report)
        self.assertTrue(self.may_acquire(report, 30))

    def test_leaving_owner_is_awaited_by_a_successor_outside_its_row(self):
        # An owner that leaves before it has written its successors' names.
        report = builders.report()
        self.list_row(self.others[0])
        self.set_status(0, fence=pool_rows.fence(10, 0))
        self.set_status(0, leaving=True, releasing=[POOL])
        (write,) = self.writes(self.ownership.decide(builders.at(10)))
        self.ownership.written(POOL, 11, write.row, builders.at(20))
        self.assertIn(POOL, self.ownership.claims)
        self.assertFalse(self.may_acquire(report, 30))
        self.release(0, report)
        self.assertTrue(self.may_acquire(report, 40))

    def test_release_before_the_claim_counts(self):
        report = builders.report()
        self.list_row(self.others[0])
        self.set_status(0, leaving=True, releasing=[POOL])
        self.release(0, report)
        (write,) = self.writes(self.ownership.decide(builders.at(10)))
        self.ownership.written(POOL, 11, write.row, builders.at(20))
        self.assertTrue(self.may_acquire(report, 30))
        self.assertFalse(self.may_acquire(builders.report("server-2"), 30))

    def test_release_under_an_earlier_claim_does_not_count(self):
        report = builders.report()
        self.list_row(self.others[0], self.local_host)
        self.release(0, report)
        self.set_status(0, fence=pool_rows.fence(10, 0))
        self.set_status(0, leaving=True, releasing=[POOL])
        self.ownership.decide(builders.at(10))
        self.assertFalse(self.may_acquire(report, 20))

    def test_owner_that_has_released_all_its_servers_is_not_awaited(self):
        report = builders.report()
        self.list_row(self.others[0], self.local_host)
        self.set_status(0, leaving=True, releasing=[POOL])
        self.ownership.decide(builders.at(10))
        self.set_status(0, leaving=True, releasing=[])
        self.assertTrue(self.may_acquire(report, 20))

    def test_former_owner_that_releases_nothing_is_not_awaited_for_long(self):
        report = builders.report()
        self.list_row(self.others[0], self.local_host)
        self.set_status(0, leaving=True)
        self.ownership.decide(builders.at(10))
        self.assertFalse(self.may_acquire(report, 2400))
        self.assertTrue(self.may_acquire(report, 3000))

    def test_claim_is_lost_to_a_higher_fence_in_use(self):
        self.list_row(self.local_host, *self.others)
        self.set_status(1, fence=pool_rows.fence(10, 0) + 1)
        self.ownership.decide(builders.at(10))
        self.assertEqual(self.ownership.claims, {})

    def test_host_does_not_claim_again_what_a_higher_fence_has(self):
        # The standby was cut off, and the next host took over without being
        # able to write a row.
        self.set_status(1, fence=pool_rows.fence(10, 2))
        self.hosts.link_closed(0, builders.START)
        self.hosts.link_failed("a", True, builders.START)
        done = self.list_row(self.others[0], self.local_host, self.others[1])
        self.assertEqual(self.ownership.claims, {})
        self.assertEqual(done, [])
        self.hosts.link_closed(1, builders.at(10))
        self.hosts.link_opened(5, host("d"), builders.at(10))
        self.ownership.decide(builders.at(20))
        self.assertIn(POOL, self.ownership.claims)

    def test_claim_is_lost_to_the_owner_of_a_newer_row(self):
        self.list_row(self.local_host, *self.others)
        self.list_row(self.others[0], self.local_host, version=11, at=10)
        self.assertEqual(self.ownership.claims, {})

    def test_writes_of_a_row_are_rate_limited(self):
        self.list_row(self.local_host, self.others[0])
        self.assertEqual(self.ownership.decide(builders.at(10)), [])
        self.ownership.written(POOL, None, None, builders.at(20))
        self.assertEqual(
            len(self.writes(self.ownership.decide(builders.at(100)))), 0
        )
        self.assertEqual(
            len(self.writes(self.ownership.decide(builders.at(800)))), 1
        )

    def test_host_of_another_zone_waits_and_probes_before_it_claims(self):
        self.local_host = host("b", zone="south")
        self.hosts = dispatch_hosts.Hosts(self.local_host)
        self.ownership = dispatch_ownership.Ownership(self.hosts)
        self.hosts.link_opened(3, host("d", zone="south"), builders.START)
        self.hosts.update_record(host("a"), builders.START)
        self.list_row(host("a"), self.local_host)
        self.hosts.link_failed("a", True, builders.at(10))
        self.ownership.decide(builders.at(20))
        self.assertEqual(
            self.ownership.pools_to_probe(builders.at(20)), [POOL]
        )
        self.ownership.decide(builders.at(2000))
        self.assertEqual(self.ownership.claims, {})
        self.ownership.probed(POOL, True)
        self.ownership.decide(builders.at(2100))
        self.assertIn(POOL, self.ownership.claims)

    def test_host_reclaims_the_pool_of_its_zone(self):
        foreign_owner = host("x", zone="south")
        self.hosts.link_opened(9, foreign_owner, builders.START)
        self.hosts.link_closed(0, builders.START)
        self.hosts.link_failed("a", True, builders.START)
        self.assertEqual(self.writes(self.list_row(foreign_owner)), [])
        (write,) = self.writes(self.ownership.decide(builders.at(600)))
        self.assertEqual(write.row.owner, self.local_host)
        self.assertEqual(write.if_version, 10)

    def test_leaving_host_claims_nothing(self):
        self.ownership.is_leaving = True
        self.list_row(self.local_host, *self.others)
        self.assertEqual(self.ownership.claims, {})


class FenceTests(unittest.TestCase):
    def test_fences_rise_with_version_rank_and_incarnation(self):
        fences = [
            pool_rows.order_fence(pool_rows.fence(version, rank), incarnation)
            for version in (1, 2)
            for rank in (0, 1)
            for incarnation in (0, 1)
        ]
        self.assertEqual(fences, sorted(set(fences)))

    def test_new_incarnation_of_a_server_gets_a_higher_fence(self):
        claim = dispatch_ownership.Claim(POOL, 5, builders.START, None)
        first = claim.next_order_fence("server-1")
        self.assertGreater(claim.next_order_fence("server-1"), first)
        self.assertEqual(claim.next_order_fence("server-2"), first)
