"""Tests of look-ahead placement: gaps, selection and reservations."""

import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import lookahead
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import placement
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings

CORES = 1000
LARGEST = 48 * CORES


def resources(cores):
    return model.Resources(cores * CORES, 64)


def server(name, cores=32, runs=(), slowness=1.0):
    """Return a usable server with runs of (cores, milliseconds)."""
    backend = backends.Backend(
        builders.report(name, capacity=resources(cores)), 1, builders.START
    )
    backend.state = backends.BackendState.READY
    backend.record_clock(1000, builders.START)
    for _ in range(50):
        backend.learned_slowness.learn(
            builders.milliseconds(100 * slowness), builders.milliseconds(100)
        )
    for number, (used, estimate) in enumerate(runs):
        order = builders.order(
            f"{name}-{number}",
            resources=resources(used),
            estimate=builders.milliseconds(estimate),
        )
        backend.add_run(backends.Run(order, builders.START, builders.START))
    return backend


def waiting(job_id, cores, *, rank=0.0, slack=0.09, estimate=50, progress=0.0):
    return lookahead.WaitingJob(
        job_id,
        builders.SERVICE,
        None,
        rank,
        slack,
        cores * CORES,
        builders.milliseconds(estimate),
        builders.at(1000),
        progress,
    )


def learned(*cores):
    """Return the values of gaps after tasks with these requests."""
    values = lookahead.GapValues()
    for _ in range(lookahead.RECENT_REQUESTS):
        for each in cores:
            values.learn(each * CORES, LARGEST)
    return values


class GapValuesTests(unittest.TestCase):
    def test_gap_below_every_request_has_no_value(self):
        values = learned(12, 16, 20)
        self.assertEqual(values.value(11 * CORES), 0)
        self.assertGreater(values.value(17 * CORES), 11 * CORES)

    def test_task_that_fills_the_gap_loses_least(self):
        # Guards against large gaps that are given to small tasks.
        values = learned(12, 16, 20)
        gap = 20 * CORES
        losses = [values.loss(gap, each * CORES) for each in (20, 16, 12)]
        self.assertEqual(losses, sorted(losses))
        self.assertLess(losses[0], 0.01)
        self.assertGreater(losses[2], 0.1)

    def test_nothing_learned_is_no_loss_for_any_server(self):
        values = lookahead.GapValues()
        self.assertEqual(
            values.loss(32_000, 16_000), values.loss(48_000, 16_000)
        )

    def test_requests_of_former_load_are_forgotten(self):
        # Guards against gaps that are kept for tasks that come no more.
        values = learned(20)
        for _ in range(2 * lookahead.RECENT_REQUESTS):
            values.learn(8 * CORES, LARGEST)
        self.assertGreater(values.value(9 * CORES), 0)

    def test_requests_of_zero_are_ignored(self):
        values = lookahead.GapValues()
        values.learn(0, LARGEST)
        self.assertEqual(values.value(LARGEST), 0)


class SelectTests(unittest.TestCase):
    def setUp(self):
        self.values = learned(12, 16, 20)

    def select(self, jobs, *gaps):
        return lookahead.select(
            jobs, [each * CORES for each in gaps], self.values
        )

    def test_task_that_fills_the_gap_precedes_one_of_the_same_rank(self):
        jobs = [
            waiting("small", 12, estimate=800),
            waiting("fitting", 20, estimate=800),
        ]
        self.assertEqual(self.select(jobs, 20), 1)

    def test_fit_does_not_precede_a_higher_rank(self):
        # Guards against urgent queues that wait behind others.
        jobs = [waiting("urgent", 12), waiting("fitting", 20, rank=1.0)]
        self.assertEqual(self.select(jobs, 20), 0)

    def test_late_job_precedes_none_that_can_be_on_time(self):
        jobs = [waiting("on-time", 12), waiting("late", 20, rank=2.0)]
        self.assertEqual(self.select(jobs, 20), 0)
        self.assertEqual(self.select(jobs[1:], 20), 0)

    def test_last_tasks_of_a_job_precede_first_ones(self):
        jobs = [waiting("new", 16), waiting("nearly", 16, progress=0.9)]
        self.assertEqual(self.select(jobs, 32), 1)

    def test_nothing_is_selected_if_nothing_fits(self):
        self.assertIsNone(self.select([waiting("large", 20)], 19, 12))
        self.assertIsNone(self.select([waiting("large", 20)]))


class ChooseTests(unittest.TestCase):
    def choose(self, servers, cores, *, estimate=50, due=140, recent=()):
        policy = lookahead.LookAhead(placement.FastestInTime())
        for each in recent or (12, 16, 20) * 20:
            policy.values(builders.SERVICE).learn(each * CORES, LARGEST)
        order = builders.order(
            resources=resources(cores),
            estimate=builders.milliseconds(estimate),
        )
        return policy.choose(
            servers, servers, order, builders.at(due), builders.START
        )

    def test_gap_that_the_task_fills_is_preferred(self):
        empty = server("empty")
        shared = server("shared", runs=[(20, 100)])
        self.assertIs(self.choose([empty, shared], 12), shared)

    def test_long_task_gains_more_from_a_fast_server_than_a_short_one(self):
        # Guards against long tasks that are late because short ones with
        # slack to spare took the fast servers.
        fast = server("fast", runs=[(12, 100)], slowness=0.98)
        slow = server("slow", runs=[(20, 100)], slowness=1.0)
        self.assertIs(
            self.choose([fast, slow], 12, estimate=800, due=1000), fast
        )
        self.assertIs(self.choose([fast, slow], 12, estimate=20), slow)

    def test_task_waits_for_a_server_on_which_it_is_on_time(self):
        slow = server("slow", slowness=1.7)
        fast = server("fast", slowness=0.7)
        policy = lookahead.LookAhead(placement.FastestInTime())
        order = builders.order(resources=resources(16))
        due = builders.at(150)
        self.assertIsNone(
            policy.choose([slow], [slow, fast], order, due, builders.START)
        )

    def test_small_tasks_use_the_present_placement(self):
        # Guards against a change where gaps do not matter.
        fast = server("fast", slowness=0.6)
        slow = server("slow", runs=[(24, 100)], slowness=1.0)
        self.assertIs(self.choose([fast, slow], 8, estimate=20), fast)


class ReservationTests(unittest.TestCase):
    def setUp(self):
        self.policy = lookahead.LookAhead(placement.FastestInTime())
        self.busy = server("busy", runs=[(18, 30), (12, 300)])
        self.later = server("later", runs=[(18, 200), (12, 300)])
        self.usable = [self.busy, self.later]
        self.large = waiting("large", 20)

    def pass_over(self, job, at):
        """Let a smaller task of the same rank start before the job."""
        small = waiting("small", 12)
        self.policy.begin([job, small])
        self.policy.record_started(small)
        return self.policy.update_reservations(
            [job], self.usable, builders.at(at)
        )

    def allowed(self, cores, estimate, at=0, job_id="other"):
        order = builders.order(
            job_id,
            resources=resources(cores),
            estimate=builders.milliseconds(estimate),
        )
        # 12 cores end late, so the others are free soon.
        self.busy.runs.pop(next(iter(self.busy.runs)))
        self.busy.used = resources(12)
        self.busy.update_report(self.busy.report)
        return self.policy.choose(
            [self.busy], self.usable, order, builders.at(1000), builders.at(at)
        )

    def reserve(self):
        self.assertEqual(self.pass_over(self.large, 0), [])
        (reservation,) = self.pass_over(self.large, 31)
        return reservation

    def test_soonest_server_is_reserved_after_a_third_of_the_slack(self):
        reservation = self.reserve()
        self.assertIs(reservation.backend, self.busy)
        self.assertEqual(reservation.job_id, "large")

    def test_bound_of_a_job_with_much_slack_is_200_ms(self):
        patient = waiting("large", 20, slack=5.0)
        self.later = server("later", runs=[(18, 230), (12, 300)])
        self.usable = [self.later]
        self.pass_over(patient, 0)
        self.assertEqual(self.pass_over(patient, 199), [])
        self.assertEqual(len(self.pass_over(patient, 201)), 1)

    def test_job_that_nothing_passed_gets_no_reservation(self):
        # Guards against servers that idle for jobs in the ordinary queue.
        for at in (0, 100, 300):
            self.policy.begin([self.large])
            self.assertEqual(
                self.policy.update_reservations(
                    [self.large], self.usable, builders.at(at)
                ),
                [],
            )

    def test_task_that_ends_too_late_does_not_backfill(self):
        self.reserve()
        self.assertIsNone(self.allowed(16, 100, at=32))

    def test_declared_run_time_gets_an_allowance(self):
        # Guards against declared run times that are 40% too short.
        reservation = self.reserve()
        left = (reservation.start_at - builders.at(32)) / model.MILLISECOND
        self.assertIsNone(self.allowed(16, left / 1.2, at=32))

    def test_task_that_ends_in_time_backfills(self):
        reservation = self.reserve()
        left = (reservation.start_at - builders.at(32)) / model.MILLISECOND
        self.assertIs(self.allowed(16, left / 1.5, at=32), self.busy)

    def test_reserved_job_and_higher_ranks_may_use_the_server(self):
        self.reserve()
        self.assertIs(self.allowed(16, 500, at=32, job_id="large"), self.busy)
        urgent = waiting("urgent", 16, rank=-1.0)
        self.policy.begin([urgent])
        order = builders.order(
            "urgent",
            resources=resources(16),
            estimate=builders.milliseconds(500),
        )
        chosen = self.policy.choose(
            [self.busy],
            self.usable,
            order,
            builders.at(1000),
            builders.at(32),
        )
        self.assertIs(chosen, self.busy)

    def assert_moved(self, at):
        self.policy.begin([self.large])
        self.policy.update_reservations(
            [self.large], self.usable, builders.at(at)
        )
        self.assertNotIn("busy", self.policy.reservations)

    def test_reservation_of_a_lost_server_is_given_up(self):
        self.reserve()
        self.busy.state = backends.BackendState.SUSPECT
        self.usable = [self.later]
        self.assert_moved(32)

    def test_reservation_of_a_draining_server_is_given_up(self):
        self.reserve()
        self.busy.update_report(
            builders.report(
                "busy",
                capacity=resources(32),
                advertised_state=model.AdvertisedState.DRAINING,
            )
        )
        self.usable = [self.later]
        self.assert_moved(32)

    def test_reservation_of_a_server_that_turns_slow_is_given_up(self):
        self.reserve()
        for _ in range(50):
            self.busy.learn_slowness(
                builders.milliseconds(400), builders.milliseconds(100)
            )
        self.usable = [self.later]
        self.assert_moved(50)

    def test_reservation_that_is_overdue_is_given_up(self):
        # Guards against run times that are declared far too short: without a
        # limit, the server would idle for as long as its runs take.
        reservation = self.reserve()
        late = reservation.start_at - builders.START
        late += lookahead.RESERVATION_GRACE + builders.milliseconds(1)
        self.usable = [self.later]
        self.assert_moved(late / model.MILLISECOND)

    def test_reservation_of_an_abandoned_job_is_given_up(self):
        self.reserve()
        self.policy.begin([])
        self.policy.update_reservations([], self.usable, builders.at(32))
        self.assertEqual(self.policy.reservations, {})

    def test_reserved_server_is_given_to_its_job_first(self):
        # Guards against starvation of large tasks: without the reservation,
        # the small task would be selected.
        self.reserve()
        self.busy.runs.clear()
        self.busy.used = model.Resources()
        self.busy.update_report(self.busy.report)
        jobs = [waiting("small", 12, progress=0.9), self.large]
        self.assertEqual(self.policy.select(jobs, self.usable), 1)

    def test_number_of_reserved_servers_is_bounded(self):
        # Guards against a zone that idles for its large tasks.
        self.later = server("later", runs=[(18, 30), (12, 300)])
        self.usable = [self.busy, self.later]
        jobs = [waiting("large", 20), waiting("other", 20)]
        small = waiting("small", 12)
        for at in (0, 31):
            self.policy.begin([*jobs, small])
            self.policy.record_started(small)
            self.policy.update_reservations(jobs, self.usable, builders.at(at))
        self.assertEqual(len(self.policy.reservations), 1)


class StrandedProcessorsTests(reducer_case.ReducerTestCase):
    def test_free_processors_count_only_while_tasks_wait(self):
        self.schedule_here()
        scheduler = self.reducer.scheduler
        self.assertEqual(scheduler.stranded_processors(builders.at(2)), 0)
        self.apply(events.JobSubmitted(builders.job(tasks=3)), 2)
        self.assertEqual(scheduler.stranded_processors(builders.at(3)), 2000)


class DispatchTests(unittest.TestCase):
    def build(self, **fields):
        self.reducer = dispatch_reducer.Reducer(
            model.HostRecord("local", "1", "north"),
            builders.START,
            settings=settings.DispatchSettings(**fields),
        )
        return self.reducer.scheduler

    def test_setting_enables_look_ahead(self):
        self.assertIsNone(self.build()._look_ahead)
        self.assertIsNotNone(self.build(look_ahead=True)._look_ahead)

    def test_job_without_servers_is_refused_with_look_ahead_too(self):
        self.build(look_ahead=True)
        done = self.reducer.apply(
            events.JobSubmitted(builders.job()), builders.START
        )
        self.assertEqual(builders.of_type(done, effects.StartRun), [])
