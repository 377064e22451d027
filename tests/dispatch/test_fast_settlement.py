"""Settlement of starts, stops and polls that get no answer in time."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import answer_times
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import observed_time
from waxwingwalk.dispatch import run_tracker
from waxwingwalk.dispatch import settings

Outcome = model.CallOutcome
End = model.TaskEnd
State = backends.BackendState
FENCE = 7
TICK = 25
FAST = settings.DispatchSettings(fast_settlement=True)


class AnswerTimesTests(unittest.TestCase):
    def learn(self, *answers):
        times = answer_times.AnswerTimes()
        for each in answers:
            times.learn(builders.milliseconds(each))
        return times.bound

    def test_bound_stays_at_first_until_enough_answers_came(self):
        self.assertEqual(self.learn(1, 1, 1), answer_times.FIRST_BOUND)

    def test_bound_is_never_below_its_minimum(self):
        self.assertEqual(self.learn(*[2] * 64), answer_times.MIN_BOUND)

    def test_bound_follows_servers_that_answer_slowly(self):
        self.assertEqual(
            self.learn(*[2] * 90, *[40] * 6), builders.milliseconds(80)
        )

    def test_bound_stays_below_the_time_of_a_call(self):
        self.assertEqual(self.learn(*[340] * 64), answer_times.MAX_BOUND)


class FastSettlementTests(unittest.TestCase):
    def setUp(self):
        self.build(FAST)

    def build(self, dispatch_settings):
        self.observed = observed_time.ObservedTime()
        self.tracker = run_tracker.RunTracker(
            self.observed, settings=dispatch_settings
        )
        self.report = builders.report()
        self.incarnation = self.report.incarnation
        self.tracker.acquire(self.report, FENCE, builders.START)
        self.answer_poll(1, 1)
        self.backend = self.tracker.get(self.incarnation)
        # The bound after answers that took 2 ms each.
        for _ in range(answer_times.INTERVAL):
            self.tracker._answer_times.learn(builders.milliseconds(2))

    def answer_poll(self, number, at, *, running=(), ended=()):
        return self.tracker.polled(
            self.incarnation,
            Outcome.ACCEPTED,
            1000 + at,
            tuple(running),
            tuple(ended),
            builders.at(at),
            number,
        )

    def fail_poll(self, number, at, outcome=Outcome.UNKNOWN):
        return self.tracker.polled(
            self.incarnation, outcome, None, (), (), builders.at(at), number
        )

    def start(self, at=2, **fields):
        order = builders.order(**fields)
        done = self.tracker.start(order, self.backend, builders.at(at))
        return order, done

    def answer_start(self, order, outcome, at):
        clock_ms = None if outcome is Outcome.UNKNOWN else 1000 + at
        return self.tracker.started(
            self.incarnation, order.key, outcome, clock_ms, builders.at(at)
        )

    def confirm_stop(self, order, at, outcome=Outcome.ACCEPTED):
        return self.tracker.stopped(
            self.incarnation, order.key, outcome, builders.at(at)
        )

    def tick(self, at):
        interval = builders.milliseconds(TICK)
        self.observed.ticked(builders.at(at), interval)
        return self.tracker.tick(builders.at(at))

    def tick_until(self, end, start=0):
        done = []
        for at in range(start, end, TICK):
            done += self.tick(at)
        return done

    def ends(self):
        return [each.end for each in self.tracker.ended]

    def suspicions(self, done):
        return [
            each.fields["reason"]
            for each in builders.of_type(done, effects.Log)
            if each.event == "backend.suspect"
        ]

    def stops(self, done):
        return builders.of_type(done, effects.StopRun)

    def polled(self, done):
        return builders.of_type(done, effects.PollBackend)

    def stop_overdue_start(self):
        """Start a run that is not answered; return its order."""
        order, _ = self.start()
        done = self.tick_until(75, 0)
        self.assertEqual([each.run for each in self.stops(done)], [order.key])
        return order

    def test_unanswered_start_is_settled_while_polls_wait(self):
        order = self.stop_overdue_start()
        self.assertEqual(self.backend.state, State.READY)
        self.assertEqual(
            self.tracker.unsettled_processors,
            builders.TASK_RESOURCES.processors,
        )
        (check,) = self.polled(self.confirm_stop(order, 52))
        self.assertEqual(check.wait, model.ZERO)
        self.assertIsNone(check.lease_ends_ms)
        self.assertEqual(check.acknowledged, 0)
        self.answer_poll(check.number, 54)
        self.assertEqual(self.ends(), [End.NOT_RUN])
        self.assertEqual(self.backend.used, model.Resources())
        self.assertEqual(self.tracker.unsettled_processors, 0)
        (log,) = self.tracker.pending_logs
        self.assertEqual(log.event, "run.settled")
        self.assertEqual(log.fields["found"], "never started")
        self.assertEqual(log.fields["held_ms"], 52)

    def test_late_failure_of_a_settled_start_is_ignored(self):
        order = self.stop_overdue_start()
        (check,) = self.polled(self.confirm_stop(order, 52))
        self.answer_poll(check.number, 54)
        done = self.answer_start(order, Outcome.UNKNOWN, 352)
        self.assertEqual(done, [])
        self.assertEqual(self.backend.state, State.READY)

    def test_poll_sent_before_the_stop_was_answered_settles_nothing(self):
        """The poll under way may show the state before the order arrived."""
        order = self.stop_overdue_start()
        waiting = self.backend.poll_number
        (check,) = self.polled(self.confirm_stop(order, 52))
        self.answer_poll(waiting, 53)
        self.assertEqual(self.ends(), [])
        self.answer_poll(check.number, 54)
        self.assertEqual(self.ends(), [End.NOT_RUN])

    def test_check_under_way_does_not_settle_a_later_stop(self):
        second, _ = self.start(21, index=1)
        first = self.stop_overdue_start()
        (check,) = self.polled(self.confirm_stop(first, 74))
        done = self.tick(75)
        self.assertEqual([each.run for each in self.stops(done)], [second.key])
        self.assertEqual(self.polled(self.confirm_stop(second, 76)), [])
        (next_check,) = self.polled(self.answer_poll(check.number, 77))
        self.assertEqual(self.ends(), [End.NOT_RUN])
        self.answer_poll(next_check.number, 78)
        self.assertEqual(self.ends(), [End.NOT_RUN] * 2)

    def test_start_found_running_keeps_its_capacity_to_its_end(self):
        order = self.stop_overdue_start()
        (check,) = self.polled(self.confirm_stop(order, 52))
        self.answer_poll(check.number, 54, running=[order.key])
        self.assertEqual(self.backend.used, builders.TASK_RESOURCES)
        self.assertEqual(self.ends(), [])
        ended = model.EndedRun(1, order.key.task, 1, model.RunEnd.STOPPED)
        self.answer_poll(self.backend.poll_number, 105, ended=[ended])
        self.assertEqual(self.ends(), [End.GONE])

    def test_run_that_ended_before_its_stop_is_done(self):
        order = self.stop_overdue_start()
        (check,) = self.polled(self.confirm_stop(order, 52))
        ended = model.EndedRun(1, order.key.task, 1, model.RunEnd.DONE)
        self.answer_poll(check.number, 54, ended=[ended])
        self.assertEqual(self.ends(), [End.DONE])

    def test_answer_after_the_stop_was_sent_makes_it_an_ordinary_run(self):
        order = self.stop_overdue_start()
        self.answer_start(order, Outcome.ACCEPTED, 51)
        self.assertEqual(self.tracker.unsettled_processors, 0)
        self.confirm_stop(order, 52)
        self.answer_poll(self.backend.poll_number, 53)
        self.assertEqual(self.backend.used, builders.TASK_RESOURCES)
        ended = model.EndedRun(1, order.key.task, 1, model.RunEnd.STOPPED)
        self.answer_poll(self.backend.poll_number, 103, ended=[ended])
        self.assertEqual(self.ends(), [End.GONE])

    def test_answer_after_the_stop_was_confirmed_frees_nothing(self):
        order = self.stop_overdue_start()
        (check,) = self.polled(self.confirm_stop(order, 52))
        self.answer_start(order, Outcome.ACCEPTED, 53)
        self.assertEqual(self.ends(), [])
        self.answer_poll(check.number, 54, running=[order.key])
        self.assertEqual(self.backend.used, builders.TASK_RESOURCES)

    def test_refusal_of_the_late_order_frees_the_capacity(self):
        order = self.stop_overdue_start()
        self.answer_start(order, Outcome.OLD_RUN, 60)
        self.assertEqual(self.ends(), [End.NOT_RUN])
        self.assertEqual(self.backend.used, model.Resources())

    def test_server_is_usable_beside_an_unsettled_start(self):
        self.stop_overdue_start()
        self.assertTrue(self.backend.is_usable(builders.at(60)))
        self.assertTrue(self.backend.can_fit_now(builders.order(index=1)))

    def test_late_host_does_not_stop_a_start_at_the_bound(self):
        """Answers may lie unread while this host is paused."""
        order, _ = self.start()
        self.tick(25)
        done = self.tick(90)
        self.assertEqual(self.stops(done), [])
        self.answer_start(order, Outcome.ACCEPTED, 91)
        self.assertEqual(self.stops(self.tick(115)), [])

    def test_server_that_answers_no_stop_is_suspect(self):
        order = self.stop_overdue_start()
        done = self.tick_until(200, 75)
        self.assertEqual({each.run for each in self.stops(done)}, {order.key})
        self.assertEqual(self.suspicions(done), ["stop unanswered"])
        self.assertEqual(self.ends(), [])

    def test_lost_stop_is_repeated_before_the_server_is_suspect(self):
        order = self.stop_overdue_start()
        done = self.tick_until(101, 75)
        self.assertEqual([each.run for each in self.stops(done)], [order.key])
        (check,) = self.polled(self.confirm_stop(order, 103))
        self.answer_poll(check.number, 105)
        self.assertEqual(self.ends(), [End.NOT_RUN])
        done = self.confirm_stop(order, 402, Outcome.UNKNOWN)
        self.assertEqual(self.suspicions(done), [])

    def test_lost_check_is_repeated_before_the_server_is_suspect(self):
        order = self.stop_overdue_start()
        (lost,) = self.polled(self.confirm_stop(order, 52))
        (second,) = self.polled(self.tick_until(126, 75))
        self.assertNotEqual(second.number, lost.number)
        self.answer_poll(second.number, 127)
        self.assertEqual(self.ends(), [End.NOT_RUN])
        # The lost one is given up by its call.
        self.assertEqual(self.fail_poll(lost.number, 402), [])
        self.assertEqual(self.backend.state, State.READY)

    def test_server_that_answers_no_check_is_suspect(self):
        order = self.stop_overdue_start()
        self.confirm_stop(order, 52)
        done = self.tick_until(200, 75)
        self.assertEqual(self.suspicions(done), ["look unanswered"])
        self.assertEqual(self.ends(), [])

    def start_accepted(self, estimate=5000):
        order, _ = self.start(estimate=builders.milliseconds(estimate))
        self.answer_start(order, Outcome.ACCEPTED, 4)
        return order

    def test_long_poll_without_an_answer_is_replaced_by_a_quick_one(self):
        self.start_accepted()
        # The poll of the start does not wait, the next one does.
        self.answer_poll(self.backend.poll_number, 5)
        waiting = self.backend.poll_number
        self.assertEqual(self.polled(self.tick_until(326, 0)), [])
        (check,) = self.polled(self.tick_until(376, 350))
        self.assertEqual(check.wait, model.ZERO)
        done = self.answer_poll(check.number, 377)
        (poll,) = self.polled(done)
        self.assertGreater(poll.number, check.number)
        self.assertEqual(self.fail_poll(waiting, 655), [])
        self.assertEqual(self.backend.state, State.READY)

    def test_overdue_run_is_asked_for_once_beside_the_waiting_poll(self):
        """The poll that would list its end may have been lost."""
        order = self.start_accepted(estimate=100)
        self.answer_poll(self.backend.poll_number, 5)
        self.assertEqual(self.polled(self.tick_until(176, 0)), [])
        (check,) = self.polled(self.tick_until(201, 200))
        self.answer_poll(check.number, 202, running=[order.key])
        self.assertEqual(self.polled(self.tick_until(301, 225)), [])
        ended = model.EndedRun(1, order.key.task, 1, model.RunEnd.DONE)
        self.answer_poll(self.backend.poll_number, 302, ended=[ended])
        self.assertEqual(self.ends(), [End.DONE])

    def test_server_that_answers_no_poll_is_suspect_before_its_call_ends(self):
        self.start_accepted()
        self.answer_poll(self.backend.poll_number, 5)
        done = self.tick_until(500, 0)
        self.assertEqual(self.suspicions(done), ["look unanswered"])

    def test_refused_connection_makes_a_server_suspect_at_once(self):
        self.start_accepted()
        done = self.fail_poll(self.backend.poll_number, 10, Outcome.NOT_SENT)
        self.assertEqual(self.suspicions(done), ["look not_sent"])

    def test_late_start_waits_while_its_server_is_suspect(self):
        """A silent server may have restarted and carry the order out."""
        order = self.stop_overdue_start()
        (check,) = self.polled(self.confirm_stop(order, 52))
        self.answer_poll(check.number, 54)
        name = order.ref.name
        self.assertFalse(self.tracker.may_start_late(name, builders.at(55)))
        self.fail_poll(self.backend.poll_number, 60, Outcome.NOT_SENT)
        self.assertTrue(self.tracker.may_start_late(name, builders.at(61)))

    def test_without_the_setting_the_answer_is_waited_for(self):
        self.build(settings.DispatchSettings())
        order, _ = self.start()
        done = self.tick_until(350, 0)
        self.assertEqual(self.stops(done), [])
        done = self.answer_start(order, Outcome.UNKNOWN, 352)
        self.assertEqual(self.suspicions(done), ["start unanswered"])
