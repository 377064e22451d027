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

    def test_durations_are_counted_in_their_bucket_and_all_larger_ones(self):
        # The durations are added up outside the library, and a bound belongs
        # to its bucket.
        name = "waxwingwalk_backend_call_seconds"
        for reads in (1, 2):
            for milliseconds in (2, 3, 100, 9000):
                elapsed = datetime.timedelta(milliseconds=milliseconds)
                self.metrics.record_backend_call("start", "ok", elapsed)
            lines = self.render()
            for bound, count in (
                ("0.002", 1),
                ("0.005", 2),
                ("0.05", 2),
                ("0.1", 3),
                ("5.0", 3),
                ("+Inf", 4),
            ):
                with self.subTest(bound=bound, reads=reads):
                    self.assertIn(
                        f'{name}_bucket{{kind="start",le="{bound}"}} '
                        f"{reads * count}.0",
                        lines,
                    )
            self.assertIn(f'{name}_count{{kind="start"}} {reads * 4}.0', lines)


if __name__ == "__main__":
    unittest.main()
