"""Tests with faults of the platform's store and host list."""

import asyncio

from tests.entry import jobs
from waxwingwalk.core import results
from waxwingwalk.testing import fleet
from waxwingwalk.testing import platform

Code = results.ResultCode
Fault = platform.PlatformFault


class ClaimTests(jobs.FleetTestCase):
    # Fault, expected code of a submission with a caller's key, tasks started.
    FAULTS = [
        (Fault.DOWN, Code.STORE_UNAVAILABLE, 0),
        (Fault.LOSE_REQUEST, Code.STORE_UNAVAILABLE, 0),
        (Fault.LOSE_REPLY, Code.STORE_UNAVAILABLE, 0),
    ]

    async def test_store_faults_refuse_only_keyed_jobs(self):
        await asyncio.gather(
            *(self.check_store_fault(*case) for case in self.FAULTS)
        )

    async def check_store_fault(self, fault, code, count):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            started.platform.fault = fault
            keyed, unkeyed = await asyncio.gather(
                started.submit(0, jobs.job(key="crate-7")),
                started.submit(0, jobs.job(count=3)),
            )
            self.assertEqual(code, keyed["code"], (fault, keyed))
            self.assertEqual(Code.COMPLETE, unkeyed["code"], (fault, unkeyed))
            self.assertEqual(3 + count, len(started.starts()), fault)

    async def test_lost_reply_is_settled_by_reading_the_row(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            started.platform.fault = Fault.LOSE_REPLY
            running = asyncio.create_task(
                started.submit(0, jobs.job(key="crate-7"))
            )
            await jobs.wait_until(lambda: started.platform.rows("claims"))
            started.platform.fault = Fault.NONE
            reply = await running
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_refused_key_runs_when_resubmitted(self):
        """The claim was written but its reply was lost.

        The process that wrote the claim may still run the job.
        """
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            started.platform.fault = Fault.LOSE_REPLY
            job = jobs.job(key="crate-7")
            reply = await started.submit(0, job)
            self.assertEqual(Code.STORE_UNAVAILABLE, reply["code"])
            started.platform.fault = Fault.NONE
            for entry in (1, 0):
                reply = await started.submit(entry, job)
                self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual(6, len(started.starts()))
            self.assertEqual({1}, set(started.starts().values()))

    async def test_slow_store_delays_claims_and_loses_none(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            started.platform.latency = 1.0
            replies = await asyncio.gather(
                *(
                    started.submit(0, jobs.job(count=2, key=f"crate-{i % 3}"))
                    for i in range(6)
                )
            )
            self.assertEqual({Code.COMPLETE}, {r["code"] for r in replies})
            self.assertEqual(6, len(started.starts()))
            self.assertEqual({1}, set(started.starts().values()))

    async def test_issued_keys_work_during_store_outage(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            started.platform.fault = Fault.DOWN
            issued = await started.request(
                0, "POST", "/v1/keys", {"team": "shops", "count": 1}
            )
            job = jobs.job(key=issued["keys"][0], idempotent=False)
            for entry in (0, 1):
                reply = await started.submit(entry, job)
                self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual(6, len(started.starts()))

    async def test_claims_of_many_jobs_are_batched(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 4)
            started.platform.requests.clear()
            replies = await asyncio.gather(
                *(
                    started.submit(0, jobs.job(count=1, key=f"crate-{i}"))
                    for i in range(100)
                )
            )
            self.assertEqual({Code.COMPLETE}, {r["code"] for r in replies})
            self.assertLess(started.platform.requests["write"], 30)


class SettingsTests(jobs.FleetTestCase):
    async def test_change_is_applied_by_all_processes(self):
        async with fleet.Fleet(entries=4) as started:
            await jobs.add_backends(started, 1)
            reply = await started.change_settings(
                {"defaults.job_max_tasks": 3}, entry=2
            )
            states = [entry.engine.state for entry in started.entries]
            await jobs.wait_until(
                lambda: all(
                    state.settings.number == reply["revision"]
                    for state in states
                )
            )
            for entry in range(4):
                refused = await started.submit(entry, jobs.job(count=4))
                self.assertEqual(Code.TOO_MANY_TASKS, refused["code"])

    async def test_new_process_gets_the_revision_from_a_peer(self):
        """An entry process is replaced while the store is down."""
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            changed = await started.change_settings(
                {"defaults.job_max_tasks": 3}
            )
            started.platform.fault = Fault.DOWN
            await started.kill_entry(started.entries[0])
            new = await started.add_entry("zone-1")
            state = new.engine.state
            self.assertFalse(state.settings.is_ready)
            await jobs.wait_until(lambda: state.settings.is_ready)
            self.assertEqual(changed["revision"], state.settings.number)

    async def test_process_without_any_revision_does_not_serve(self):
        async with fleet.Fleet(entries=0) as started:
            started.platform.fault = Fault.DOWN
            await started.add_entry("zone-1")
            reply = await started.submit(0, jobs.job())
            self.assertEqual(Code.NOT_READY, reply["code"])
            ready = await started.request(0, "GET", "/ready")
            self.assertEqual(Code.NOT_READY, ready["code"])

    async def test_partitioned_zone_catches_up_and_never_reverts(self):
        """Settings change while a zone is cut off from peers and platform."""
        async with fleet.Fleet(entries=1) as started:
            await jobs.add_backends(started, 1)
            second_address = await started.platform.listen()
            port = int(second_address.rpartition(":")[2])
            other = await started.add_entry(
                "b", platform_url=f"http://{second_address}"
            )
            await started.wait_until_ready()
            started.block_messages([0], [1])
            started.platform.unreachable_ports.add(port)
            changed = await started.change_settings(
                {"defaults.job_max_tasks": 3}
            )
            state = other.engine.state
            seen = [state.settings.number]
            self.assertLess(seen[0], changed["revision"])
            started.blocked_pairs.clear()
            await jobs.wait_until(
                lambda: (
                    seen.append(state.settings.number)
                    or seen[-1] == changed["revision"]
                )
            )
            self.assertEqual(sorted(seen), seen)

    async def test_change_without_store_is_refused_and_not_applied(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            before = started.entries[0].engine.state.settings.number
            started.platform.fault = Fault.DOWN
            reply = await started.change_settings(
                {"defaults.job_max_tasks": 3}
            )
            self.assertEqual(Code.SETTINGS_STORE_UNAVAILABLE, reply["code"])
            after = started.entries[0].engine.state.settings.number
            self.assertEqual(before, after)

    async def test_malformed_row_of_the_host_list_costs_only_itself(self):
        """The other rows are in force, and its own server stays in use."""
        async with fleet.Fleet() as started:
            servers = await jobs.add_backends(started, 2)
            row = {**servers[0].host_list_entry(), "slots": "many"}
            started.platform.put_host("backend_servers", row)
            started.platform.put_host("entry_hosts", {"id": "no-address"})
            servers[1].is_leaving = True
            started.list_backend(servers[1])
            registry = started.entries[0].engine.state.registry
            await jobs.wait_until(
                lambda: registry.get("backend-1").spec.state.value == "leaving"
            )
            before = servers[1].starts.total()
            reply = await started.submit(0, jobs.job(count=4))
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual(before, servers[1].starts.total())

    async def test_stale_host_list_keeps_the_fleet_serving(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 2)
            started.platform.fault = Fault.SILENT
            reply = await started.submit(0, jobs.job(count=20))
            self.assertEqual(Code.COMPLETE, reply["code"])
