"""Every pool is scheduled again after faults, and by one host only."""

import datetime
import random
import unittest

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=6800, memory=64)
ZONES = ("north", "south")
SERVERS = 2
HOSTS = 3
FAULTS = 8
SEEDS = 24
# The time within which the users expect service after all machines are back.
RECOVERY = datetime.timedelta(seconds=12)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class UnscheduledPoolTests(unittest.TestCase):
    def build(self, seed):
        self.random = random.Random(seed)
        self.fleet = emulated_fleet.Fleet(
            seed=seed,
            settings=dispatch_settings.DispatchSettings(fast_settlement=True),
        )
        self.fleet.idle_list_interval = datetime.timedelta(seconds=5)
        for zone in ZONES:
            for number in range(HOSTS):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(SERVERS):
                name = f"{zone}-server-{number}"
                self.fleet.add_backend(name, zone, CAPACITY)
        self.fleet.run(milliseconds(3000))
        self.jobs = 0

    def hosts(self, *, up):
        return [each for each in self.fleet.hosts.values() if each.is_up is up]

    def submit(self):
        hosts = [each for each in self.hosts(up=True) if not each.is_frozen]
        if hosts:
            self.jobs += 1
            return self.fleet.submit(
                f"job-{self.jobs}",
                self.random.choice(hosts),
                2,
                milliseconds(150),
                TASK_RESOURCES,
                timeout=milliseconds(1500),
            )
        return None

    def cause_fault(self):
        """Cause a fault, or end one."""
        fleet, draw = self.fleet, self.random
        host = draw.choice(list(fleet.hosts.values()))
        if not host.is_up:
            fleet.start_host(host)
            return
        if host.is_frozen:
            fleet.wake_host(host)
            return
        faults = (
            lambda: fleet.kill_host(host, silently=draw.random() < 0.5),
            lambda: fleet.freeze_host(host),
            lambda: fleet.isolate_host(host),
            lambda: fleet.reconnect_host(host),
            lambda: fleet.cut_store_of(host),
            lambda: fleet.reconnect_store_of(host),
            fleet.break_links,
            fleet.stop_store,
            fleet.start_store,
        )
        draw.choice(faults)()

    def heal(self, lost):
        """End all faults; the hosts that are lost do not return."""
        self.fleet.start_store()
        for host in self.fleet.hosts.values():
            self.fleet.reconnect_host(host)
            self.fleet.reconnect_store_of(host)
            if host in lost:
                if host.is_up:
                    self.fleet.kill_host(host, silently=True)
            elif not host.is_up:
                self.fleet.start_host(host)
            elif host.is_frozen:
                self.fleet.wake_host(host)

    def assert_served(self):
        """Check that each pool has one owner, and that jobs are served."""
        claims = [
            (pool, host.address)
            for host in self.hosts(up=True)
            for pool in host.reducer.ownership.claims
        ]
        self.assertEqual(sorted(pool for pool, _ in claims), sorted(ZONES))
        ready = [
            server.incarnation.backend_id
            for host in self.hosts(up=True)
            for server in host.reducer.run_tracker
            if server.state is backends.BackendState.READY
        ]
        self.assertEqual(sorted(ready), sorted(self.fleet.backends))
        callers = [self.submit() for _ in range(3)]
        self.fleet.run(milliseconds(3000))
        outcomes = {each.answer.outcome for each in callers}
        self.assertEqual(outcomes, {model.JobOutcome.DONE})
        self.assertEqual(self.fleet.checker.violations, [])

    def test_each_pool_is_scheduled_by_one_host_after_any_faults(self):
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                self.build(seed)
                for _ in range(FAULTS):
                    self.cause_fault()
                    for _ in range(3):
                        self.submit()
                        pause = self.random.uniform(100, 1200)
                        self.fleet.run(milliseconds(pause))
                hosts = list(self.fleet.hosts.values())
                lost = self.random.sample(
                    hosts, self.random.randrange(len(hosts))
                )
                self.heal(lost)
                self.fleet.run(RECOVERY)
                self.assert_served()

    def test_last_host_of_a_fleet_schedules_all_pools(self):
        self.build(seed=1)
        hosts = list(self.fleet.hosts.values())
        for host in hosts:
            self.fleet.kill_host(host, silently=True)
        self.fleet.run(milliseconds(1300))
        self.fleet.start_host(hosts[0])
        self.fleet.run(RECOVERY)
        self.assert_served()
