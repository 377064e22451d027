import datetime
import json
import logging
import os
import unittest
from unittest import mock

import orjson

from waxwingwalk.core import clock
from waxwingwalk.host import logs


class HostLogTests(unittest.TestCase):
    def setUp(self):
        self.reader, descriptor = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, descriptor)
        self.writer = logs.NonBlockingWriter(descriptor)
        self.clock = clock.ManualClock()
        self.log = logs.HostLog(self.clock, self.writer)

    def lines(self):
        self.log.flush()
        content = os.read(self.reader, 10**7)
        return [orjson.loads(line) for line in content.splitlines()]

    def test_line_carries_its_event_and_fields(self):
        self.log.info("job.queued", job="j", backlog_ms=1.5)
        (line,) = self.lines()
        self.assertEqual(line["event"], "job.queued")
        self.assertEqual(line["job"], "j")
        self.assertEqual(line["level"], "info")

    def test_line_with_values_that_the_fast_encoder_refuses_is_written(self):
        self.log.info("backend.taken", life=10**30, backend="\ud800")
        self.log.flush()
        line = json.loads(os.read(self.reader, 10**7))
        self.assertEqual(line["life"], 10**30)
        self.assertEqual(line["event"], "backend.taken")

    def test_lines_over_the_rate_limit_are_counted_and_reported(self):
        for _ in range(logs.EVENT_LINES_PER_SECOND + 7):
            self.log.info("task.placed")
        self.log.info("job.ended")
        events = [line["event"] for line in self.lines()]
        self.assertEqual(
            events.count("task.placed"), logs.EVENT_LINES_PER_SECOND
        )
        self.assertIn("job.ended", events)
        self.assertEqual(self.log.suppressed, 7)
        self.assertIn("log.suppressed", events)

    def test_warning_of_a_library_is_logged(self):
        library = logging.getLogger("tests.library")
        handler = logs.LibraryHandler(self.log)
        library.addHandler(handler)
        self.addCleanup(library.removeHandler, handler)
        library.propagate = False
        library.info("nothing of interest")
        try:
            raise ValueError("bad frame")
        except ValueError:
            library.exception("Error handling request")
        (line,) = self.lines()
        self.assertEqual(line["event"], "library.warned")
        self.assertEqual(line["library"], "tests.library")
        self.assertEqual(line["error"], "ValueError('bad frame')")

    def test_rate_limit_is_per_second(self):
        for _ in range(logs.EVENT_LINES_PER_SECOND + 7):
            self.log.info("task.placed")
        self.lines()
        self.clock.advance(datetime.timedelta(seconds=1))
        self.log.info("task.placed")
        self.assertEqual(self.lines()[0]["event"], "task.placed")

    def test_slow_reader_causes_dropped_lines_without_blocking(self):
        line = b"x" * 1000 + b"\n"
        for _ in range(3 * logs.BUFFER_MAX // len(line)):
            self.writer.write(line)
            self.writer.flush()
        self.assertGreater(self.writer.dropped, 0)

    def test_lines_are_written_whole(self):
        line = b"z" * 1500 + b"\n"
        for _ in range(9):
            self.writer.write(line)
        with mock.patch("os.write", side_effect=os.write) as write:
            self.writer.flush()
        chunks = [call.args[1] for call in write.call_args_list]
        self.assertTrue(all(each.endswith(b"\n") for each in chunks))
        self.assertTrue(all(len(each) <= 4096 for each in chunks))
        self.assertEqual(b"".join(chunks), line * 9)

    def test_partly_written_line_is_completed(self):
        line = b"y" * 200_000 + b"\n"
        self.writer.write(line)
        self.writer.write(b"end\n")
        read = b""
        while not read.endswith(b"end\n"):
            self.writer.flush()
            read += os.read(self.reader, 10**6)
        self.assertEqual(read, line + b"end\n")
