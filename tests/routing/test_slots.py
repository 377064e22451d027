"""Slot sharing by estimated occupancy and by leases; ejection on faults."""

import dataclasses
import unittest

from tests.core import reducers
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.core import model

OWNER_TREE = {"defaults": {"slot_sharing": "owner"}}


class OccupancyTests(unittest.TestCase):
    def setUp(self):
        self.harness = reducers.ReducerHarness()
        self.harness.list_backends(
            reducers.backend("b1", slots=4), reducers.backend("b2", slots=4)
        )

    def add_peer(self, running):
        """Add a peer that advertises a mean load."""
        record = messages.MemberRecord(
            "10.0.0.2:7003",
            "0000000000bb000001",
            "wales-1",
            "wales",
            "live",
            1,
        )
        probe = messages.Probe(
            record, [], 1, {}, True, {"refunds": float(running)}
        )
        self.harness.apply(
            events.PeerMessageReceived(
                record.address, record.incarnation, probe
            )
        )
        self.harness.advance(0.1, step=0.05)

    def test_single_process_uses_all_slots_and_no_more(self):
        _, done = self.harness.submit(20)
        self.assertEqual(8, len(reducers.sent(done)))

    def test_load_advertised_by_a_peer_leaves_fewer_slots(self):
        self.add_peer(running=4)
        _, done = self.harness.submit(20)
        self.assertEqual(4, len(reducers.sent(done)))

    def test_report_of_a_full_server_directs_tasks_elsewhere(self):
        self.add_peer(running=0)
        _, done = self.harness.submit(1)
        (first,) = reducers.sent(done)
        self.harness.clock.advance(reducers.seconds(0.2))
        self.harness.reply(first, running=8)
        _, done = self.harness.submit(4)
        names = [sent.backend_id for sent in reducers.sent(done)]
        self.assertNotEqual(first.backend_id, names[0])
        self.assertLess(names.count(first.backend_id), 2)

    def test_overestimated_load_does_not_starve_a_process(self):
        """A process may use an equal share even if peers claim all slots."""
        self.add_peer(running=800)
        _, done = self.harness.submit(20)
        self.assertEqual(4, len(reducers.sent(done)))

    def test_no_slot_messages_are_sent(self):
        self.add_peer(running=4)
        _, done = self.harness.submit(50)
        done += self.harness.advance(5, step=0.05)
        kinds = {message.kind for message in reducers.messages_to(done)}
        self.assertIn("probe", kinds)
        self.assertEqual([], [each for each in kinds if "slot" in each])


class LeaseTests(unittest.TestCase):
    """Two reducers whose messages are delivered to each other in order."""

    def setUp(self):
        self.harnesses = {}
        for number, zone in ((1, "wales-1"), (2, "wales-2")):
            process = identity.ProcessId(
                f"10.0.0.{number}:7003", f"0000000000aa00000{number}"
            )
            place = reducers.adopted.Place("wales", zone, "small")
            self.harnesses[process.address] = reducers.ReducerHarness(
                process, OWNER_TREE, place
            )
        specs = [
            reducers.backend("b1", slots=4, zone="wales-1"),
            reducers.backend("b2", slots=4, zone="wales-2"),
        ]
        for address, harness in self.harnesses.items():
            peers = [other for other in self.harnesses if other != address]
            harness.apply(events.PeersListed(peers))
            harness.list_backends(*specs)
        self.sent = []
        self.advance(6)

    def advance(self, duration):
        """Advance the clocks of both, and deliver their messages."""
        for _ in range(int(duration / 0.05)):
            for address, harness in self.harnesses.items():
                done = harness.advance(0.05, step=0.05)
                self.deliver(address, done)

    def deliver(self, address, done):
        """Record sent tasks, and deliver messages to the other process."""
        self.sent += [(address, sent) for sent in reducers.sent(done)]
        sender = self.harnesses[address].process
        for effect in done:
            if isinstance(effect, effects.SendToPeer):
                event = events.PeerMessageReceived(
                    address, sender.incarnation, effect.message
                )
                target = effect.address
                self.deliver(target, self.harnesses[target].apply(event))

    def submit(self, address, count):
        """Submit a job to one process."""
        _, done = self.harnesses[address].submit(count)
        self.deliver(address, done)
        self.advance(0.1)

    def granted(self):
        """Return the number of slots that the owners have granted."""
        return sum(
            owned.granted_total
            for harness in self.harnesses.values()
            for owned in harness.state.sharing.pools.values()
        )

    def test_slots_of_both_zones_serve_one_job_and_are_returned(self):
        first = next(iter(self.harnesses))
        self.submit(first, 20)
        self.assertEqual(8, len(self.sent))
        while self.sent:
            address, sent = self.sent.pop(0)
            self.deliver(address, self.harnesses[address].reply(sent))
            self.advance(0.05)
        self.advance(3)
        self.assertEqual(0, self.granted())

    def test_waiting_process_gets_a_fair_share_by_recall(self):
        first, second = self.harnesses
        self.submit(first, 60)
        self.submit(second, 60)
        for _ in range(60):
            if not self.sent:
                break
            address, sent = self.sent.pop(0)
            self.deliver(address, self.harnesses[address].reply(sent))
            self.advance(0.05)
        running = [
            len(harness.state.attempts) for harness in self.harnesses.values()
        ]
        self.assertGreaterEqual(min(running), 3, running)

    def test_woken_process_reports_the_slots_still_in_use(self):
        """Its idle slots may have been granted to others meanwhile."""
        first, second = self.harnesses
        self.submit(first, 8)
        harness = self.harnesses[first]
        harness.clock.advance(reducers.seconds(20))
        done = harness.apply(events.Ticked())
        reports = [
            message
            for message in reducers.messages_to(done, second)
            if message.kind == "slot_report"
        ]
        self.assertEqual({"b2": 4}, reports[0].slots)

    def test_slots_of_a_dead_holder_are_freed(self):
        first, second = self.harnesses
        self.submit(first, 20)
        harness = self.harnesses[second]
        incarnation = self.harnesses[first].process.incarnation
        done = harness.apply(events.PeerLinkClosed(first, incarnation, True))
        self.assertEqual([], reducers.answers(done))
        free = harness.state.sharing.free_hints()
        self.assertEqual({"b1": 4, "b2": 4}, free)


class EjectionTests(unittest.TestCase):
    def test_unreachable_server_is_ejected_longer_each_time(self):
        harness = reducers.ReducerHarness()
        harness.list_backends(reducers.backend("b1", slots=1))
        _, done = harness.submit(1, deadline=1000)
        pauses = []
        for _ in range(4):
            (sent,) = reducers.sent(done)
            before = harness.clock.now()
            harness.reply(sent, model.TaskOutcome.NOT_SENT)
            done = []
            while not reducers.sent(done):
                done = harness.advance(0.1, step=0.1)
            pauses.append((harness.clock.now() - before).total_seconds())
        self.assertEqual(sorted(pauses), pauses)
        self.assertGreater(pauses[-1], 4 * pauses[0] - 0.5)

    def test_unreachable_servers_make_their_rack_suspect(self):
        """Other servers of the rack become a last resort."""
        harness = reducers.ReducerHarness()
        specs = [
            dataclasses.replace(
                reducers.backend(f"b{index}", slots=1),
                rack="bad" if index < 4 else "good",
            )
            for index in range(8)
        ]
        harness.list_backends(*specs)
        _, done = harness.submit(8)
        bad = [
            sent
            for sent in reducers.sent(done)
            if sent.backend_id in ("b0", "b1")
        ]
        for sent in bad:
            done = harness.reply(sent, model.TaskOutcome.NOT_SENT)
        suspects = {
            backend.backend_id
            for backend in harness.state.registry.all()
            if backend.suspect_until is not None
        }
        self.assertEqual({"b2", "b3"}, suspects)

    def test_tight_deadlines_eject_no_server(self):
        """A task abandoned at its deadline does not count against a server."""
        harness = reducers.ReducerHarness()
        harness.list_backends(reducers.backend("b1", slots=4))
        for _ in range(20):
            _, done = harness.submit(1, deadline=0.25)
            (sent,) = reducers.sent(done)
            harness.clock.advance(reducers.seconds(0.25))
            harness.reply(sent, model.TaskOutcome.LOST)
        self.assertEqual(0, harness.state.counters.backends_set_aside)
