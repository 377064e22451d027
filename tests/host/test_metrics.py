import datetime
import unittest

from waxwingwalk.core import clock
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.host import metrics

HOST = model.HostRecord("local", "1", "north")


class HostMetricsTests(unittest.TestCase):
    def setUp(self):
        self.metrics = metrics.HostMetrics()
        self.now = clock.ManualClock().now()
        self.reducer = dispatch_reducer.Reducer(HOST, self.now)

    def render(self):
        content, _ = self.metrics.render(self.reducer, 0, self.now, ["*/*"])
        return content.decode().splitlines()

    def test_counts_add_up_over_several_reads(self):
        for total in (2, 4):
            for _ in range(2):
                self.metrics.record_decision("job.routed")
            self.assertIn(
                f'waxwingwalk_decisions_total{{event="job.routed"}} {total}',
                self.render(),
            )

    def test_frames_and_bytes_are_counted_by_kind(self):
        jobs = [("job_ended", 100), ("job_ended", 120)]
        self.metrics.record_frame_sent([*jobs, ("keep_alive", 30)])
        self.metrics.record_frame_sent([("catalog_part", 8192)])
        lines = self.render()
        for kind, frames, size in (
            ("job_ended", 1, 220),
            ("keep_alive", 1, 30),
            ("catalog_part", 1, 8192),
        ):
            for name, count in (("frames", frames), ("bytes", size)):
                self.assertIn(
                    f"waxwingwalk_link_{name}_sent_total"
                    f'{{kind="{kind}"}} {count}',
                    lines,
                )

    def test_labels_tell_counts_apart(self):
        elapsed = datetime.timedelta(milliseconds=3)
        for outcome in ("accepted", "unknown"):
            self.metrics.record_backend_call("start", outcome, elapsed)
        lines = self.render()
        for outcome in ("accepted", "unknown"):
            self.assertIn(
                "waxwingwalk_backend_calls_total"
                f'{{kind="start",outcome="{outcome}"}} 1',
                lines,
            )


if __name__ == "__main__":
    unittest.main()
