"""Tests of the exit codes and the output of commands."""

import asyncio
import json
import pathlib
import tempfile
import unittest

import cleo.testers.command_tester as command_tester

from tests.entry import jobs
from waxwingwalk.core import results
import waxwingwalk.management as management
from waxwingwalk.management import base
from waxwingwalk.testing import fleet


def run(name, arguments):
    """Run a command; return its exit code, output and error output."""
    command = management.application().find(name)
    tester = command_tester.CommandTester(command)
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


class FleetCommandTests(jobs.FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet = await fleet.Fleet().__aenter__()
        await jobs.add_backends(self.fleet, 1)
        entry = self.fleet.entries[0]
        self.callers = f"--address {entry.callers_address}"
        self.operators = f"--address {entry.operators_address}"

    async def asyncTearDown(self):
        await self.fleet.__aexit__(None, None, None)

    async def run_command(self, name, arguments):
        """Run a command in a thread, so that it does not block the fleet."""
        return await asyncio.to_thread(run, name, arguments)

    async def test_job_commands(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "job.json")
            path.write_text(json.dumps(jobs.job(count=2)))
            code, output, _ = await self.run_command(
                "job submit", f"{path} {self.callers} --json"
            )
        self.assertEqual(0, code)
        reply = json.loads(output)
        self.assertEqual([0, 1], reply["results"])
        for name in ("job status", "job explain", "job cancel"):
            with self.subTest(command=name):
                code, output, _ = await self.run_command(
                    name, f"{reply['job']} {self.callers}"
                )
                self.assertEqual(0, code)
        code, _, _ = await self.run_command(
            "job status", f"127.0.0.1_9.000000000000.1 {self.callers}"
        )
        self.assertEqual(4, code)

    async def test_settings_commands(self):
        steps = [
            ("settings set", "teams.pubs.quota=9 defaults.weight=2", 0, "1"),
            ("settings get", "teams", 0, "teams.pubs.quota: 9"),
            ("settings set", "defaults.wait=2", 5, "did you mean 'weight'"),
            ("settings unset", "defaults.weight", 0, "revision 2"),
            (
                "settings set",
                "defaults.weight=3 --based-on 1",
                5,
                "was 2 at revision 1",
            ),
            ("settings rollback", "1", 0, "revision 3"),
            ("settings history", "", 0, "teams.pubs.quota"),
            ("settings effective", "--team pubs", 0, "teams.pubs"),
        ]
        for name, arguments, code, text in steps:
            with self.subTest(command=f"{name} {arguments}"):
                outcome = await self.run_command(
                    name, f"{arguments} {self.operators}"
                )
                self.assertEqual(code, outcome[0], outcome)
                self.assertIn(text, "".join(outcome[1:]))

    async def test_lists(self):
        for name, text in (
            ("host list", "zone-1"),
            ("backend-server list", "backend-0"),
        ):
            with self.subTest(command=name):
                code, output, _ = await self.run_command(name, self.operators)
                self.assertEqual(0, code)
                self.assertIn(text, output)


class CheckTests(unittest.TestCase):
    def check(self, **files):
        """Run ``check`` on the files; return its exit code and output."""
        with tempfile.TemporaryDirectory() as folder:
            arguments = []
            for name, content in files.items():
                path = pathlib.Path(folder, f"{name}.yaml")
                path.write_text(content)
                arguments.append(f"--{name} {path}")
            code, output, _ = run("check", " ".join(arguments))
            return code, output

    def test_all_errors_are_listed(self):
        code, output = self.check(
            settings="place: {region: wales}\ncallers: {port: 70000}\n",
            tree="defaults: {weight: 0, nonsense: 1}\n",
        )
        self.assertEqual(base.EXIT_USAGE, code)
        for text in ("availability_zone", "callers.port", "weight", "nonse"):
            self.assertIn(text, output)

    def test_valid_tree_passes(self):
        code, output = self.check(tree="teams: {pubs: {quota: 3}}\n")
        self.assertEqual((0, "0 faults"), (code, output.strip()))


class ExitCodeTests(unittest.TestCase):
    def test_exit_code_follows_result_family(self):
        cases = {
            results.ResultCode.COMPLETE: 0,
            results.ResultCode.QUEUE_FULL: 2,
            results.ResultCode.TASK_FAILED: 3,
            results.ResultCode.EARLIER_ATTEMPT: 4,
            results.ResultCode.UNAUTHORIZED: 5,
        }
        for code, expected in cases.items():
            self.assertEqual(expected, base.exit_code(int(code)))
