"""Orders that reach a restarted backend server late."""

import datetime
import unittest

from waxwingwalk.dispatch import model
from waxwingwalk.emulator import fleet as emulated_fleet

CAPACITY = model.Resources(processors=16_000, memory=65_536)
TASK_RESOURCES = model.Resources(processors=7_000, memory=64)


def milliseconds(count):
    return datetime.timedelta(milliseconds=count)


class FreezingFleet(emulated_fleet.Fleet):
    """A fleet whose backend servers can be frozen."""

    frozen = None

    def freeze_backend(self, backend_id):
        self.frozen = backend_id
        self._deferred = []

    def wake_backend(self):
        self.frozen = None
        for execute in self._deferred:
            execute()

    def _execute_order(self, backend, order, reply):
        execute = super()._execute_order
        if order.incarnation.backend_id == self.frozen:
            self._deferred.append(lambda: execute(backend, order, reply))
        else:
            execute(backend, order, reply)


class LateOrderTests(unittest.TestCase):
    def setUp(self):
        self.fleet = FreezingFleet(seed=1)
        self.host = self.fleet.add_host("host", "north")
        self.fleet.add_backend("server-0", "north", CAPACITY)
        self.fleet.run(milliseconds(3000))

    def submit(self, job_id, work_ms):
        return self.fleet.submit(
            job_id,
            self.host,
            1,
            milliseconds(work_ms),
            TASK_RESOURCES,
            timeout=milliseconds(6000),
        )

    def play_late_start(self, *, restarts):
        """Freeze a server before a start arrives; return the violations."""
        if restarts:
            # Its new incarnation has not written to the store yet.
            listed = self.fleet.listed_backends["server-0"]
            self.fleet.crash_backend("server-0")
            self.fleet.restart_backend("server-0")
            self.fleet.listed_backends["server-0"] = listed
        self.fleet.freeze_backend("server-0")
        self.submit("job", work_ms=700)
        self.fleet.add_backend("server-1", "north", CAPACITY)
        self.fleet.run(milliseconds(1500))
        self.fleet.wake_backend()
        self.fleet.run(milliseconds(3000))
        return self.fleet.checker.violations

    def test_late_start_at_a_server_that_was_frozen(self):
        self.assertEqual(self.play_late_start(restarts=False), [])

    def test_late_start_at_a_server_that_restarted_and_was_frozen(self):
        self.assertEqual(self.play_late_start(restarts=True), [])
