"""A host that was paused acts on what holds now, not on what held before."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events


class PausedHostTests(reducer_case.ReducerTestCase):
    def setUp(self):
        super().setUp()
        self.schedule_here()

    def test_length_of_a_pause_is_logged(self):
        self.tick_until(100, start=25)
        done = self.apply(events.Ticked(), 1075)
        logged = [
            each.fields
            for each in builders.of_type(done, effects.Log)
            if each.event == "process.delayed"
        ]
        self.assertEqual(logged, [{"delay_ms": 1000.0}])
