import pathlib
import tempfile
import unittest

import cleo.testers.command_tester

from waxwingwalk.management.commands import emulate
from waxwingwalk.management.commands import explain


def run(command, arguments):
    """Run a command; return its exit code, output and error output."""
    tester = cleo.testers.command_tester.CommandTester(command)
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


class EmulateTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "file"

    def run_scenario(self, text):
        self.path.write_text(text)
        return run(emulate.EmulateDaysCommand(), f"--scenario {self.path}")

    def test_scenario_file_is_emulated(self):
        code, output, _ = self.run_scenario(
            "seed: 3\nfaults:\n- {kind: kill, at: 2}\n"
        )
        self.assertEqual(code, 0)
        self.assertIn("kill", output)

    def test_invalid_scenarios_are_reported(self):
        cases = (
            ("seed: 3", "needs 'faults'"),
            ("faults: [{kind: kill}]", "faults.0 needs 'kind' and 'at'"),
            ("faults: [{kind: flood, at: 1}]", "'flood' is none of"),
            ("faults: [", ""),
        )
        for text, message in cases:
            with self.subTest(text=text):
                code, _, errors = self.run_scenario(text)
                self.assertEqual(code, 1)
                self.assertIn(message, errors)

    def test_policies_are_compared(self):
        code, output, _ = run(emulate.EmulateLoadCommand(), "--seeds 1")
        self.assertEqual(code, 0)
        self.assertIn("priority-then-slack", output)

    def test_explain_needs_log_lines(self):
        self.path.write_text("nothing\n")
        code, _, errors = run(explain.ExplainCommand(), f"j {self.path}")
        self.assertEqual(code, 1)
        self.assertIn("no log line", errors)
