"""Evacuation of zones: which information prevails, and what a host does."""

import datetime
import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import scheduler as dispatch_scheduler

NORTH, SOUTH = reducer_case.ZONE, "south"
Notice = evacuation.Notice
SOUTH_HOST = model.HostRecord("far", "1", SOUTH)
SOUTH_OUTBOUND, SOUTH_INBOUND = 3, 4
SOUTH_ROW_VERSION = 11
SERVERS = 5


class EvacuationTests(unittest.TestCase):
    def setUp(self):
        self.evacuation = evacuation.Evacuation()

    def list_rows(self, version, at=0, **zones):
        return self.evacuation.rows_listed(zones, version, builders.at(at))

    def merge(self, *notices, at=0):
        return self.evacuation.merge(notices, builders.at(at))

    def test_row_evacuates_its_zone_until_it_is_removed(self):
        self.assertEqual(
            self.list_rows(12, north=12), [Notice(NORTH, 12, True)]
        )
        self.assertTrue(self.evacuation.is_evacuated(NORTH))
        self.assertFalse(self.evacuation.is_evacuated(SOUTH))
        self.assertEqual(self.list_rows(15), [Notice(NORTH, 15, False)])
        self.assertFalse(self.evacuation.is_evacuated(NORTH))

    def test_unchanged_rows_change_nothing(self):
        self.list_rows(12, north=12)
        self.assertEqual(self.list_rows(14, north=12), [])

    def test_older_notice_of_an_evacuation_does_not_start_it_again(self):
        # A host that was cut off since before the end still tells of it.
        self.list_rows(12, north=12)
        self.list_rows(15)
        self.assertEqual(self.merge(Notice(NORTH, 12, True)), [])
        self.assertFalse(self.evacuation.is_evacuated(NORTH))

    def test_notice_from_before_the_first_listing_is_corrected(self):
        # This host started after the end, and has never seen the row.
        self.list_rows(15)
        self.assertEqual(self.merge(Notice(NORTH, 12, True)), [])
        self.assertFalse(self.evacuation.is_evacuated(NORTH))
        self.assertEqual(self.evacuation.notices, [Notice(NORTH, 15, False)])

    def test_older_notice_of_an_end_does_not_end_a_newer_evacuation(self):
        self.list_rows(20, north=18)
        self.assertEqual(self.merge(Notice(NORTH, 15, False)), [])
        self.assertTrue(self.evacuation.is_evacuated(NORTH))

    def test_listing_that_lags_behind_does_not_end_an_evacuation(self):
        self.merge(Notice(NORTH, 12, True))
        self.assertEqual(self.list_rows(11), [])
        self.assertTrue(self.evacuation.is_evacuated(NORTH))

    def test_older_listing_is_ignored(self):
        self.list_rows(15)
        self.assertEqual(self.list_rows(12, north=12), [])

    def test_end_at_a_host_with_the_store_reaches_one_without(self):
        cut_off = evacuation.Evacuation()
        cut_off.merge([Notice(NORTH, 12, True)], builders.at(0))
        self.list_rows(12, north=12)
        self.list_rows(15)
        changes = cut_off.merge(self.evacuation.notices, builders.at(0))
        self.assertEqual(changes, [Notice(NORTH, 15, False)])

    def test_share_rises_in_steps_after_the_end(self):
        self.list_rows(12, north=12)
        self.assertEqual(self.evacuation.share(NORTH, builders.at(0)), 0)
        self.list_rows(15, at=1000)
        shares = [
            self.evacuation.share(NORTH, builders.at(1000 + each))
            for each in (0, 499, 500, 1000, 1500, 1999, 2000)
        ]
        self.assertEqual(shares, [0.2, 0.2, 0.4, 0.6, 0.8, 0.8, 1.0])
        self.assertEqual(
            self.evacuation.next_change_at(builders.at(1600)),
            builders.at(2000),
        )

    def test_admitted_jobs_stay_admitted_as_the_share_rises(self):
        self.list_rows(12, north=12)
        self.list_rows(15, at=0)
        admitted = [
            {
                job
                for job in map(str, range(1000))
                if self.evacuation.admits(NORTH, job, builders.at(at))
            }
            for at in (0, 500, 1000, 1500, 2000)
        ]
        for earlier, later in zip(admitted, admitted[1:], strict=False):
            self.assertLess(earlier, later)
        self.assertEqual(len(admitted[-1]), 1000)

    def test_new_evacuation_during_the_ramp_stops_it(self):
        self.list_rows(12, north=12)
        self.list_rows(15, at=0)
        self.list_rows(17, at=300, north=17)
        self.assertEqual(self.evacuation.share(NORTH, builders.at(5000)), 0)

    def test_host_that_has_just_started_knows_nothing_for_a_while(self):
        started = evacuation.Evacuation(builders.at(1000))
        self.assertFalse(started.is_known(builders.at(999)))
        self.assertIsNone(started.notices)
        self.assertTrue(started.is_known(builders.at(1000)))
        started.merge([], builders.at(0))
        self.assertTrue(started.is_known(builders.at(0)))
        self.assertEqual(started.notices, [])


class MessageTests(unittest.TestCase):
    def decode(self, *contents):
        frame = '{"sent_ms": 1, "messages": [' + ",".join(contents) + "]}"
        return messages.decoder.validate_json(frame).messages

    def test_messages_of_the_former_version_tell_nothing(self):
        keep_alive, status = self.decode(
            '{"kind": "keep_alive", "catalog_version": 3}',
            '{"kind": "host_status", "loads": [], "is_leaving": false,'
            ' "catalog_version": 3, "releasing": []}',
        )
        self.assertIsNone(keep_alive.evacuated)
        self.assertIsNone(status.evacuated)

    def test_fields_that_a_version_does_not_know_are_ignored(self):
        # A host of the former version gets the new field.
        (keep_alive,) = self.decode(
            '{"kind": "keep_alive", "catalog_version": 3, "later": [1]}'
        )
        self.assertEqual(keep_alive.catalog_version, 3)

    def test_notices_are_decoded_as_they_were_sent(self):
        sent = messages.Frame(
            1.0, [messages.KeepAlive(3, [Notice(NORTH, 12, True)])]
        )
        content = messages.decoder.dump_json(sent)
        self.assertEqual(messages.decoder.validate_json(content), sent)


class ReducerTests(reducer_case.ReducerTestCase):
    """A host that schedules the north, linked to one that does the south."""

    def build(self, local_host):
        super().build(local_host)
        self.apply(events.LinkOpened(SOUTH_OUTBOUND, SOUTH_HOST, True), 0)
        self.apply(events.LinkOpened(SOUTH_INBOUND, SOUTH_HOST, False), 0)

    def list_rows(self, version, at, **zones):
        return self.apply(events.EvacuationsListed(zones, version), at)

    def hear_of_south(self, at, *, free=(), backlog_ms=0.0):
        """Receive the status of the scheduler of the south."""
        rows = {
            NORTH: (
                reducer_case.ROW_VERSION,
                pool_rows.PoolRow((reducer_case.LOCAL, reducer_case.PEER)),
            ),
            SOUTH: (SOUTH_ROW_VERSION, pool_rows.PoolRow((SOUTH_HOST,))),
        }
        self.apply(events.PoolsListed(rows), at)
        load = messages.PoolLoad(
            SOUTH,
            pool_rows.fence(SOUTH_ROW_VERSION, 0),
            builders.SERVICE,
            list(free),
            backlog_ms,
        )
        status = messages.HostStatus([load], False, 0, [])
        return self.receive(status, at, link=SOUTH_OUTBOUND)

    def submit(self, at, job_id="j", **fields):
        job = builders.job(job_id, now=builders.at(at), **fields)
        return self.apply(events.JobSubmitted(job), at)

    def starts(self, done):
        return builders.of_type(done, effects.StartRun)

    def sent(self, done, kind):
        return [
            (each.link, each.message)
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, kind)
        ]

    def retry_after(self, done):
        (answer,) = builders.of_type(done, effects.AnswerJob)
        return answer.retry_after

    def test_nothing_starts_in_an_evacuated_zone(self):
        self.schedule_here()
        self.hear_of_south(1)
        self.list_rows(12, 2, north=12)
        done = self.submit(3)
        self.assertEqual(self.starts(done), [])
        ((link, _),) = self.sent(done, messages.SubmitJob)
        self.assertEqual(link, SOUTH_OUTBOUND)

    def test_peers_offer_is_declined_in_an_evacuated_zone(self):
        self.schedule_here()
        self.list_rows(12, 2, north=12)
        offer = messages.OfferTask(
            "j",
            0,
            0,
            1,
            "q",
            builders.SERVICE,
            "spec",
            builders.TASK_RESOURCES,
            100.0,
            300.0,
            None,
            None,
        )
        done = self.receive(offer, 3, link=SOUTH_INBOUND)
        self.assertEqual(self.starts(done), [])
        ((_, ended),) = self.sent(done, messages.TaskEnded)
        self.assertIs(ended.end, model.TaskEnd.NOT_RUN)

    def test_peers_job_is_returned_from_an_evacuated_zone(self):
        self.schedule_here()
        self.hear_of_south(1)
        self.list_rows(12, 2, north=12)
        submitted = messages.SubmitJob(
            "j",
            "q",
            builders.SERVICE,
            0,
            3,
            "spec",
            1.6,
            builders.job().steps,
            220.0,
            3000.0,
        )
        done = self.receive(submitted, 3, link=SOUTH_INBOUND)
        self.assertEqual(self.starts(done), [])
        ((_, ended),) = self.sent(done, messages.JobEnded)
        self.assertIs(ended.outcome, model.JobOutcome.NOT_RUN)
        self.assertEqual(ended.reason, dispatch_scheduler.REASON_EVACUATED)

    def test_run_in_progress_ends_by_itself_and_its_job_is_done(self):
        self.schedule_here()
        run = self.start_job()
        done = self.list_rows(12, 4, north=12)
        self.assertEqual(builders.of_type(done, effects.StopRun), [])
        ended = model.EndedRun(1, run.task, run.run, model.RunEnd.DONE)
        done = self.apply(
            builders.polled(self.report, 1100, ended=[ended]), 100
        )
        self.assertEqual(self.answers(done), [(model.JobOutcome.DONE, "done")])

    def test_failed_task_does_not_start_again_in_an_evacuated_zone(self):
        self.schedule_here()
        run = self.start_job()
        self.hear_of_south(4, free=[self.free_room()])
        self.list_rows(12, 5, north=12)
        ended = model.EndedRun(1, run.task, run.run, model.RunEnd.FAILED)
        done = self.apply(
            builders.polled(self.report, 1100, ended=[ended]), 50
        )
        self.assertEqual(self.starts(done), [])
        ((link, offer),) = self.sent(done, messages.OfferTask)
        self.assertEqual((link, offer.run), (SOUTH_OUTBOUND, 2))

    def test_no_task_is_offered_to_an_evacuated_zone(self):
        # The scheduler there may not have announced the end of its capacity.
        self.schedule_here()
        self.hear_of_south(1, free=[self.free_room()])
        self.list_rows(12, 2, south=12)
        done = []
        for number in range(3):
            done += self.submit(3, f"j{number}")
        self.assertEqual(len(self.starts(done)), 2)
        self.assertEqual(self.sent(done, messages.OfferTask), [])

    def free_room(self):
        return messages.FreeRoom(builders.CAPACITY, 1.0)

    def test_queued_job_is_routed_to_another_zone(self):
        self.schedule_here()
        self.hear_of_south(1, backlog_ms=50.0)
        # Two tasks fit on the only server; the third job waits.
        for number in range(3):
            self.submit(2, f"j{number}")
        done = self.list_rows(12, 3, north=12)
        ((link, message),) = self.sent(done, messages.SubmitJob)
        self.assertEqual((link, message.job_id), (SOUTH_OUTBOUND, "j2"))
        # The linked hosts know of the evacuation before they get the job.
        kinds = [
            type(each.message)
            for each in builders.of_type(done, effects.Send)
            if each.link == SOUTH_OUTBOUND
        ]
        self.assertEqual(kinds, [messages.KeepAlive, messages.SubmitJob])

    def test_job_that_is_returned_twice_is_refused(self):
        self.build(model.HostRecord("local", "1", SOUTH))
        self.schedule_at_peer()
        self.hear_of_south(1, backlog_ms=500.0)
        # This host has not heard of the evacuation of the north.
        ((link, message),) = self.sent(self.submit(2), messages.SubmitJob)
        self.assertEqual(link, reducer_case.OUTBOUND)
        returned = messages.JobEnded(
            "j",
            model.JobOutcome.NOT_RUN,
            dispatch_scheduler.REASON_EVACUATED,
            5000.0,
            message.request,
        )
        done = self.receive(returned, 3)
        ((link, _),) = self.sent(done, messages.SubmitJob)
        self.assertEqual(link, SOUTH_OUTBOUND)
        done = self.receive(returned, 4, link=SOUTH_OUTBOUND)
        self.assertEqual(
            self.answers(done),
            [(model.JobOutcome.NOT_RUN, dispatch_scheduler.REASON_EVACUATED)],
        )

    def test_jobs_are_refused_at_once_if_all_zones_are_evacuated(self):
        self.schedule_here()
        self.hear_of_south(1)
        self.list_rows(13, 2, north=12, south=13)
        delays = set()
        for number in range(20):
            done = self.submit(3, f"j{number}")
            self.assertEqual(
                self.answers(done),
                [
                    (
                        model.JobOutcome.NOT_RUN,
                        dispatch_scheduler.REASON_EVACUATED,
                    )
                ],
            )
            delays.add(self.retry_after(done))
        self.assertGreater(len(delays), 10)
        self.assertGreaterEqual(min(delays), datetime.timedelta(seconds=2))
        self.assertLessEqual(max(delays), datetime.timedelta(seconds=5))

    def test_no_capacity_is_advertised_of_an_evacuated_zone(self):
        self.schedule_here()
        self.hear_of_south(1)
        done = self.list_rows(12, 2, north=12)
        statuses = self.sent(done, messages.HostStatus)
        self.assertEqual(
            {link for link, _ in statuses},
            {reducer_case.INBOUND, SOUTH_INBOUND},
        )
        for _, status in statuses:
            (load,) = status.loads
            self.assertEqual(load.free, [])
            self.assertEqual(load.backlog_ms, 5000.0)
            self.assertEqual(status.evacuated, [Notice(NORTH, 12, True)])

    def test_host_without_the_store_learns_from_a_peer_and_passes_it_on(self):
        self.schedule_here()
        keep_alive = messages.KeepAlive(0, [Notice(NORTH, 12, True)])
        done = self.receive(keep_alive, 2, link=reducer_case.INBOUND)
        (log,) = [
            each
            for each in builders.of_type(done, effects.Log)
            if each.event == "evacuation.started"
        ]
        self.assertEqual(
            log.fields, {"zone": NORTH, "version": 12, "source": "peer"}
        )
        told = {link for link, _ in self.sent(done, messages.KeepAlive)}
        self.assertEqual(told, {reducer_case.OUTBOUND, SOUTH_OUTBOUND})
        self.assertEqual(self.starts(self.submit(3)), [])
        # The same again is not passed on again.
        done = self.receive(keep_alive, 4, link=reducer_case.INBOUND)
        self.assertEqual(builders.of_type(done, effects.Send), [])

    def test_servers_of_the_zone_are_used_step_by_step_after_the_end(self):
        reports = tuple(
            builders.report(f"server-{number}") for number in range(SERVERS)
        )
        self.apply(events.BackendsListed(reports), 0)
        self.list_row(reducer_case.LOCAL, reducer_case.PEER)
        for each in reports:
            self.apply(builders.polled(each), 1)
        self.list_rows(12, 2, north=12)
        self.list_rows(15, 100)
        for at, count in ((100, 1), (700, 2), (1200, 3), (1700, 4), (2100, 5)):
            usable = self.reducer.run_tracker.usable(builders.at(at))
            self.assertEqual(len(usable), count, at)

    def test_jobs_beyond_the_share_are_routed_elsewhere_after_the_end(self):
        self.schedule_here()
        self.hear_of_south(1)
        self.list_rows(12, 2, north=12)
        self.list_rows(15, 100)
        local = []
        for number in range(100):
            done = self.submit(101, f"j{number}")
            if not self.sent(done, messages.SubmitJob):
                local.append(f"j{number}")
        self.assertGreater(len(local), 0)
        for job_id in local:
            share = evacuation.hash_share(job_id)
            self.assertLess(share, 0.2)

    def test_zone_alone_is_used_at_once_after_the_end(self):
        # No other zone can take the jobs beyond its share.
        self.schedule_here()
        self.list_rows(12, 2, north=12)
        self.list_rows(15, 100)
        for number in range(2):
            self.assertEqual(
                len(self.starts(self.submit(101, f"j{number}"))), 1
            )


class RestartedHostTests(reducer_case.ReducerTestCase):
    """A host that has restarted, and reads the operators' rows late."""

    def build(self, local_host):
        super().build(local_host)
        self.reducer = dispatch_reducer.Reducer(
            local_host,
            builders.START,
            zone_evacuation=evacuation.Evacuation(
                builders.START + evacuation.LEARN_LIMIT
            ),
        )
        self.apply(
            events.LinkOpened(reducer_case.OUTBOUND, reducer_case.PEER, True),
            0,
        )
        self.apply(
            events.LinkOpened(reducer_case.INBOUND, reducer_case.PEER, False),
            0,
        )
        self.apply(events.BackendsListed((self.report,)), 0)

    def submit(self, at):
        job = builders.job(estimate=1000, now=builders.at(at))
        done = self.apply(events.JobSubmitted(job), at)
        return builders.of_type(done, effects.StartRun)

    def test_nothing_starts_before_a_peer_has_told_of_evacuations(self):
        self.schedule_here()
        self.assertEqual(self.submit(2), [])
        done = self.receive(messages.KeepAlive(0, []), 3)
        done += self.tick_until(50, start=25)
        self.assertEqual(len(builders.of_type(done, effects.StartRun)), 1)

    def test_nothing_starts_if_the_peer_tells_of_an_evacuation(self):
        self.schedule_here()
        self.assertEqual(self.submit(2), [])
        done = self.receive(
            messages.KeepAlive(0, [Notice(NORTH, 12, True)]), 3
        )
        done += self.tick_until(500, start=25)
        self.assertEqual(builders.of_type(done, effects.StartRun), [])

    def test_peer_that_knows_nothing_does_not_end_the_wait(self):
        self.schedule_here()
        self.assertEqual(self.submit(2), [])
        done = self.receive(messages.KeepAlive(0), 3)
        done += self.tick_until(500, start=25)
        self.assertEqual(builders.of_type(done, effects.StartRun), [])

    def test_work_starts_after_a_while_if_nobody_knows(self):
        self.schedule_here()
        self.assertEqual(self.submit(2), [])
        starts = []
        for at in range(100, 1100, 100):
            done = self.receive(messages.KeepAlive(0), at)
            done += self.receive(messages.HostStatus([], False, 0, []), at)
            done += self.receive(
                messages.KeepAlive(0), at, reducer_case.INBOUND
            )
            done += self.apply(events.Ticked(), at)
            starts += [at] * len(builders.of_type(done, effects.StartRun))
        self.assertEqual(starts, [1000])


if __name__ == "__main__":
    unittest.main()
