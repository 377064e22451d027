"""Entry processes: crashes, keys, partitions, quotas, drains and callers."""

import asyncio
import time

from tests.entry import jobs
from waxwingwalk.core import events
from waxwingwalk.core import results
from waxwingwalk.jobs import keys
from waxwingwalk.testing import fleet

Code = results.ResultCode


class CrashTests(jobs.FleetTestCase):
    async def test_crash_loses_only_own_jobs_and_frees_slots(self):
        changes = {"defaults.slot_sharing": "owner"}
        async with fleet.Fleet(entries=3, settings=changes) as started:
            servers = await jobs.add_backends(started, 3)
            lost_job = asyncio.create_task(
                started.submit(0, jobs.job(count=24, seconds=2))
            )
            lost_job.add_done_callback(lambda task: task.exception())
            await jobs.wait_until(
                lambda: sum(s.starts.total() for s in servers) == 24
            )
            other = asyncio.create_task(
                started.submit(1, jobs.job(count=3, deadline_seconds=20))
            )
            await started.kill_entry(started.entries[0])
            reply = await other
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            pools = [
                pool
                for entry in started.live_entries()
                for pool in entry.engine.state.sharing.pools.values()
            ]
            await jobs.wait_until(lambda: all(p.free() == 8 for p in pools))
            self.assertEqual({1}, set(started.starts().values()))

    async def test_job_of_crashed_coordinator_has_unknown_outcome(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            accepted = await started.submit(0, jobs.job(seconds=5, wait=False))
            await started.kill_entry(started.entries[0])
            path = f"/v1/jobs/{accepted['job']}"
            reply = await started.request(1, "GET", path)
            self.assertEqual(Code.COORDINATOR_LOST, reply["code"])

    async def test_restart_at_same_address_is_another_incarnation(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            issued = await started.request(
                0, "POST", "/v1/keys", {"team": "shops", "count": 1}
            )
            (key,) = issued["keys"]
            accepted = await started.submit(0, jobs.job(wait=False))
            old = started.entries[0]
            port = int(old.peers_address.rpartition(":")[2])
            await started.kill_entry(old)
            await started.add_entry("zone-1", peers_port=port)
            await started.wait_until_ready()
            self.assertEqual(
                old.peers_address, started.entries[2].peers_address
            )
            path = f"/v1/jobs/{accepted['job']}"
            for entry in (1, 2):
                with self.subTest(entry=entry):
                    reply = await started.request(entry, "GET", path)
                    self.assertEqual(Code.COORDINATOR_LOST, reply["code"])
                    reply = await started.submit(entry, jobs.job(key=key))
                    self.assertEqual(Code.KEY_INCARNATION_GONE, reply["code"])


class KeyTests(jobs.FleetTestCase):
    async def test_resubmissions_to_any_process_join_one_run(self):
        """Covers issued and callers' keys, during the run and after it."""
        async with fleet.Fleet(entries=3) as started:
            await jobs.add_backends(started, 2)
            issued = await started.request(
                1, "POST", "/v1/keys", {"team": "shops", "count": 1}
            )
            for key in (issued["keys"][0], "crate-7"):
                with self.subTest(key=key):
                    before = len(started.starts())
                    job = jobs.job(key=key, idempotent=False, seconds=0.1)
                    replies = await asyncio.gather(
                        *(started.submit(i % 3, job) for i in range(6))
                    )
                    replies.append(await started.submit(2, job))
                    for reply in replies:
                        self.assertEqual(Code.COMPLETE, reply["code"], reply)
                        self.assertEqual(list(range(6)), reply["results"])
                    self.assertEqual(before + 6, len(started.starts()))
            self.assertEqual({1}, set(started.starts().values()))

    async def test_key_of_another_job_is_refused(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            await started.submit(0, jobs.job(key="crate-7"))
            reply = await started.submit(0, jobs.job(count=7, key="crate-7"))
            self.assertEqual(Code.KEY_REUSED, reply["code"])

    async def test_claim_of_crashed_process_is_never_rerun(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            job = jobs.job(key="crate-7", seconds=0.2)
            first = asyncio.create_task(started.submit(0, job))
            first.add_done_callback(lambda task: task.exception())
            await jobs.wait_until(lambda: len(started.starts()) == 6)
            await started.kill_entry(started.entries[0])
            reply = await started.submit(1, job)
            self.assertEqual(Code.EARLIER_ATTEMPT, reply["code"])
            self.assertEqual(6, len(started.starts()))

    async def test_forgotten_run_of_a_key_is_not_repeated(self):
        """The answers, and the use of the keys, are no longer in memory."""
        changes = {
            "defaults.issued_key_lifetime": "1 s",
            "defaults.answer_retention": "0 s",
        }
        async with fleet.Fleet(entries=2, settings=changes) as started:
            await jobs.add_backends(started, 1)
            issued = await self.issue_key(started)
            for key in (issued, "crate-7"):
                reply = await started.submit(0, jobs.job(key=key))
                self.assertEqual(Code.COMPLETE, reply["code"], reply)
            await asyncio.sleep(2.1)
            engine = started.entries[0].engine
            keys.forget_expired(engine.state, engine.clock.now())
            self.assertEqual({}, engine.state.used_keys)
            for entry in (0, 1):
                for key in (issued, "crate-7"):
                    with self.subTest(entry=entry, key=key):
                        reply = await started.submit(entry, jobs.job(key=key))
                        code = Code(reply["code"])
                        self.assertIs(results.Family.UNKNOWN, code.family)
            self.assertEqual(12, len(started.starts()))
            self.assertEqual({1}, set(started.starts().values()))

    async def test_key_that_expires_during_a_pause_starts_nothing(self):
        changes = {"defaults.issued_key_lifetime": "1 s"}
        async with fleet.Fleet(settings=changes) as started:
            await jobs.add_backends(started, 1)
            key = await self.issue_key(started)
            running = asyncio.create_task(started.submit(0, jobs.job(key=key)))
            await asyncio.sleep(0)
            # Blocks the event loop: the request is read after the pause.
            time.sleep(1.2)
            reply = await running
            self.assertEqual(Code.KEY_EXPIRED, reply["code"], reply)
            self.assertEqual({}, started.starts())

    async def issue_key(self, started):
        """Return a key that the first process has issued."""
        issued = await started.request(
            0, "POST", "/v1/keys", {"team": "shops", "count": 1}
        )
        return issued["keys"][0]

    async def test_issued_key_of_another_team_is_refused(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            issued = await started.request(
                0, "POST", "/v1/keys", {"team": "pubs", "count": 1}
            )
            reply = await started.submit(0, jobs.job(key=issued["keys"][0]))
            self.assertEqual(Code.KEY_INVALID, reply["code"])
            self.assertEqual({}, started.starts())


class PartitionTests(jobs.FleetTestCase):
    settings = {
        "defaults.probe_interval": "100 ms",
        "defaults.peer_timeout": "600 ms",
    }

    async def test_partitioned_zone_serves_and_rejoins(self):
        zones = ("a", "b")
        async with fleet.Fleet(zones, 4, settings=self.settings) as started:
            await jobs.add_backends(started, 4, zones=zones)
            cut_address = await started.platform.listen()
            started.platform.unreachable_ports.add(
                int(cut_address.rpartition(":")[2])
            )
            started.block_messages([0, 2], [1, 3])
            states = [entry.engine.state for entry in started.entries]
            await jobs.wait_until(
                lambda: all(
                    len(state.membership.live_addresses()) == 2
                    for state in states
                )
            )
            for entry in range(4):
                reply = await started.submit(entry, jobs.job(count=12))
                self.assertEqual(Code.COMPLETE, reply["code"], reply)
            started.blocked_pairs.clear()
            await jobs.wait_until(
                lambda: all(
                    len(state.membership.live_addresses()) == 4
                    for state in states
                )
            )
            reply = await started.submit(1, jobs.job(count=40))
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual({1}, set(started.starts().values()))

    async def test_one_way_partition_breaks_no_guarantee(self):
        async with fleet.Fleet(entries=3, settings=self.settings) as started:
            await jobs.add_backends(started, 3)
            started.block_messages([0], [1], both=False)
            replies = await asyncio.gather(
                *(started.submit(i % 3, jobs.job(count=9)) for i in range(30))
            )
            self.assertEqual({Code.COMPLETE}, {r["code"] for r in replies})
            self.assertEqual({1}, set(started.starts().values()))


class QuotaTests(jobs.FleetTestCase):
    async def test_small_quota_is_enforced_across_processes(self):
        """A quota of 2 tasks, with jobs through each of 4 processes."""
        changes = {"teams.shops.quota": 2}
        async with fleet.Fleet(entries=4, settings=changes) as started:
            (server,) = await jobs.add_backends(started, 1)
            states = [entry.engine.state for entry in started.entries]
            await jobs.wait_until(
                lambda: all(state.settings.number == 1 for state in states)
            )
            running = asyncio.gather(
                *(
                    started.submit(i % 4, jobs.job(count=4, seconds=0.1))
                    for i in range(8)
                )
            )
            max_running = 0
            while not running.done():
                max_running = max(max_running, server.running)
                await asyncio.sleep(0.01)
            self.assertEqual(
                {Code.COMPLETE}, {reply["code"] for reply in await running}
            )
            self.assertEqual(2, max_running)


class DrainTests(jobs.FleetTestCase):
    async def test_drain_completes_jobs_in_progress(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 2)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=30, seconds=0.2))
            )
            await jobs.wait_until(lambda: len(started.starts()) > 8)
            stopping = asyncio.create_task(started.entries[0].service.stop())
            await asyncio.sleep(0.05)
            refused = await started.submit(0, jobs.job())
            self.assertEqual(Code.DRAINING, refused["code"])
            reply = await running
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            await stopping
            started.mark_ended(started.entries[0])
            self.assertEqual({1}, set(started.starts().values()))

    async def test_drain_waits_for_forwarded_requests(self):
        """The job runs at the issuer of its key, its caller waits here."""
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            issued = await started.request(
                1, "POST", "/v1/keys", {"team": "shops", "count": 1}
            )
            job = jobs.job(key=issued["keys"][0], seconds=2.5)
            running = asyncio.create_task(started.submit(0, job))
            await jobs.wait_until(lambda: len(started.starts()) == 6)
            stopping = asyncio.create_task(started.entries[0].service.stop())
            await asyncio.sleep(0.05)
            refused = await started.submit(0, job)
            self.assertEqual(Code.DRAINING, refused["code"])
            reply = await running
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            await stopping
            started.mark_ended(started.entries[0])

    async def test_second_signal_does_not_wait_for_forwarded_requests(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            issued = await started.request(
                1, "POST", "/v1/keys", {"team": "shops", "count": 1}
            )
            job = jobs.job(key=issued["keys"][0], seconds=20)
            running = asyncio.create_task(started.submit(0, job))
            await jobs.wait_until(lambda: len(started.starts()) == 6)
            entry = started.entries[0]
            stopping = asyncio.create_task(entry.service.stop())
            await asyncio.sleep(0.05)
            entry.engine.apply(events.DrainForced())
            reply = await asyncio.wait_for(running, 5)
            self.assertEqual(Code.FORWARD_LOST, reply["code"], reply)
            await asyncio.wait_for(stopping, 5)
            started.mark_ended(entry)

    async def test_forced_drain_ends_jobs_with_drain_ended(self):
        async with fleet.Fleet() as started:
            await jobs.add_backends(started, 1)
            running = asyncio.create_task(
                started.submit(0, jobs.job(count=9, seconds=5))
            )
            await jobs.wait_until(lambda: len(started.starts()) == 8)
            stopping = asyncio.create_task(started.entries[0].service.stop())
            await asyncio.sleep(0.05)
            started.entries[0].engine.apply(events.DrainForced())
            reply = await running
            self.assertEqual(Code.DRAIN_ENDED, reply["code"])
            await stopping
            started.mark_ended(started.entries[0])


class CallerTests(jobs.FleetTestCase):
    async def test_thousand_cancellations_at_once(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 2)
            accepted = [
                await started.submit(
                    i % 2, jobs.job(count=1, seconds=30, wait=False)
                )
                for i in range(1000)
            ]
            paths = [f"/v1/jobs/{each['job']}" for each in accepted]
            replies = await asyncio.gather(
                *(
                    started.request(i % 2, "DELETE", path)
                    for i, path in enumerate(paths)
                )
            )
            starts = started.starts()
            for path, reply in zip(paths, replies, strict=True):
                name = f"{path.removeprefix('/v1/jobs/')}/0"
                is_started = reply["code"] == Code.CANCELLED
                self.assertEqual(is_started, name in starts, reply)
            after = await started.submit(0, jobs.job(count=16))
            self.assertEqual(Code.COMPLETE, after["code"], after)

    async def test_disconnected_caller_gets_answer_by_key(self):
        async with fleet.Fleet(entries=2) as started:
            await jobs.add_backends(started, 1)
            job = jobs.job(key="crate-7", seconds=0.2)
            first = asyncio.create_task(started.submit(0, job))
            await jobs.wait_until(lambda: len(started.starts()) == 6)
            first.cancel()
            reply = await started.submit(1, job)
            self.assertEqual(Code.COMPLETE, reply["code"], reply)
            self.assertEqual(6, len(started.starts()))
