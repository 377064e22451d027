"""Tasks that crash each backend server that starts them."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet
from waxwingwalk.emulator import scenario

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
SERVERS = 8
Outcome = model.JobOutcome
SEEDS = range(12)
FAULT_COUNT = 12


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class CrashingTaskCase(unittest.TestCase):
    zones = ("north",)
    hosts_per_zone = 2

    def build(self, *, servers=SERVERS, keep_ids=True):
        self.fleet = emulated_fleet.Fleet(seed=1)
        self.fleet.do_servers_keep_ids = keep_ids
        for zone in self.zones:
            for number in range(self.hosts_per_zone):
                self.fleet.add_host(f"{zone}-{number}", zone)
            for number in range(servers):
                name = f"{zone}-server-{number}"
                self.fleet.add_backend(name, zone, CAPACITY)
        self.fleet.run(milliseconds(3000))

    def submit(
        self, job_id, *, host="north-0", tasks=1, work_ms=100, **kwargs
    ):
        return self.fleet.submit(
            job_id,
            self.fleet.hosts[host],
            tasks,
            milliseconds(work_ms),
            TASK_RESOURCES,
            **kwargs,
        )

    def submit_crashing(self, *, seconds, **kwargs):
        """Submit a job with a task that crashes servers."""
        return self.submit(
            "crashing",
            crashing_tasks=1,
            timeout=datetime.timedelta(seconds=seconds),
            **kwargs,
        )

    def scheduler(self):
        """Return the host that schedules a pool."""
        (host,) = [
            each
            for each in self.fleet.hosts.values()
            if each.reducer is not None and each.reducer.ownership.claims
        ]
        return host

    def assert_no_violation(self):
        self.assertEqual(self.fleet.checker.violations, [])


class CrashLimitTests(CrashingTaskCase):
    def test_task_that_crashes_servers_is_not_started_on_one_after_another(
        self,
    ):
        for keep_ids in (True, False):
            with self.subTest(keep_ids=keep_ids):
                self.build(keep_ids=keep_ids)
                caller = self.submit_crashing(seconds=30)
                self.fleet.run(milliseconds(32_000))
                self.assert_no_violation()
                self.assertIs(caller.answer.outcome, Outcome.FAILED)

    def test_crashes_count_while_the_servers_are_silent(self):
        for down_ms in (10_000, 60_000):
            with self.subTest(down_ms=down_ms):
                self.build()
                self.fleet.crash_down_time = milliseconds(down_ms)
                self.submit_crashing(seconds=30)
                self.fleet.run(milliseconds(32_000))
                self.assert_no_violation()

    def test_crashes_count_when_the_caller_asks_again(self):
        self.build()
        # The caller repeats its request 1.3 s after each job that expired.
        self.submit_crashing(seconds=2)
        self.fleet.run(milliseconds(20_000))
        self.assert_no_violation()

    def test_crashes_count_when_another_host_has_become_the_scheduler(self):
        self.hosts_per_zone = 4
        self.build()
        fronts = [
            each
            for each in self.fleet.hosts
            if each != self.scheduler().address
        ]
        self.submit_crashing(seconds=30, host=fronts[-1])
        for _ in range(3):
            self.fleet.run(milliseconds(1500))
            scheduler = self.scheduler()
            self.fleet.kill_host(scheduler)
            self.fleet.run(milliseconds(500))
            self.fleet.start_host(scheduler)
        self.fleet.run(milliseconds(30_000))
        self.assert_no_violation()


class OfferedCrashingTaskTests(CrashingTaskCase):
    zones = ("north", "south")
    hosts_per_zone = 1

    def test_crashes_count_when_other_schedulers_run_the_task(self):
        for keep_ids in (True, False):
            with self.subTest(keep_ids=keep_ids):
                self.build(keep_ids=keep_ids)
                for number in range(1, SERVERS):
                    self.fleet.crash_backend(f"north-server-{number}")
                self.fleet.run(milliseconds(6000))
                self.submit_crashing(seconds=30)
                self.fleet.run(milliseconds(32_000))
                self.assert_no_violation()

    def test_crashes_count_when_the_link_to_the_other_scheduler_is_lost(self):
        self.build()
        for number in range(1, SERVERS):
            self.fleet.crash_backend(f"north-server-{number}")
        self.fleet.run(milliseconds(6000))
        self.submit_crashing(seconds=60)
        south = self.fleet.hosts["south-0"]
        for _ in range(8):
            self.fleet.run(milliseconds(1500))
            self.fleet.kill_host(south)
            self.fleet.run(milliseconds(300))
            self.fleet.start_host(south)
        self.fleet.run(milliseconds(40_000))
        self.assert_no_violation()


class InnocentTaskTests(CrashingTaskCase):
    """Tasks that lose runs with a server and are not the cause."""

    def assert_done(self, callers):
        outcomes = [each.answer and each.answer.outcome for each in callers]
        self.assertEqual(outcomes, [Outcome.DONE] * len(callers))

    def test_tasks_beside_a_crashing_one_are_done(self):
        for keep_ids in (True, False):
            with self.subTest(keep_ids=keep_ids):
                self.build(keep_ids=keep_ids)
                seconds = datetime.timedelta(seconds=20)
                # Each server has room for two tasks.
                callers = [
                    self.submit(f"innocent-{n}", work_ms=400, timeout=seconds)
                    for n in range(SERVERS)
                ]
                self.submit_crashing(seconds=20)
                for number in range(40):
                    callers.append(
                        self.submit(
                            f"later-{number}", work_ms=400, timeout=seconds
                        )
                    )
                    self.fleet.run(milliseconds(50))
                self.fleet.run(milliseconds(20_000))
                self.assert_no_violation()
                self.assert_done(callers)

    def test_tasks_of_silent_servers_are_done(self):
        self.build()
        caller = self.submit(
            "innocent", work_ms=1500, timeout=datetime.timedelta(seconds=40)
        )
        for _ in range(5):
            self.fleet.run(milliseconds(200))
            silenced = [
                name
                for name, each in self.fleet.backends.items()
                if any(key.task.startswith("innocent") for key in each.runs)
            ]
            self.fleet.unreachable_backends.update(silenced)
            self.fleet.run(milliseconds(2500))
            self.fleet.unreachable_backends.clear()
        self.fleet.run(milliseconds(20_000))
        self.assert_no_violation()
        self.assert_done([caller])

    def test_tasks_of_a_server_that_crashes_for_another_reason_are_done(self):
        for keep_ids in (True, False):
            with self.subTest(keep_ids=keep_ids):
                self.build(keep_ids=keep_ids)
                caller = self.submit(
                    "innocent",
                    work_ms=1000,
                    timeout=datetime.timedelta(seconds=20),
                )
                self.fleet.run(milliseconds(500))
                for name, each in self.fleet.backends.items():
                    if each.runs:
                        self.fleet.crash_and_restart(name)
                        break
                self.fleet.run(milliseconds(18_000))
                self.assert_no_violation()
                self.assert_done([caller])


class CrashScenarioTests(unittest.TestCase):
    def test_no_guarantee_is_violated_when_tasks_crash_servers(self):
        kinds = scenario.FAULTS + 4 * scenario.CRASH_FAULTS
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = scenario.Scenario(
                    seed, FAULT_COUNT, kinds=kinds
                ).run()
                self.assertEqual(result.violations, ())
                self.assertGreater(result.done, 0)
