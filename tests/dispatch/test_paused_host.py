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

    def submit(self, at):
        job = builders.job(now=builders.at(at), estimate=1000)
        return self.apply(events.JobSubmitted(job), at)

    def starts(self, done):
        return len(builders.of_type(done, effects.StartRun))

    def test_nothing_starts_until_connections_were_read(self):
        self.tick_until(100, start=25)
        done = self.submit(1075)
        self.assertEqual(self.starts(done), 0)
        (read,) = builders.of_type(done, effects.ReadConnections)
        done = self.apply(events.Ticked(), 1080)
        self.assertEqual(self.starts(done), 0)
        done = self.apply(events.ConnectionsRead(read.pause), 1081)
        self.assertEqual(self.starts(done), 1)

    def test_nothing_starts_for_a_caller_whose_connection_was_closed(self):
        self.tick_until(100, start=25)
        (read,) = builders.of_type(self.submit(1075), effects.ReadConnections)
        self.apply(events.JobAbandoned("j"), 1080)
        done = self.apply(events.ConnectionsRead(read.pause), 1081)
        done += self.apply(events.Ticked(), 1100)
        self.assertEqual(self.starts(done), 0)

    def test_second_pause_is_not_over_when_the_first_one_is(self):
        self.tick_until(100, start=25)
        (first,) = builders.of_type(self.submit(1075), effects.ReadConnections)
        done = self.apply(events.ConnectionsRead(first.pause), 2075)
        self.assertEqual(self.starts(done), 0)
        (second,) = builders.of_type(done, effects.ReadConnections)
        done = self.apply(events.ConnectionsRead(second.pause), 2076)
        self.assertEqual(self.starts(done), 1)

    def test_tasks_start_after_a_second_if_the_event_is_lost(self):
        self.tick_until(100, start=25)
        self.submit(1075)
        self.assertEqual(self.starts(self.tick_until(2000, start=1100)), 0)
        self.assertEqual(self.starts(self.tick_until(2200, start=2000)), 1)

    def test_host_that_was_briefly_behind_starts_tasks_at_once(self):
        self.tick_until(100, start=25)
        self.assertEqual(self.starts(self.submit(500)), 1)
