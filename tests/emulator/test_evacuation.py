"""Evacuations of zones in an emulated fleet, with faults in the middle."""

import datetime
import unittest

from tests.emulator import mutations
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet
from waxwingwalk.emulator import scenario

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
HOSTS = 2
SERVERS = 3
ZONES = ("north", "south", "west")
WORK_MS = 100
JOB_INTERVAL_MS = 100
SEEDS = range(10)
# Evacuations and other faults in random scenarios, and how many of them.
KINDS = 2 * scenario.EVACUATION_FAULTS + scenario.FAULTS
PATH_KINDS = 3 * scenario.EVACUATION_FAULTS + scenario.PATH_FAULTS
FAULTS = 10
Outcome = model.JobOutcome


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class EvacuationTestCase(unittest.TestCase):
    """Two hosts and three servers in each of three zones."""

    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        for zone in ZONES:
            for number in range(HOSTS):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(SERVERS):
                self.fleet.add_backend(f"{zone}-s{number}", zone, CAPACITY)
        self.jobs = 0
        # Starts by zone, since the last call of ``starts``.
        self.started = dict.fromkeys(ZONES, 0)
        original = self.fleet.checker.run_started

        def run_started(backend, key, spec):
            self.started[backend.report.zone] += 1
            original(backend, key, spec)

        self.fleet.checker.run_started = run_started
        self.run_for(3000)

    def run_for(self, count):
        self.fleet.run(milliseconds(count))

    def submit(self, host, tasks=1, work_ms=WORK_MS, **options):
        self.jobs += 1
        return self.fleet.submit(
            f"{self.jobs:016x}",
            self.fleet.hosts[host],
            tasks,
            milliseconds(work_ms),
            TASK_RESOURCES,
            **options,
        )

    def load(self, count, zones=ZONES):
        """Submit a job at a host of each zone, at an interval."""
        callers = []
        for _ in range(0, count, JOB_INTERVAL_MS):
            for zone in zones:
                for number in range(HOSTS):
                    name = f"{zone}-{number}"
                    if self.fleet.hosts[name].is_up:
                        callers.append(self.submit(name))
                        break
            self.run_for(JOB_INTERVAL_MS)
        return callers

    def starts(self):
        """Return the starts by zone since the last call."""
        started, self.started = self.started, dict.fromkeys(ZONES, 0)
        return started

    def outcomes(self, callers):
        return [each.answer and each.answer.outcome for each in callers]

    def assert_all_done(self, callers):
        self.assertEqual(set(self.outcomes(callers)), {Outcome.DONE})

    def assert_no_violation(self):
        self.assertEqual(self.fleet.checker.violations, [])

    def scheduler(self, zone):
        """Return the host that schedules a zone."""
        (host,) = [
            each
            for each in self.fleet.hosts.values()
            if each.reducer is not None
            and zone in each.reducer.ownership.claims
        ]
        return host


class EvacuationTests(EvacuationTestCase):
    def test_callers_are_served_by_other_zones(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.starts()
        callers = self.load(3000)
        self.run_for(1000)
        started = self.starts()
        self.assertEqual(started["north"], 0)
        self.assertGreater(started["south"], 0)
        self.assert_all_done(callers)
        self.assert_no_violation()

    def test_job_in_progress_and_its_waiting_tasks_are_done(self):
        # Six tasks fit into the north; the others wait, some are offered.
        callers = [
            self.submit("north-0", tasks=9, work_ms=400),
            self.submit("north-0", tasks=2, work_ms=400),
        ]
        self.run_for(100)
        self.fleet.evacuate_zone("north")
        self.run_for(3000)
        self.assert_all_done(callers)
        self.assert_no_violation()

    def test_load_returns_in_steps_after_the_end(self):
        self.fleet.evacuate_zone("north")
        self.load(6000)
        self.fleet.end_evacuation("north")
        # Hosts read the store every 500 ms.
        self.load(500)
        self.starts()
        shares = []
        for _ in range(6):
            self.load(500)
            shares.append(self.starts()["north"])
        self.assertLess(shares[0], shares[2])
        self.assertLess(shares[0], shares[5] / 2)
        self.assert_no_violation()

    def test_all_zones_evacuated_refuses_at_once_as_not_run(self):
        for zone in ZONES:
            self.fleet.evacuate_zone(zone)
        self.run_for(600)
        callers = [self.submit(f"{zone}-0") for zone in ZONES]
        self.run_for(1)
        self.assertEqual(set(self.outcomes(callers)), {Outcome.NOT_RUN})
        self.run_for(1000)
        self.fleet.check_refused_jobs()
        self.assert_no_violation()
        for zone in ZONES:
            self.fleet.end_evacuation(zone)
        self.run_for(3000)
        callers = self.load(1000)
        self.run_for(1000)
        self.assert_all_done(callers)
        self.assert_no_violation()

    def test_two_zones_evacuated(self):
        self.fleet.evacuate_zone("north")
        self.run_for(300)
        self.fleet.evacuate_zone("south")
        self.run_for(600)
        self.starts()
        callers = self.load(6000)
        self.run_for(2000)
        started = self.starts()
        self.assertEqual((started["north"], started["south"]), (0, 0))
        self.assert_all_done(callers)
        self.assert_no_violation()

    def test_nothing_starts_there_while_all_other_zones_are_full(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.starts()
        long_jobs = [
            self.submit(f"{zone}-0", tasks=6, work_ms=900)
            for zone in ("south", "west")
            for _ in range(4)
        ]
        callers = self.load(1500, ["north"])
        self.run_for(8000)
        self.assertEqual(self.starts()["north"], 0)
        outcomes = self.outcomes(callers + long_jobs)
        # Refused as not run or served late, but nothing is lost.
        self.assertLessEqual(set(outcomes), {Outcome.DONE, Outcome.NOT_RUN})
        self.fleet.check_refused_jobs()
        self.assert_no_violation()


class FaultTests(EvacuationTestCase):
    def test_hosts_cut_off_from_the_store_learn_from_linked_hosts(self):
        # Only the hosts of the south reach the store.
        for host in self.fleet.hosts.values():
            if host.zone != "south":
                self.fleet.cut_store_of(host)
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.starts()
        callers = self.load(6000)
        self.run_for(1000)
        self.assertEqual(self.starts()["north"], 0)
        self.assert_all_done(callers)
        self.fleet.end_evacuation("north")
        self.run_for(3500)
        self.starts()
        self.load(1000)
        self.assertGreater(self.starts()["north"], 0)
        self.assert_no_violation()

    def test_evacuation_survives_a_store_outage(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.fleet.stop_store()
        self.starts()
        callers = self.load(7000)
        self.run_for(1000)
        self.assertEqual(self.starts()["north"], 0)
        self.assert_all_done(callers)
        self.assert_no_violation()

    def test_takeover_in_the_middle_keeps_the_evacuation(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.fleet.stop_store()
        self.fleet.kill_host(self.scheduler("north"))
        self.load(3000)
        self.starts()
        self.assertEqual(self.scheduler("north").zone, "north")
        # The next one to take over is of another zone.
        self.fleet.kill_host(self.scheduler("north"))
        self.load(6000)
        self.assertNotEqual(self.scheduler("north").zone, "north")
        self.assertEqual(self.starts()["north"], 0)
        self.assert_no_violation()

    def test_frozen_scheduler_starts_nothing_when_it_wakes(self):
        scheduler = self.scheduler("north")
        for _ in range(4):
            self.submit(scheduler.address, tasks=4, work_ms=300)
        self.run_for(20)
        self.fleet.freeze_host(scheduler)
        self.fleet.evacuate_zone("north")
        self.load(6000, ["south", "west"])
        self.starts()
        self.fleet.wake_host(scheduler)
        self.load(2000)
        self.assertEqual(self.starts()["north"], 0)
        self.assert_no_violation()

    def test_scheduler_that_is_frozen_with_a_decided_start_drops_it(self):
        scheduler = self.scheduler("north")
        self.fleet.freeze_host_after_event(scheduler)
        self.submit(scheduler.address)
        self.fleet.evacuate_zone("north")
        self.run_for(6000)
        self.starts()
        self.fleet.wake_host(scheduler)
        self.run_for(2000)
        self.assertEqual(self.starts()["north"], 0)
        self.assert_no_violation()

    def test_restart_of_all_hosts_keeps_the_evacuation(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        for host in self.fleet.hosts.values():
            self.fleet.kill_host(host)
        self.run_for(1000)
        for host in self.fleet.hosts.values():
            self.fleet.start_host(host)
        self.starts()
        callers = self.load(7000)
        self.run_for(1000)
        self.assertEqual(self.starts()["north"], 0)
        self.assertGreater(self.outcomes(callers).count(Outcome.DONE), 150)
        self.assert_no_violation()

    def test_host_that_restarts_in_a_store_outage_learns_it_from_a_peer(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.fleet.stop_store()
        for number in range(HOSTS):
            host = self.fleet.hosts[f"north-{number}"]
            self.fleet.kill_host(host)
            self.fleet.start_host(host)
            # Links are opened from the other zones; the rows are not read.
            self.run_for(1000)
            self.assertEqual(host.reducer.evacuation.zones, ["north"])
        self.starts()
        self.load(6000, ["south", "west"])
        self.assertEqual(self.starts()["north"], 0)
        self.assert_no_violation()

    def test_zone_that_is_cut_off_after_it_was_evacuated_starts_nothing(self):
        self.fleet.evacuate_zone("north")
        self.run_for(600)
        self.fleet.isolated_zones.add("north")
        # Idle links are closed 2.5 s after the last message.
        self.run_for(3000)
        self.starts()
        callers = self.load(6000)
        self.run_for(1000)
        self.assertEqual(self.starts()["north"], 0)
        refused = self.outcomes(callers).count(Outcome.NOT_RUN)
        # A third of the callers are in the zone, and nobody can serve them.
        self.assertEqual(refused, len(callers) // 3)
        self.fleet.check_refused_jobs()
        self.fleet.isolated_zones.discard("north")
        self.run_for(3000)
        callers = self.load(1000)
        self.run_for(1000)
        self.assert_all_done(callers)
        self.assert_no_violation()

    def test_zone_that_was_cut_off_learns_of_the_end_when_it_is_back(self):
        for number in range(HOSTS):
            self.fleet.isolate_host(self.fleet.hosts[f"north-{number}"])
        self.fleet.evacuate_zone("north")
        self.run_for(6000)
        self.fleet.end_evacuation("north")
        for number in range(HOSTS):
            self.fleet.reconnect_host(self.fleet.hosts[f"north-{number}"])
        self.run_for(4000)
        self.starts()
        self.load(1000)
        self.assertGreater(self.starts()["north"], 0)
        self.assert_no_violation()


class LargeFleetTests(unittest.TestCase):
    """Twelve hosts a zone, with links to owners and standbys only."""

    def test_hosts_without_the_store_learn_soon_over_few_links(self):
        fleet = emulated_fleet.Fleet(seed=1)
        for zone in ZONES:
            for number in range(12):
                fleet.add_host(f"{zone}-{number}", zone)
            fleet.add_backend(f"{zone}-s", zone, CAPACITY)
        fleet.run(milliseconds(4000))
        # Only one host reaches the store, which schedules no pool.
        (informed, *_) = [
            each
            for each in fleet.hosts.values()
            if not each.reducer.ownership.claims
        ]
        for host in fleet.hosts.values():
            self.assertLess(len(host.link_targets), 12)
            if host is not informed:
                fleet.cut_store_of(host)
        fleet.evacuate_zone("north")
        fleet.run(milliseconds(600))
        for host in fleet.hosts.values():
            self.assertEqual(host.reducer.evacuation.zones, ["north"])
        fleet.end_evacuation("north")
        fleet.run(milliseconds(600))
        for host in fleet.hosts.values():
            self.assertEqual(host.reducer.evacuation.zones, [])


class ScenarioTests(unittest.TestCase):
    def play(self, seed, kinds):
        return scenario.Scenario(seed, FAULTS, kinds=kinds).run()

    def test_no_guarantee_is_violated_during_evacuations(self):
        for kinds in (KINDS, PATH_KINDS):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    result = self.play(seed, kinds)
                    self.assertEqual(result.violations, ())
                    self.assertGreater(result.done, 0)

    def test_mutations_are_detected(self):
        for mutation in mutations.EVACUATION:
            with self.subTest(mutation=mutation.__name__), mutation():
                is_caught = any(
                    self.play(seed, KINDS).violations for seed in SEEDS
                )
                self.assertTrue(is_caught)


if __name__ == "__main__":
    unittest.main()
