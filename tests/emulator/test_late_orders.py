"""Orders that reach a restarted backend server late."""

import datetime
import unittest
from unittest import mock

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


class DelayedOrderTests(unittest.TestCase):
    """An order that is carried out 2.5 s after it was sent."""

    LATE_SECONDS = 2.5
    CRASH_MS = 1850
    DOWN_MS = 100
    ROW_LAGS_MS = (0, 500, 1000, 2000)

    def play(
        self, row_lag_ms, crash_ms=CRASH_MS, down_ms=DOWN_MS, drains=False
    ):
        """Restart the server before the order; return the violations.

        If it drains before, the task runs on the other one.
        """
        fleet = emulated_fleet.Fleet(seed=1)
        fleet.do_callers_repeat = False
        host = fleet.add_host("host", "north")
        fleet.add_backend("server-0", "north", CAPACITY)
        fleet.run(milliseconds(3000))
        fleet.late_share = 1.0
        fleet.submit(
            "job",
            host,
            1,
            milliseconds(6000),
            TASK_RESOURCES,
            timeout=milliseconds(20_000),
        )
        fleet.late_share = 0.0
        fleet.add_backend("server-1", "north", CAPACITY)
        if drains:
            fleet.drain_backend("server-0")
        fleet.run(milliseconds(crash_ms))
        fleet.crash_backend("server-0")
        fleet.run(milliseconds(down_ms))
        fleet.restart_backend("server-0")
        fleet.hide_backend("server-0")
        fleet.run(milliseconds(row_lag_ms))
        fleet.show_backend("server-0")
        fleet.run(milliseconds(8000))
        return fleet.checker.violations

    def test_late_order_starts_nothing_on_a_restarted_idle_server(self):
        late = (self.LATE_SECONDS, self.LATE_SECONDS)
        with mock.patch.object(emulated_fleet, "LATE_ORDER_SECONDS", late):
            violations = {lag: self.play(lag) for lag in self.ROW_LAGS_MS}
        self.assertEqual(violations, dict.fromkeys(violations, []))

    def test_late_order_starts_nothing_on_a_server_that_was_silent_before(
        self,
    ):
        late = (self.LATE_SECONDS, self.LATE_SECONDS)
        # The server restarts 50 ms before the order reaches it. Its leases
        # have ended long before, by the clock of its former incarnation.
        with mock.patch.object(emulated_fleet, "LATE_ORDER_SECONDS", late):
            violations = {
                lag: self.play(lag, crash_ms=100, down_ms=2350)
                for lag in self.ROW_LAGS_MS
            }
        self.assertEqual(violations, dict.fromkeys(violations, []))

    def test_late_order_starts_nothing_on_a_server_that_has_just_restarted(
        self,
    ):
        late = (self.LATE_SECONDS, self.LATE_SECONDS)
        # The server had confirmed the stop. It restarts 50 ms before the
        # order reaches it, and was down for less than the polls are apart.
        with mock.patch.object(emulated_fleet, "LATE_ORDER_SECONDS", late):
            violations = self.play(0, crash_ms=2350, down_ms=100, drains=True)
        self.assertEqual(violations, [])


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
