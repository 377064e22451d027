"""Slot sharing: estimated occupancy, and leases between two processes."""

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

    def join(self, running):
        """Let a peer join that states its mean load."""
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

    def test_alone_it_uses_every_slot_and_no_more(self):
        _, done = self.harness.submit(20)
        self.assertEqual(8, len(reducers.sent(done)))

    def test_load_that_a_peer_states_leaves_fewer_slots(self):
        self.join(running=4)
        _, done = self.harness.submit(20)
        self.assertEqual(4, len(reducers.sent(done)))

    def test_report_of_a_full_backend_server_turns_tasks_elsewhere(self):
        self.join(running=0)
        _, done = self.harness.submit(1)
        (first,) = reducers.sent(done)
        self.harness.clock.advance(reducers.seconds(0.2))
        self.harness.reply(first, running=8)
        _, done = self.harness.submit(4)
        names = [sent.backend_id for sent in reducers.sent(done)]
        self.assertNotEqual(first.backend_id, names[0])
        self.assertLess(names.count(first.backend_id), 2)

    def test_wrong_estimate_starves_no_process(self):
        """Peers that claim every slot still leave an even share."""
        self.join(running=800)
        _, done = self.harness.submit(20)
        self.assertEqual(4, len(reducers.sent(done)))

    def test_no_message_is_sent_for_a_slot(self):
        self.join(running=4)
        _, done = self.harness.submit(50)
        done += self.harness.advance(5, step=0.05)
        kinds = {message.kind for message in reducers.messages_to(done)}
        self.assertIn("probe", kinds)
        self.assertEqual([], [each for each in kinds if "slot" in each])


class LeaseTests(unittest.TestCase):
    """Two reducers that pass each other's messages on, in order."""

    def setUp(self):
        self.both = {}
        for number, zone in ((1, "wales-1"), (2, "wales-2")):
            process = identity.ProcessId(
                f"10.0.0.{number}:7003", f"0000000000aa00000{number}"
            )
            place = reducers.adopted.Place("wales", zone, "small")
            self.both[process.address] = reducers.ReducerHarness(
                process, OWNER_TREE, place
            )
        specs = [
            reducers.backend("b1", slots=4, zone="wales-1"),
            reducers.backend("b2", slots=4, zone="wales-2"),
        ]
        for address, harness in self.both.items():
            peers = [other for other in self.both if other != address]
            harness.apply(events.PeersListed(peers))
            harness.list_backends(*specs)
        self.sent = []
        self.advance(6)

    def advance(self, duration):
        """Let time pass for both, and deliver what they say."""
        for _ in range(int(duration / 0.05)):
            for address, harness in self.both.items():
                done = harness.advance(0.05, step=0.05)
                self.deliver(address, done)

    def deliver(self, address, done):
        """Deliver effects of one process to the other."""
        self.sent += [(address, sent) for sent in reducers.sent(done)]
        sender = self.both[address].process
        for effect in done:
            if isinstance(effect, effects.SendToPeer):
                event = events.PeerMessageReceived(
                    address, sender.incarnation, effect.message
                )
                target = effect.address
                self.deliver(target, self.both[target].apply(event))

    def submit(self, address, count):
        """Submit a job to one process."""
        _, done = self.both[address].submit(count)
        self.deliver(address, done)
        self.advance(0.1)

    def granted(self):
        """Return the slots that owners count as granted."""
        return sum(
            owned.granted_total
            for harness in self.both.values()
            for owned in harness.state.sharing.pools.values()
        )

    def test_slots_of_both_zones_serve_one_job_and_come_back(self):
        first = next(iter(self.both))
        self.submit(first, 20)
        self.assertEqual(8, len(self.sent))
        while self.sent:
            address, sent = self.sent.pop(0)
            self.deliver(address, self.both[address].reply(sent))
            self.advance(0.05)
        self.advance(3)
        self.assertEqual(0, self.granted())

    def test_waiting_process_gets_a_fair_share_by_recall(self):
        first, second = self.both
        self.submit(first, 60)
        self.submit(second, 60)
        for _ in range(60):
            if not self.sent:
                break
            address, sent = self.sent.pop(0)
            self.deliver(address, self.both[address].reply(sent))
            self.advance(0.05)
        running = [
            len(harness.state.attempts) for harness in self.both.values()
        ]
        self.assertGreaterEqual(min(running), 3, running)

    def test_woken_process_reports_the_slots_that_it_still_uses(self):
        """All but the slots in use were given to others meanwhile."""
        first, second = self.both
        self.submit(first, 8)
        harness = self.both[first]
        harness.clock.advance(reducers.seconds(20))
        done = harness.apply(events.Ticked())
        reports = [
            message
            for message in reducers.messages_to(done, second)
            if message.kind == "slot_report"
        ]
        self.assertEqual({"b2": 4}, reports[0].slots)

    def test_death_of_a_holder_frees_its_slots(self):
        first, second = self.both
        self.submit(first, 20)
        harness = self.both[second]
        incarnation = self.both[first].process.incarnation
        done = harness.apply(events.PeerLinkClosed(first, incarnation, True))
        self.assertEqual([], reducers.answers(done))
        free = harness.state.sharing.free_hints()
        self.assertEqual({"b1": 4, "b2": 4}, free)


class FaultPlacementTests(unittest.TestCase):
    def test_unreachable_backend_server_pauses_longer_each_time(self):
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
        """The rest of the rack is used only when no other will do."""
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

    def test_tight_deadlines_set_no_server_aside(self):
        """A task that is given up at its deadline says nothing of a server."""
        harness = reducers.ReducerHarness()
        harness.list_backends(reducers.backend("b1", slots=4))
        for _ in range(20):
            _, done = harness.submit(1, deadline=0.25)
            (sent,) = reducers.sent(done)
            harness.clock.advance(reducers.seconds(0.25))
            harness.reply(sent, model.TaskOutcome.LOST)
        self.assertEqual(0, harness.state.counters.backends_set_aside)
