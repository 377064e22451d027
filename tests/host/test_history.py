import unittest

import orjson

from waxwingwalk.host import history


def line(at, event, *, host="host-1", **fields):
    """Return a line of a log, at so many milliseconds."""
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
        return history.of_job(job_id, history.read(lines))

    def test_lines_of_several_hosts_are_told_in_order(self):
        told = self.explain(reversed(LATE_JOB))
        self.assertEqual(
            [entry.event for entry in told.entries],
            [orjson.loads(text)["event"] for _, text in LATE_JOB],
        )

    def test_late_job_names_its_largest_delay_first(self):
        verdict = self.explain(LATE_JOB).verdict
        self.assertIn("late by 60 ms; slowest run 500 ms", verdict)
        self.assertIn("waited for room 400 ms", verdict)

    def test_lost_job_names_what_happened_around_it(self):
        told = self.explain(
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
        self.assertIn("the link to the scheduling host broke", told.verdict)
        self.assertIn("link.closed x1", told.verdict)

    def test_job_without_an_answer_lost_its_host(self):
        told = self.explain([line(0, "job.routed", job="j")])
        self.assertIn("host was lost", told.verdict)

    def test_caller_that_left_is_no_failure(self):
        told = self.explain([line(0, "job.left", job="j")])
        self.assertIn("the caller left", told.verdict)

    def test_unknown_job_has_no_history(self):
        self.assertIsNone(self.explain(LATE_JOB, "k"))

    def test_lines_that_are_no_log_lines_are_skipped(self):
        noise = [("host-1", "Traceback"), ("host-1", '{"event": "x"}')]
        self.assertEqual(len(history.read([*noise, *LATE_JOB])), len(LATE_JOB))

    def test_text_before_the_object_names_the_host(self):
        _, text = LATE_JOB[0]
        (entry,) = history.read([("file", f"  12.5 front-1 {text}")])
        self.assertEqual(entry.host, "front-1")

    def test_summary_counts_answers(self):
        summary = history.summarise(history.read(LATE_JOB))
        self.assertEqual(summary.answers, [("done", "done", 1)])
        self.assertEqual(summary.slowest[0][0], "j")
