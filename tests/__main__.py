"""Runs the tests with nose2 and prints the number of each outcome.

Without arguments, all tests run, several groups at a time, each in a process
of its own; those of crowds of clients run alone, after the others. With
arguments, which nose2 takes, the tests run in this process.

A failing test that is listed in KNOWN-RED.txt is printed and does not change
the exit status. Any other failure makes it 1, and so does a run in which no
test passed. The counts are the last line of the output.
"""

from concurrent import futures
import itertools
import os
import pathlib
import re
import subprocess
import sys

import nose2

from tests import outcomes as test_outcomes

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
TEST_PREFIX = "test: "
COUNTS = re.compile(r"^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$", re.M)
# Packages whose tests take longest. Their modules run as groups of their own,
# and first.
SLOW_PACKAGES = ("emulator", "soak", "host", "platform")
# Modules whose tests measure what a process holds. They run one at a time,
# after all others.
ALONE = "test_crowd_"
# Tests with real processes need most of a processor each, so some are left
# free.
PROCESSES = max(1, (os.cpu_count() or 2) // 2)


def read_known_failures():
    """Return the ids of the tests that are listed as known failures."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    return {
        line.removeprefix(TEST_PREFIX).split()[0]
        for line in KNOWN_FAILURES_FILE.read_text().splitlines()
        if line.startswith(TEST_PREFIX)
    }


def find_groups():
    """Return lists of the names of test modules, the slow ones first.

    The second result are those that run alone.
    """
    slow, fast, alone = [], [], []
    for package in sorted((ROOT / "tests").iterdir()):
        modules = [
            f"tests.{package.name}.{path.stem}"
            for path in sorted(package.glob("test_*.py"))
            if not path.stem.startswith(ALONE)
        ]
        alone += [
            [f"tests.{package.name}.{path.stem}"]
            for path in sorted(package.glob(f"{ALONE}*.py"))
        ]
        if package.name in SLOW_PACKAGES:
            slow += [[module] for module in modules]
        elif modules:
            fast.append(modules)
    return slow + fast, alone


def run_group(modules):
    """Run test modules in a process of their own; return what it did."""
    return subprocess.run(
        [sys.executable, "-m", "tests", *modules],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        errors="replace",
    )


def run_all():
    """Run all tests in several processes; return the exit status."""
    has_failed = False
    totals = [0, 0, 0]
    groups, alone = find_groups()
    with futures.ThreadPoolExecutor(PROCESSES) as pool:
        outputs = itertools.chain(
            pool.map(run_group, groups), map(run_group, alone)
        )
        for modules, done in zip(groups + alone, outputs):
            counts = COUNTS.findall(done.stdout)
            print(f"== {' '.join(modules)}: exit status {done.returncode}")
            print(COUNTS.sub(r"  \g<0>", done.stdout).strip(), flush=True)
            has_failed = has_failed or done.returncode != 0 or not counts
            for index, count in enumerate(counts[-1] if counts else ()):
                totals[index] += int(count or 0)
    passed, failed, skipped = totals
    line = f"{passed} passed, {failed} failed"
    print(f"{line}, {skipped} skipped" if skipped else line, flush=True)
    return 1 if has_failed else 0


def main():
    """Run the tests; return the exit status."""
    if not sys.argv[1:]:
        return run_all()
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
