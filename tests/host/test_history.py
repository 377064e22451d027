import unittest

import orjson

from waxwingwalk.host import history


def line(at, event, *, host="host-1", **fields):
    """Return a host and its log line, ``at`` milliseconds after midnight."""
    stamp = f"2026-01-01T00:00:{at / 1000:09.6f}Z"
    content = {"event": event, "level": "info", "timestamp": stamp, **fields}
    return host, orjson.dumps(content).decode()


LATE_JOB = [
    line(0, "job.routed", job="j", scheduler="b"),
    line(400, "task.placed", job="j", task="j.0.0.0", run=1, waited_ms=400.0),
    line(900, "task.ended", job="j", task="j.0.0.0", run=1, end="done"),
    line(901, "job.ended", job="j", outcome="done", reason="done", late_ms=60),
    line(902, "job.answered", job="j", outcome="done", reason="done"),
]


class HistoryTests(unittest.TestCase):
    def explain(self, lines, job_id="j"):
        return history.explain_job(job_id, history.read_entries(lines))

    def test_lines_of_several_hosts_are_sorted_by_time(self):
        explained = self.explain(reversed(LATE_JOB))
        self.assertEqual(
            [entry.event for entry in explained.entries],
            [orjson.loads(text)["event"] for _, text in LATE_JOB],
        )

    def test_late_job_names_its_largest_delay_first(self):
        explanation = self.explain(LATE_JOB).explanation
        self.assertIn("late by 60 ms; slowest run 500 ms", explanation)
        self.assertIn("waited for capacity 400 ms", explanation)

    def test_job_refused_in_an_evacuation_names_its_start(self):
        explained = self.explain(
            [
                line(0, "evacuation.started", zone="north", version=12),
                line(
                    51,
                    "job.answered",
                    job="j",
                    outcome="not_run",
                    reason="zone evacuated",
                ),
            ]
        )
        self.assertIn("operators had evacuated", explained.explanation)
        self.assertIn("evacuation.started", explained.explanation)

    def test_lost_job_names_related_events(self):
        explained = self.explain(
            [
                line(0, "job.routed", job="j", scheduler="b"),
                line(50, "link.closed", host="host-1", heard_seconds_ago=0.1),
                line(50, "link.closed", host="host-9"),
                line(
                    51,
                    "job.answered",
                    job="j",
                    outcome="lost",
                    reason="scheduler lost",
                ),
            ]
        )
        self.assertIn(
            "the link to the scheduling host broke", explained.explanation
        )
        self.assertIn("link.closed x1", explained.explanation)

    def test_job_without_an_answer_is_explained_by_a_lost_host(self):
        explained = self.explain([line(0, "job.routed", job="j")])
        self.assertIn("host was lost", explained.explanation)

    def test_caller_that_left_is_not_reported_as_a_failure(self):
        explained = self.explain([line(0, "job.left", job="j")])
        self.assertIn("the caller left", explained.explanation)

    def test_unknown_job_has_no_history(self):
        self.assertIsNone(self.explain(LATE_JOB, "k"))

    def test_lines_that_are_not_log_entries_are_skipped(self):
        noise = [("host-1", "Traceback"), ("host-1", '{"event": "x"}')]
        self.assertEqual(
            len(history.read_entries([*noise, *LATE_JOB])), len(LATE_JOB)
        )

    def test_text_before_the_object_names_the_host(self):
        _, text = LATE_JOB[0]
        (entry,) = history.read_entries([("file", f"  12.5 front-1 {text}")])
        self.assertEqual(entry.host, "front-1")

    def test_summary_counts_answers(self):
        summary = history.summarise(history.read_entries(LATE_JOB))
        self.assertEqual(summary.answers, [("done", "done", 1)])
        self.assertEqual(summary.most_late_jobs[0][0], "j")
