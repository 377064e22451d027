"""The log of an entry process whose reader is slow or gone."""

import os
import subprocess
import sys
import unittest

TIMEOUT_SECONDS = 20
# Writes far more than a pipe holds.
PROGRAM = """
from waxwingwalk.entry import logs
logger = logs.configure("info")
for _ in range(2000):
    logger.info("job.ended", detail="x" * 1000)
"""


class LogTests(unittest.TestCase):
    def run_program(self, output):
        """Run the program with its standard output; return its status."""
        running = subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdout=output,
            stderr=subprocess.DEVNULL,
        )
        try:
            return running.wait(TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            return None
        finally:
            running.kill()
            running.wait()

    def test_reader_that_stops_reading_does_not_block_the_process(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        self.assertEqual(0, self.run_program(writer))

    def test_reader_that_is_gone_causes_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        self.assertEqual(0, self.run_program(writer))
