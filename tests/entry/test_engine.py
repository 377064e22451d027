"""Tests that the engine applies exactly one reply for each task sent."""

import random
from unittest import mock

import structlog

from tests.core import reducers
from tests.entry import jobs
from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.entry import engine
from waxwingwalk.settings import adopted
import waxwingwalk.wiring as wiring


class BrokenBackends:
    """A client whose calls raise an unexpected exception."""

    def set_freshness(self, freshness):
        """Ignore the freshness."""

    async def run(self, effect):
        """Raise an unexpected exception."""
        raise KeyError("unexpected")

    async def stop(self, address, tasks):
        """Do nothing."""


def capture_log():
    """Return the entries of a log, and the logger that writes them."""
    captured = structlog.testing.LogCapture()
    logger = structlog.wrap_logger(
        structlog.ReturnLogger(),
        processors=[captured],
        wrapper_class=structlog.make_filtering_bound_logger(0),
    )
    return captured, logger


class EngineTests(jobs.FleetTestCase):
    async def test_effect_that_fails_costs_no_other_effect(self):
        captured, logger = capture_log()
        reducer = mock.Mock()
        # The first effect has no fields to log.
        reducer.apply.return_value = [
            effects.Log("task.placed", None),
            effects.Exit(),
        ]
        time = clock.ManualClock()
        running = engine.Engine(reducer, time, BrokenBackends(), logger)
        running.apply(events.Ticked())
        self.assertTrue(running.exited.is_set())
        names = [entry["event"] for entry in captured.entries]
        self.assertEqual(names, ["internal.error"])

    async def test_unexpected_error_leaves_no_job_unanswered(self):
        captured, logger = capture_log()
        time = clock.ManualClock()
        reducer = wiring.build_reducer(
            reducers.SELF, reducers.PLACE, time, random.Random(1)
        )
        running = engine.Engine(reducer, time, BrokenBackends(), logger)
        document = adopted.Revision(number=1).document()
        running.apply(events.SettingsRead(document))
        running.apply(events.BackendsListed([reducers.backend()]))
        harness = reducers.ReducerHarness()
        spec = reducers.job_spec(harness, 2)
        answer = running.wait_for(spec.job_id)
        running.apply(events.JobSubmitted(spec))
        self.assertEqual(results.ResultCode.TASK_LOST, (await answer).code)
        await running.close()
        names = [entry["event"] for entry in captured.entries]
        self.assertIn("internal.error", names)
        self.assertEqual({}, running.state.attempts)
