import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import run_tracker

Outcome = model.CallOutcome
End = model.TaskEnd
FENCE = 7


class RunTrackerTests(unittest.TestCase):
    def setUp(self):
        self.run_tracker = run_tracker.RunTracker()
        self.report = builders.report()
        self.incarnation = self.report.incarnation

    def acquire(self):
        self.run_tracker.acquire(self.report, FENCE, builders.START)
        self.poll(1)
        return self.run_tracker.get(self.incarnation)

    def poll(self, at, *, server_clock_ms=1000, running=(), ended=()):
        return self.run_tracker.polled(
            self.incarnation,
            Outcome.ACCEPTED,
            server_clock_ms,
            tuple(running),
            tuple(ended),
            builders.at(at),
        )

    def start(self, order, at=2):
        backend = self.run_tracker.get(self.incarnation)
        return self.run_tracker.start(order, backend, builders.at(at))

    def answer_start(self, key, outcome, at=3, server_clock_ms=1002):
        return self.run_tracker.started(
            self.incarnation, key, outcome, server_clock_ms, builders.at(at)
        )

    def ends(self):
        return [each.end for each in self.run_tracker.ended]

    def test_first_poll_carries_the_fence_and_no_lease(self):
        done = self.run_tracker.acquire(self.report, FENCE, builders.START)
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertEqual(poll.fence, FENCE)
        self.assertIsNone(poll.lease_ends_ms)

    def test_runs_of_a_former_scheduler_are_stopped_before_use(self):
        self.run_tracker.acquire(self.report, FENCE, builders.START)
        foreign = model.RunKey("other.0.0.0", 3)
        done = self.poll(1, running=[foreign])
        (stop,) = builders.of_type(done, effects.StopRun)
        self.assertEqual(stop.run, foreign)
        backend = self.run_tracker.get(self.incarnation)
        self.assertFalse(backend.is_usable(builders.at(2)))
        self.run_tracker.tick(builders.at(200))
        ended = model.EndedRun(1, foreign.task, 3, model.RunEnd.STOPPED)
        self.poll(201, ended=[ended])
        self.assertTrue(backend.is_usable(builders.at(202)))

    def test_lease_of_a_run_that_a_restarted_server_accepted_ends(self):
        self.acquire()
        order = builders.order(estimate=builders.milliseconds(5000))
        self.run_tracker.polled(
            self.incarnation, Outcome.ACCEPTED, 900_000, (), (), builders.at(1)
        )
        self.start(order)
        # The clock of the server has started anew.
        self.answer_start(order.key, Outcome.ACCEPTED, server_clock_ms=20)
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(400)
        )
        self.run_tracker.tick(builders.at(900))
        self.assertEqual(self.ends(), [])
        self.run_tracker.tick(builders.at(1300))
        self.assertEqual(self.ends(), [End.GONE])

    def test_overtaken_reply_does_not_shorten_the_lease(self):
        self.acquire()
        order = builders.order(estimate=builders.milliseconds(5000))
        self.poll(1, server_clock_ms=900_000)
        self.start(order)
        self.answer_start(order.key, Outcome.ACCEPTED, server_clock_ms=899_000)
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(400)
        )
        self.run_tracker.tick(builders.at(1300))
        self.assertEqual(self.ends(), [])
        self.run_tracker.tick(builders.at(2200))
        self.assertEqual(self.ends(), [End.GONE])

    def test_lease_is_not_renewed_while_foreign_runs_are_left(self):
        self.run_tracker.acquire(self.report, FENCE, builders.START)
        self.poll(1, running=[model.RunKey("other.0.0.0", 3)])
        polls = builders.of_type(
            self.run_tracker.tick(builders.at(100)), effects.PollBackend
        )
        self.assertEqual([each.lease_ends_ms for each in polls], [None])

    def test_resources_are_occupied_from_the_order_to_the_listed_end(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        self.assertEqual(
            backend.free, builders.CAPACITY - builders.TASK_RESOURCES
        )
        self.answer_start(order.key, Outcome.ACCEPTED)
        self.run_tracker.stop(order.key, builders.at(10))
        self.run_tracker.stopped(
            self.incarnation, order.key, Outcome.ACCEPTED, builders.at(12)
        )
        self.assertEqual(
            backend.free, builders.CAPACITY - builders.TASK_RESOURCES
        )
        ended = model.EndedRun(
            1, order.key.task, order.key.run, model.RunEnd.STOPPED
        )
        self.poll(60, ended=[ended])
        self.assertEqual(backend.free, builders.CAPACITY)
        self.assertEqual(self.ends(), [End.GONE])

    def test_unanswered_start_keeps_its_resources_until_it_is_settled(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        done = self.answer_start(order.key, Outcome.UNKNOWN, 352, None)
        self.assertEqual(len(builders.of_type(done, effects.StopRun)), 1)
        self.assertEqual(backend.state, backends.BackendState.SUSPECT)
        # The poll under way may have been answered before the stop.
        self.poll(353)
        self.assertEqual(backend.used, builders.TASK_RESOURCES)
        self.run_tracker.stopped(
            self.incarnation, order.key, Outcome.ACCEPTED, builders.at(360)
        )
        # So may this poll, which was sent before the stop was answered.
        self.poll(381)
        self.assertEqual(backend.used, builders.TASK_RESOURCES)
        self.poll(382)
        self.assertEqual(backend.used, model.Resources())
        self.assertEqual(self.ends(), [End.NOT_RUN])

    def test_settled_run_that_was_started_occupies_resources_to_its_end(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.UNKNOWN, 352, None)
        self.poll(353)
        self.run_tracker.stopped(
            self.incarnation, order.key, Outcome.ACCEPTED, builders.at(360)
        )
        self.poll(380, running=[order.key])
        self.poll(381, running=[order.key])
        self.assertEqual(backend.used, builders.TASK_RESOURCES)
        ended = model.EndedRun(1, order.key.task, 1, model.RunEnd.STOPPED)
        self.poll(440, ended=[ended])
        self.assertEqual(self.ends(), [End.GONE])

    def test_runs_of_an_unresponsive_server_end_only_after_the_lease(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.ACCEPTED)
        lapse = backend.latest_lapse_time(builders.at(4))
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(9)
        )
        self.run_tracker.tick(lapse - builders.milliseconds(1))
        self.assertEqual(self.ends(), [])
        self.run_tracker.tick(lapse + builders.milliseconds(1))
        self.assertEqual(self.ends(), [End.GONE])
        self.assertEqual(backend.used, builders.TASK_RESOURCES)

    def test_reason_of_an_end_tells_how_it_is_known(self):
        self.acquire()
        kept, refused = builders.order(), builders.order(job_id="k")
        self.start(kept)
        self.answer_start(kept.key, Outcome.ACCEPTED)
        self.start(refused)
        self.answer_start(refused.key, Outcome.NO_ROOM)
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(9)
        )
        self.run_tracker.tick(builders.at(2000))
        self.assertEqual(
            [(each.end, each.reason) for each in self.run_tracker.ended],
            [(End.NOT_RUN, "no_room"), (End.GONE, "lease expired")],
        )

    def test_lapse_time_allows_for_a_slow_clock(self):
        backend = self.acquire()
        self.start(builders.order(), at=2)
        left = backend.latest_lapse_time(builders.at(2)) - builders.at(2)
        self.assertGreaterEqual(left, backends.LEASE * 1.02)

    def test_polls_of_an_unresponsive_server_do_not_renew_its_lease(self):
        self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.ACCEPTED)
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(9)
        )
        done = self.run_tracker.tick(builders.at(100))
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertIsNone(poll.lease_ends_ms)

    def test_unanswered_stop_ends_lease_renewals(self):
        self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.ACCEPTED)
        self.run_tracker.stop(order.key, builders.at(10))
        done = self.poll(400, running=[order.key])
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertIsNone(poll.lease_ends_ms)

    def test_runs_are_lost_when_a_newer_scheduler_fences_the_server(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.FENCED)
        self.assertEqual(backend.state, backends.BackendState.FENCED)
        self.assertEqual(self.ends(), [End.LOST])
        self.assertEqual(self.run_tracker.tick(builders.at(500)), [])

    def test_fenced_server_stays_fenced_after_a_poll_that_was_under_way(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.FENCED)
        self.poll(10)
        self.assertEqual(backend.state, backends.BackendState.FENCED)
        self.assertFalse(backend.is_usable(builders.at(11)))

    def test_new_incarnation_ends_all_runs(self):
        self.acquire()
        order = builders.order()
        self.start(order)
        self.run_tracker.polled(
            self.incarnation,
            Outcome.OTHER_INCARNATION,
            None,
            (),
            (),
            builders.at(9),
        )
        self.assertEqual(self.ends(), [End.GONE])
        self.assertIsNone(self.run_tracker.get(self.incarnation))

    def test_refused_starts_have_not_run(self):
        refusals = (
            Outcome.EXPIRED,
            Outcome.OLD_RUN,
            Outcome.NO_ROOM,
            Outcome.INVALID,
            Outcome.UNHEALTHY,
            Outcome.NOT_SENT,
        )
        for outcome in refusals:
            with self.subTest(outcome=outcome):
                self.setUp()
                backend = self.acquire()
                order = builders.order()
                self.start(order)
                self.answer_start(order.key, outcome)
                self.assertEqual(self.ends(), [End.NOT_RUN])
                self.assertEqual(backend.used, model.Resources())

    def test_ends_are_acknowledged_once_they_were_processed(self):
        self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.ACCEPTED)
        ended = model.EndedRun(4, order.key.task, 1, model.RunEnd.DONE)
        done = self.poll(100, ended=[ended])
        self.assertEqual(builders.of_type(done, effects.PollBackend), [])
        done = self.run_tracker.tick(builders.at(360))
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertEqual(poll.acknowledged, 4)
        self.poll(361, ended=[ended])
        self.assertEqual(self.ends(), [End.DONE])

    def poll_with_end(self):
        """Have the server list the end of its only run."""
        self.acquire()
        order = builders.order()
        self.start(order)
        ended = model.EndedRun(4, order.key.task, 1, model.RunEnd.DONE)
        self.poll(100, ended=[ended])
        return ended

    def test_order_sent_later_does_not_carry_the_acknowledgement(self):
        ended = self.poll_with_end()
        done = self.start(builders.order(job_id="k"), at=120)
        (poll,) = builders.of_type(done, effects.PollBackend)
        # The server may have restarted, and may have ended the new run.
        self.assertEqual(poll.acknowledged, 0)
        done = self.poll(
            122, running=[model.RunKey("k.0.0.0", 1)], ended=[ended]
        )
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertEqual(poll.acknowledged, 4)

    def test_order_sent_at_once_carries_the_acknowledgement(self):
        self.poll_with_end()
        done = self.start(builders.order(job_id="k"), at=100)
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertEqual(poll.acknowledged, 4)

    def test_reply_to_a_start_does_not_tell_which_incarnation_answers(self):
        self.poll_with_end()
        first = builders.order(job_id="k")
        self.start(first, at=120)
        # Its poll is answered before, so that the next order is polled for.
        backend = self.run_tracker.get(self.incarnation)
        backend.is_polling = False
        self.answer_start(first.key, Outcome.OLD_RUN, at=130)
        done = self.start(builders.order(job_id="l"), at=130)
        (poll,) = builders.of_type(done, effects.PollBackend)
        self.assertEqual(poll.acknowledged, 0)

    def test_no_run_is_ordered_while_ends_are_acknowledged(self):
        self.poll_with_end()
        backend = self.run_tracker.get(self.incarnation)
        self.run_tracker.tick(builders.at(360))
        self.assertFalse(backend.can_fit_now(builders.order(job_id="k")))
        self.poll(363)
        self.assertTrue(backend.can_fit_now(builders.order(job_id="k")))

    def test_failed_acknowledgement_leaves_the_server_usable(self):
        self.poll_with_end()
        backend = self.run_tracker.get(self.incarnation)
        self.run_tracker.tick(builders.at(360))
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(710)
        )
        self.poll(800)
        self.assertTrue(backend.is_usable(builders.at(801)))
        self.assertTrue(backend.can_fit_now(builders.order(job_id="k")))

    def test_server_on_which_all_runs_fail_is_ejected(self):
        backend = self.acquire()
        for number in range(6):
            order = builders.order(index=number)
            self.start(order)
            self.answer_start(order.key, Outcome.ACCEPTED)
            ended = model.EndedRun(
                number + 1, order.key.task, 1, model.RunEnd.FAILED
            )
            self.poll(100 + number, ended=[ended])
        self.assertFalse(backend.is_usable(builders.at(200)))
        self.assertTrue(backend.is_usable(builders.at(5000)))

    def test_missing_server_that_fails_a_call_keeps_its_runs(self):
        backend = self.acquire()
        order = builders.order()
        self.start(order)
        self.answer_start(order.key, Outcome.ACCEPTED)
        self.run_tracker.record_missing(self.incarnation, builders.at(10))
        for at in range(300, 3000, 300):
            self.poll(at, server_clock_ms=1000 + at, running=[order.key])
        self.run_tracker.polled(
            self.incarnation, Outcome.UNKNOWN, None, (), (), builders.at(3000)
        )
        lapse = backend.latest_lapse_time(builders.at(3000))
        self.run_tracker.record_missing(self.incarnation, builders.at(3100))
        self.assertEqual(self.ends(), [])
        self.run_tracker.tick(lapse + builders.milliseconds(1))
        self.assertEqual(self.ends(), [End.GONE])
        self.run_tracker.record_missing(
            self.incarnation, lapse + builders.milliseconds(2)
        )
        self.assertIsNone(self.run_tracker.get(self.incarnation))

    def test_draining_server_is_not_usable(self):
        backend = self.acquire()
        draining = builders.report(
            advertised_state=model.AdvertisedState.DRAINING
        )
        self.run_tracker.update_report(draining)
        self.assertFalse(backend.is_usable(builders.at(6)))

    def test_limit_per_server_counts_runs_of_the_step(self):
        backend = self.acquire()
        limited = builders.order(index=0, max_per_backend=1)
        self.start(limited)
        again = builders.order(index=1, max_per_backend=1)
        self.assertFalse(backend.can_fit_now(again))
        other = builders.order(job_id="k", max_per_backend=1)
        self.assertTrue(backend.can_fit_now(other))
