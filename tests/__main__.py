"""Runs the tests with nose2 and prints the number of each outcome.

A failing test that is listed in KNOWN-RED.txt is printed and does not change
the exit status. Any other failure makes it 1, and so does a run in which no
test passed. The counts are the last line of the output.
"""

import pathlib
import sys

import nose2

from tests import outcomes as test_outcomes

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def read_known_failures():
    """Return the ids of the tests that are listed as known failures."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).strip()
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }


def main():
    """Run the tests; return the exit status."""
    program = nose2.main(
        module=None,
        argv=["nose2", "-s", str(ROOT), "-t", str(ROOT), *sys.argv[1:]],
        exit=False,
        plugins=["tests.outcomes"],
    )
    outcomes = test_outcomes.OutcomeCounter.outcomes
    known_failures = read_known_failures()
    failed = [
        name for name in outcomes["failed"] if name not in known_failures
    ]
    for name in outcomes["failed"]:
        if name in known_failures:
            print(f"known red: {name}")
    has_failed = bool(failed) or (
        not program.result.wasSuccessful() and not outcomes["failed"]
    )
    counts = {name: len(names) for name, names in outcomes.items()}
    if not counts["passed"]:
        has_failed = True
    line = f"{counts['passed']} passed, {counts['failed']} failed"
    if counts["skipped"]:
        line += f", {counts['skipped']} skipped"
    print(line, flush=True)
    return 1 if has_failed else 0


if __name__ == "__main__":
    sys.exit(main())
