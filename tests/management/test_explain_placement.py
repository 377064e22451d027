"""Tests of ``explain-placement`` against dispatch hosts in this process."""

import asyncio
import json
import unittest

from tests.management import test_commands
from tests.platform import hosts
from tests.platform import test_callers
from waxwingwalk.host import placement_questions
from waxwingwalk.management import base

TASK = "--queue r-1 --run-time 100 --cores 2 --memory 64"


class ExplainPlacementTests(unittest.IsolatedAsyncioTestCase):
    """Guards against output that is not what the host has answered."""

    async def asyncSetUp(self):
        self.deployment = hosts.Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start(workers=2, hosts=2)
        self.scheduler, self.other = await self.find_scheduler()

    async def run_command(self, arguments, address):
        return await asyncio.to_thread(
            test_commands.run,
            "explain-placement",
            f"{arguments} --address {address}",
        )

    async def find_scheduler(self):
        """Return the addresses of the scheduler and of the other host."""
        addresses = [each.peers for each in self.deployment.configs]
        for _ in range(test_callers.TRIES):
            replies = {}
            for address in addresses:
                code, output, _ = await self.run_command(
                    f"{TASK} --json", address
                )
                if code == base.EXIT_OK:
                    replies[address] = json.loads(output)
            for address, reply in replies.items():
                task = reply["task"]
                (other,) = set(addresses) - {address}
                if (
                    task is not None
                    and task["decision"] == "server"
                    and len(task["backends"]) == 2
                    and other in replies
                    and replies[other]["route"]["scheduler"] == address
                ):
                    return address, other
            await asyncio.sleep(test_callers.PAUSE_SECONDS)
        self.fail("no host schedules the pool with both servers")

    async def test_json_has_the_decision_and_its_figures(self):
        code, output, _ = await self.run_command(
            f"{TASK} --tasks 3 --priority 2 --json", self.scheduler
        )
        self.assertEqual(code, 0)
        reply = json.loads(output)
        self.assertEqual((reply["queue"], reply["priority"]), ("r-1", 2))
        self.assertEqual(reply["route"]["scheduler"], self.scheduler)
        self.assertTrue(reply["admission"]["is_admitted"])
        self.assertEqual(reply["admission"]["useful_until_ms"], 660.0)
        first = reply["task"]["backends"][0]
        self.assertEqual(first["backend"], reply["task"]["backend"])
        self.assertEqual(first["free_processors"], 16_000)

    async def test_table_names_the_server_and_the_reasons(self):
        code, output, _ = await self.run_command(
            "--service refunds --run-time 100 --label a", self.scheduler
        )
        self.assertEqual(code, 0)
        for text in ("route: routed", "admitted", "w-0", "w-1", "chosen"):
            self.assertIn(text, output)

    async def test_host_that_schedules_no_pool(self):
        code, output, _ = await self.run_command(TASK, self.other)
        self.assertEqual(code, 0)
        self.assertIn(f"routed, to {self.scheduler}", output)
        self.assertIn("schedules no pool", output)

    async def test_refused_questions_name_what_is_allowed(self):
        cases = [
            ("--queue r-2 --run-time 9", "unknown queue 'r-2'; the host has"),
            ("--service pubs --run-time 9", "there are queues of refunds"),
            (f"{TASK} --tasks 0", "greater than or equal to 1"),
            (f"{TASK} --tasks 1001", "less than or equal to 1000"),
            (f"{TASK} --cores nan", "cores"),
            (f"{TASK} --priority=-1", "greater than or equal to 0"),
        ]
        for arguments, text in cases:
            with self.subTest(arguments=arguments):
                code, output, error = await self.run_command(
                    arguments, self.scheduler
                )
                self.assertEqual(code, 2)
                self.assertIn(text, output + error)

    async def test_malformed_questions_are_refused(self):
        url = f"http://{self.scheduler}/explain-placement"
        for body in (b"", b"[]", b"\xff", b"x" * 5000, b'{"spec": "s"}'):
            with self.subTest(body=body[:20]):
                async with self.deployment.session.post(
                    url, data=body
                ) as response:
                    self.assertEqual(response.status, 400)
                    content = await response.json()
                self.assertEqual(content["name"], "INVALID_REQUEST")
                self.assertTrue(content["errors"])

    async def test_asking_submits_nothing(self):
        await self.run_command(TASK, self.scheduler)
        for log in self.deployment.logs:
            self.assertNotIn("job.routed", log)
            self.assertNotIn("job.queued", log)

    async def test_address_of_another_listener(self):
        for each in self.deployment.configs:
            code, _, error = await self.run_command(TASK, each.metrics)
            self.assertEqual(code, base.EXIT_USAGE)
            self.assertIn("not the peers' listener", error)


class UsageTests(unittest.TestCase):
    """Guards against unclear errors, and exit codes of their own."""

    def test_wrong_usage(self):
        (address,) = hosts.free_addresses(1)
        cases = [
            (TASK, "--address HOST:PORT is required"),
            (f"--run-time 9 -a {address}", "either --queue or --service"),
            (f"{TASK} --service s -a {address}", "either --queue or"),
            (f"--queue r-1 -a {address}", "--run-time MS is required"),
            (
                f"{TASK} --tasks few -a {address}",
                "--tasks must be a whole number, not 'few'",
            ),
            (f"{TASK} -a {address}", address),
        ]
        for arguments, text in cases:
            with self.subTest(arguments=arguments):
                code, _, error = test_commands.run(
                    "explain-placement", arguments
                )
                self.assertEqual(code, base.EXIT_USAGE)
                self.assertIn(text, error)

    def test_errors_name_a_bounded_number_of_values(self):
        names = {f"q-{number:03}" for number in range(500)}
        text = placement_questions._named(names)
        self.assertTrue(text.endswith("q-019 and 480 more"), text)
