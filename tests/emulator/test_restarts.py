"""Backend servers that restart under their id."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)
SERVERS = ("server-0", "server-1", "server-2")
# The list of servers is read every 500 ms.
DOWN_MS = (1, 50, 200, 400)
WAIT_MS = (0, 1, 20, 100, 300)
ANSWERS = (model.JobOutcome.DONE, model.JobOutcome.NOT_RUN)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class RestartTests(unittest.TestCase):
    def setUp(self):
        self.fleet = emulated_fleet.Fleet(seed=1)
        self.host = self.fleet.add_host("host", "north")
        for name in SERVERS:
            self.fleet.add_backend(name, "north", CAPACITY)
        self.fleet.run(milliseconds(3000))

    def restart_servers(self, down_ms):
        for name in SERVERS:
            self.fleet.crash_backend(name)
        self.fleet.run(milliseconds(down_ms))
        for name in SERVERS:
            self.fleet.restart_backend(name)

    def submit(self, job_id, tasks, work_ms):
        return self.fleet.submit(
            job_id,
            self.host,
            tasks,
            milliseconds(work_ms),
            TASK_RESOURCES,
            timeout=milliseconds(4000),
        )

    def play_restart_while_idle(self, down_ms, wait_ms):
        """Submit a job after a restart; return the violations."""
        self.setUp()
        self.restart_servers(down_ms)
        self.fleet.run(milliseconds(wait_ms))
        caller = self.submit("job", 3, 400)
        self.fleet.run(milliseconds(5000))
        # While no server is ready, the job is refused at once.
        self.assertIn(caller.answer.outcome, ANSWERS)
        return self.fleet.checker.violations

    def test_task_does_not_overlap_its_run_on_a_restarted_idle_server(self):
        violations = {
            (down_ms, wait_ms): self.play_restart_while_idle(down_ms, wait_ms)
            for down_ms in DOWN_MS
            for wait_ms in WAIT_MS
        }
        self.assertEqual(violations, dict.fromkeys(violations, []))

    def test_tasks_of_a_restarted_busy_server_start_again(self):
        caller = self.submit("job", 3, 400)
        self.fleet.run(milliseconds(100))
        self.restart_servers(down_ms=50)
        self.fleet.run(milliseconds(3500))
        self.assertEqual(self.fleet.checker.violations, [])
        self.assertIs(caller.answer.outcome, model.JobOutcome.DONE)
