"""What clients may hold, and which of them has to go first."""

import datetime
import unittest

from waxwingwalk.connections import limits

START = datetime.datetime(2026, 12, 7, tzinfo=datetime.UTC)
MEGABYTE = 2**20
BODY = 262144
# The smallest and a usual machine of the installations: memory in MB and
# descriptors.
SMALLEST = (160, 1638)
USUAL = (300, 4100)
CALLERS = limits.Listener.CALLERS


def at(seconds):
    return START + datetime.timedelta(seconds=seconds)


def process_limits(memory=USUAL[0], descriptors=USUAL[1]):
    return limits.ProcessLimits.derive(memory * MEGABYTE, descriptors)


class ProcessLimitsTests(unittest.TestCase):
    def test_connections_hold_at_most_a_quarter_of_the_memory(self):
        for memory, descriptors in (SMALLEST, USUAL):
            with self.subTest(memory=memory):
                derived = process_limits(memory, descriptors)
                self.assertEqual(derived.memory, memory * MEGABYTE // 4)

    def test_sockets_are_left_for_servers_and_links(self):
        for memory, descriptors in (SMALLEST, USUAL):
            with self.subTest(memory=memory):
                derived = process_limits(memory, descriptors)
                listeners = dict(derived.connections)
                links = listeners.pop(limits.Listener.PEERS)
                sockets = descriptors - limits.FILE_DESCRIPTORS
                self.assertLessEqual(
                    sum(listeners.values()) + links, sockets * 7 // 8
                )
                self.assertGreaterEqual(links, 300)

    def test_idle_connections_alone_do_not_exhaust_the_memory(self):
        derived = process_limits(*SMALLEST)
        callers = derived.connections[CALLERS]
        self.assertLessEqual(
            callers * limits.CONNECTION_BYTES, derived.memory // 2
        )
        self.assertGreater(callers, 300)

    def test_settings_without_descriptors_leave_some_connections(self):
        derived = process_limits(1, 1)
        for listener in limits.Listener:
            self.assertEqual(
                derived.connections[listener], limits.CONNECTIONS_MIN
            )


class LedgerTestCase(unittest.TestCase):
    def setUp(self):
        self.ledger = limits.Ledger(process_limits(*SMALLEST))
        self.most = self.ledger.limits.connections[CALLERS]

    def open(self, count=1, listener=CALLERS, second=0):
        """Open connections; return them, and those that had to go."""
        opened, closed = [], []
        for _ in range(count):
            connection = limits.Connection(listener, at(second))
            opened.append(connection)
            closed += self.ledger.open(connection)
        return opened, closed


class ConnectionCountTests(LedgerTestCase):
    """Clients that only keep connections, in greater number than allowed."""

    def test_newcomer_takes_the_place_of_the_oldest_connection(self):
        opened, closed = self.open(self.most)
        self.assertEqual(closed, [])
        _, closed = self.open(second=1)
        self.assertEqual(closed, [opened[0]])
        self.assertEqual(self.ledger.count(CALLERS), self.most)

    def test_client_that_was_served_is_closed_after_others(self):
        opened, _ = self.open(self.most)
        for each in opened[:-1]:
            self.ledger.serve(each, 1000)
            self.ledger.end(each)
        _, closed = self.open(second=1)
        self.assertEqual(closed, [opened[-1]])

    def test_request_that_is_served_is_not_given_up(self):
        opened, _ = self.open(self.most)
        for each in opened:
            self.assertTrue(self.ledger.serve(each, 1000))
        newcomers, closed = self.open(second=1)
        self.assertEqual(closed, newcomers)

    def test_callers_take_no_connections_of_other_listeners(self):
        self.open(self.most * 2)
        for listener in limits.Listener:
            if listener is not CALLERS:
                with self.subTest(listener=listener):
                    opened, closed = self.open(listener=listener)
                    self.assertEqual(closed, [])

    def test_links_are_not_closed_for_newcomers(self):
        peers = limits.Listener.PEERS
        links, _ = self.open(10, peers)
        for each in links:
            self.ledger.link(each)
        count = self.ledger.limits.connections[peers]
        _, closed = self.open(2 * count, peers)
        self.assertFalse(set(links) & set(closed))


class MemoryTests(LedgerTestCase):
    """Clients whose requests are large, and do not end."""

    def fill(self, count, size=BODY):
        """Let requests arrive up to a size; return those refused."""
        opened, refused = self.open(count)
        for each in opened:
            refused += self.ledger.hold(each, size, at(1))
        return opened, refused

    def test_largest_requests_are_refused_first(self):
        opened, refused = self.fill(self.most)
        self.assertTrue(refused)
        self.assertLessEqual(self.ledger.held, self.ledger.limits.memory)
        small = [each for each in opened if each not in refused][0]
        self.ledger.hold(small, 500, at(2))
        for each in opened:
            if each is not small:
                refused += self.ledger.hold(each, BODY, at(3))
        self.assertNotIn(small, refused)

    def test_whole_requests_are_not_refused_for_others(self):
        (served,), _ = self.open()
        self.assertTrue(self.ledger.serve(served, BODY))
        _, refused = self.fill(self.most - 1, 2 * BODY)
        self.assertNotIn(served, refused)

    def test_memory_of_connections_that_are_gone_is_free(self):
        opened, _ = self.fill(self.most)
        for each in opened:
            self.ledger.close(each)
            self.ledger.close(each)
        self.assertEqual(self.ledger.held, 0)
        _, refused = self.fill(1, 8 * BODY)
        self.assertEqual(refused, [])

    def test_requests_that_are_served_leave_room_for_others(self):
        opened, _ = self.open(self.most)
        served = [self.ledger.serve(each, BODY) for each in opened]
        self.assertIn(False, served)
        self.assertLessEqual(
            self.ledger.held + BODY * 10, self.ledger.limits.memory
        )

    def test_request_over_the_whole_room_is_served_alone(self):
        opened, _ = self.open(2)
        size = self.ledger.limits.memory
        self.assertTrue(self.ledger.serve(opened[0], size))
        self.assertFalse(self.ledger.serve(opened[1], size))
        self.ledger.end(opened[0])
        self.assertTrue(self.ledger.serve(opened[1], size))

    def test_what_follows_a_request_counts_while_it_is_served(self):
        opened, _ = self.open(2)
        self.ledger.serve(opened[0], 1000)
        refused = self.ledger.hold(opened[0], self.ledger.limits.memory, at(1))
        self.assertEqual(refused, [opened[0]])
        self.assertIs(opened[0].phase, limits.Phase.SERVED)


class StalledTests(LedgerTestCase):
    """Clients that stop just short of an end, or read no answers."""

    def test_request_without_progress_is_refused(self):
        opened, _ = self.open(3)
        idle = datetime.timedelta(seconds=15)
        self.ledger.hold(opened[0], 1000, at(0))
        self.ledger.hold(opened[1], 1000, at(10))
        self.assertEqual(
            self.ledger.stalled(idle, at(16)),
            [(opened[0], limits.Reason.IDLE)],
        )

    def test_client_that_reads_no_answers_is_disconnected(self):
        opened, _ = self.open(2)
        opened[1].blocked_at = at(0)
        self.assertEqual(
            self.ledger.stalled(datetime.timedelta(seconds=15), at(16)),
            [(opened[1], limits.Reason.UNREAD)],
        )
