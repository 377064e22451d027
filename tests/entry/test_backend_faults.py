"""Tests with faulty backend servers, over real connections.

The stand-in backend server runs every task that it receives, even if it
receives the task twice, and counts the starts. The tests check these counts.
"""

import asyncio

from tests.entry import jobs
from waxwingwalk.core import results
from waxwingwalk.testing import backend
from waxwingwalk.testing import fleet

Code = results.ResultCode
Fault = backend.Fault

# Fault of the only backend server, deadline in seconds, expected result code,
# whether the task is expected to start.
FAULTS = [
    (Fault.FAIL_ALL, 10, Code.TASK_FAILED, True),
    (Fault.SILENT, 1.5, Code.DEADLINE_EXCEEDED, True),
    (Fault.RESET, 10, Code.TASK_LOST, False),
    (Fault.RUN_AND_RESET, 10, Code.TASK_LOST, True),
    (Fault.NOT_RUN, 0.6, Code.DEADLINE_UNSTARTED, False),
    (Fault.OTHER_TASK, 10, Code.TASK_LOST, True),
    (Fault.OTHER_INCARNATION, 10, Code.TASK_LOST, True),
    (Fault.MALFORMED, 10, Code.TASK_LOST, True),
    (Fault.TWICE, 10, Code.COMPLETE, True),
    (Fault.LATE, 1.5, Code.DEADLINE_EXCEEDED, True),
]


class BackendFaultTests(jobs.FleetTestCase):
    async def test_each_fault_gets_its_code_and_at_most_one_start(self):
        for fault, deadline, code, is_started in FAULTS:
            with self.subTest(fault=fault.value):
                async with fleet.Fleet() as started:
                    (server,) = await jobs.add_backends(started, 1)
                    server.fault = fault
                    reply = await started.submit(
                        0, jobs.job(count=1, deadline_seconds=deadline)
                    )
                    self.assertEqual(code, reply["code"], reply)
                    starts = started.starts()
                    self.assertEqual(is_started, bool(starts))
                    self.assertLessEqual(max(starts.values(), default=0), 1)

    async def test_reset_of_reused_connection_repeats_no_task(self):
        """An HTTP client must not resend when a reused connection breaks.

        The task could run twice.
        """
        for fault in (Fault.RESET, Fault.RUN_AND_RESET):
            with self.subTest(fault=fault.value):
                async with fleet.Fleet() as started:
                    (server,) = await jobs.add_backends(started, 1)
                    await started.submit(0, jobs.job(count=1))
                    server.fault = fault
                    reply = await started.submit(0, jobs.job(count=1))
                    self.assertEqual(Code.TASK_LOST, reply["code"], reply)
                    self.assertEqual({1}, set(started.starts().values()))

    async def test_repeated_refusal_starts_no_task_twice(self):
        """The repetition arrives while the next attempt is running."""
        async with fleet.Fleet() as started:
            (server,) = await jobs.add_backends(started, 1)
            state = started.entries[0].engine.state
            server.fault = Fault.NOT_RUN_REPEAT_LATER
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=1, seconds=0.8))
            )
            await jobs.wait_until(lambda: state.counters.tasks_not_started)
            server.fault = Fault.NONE
            reply = await running
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            await asyncio.sleep(0.2)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_repeated_reply_loses_only_the_next_task(self):
        async with fleet.Fleet() as started:
            (server,) = await jobs.add_backends(started, 1)
            server.fault = Fault.REPEAT_LATER
            await started.submit(0, jobs.job(count=1))
            server.fault = Fault.NONE
            codes = []
            for _ in range(5):
                reply = await started.submit(0, jobs.job(count=1, seconds=0.2))
                codes.append(reply["code"])
            self.assertEqual([Code.TASK_LOST] + [Code.COMPLETE] * 4, codes)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_reply_for_another_task_reaches_no_caller(self):
        async with fleet.Fleet() as started:
            (server,) = await jobs.add_backends(started, 1)
            server.fault = Fault.OTHER_TASK
            reply = await started.submit(0, jobs.job(count=2))
            self.assertNotIn("results", reply)
            state = started.entries[0].engine.state
            self.assertGreater(state.counters.foreign_replies, 0)

    async def test_refused_connection_moves_tasks_to_other_server(self):
        async with fleet.Fleet() as started:
            servers = await jobs.add_backends(started, 2)
            await servers[0].close()
            reply = await started.submit(0, jobs.job(count=8))
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual(8, servers[1].starts.total())
            self.assertEqual({1}, set(started.starts().values()))

    async def test_crash_during_a_task_loses_only_its_job(self):
        async with fleet.Fleet() as started:
            servers = await jobs.add_backends(started, 2)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=16, seconds=0.5))
            )
            await jobs.wait_until(lambda: servers[0].starts.total() == 8)
            await servers[0].close()
            reply = await running
            self.assertEqual(Code.TASK_LOST, reply["code"])
            later = await started.submit(0, jobs.job(count=16))
            self.assertEqual(Code.COMPLETE, later["code"], later)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_stale_connections_are_not_reused(self):
        changes = {"defaults.connection_freshness": "100 ms"}
        async with fleet.Fleet(settings=changes) as started:
            (server,) = await jobs.add_backends(started, 1)
            await started.submit(0, jobs.job(count=8))
            server.silence_open_connections()
            await asyncio.sleep(0.3)
            reply = await started.submit(0, jobs.job(deadline_seconds=5))
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_result_behind_silent_connection_is_queried(self):
        """A task ran but its reply was lost; its status has the result."""
        changes = {"defaults.overdue_factor": 1.5}
        async with fleet.Fleet(settings=changes) as started:
            (server,) = await jobs.add_backends(started, 1)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=2, seconds=0.3))
            )
            await jobs.wait_until(lambda: server.starts.total() == 2)
            server.silence_open_connections()
            reply = await asyncio.wait_for(running, 10)
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual([0, 1], reply["results"])
            self.assertEqual({1}, set(started.starts().values()))

    async def test_lost_task_ends_its_job_before_the_deadline(self):
        """A status query finds that the request for a task never arrived."""
        changes = {
            "defaults.overdue_factor": 1.5,
            "defaults.connection_freshness": "10 s",
        }
        async with fleet.Fleet(settings=changes) as started:
            (server,) = await jobs.add_backends(started, 1)
            await started.submit(0, jobs.job(count=8))
            before = started.starts()
            server.silence_open_connections()
            reply = await asyncio.wait_for(
                started.submit(0, jobs.job(count=1, deadline_seconds=60)), 20
            )
            self.assertEqual(Code.TASK_LOST, reply["code"], reply)
            self.assertEqual(before, started.starts())

    async def test_server_that_is_silent_for_a_while_keeps_its_tasks(self):
        """It is paused for longer than status queries take to fail twice."""
        async with fleet.Fleet() as started:
            (server,) = await jobs.add_backends(started, 1)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=2, seconds=0.1))
            )
            await jobs.wait_until(lambda: server.starts.total() == 2)
            server.pause()
            await asyncio.sleep(5)
            self.assertFalse(running.done())
            server.resume()
            reply = await asyncio.wait_for(running, 10)
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_silent_server_loses_its_tasks_with_their_lease(self):
        changes = {"defaults.task_lease": "1 s"}
        async with fleet.Fleet(settings=changes) as started:
            (server,) = await jobs.add_backends(started, 1)
            running = asyncio.create_task(
                started.submit(0, jobs.job(seconds=0.1, deadline_seconds=60))
            )
            await jobs.wait_until(lambda: server.starts.total() == 6)
            server.pause()
            reply = await asyncio.wait_for(running, 15)
            self.assertEqual(Code.TASK_LOST, reply["code"], reply)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_leaving_backend_server_gets_no_new_work(self):
        async with fleet.Fleet(entries=2) as started:
            servers = await jobs.add_backends(started, 2)
            servers[0].is_leaving = True
            started.list_backend(servers[0])
            states = [entry.engine.state for entry in started.entries]
            await jobs.wait_until(
                lambda: all(
                    state.registry.get("backend-0").spec.state.value
                    == "leaving"
                    for state in states
                )
            )
            before = servers[0].starts.total()
            for entry in (0, 1):
                reply = await started.submit(entry, jobs.job(count=10))
                self.assertEqual(Code.COMPLETE, reply["code"])
            self.assertEqual(before, servers[0].starts.total())

    async def test_leaving_in_a_reply_overrides_stale_host_list(self):
        """The host list is stale; a reply that says "leaving" overrides it."""
        async with fleet.Fleet(entries=2) as started:
            servers = await jobs.add_backends(started, 2)
            servers[0].is_leaving = True
            await started.submit(0, jobs.job(count=16))
            states = [entry.engine.state for entry in started.entries]
            await jobs.wait_until(
                lambda: all(
                    state.registry.get("backend-0").spec.state.value
                    == "leaving"
                    for state in states
                )
            )

    async def test_restarted_process_sends_nothing_to_a_leaving_server(self):
        """The host list is stale; only peers know that the server leaves."""
        async with fleet.Fleet(entries=2) as started:
            servers = await jobs.add_backends(started, 2)
            servers[0].is_leaving = True
            await started.submit(0, jobs.job(count=16))
            states = [entry.engine.state for entry in started.entries]
            await jobs.wait_until(
                lambda: all(
                    state.registry.get("backend-0").spec.state.value
                    == "leaving"
                    for state in states
                )
            )
            await started.kill_entry(started.entries[1])
            await started.add_entry("zone-1")
            await started.wait_until_ready()
            before = servers[0].starts.total()
            reply = await started.submit(2, jobs.job(count=16))
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual(before, servers[0].starts.total())

    async def test_backend_server_that_fails_all_tasks_is_ejected(self):
        async with fleet.Fleet() as started:
            servers = await jobs.add_backends(started, 3)
            servers[0].fault = Fault.FAIL_ALL
            replies = [
                await started.submit(0, jobs.job(count=24)) for _ in range(12)
            ]
            codes = [reply["code"] for reply in replies]
            self.assertEqual([Code.COMPLETE] * 6, codes[-6:])
            self.assertEqual({1}, set(started.starts().values()))

    async def test_job_that_always_fails_ejects_no_backend_server(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 2)
            bad = jobs.job(count=1)
            bad["tasks"][0]["payload"]["fail"] = True
            bad["team"] = "pubs"
            for _ in range(30):
                await started.submit(0, jobs.job(count=4))
                reply = await started.submit(0, bad)
                self.assertEqual(Code.TASK_FAILED, reply["code"])
            state = started.entries[0].engine.state
            self.assertEqual(0, state.counters.backends_set_aside)
