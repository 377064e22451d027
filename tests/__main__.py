"""Runs every test with nose2 and prints the counts as the last line.

A test that is listed in KNOWN-RED.txt may fail; it is then printed. All else
that fails makes the exit status 1.
"""

import pathlib
import sys

import nose2

from tests import outcomes as test_outcomes

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PREFIX = "test: "


def known_red():
    """Return the ids of tests that are listed as known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(PREFIX).strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith(PREFIX)
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
    tolerated = known_red()
    failed = [name for name in outcomes["failed"] if name not in tolerated]
    for name in outcomes["failed"]:
        if name in tolerated:
            print(f"known red: {name}")
    is_bad = bool(failed) or (
        not program.result.wasSuccessful() and not outcomes["failed"]
    )
    counts = {name: len(names) for name, names in outcomes.items()}
    if not counts["passed"]:
        is_bad = True
    line = f"{counts['passed']} passed, {counts['failed']} failed"
    if counts["skipped"]:
        line += f", {counts['skipped']} skipped"
    print(line, flush=True)
    return 1 if is_bad else 0


if __name__ == "__main__":
    sys.exit(main())
