"""Balancing of jobs and offered tasks between zones."""

import collections
import unittest

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import balance
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import peer_tasks
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings

JOB = 32_000
ESTIMATE = builders.milliseconds(200)
BALANCED = settings.DispatchSettings(zone_balance=True)


def view(address, *, is_local=False, backlog=0, age=0, **fields):
    values = {"free": 100_000, "capacity": 300_000}
    return balance.PoolView(
        address,
        is_local,
        builders.milliseconds(backlog),
        builders.milliseconds(age),
        **(values | fields),
    )


class TwoChoicesTests(unittest.TestCase):
    def choose(self, *pools, job_id="j"):
        chosen = balance.TwoChoices().choose(
            list(pools), job_id, JOB, ESTIMATE
        )
        return None if chosen is None else chosen.address

    def shares(self, *pools):
        return collections.Counter(
            self.choose(*pools, job_id=f"{number:016x}")
            for number in range(1000)
        )

    def test_calm_zone_keeps_its_jobs(self):
        self.assertEqual(
            self.choose(
                view("here", is_local=True), view("there", free=300_000)
            ),
            "here",
        )

    def test_busy_zone_passes_jobs_to_one_with_free_capacity(self):
        self.assertEqual(
            self.choose(
                view("here", is_local=True, backlog=300, free=0),
                view("there"),
            ),
            "there",
        )

    def test_zone_without_usable_servers_gets_no_job_that_another_can_run(
        self,
    ):
        """Its backlog is 0, so that it looked as if it were idle."""
        empty = {"free": 0, "capacity": 0}
        self.assertEqual(
            self.choose(view("here", is_local=True, **empty), view("there")),
            "there",
        )
        self.assertEqual(
            self.choose(view("here", **empty), view("there", backlog=30)),
            "there",
        )
        self.assertEqual(
            self.choose(view("here", is_local=True, **empty)), "here"
        )

    def test_small_advantage_does_not_move_a_job(self):
        self.assertEqual(
            self.choose(
                view("here", is_local=True, backlog=12), view("there")
            ),
            "here",
        )

    def test_fronts_do_not_all_choose_the_best_zone(self):
        """All see the same status, and would overload that zone."""
        shares = self.shares(
            view("here", is_local=True, backlog=500, free=0),
            *(view(f"there-{number}") for number in range(4)),
        )
        self.assertEqual(len(shares), 4)
        self.assertGreater(min(shares.values()), 100)

    def test_full_zone_is_chosen_rarely(self):
        shares = self.shares(
            view("here", is_local=True, backlog=500, free=0),
            view("full", backlog=400, free=0),
            view("free-1"),
            view("free-2"),
        )
        self.assertEqual(shares["full"], 0)

    def test_old_information_has_less_weight_and_then_none(self):
        self.assertEqual(view("a", age=900).freshness, 1)
        self.assertAlmostEqual(view("a", age=1750).freshness, 0.5)
        self.assertEqual(view("a", age=2600).freshness, 0)
        self.assertEqual(
            self.choose(
                view("here", is_local=True, backlog=500, free=0),
                view("there", age=2600),
            ),
            "here",
        )

    def test_stale_zone_is_better_than_none(self):
        self.assertEqual(self.choose(view("there", age=9000)), "there")
        self.assertIsNone(self.choose())

    def test_what_was_sent_since_the_status_counts(self):
        filled = view("there", sent=90_000)
        self.assertGreater(
            filled.wait(JOB, ESTIMATE), view("there").wait(JOB, ESTIMATE)
        )

    def test_excess_demand_adds_to_a_backlog_with_its_age(self):
        growing = view("there", demand=1.5, age=400)
        self.assertEqual(
            growing.wait(0, ESTIMATE) - balance.HOP, builders.milliseconds(200)
        )

    def test_choice_follows_from_the_job(self):
        pools = [view(f"there-{number}") for number in range(5)]
        self.assertEqual(self.choose(*pools), self.choose(*pools))


class DemandMeterTests(unittest.TestCase):
    def test_rate_is_that_of_the_last_second(self):
        meter = balance.DemandMeter()
        for at in range(0, 2000, 10):
            meter.record(10.0 if at < 1000 else 30.0, builders.at(at))
        now = builders.at(1999)
        self.assertAlmostEqual(meter.rate(now), 3.0)
        self.assertAlmostEqual(
            meter.growth(now, builders.milliseconds(500)), 1.0
        )

    def test_rate_returns_to_zero(self):
        meter = balance.DemandMeter()
        meter.record(10.0, builders.at(0))
        self.assertEqual(meter.rate(builders.at(5000)), 0)

    def test_zone_keeps_what_its_demand_will_grow_by(self):
        self.assertEqual(balance.lendable(50_000, 20_000.0), 30_000)
        self.assertEqual(balance.lendable(50_000, -20_000.0), 50_000)
        self.assertEqual(balance.lendable(50_000, 90_000.0), 0)

    def test_lent_servers_stay_within_the_limit(self):
        free = [
            messages.FreeRoom(model.Resources(processors, 64), 1.0)
            for processors in (16_000, 32_000, 8_000)
        ]
        self.assertEqual(balance.limit_free(free, 30_000), [free[0], free[2]])


class OrderLinksTests(unittest.TestCase):
    def peer(self, link, processors, at=0):
        free = [messages.FreeRoom(model.Resources(processors, 64), 1.0)]
        return [
            peer_tasks.PeerPool(
                link, "north", builders.SERVICE, free, builders.at(at)
            )
        ]

    def test_peers_are_drawn_in_proportion_to_their_free_capacity(self):
        peers = {1: self.peer(1, 30_000), 2: self.peer(2, 10_000)}
        first = collections.Counter(
            peer_tasks.order_links(peers, f"{number:x}", builders.START)[0]
            for number in range(1000)
        )
        self.assertAlmostEqual(first[1] / 1000, 0.75, delta=0.06)

    def test_peer_of_which_nothing_recent_is_known_gets_no_offer(self):
        peers = {1: self.peer(1, 30_000), 2: self.peer(2, 10_000, at=3000)}
        links = peer_tasks.order_links(peers, "j", builders.at(3100))
        self.assertEqual(links, [2])


class ReroutingTests(unittest.TestCase):
    """A front with a scheduler in its own zone and one in another."""

    def setUp(self):
        self.now = 0
        local = reducer_case.LOCAL
        self.reducer = dispatch_reducer.Reducer(
            local, builders.START, settings=BALANCED
        )
        self.near = model.HostRecord("near", "1", "north")
        self.far = model.HostRecord("far", "1", "south")
        rows = {}
        for number, host in enumerate((self.near, self.far), 11):
            self.apply(events.LinkOpened(number, host, True))
            row = pool_rows.PoolRow((host,))
            rows[host.zone] = (10, row)
        self.apply(events.PoolsListed(rows))
        self.tell(11, "north", backlog=0.0)
        self.tell(12, "south", backlog=0.0)

    def apply(self, event):
        return self.reducer.apply(event, builders.at(self.now))

    def tell(self, link, pool, backlog, free=64_000):
        load = messages.PoolLoad(
            pool,
            pool_rows.fence(10, 0),
            builders.SERVICE,
            [],
            backlog,
            messages.PoolBalance(free, 64_000, 0.5),
        )
        status = messages.HostStatus([load], False, 0)
        return self.apply(events.MessageReceived(link, status))

    def submit(self):
        done = self.apply(events.JobSubmitted(builders.job("j")))
        return self.sent(done)

    def sent(self, done):
        return [
            (each.link, each.message)
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.SubmitJob)
        ]

    def refuse(self, link, message, reason):
        ended = messages.JobEnded(
            message.job_id,
            model.JobOutcome.NOT_RUN,
            reason,
            500,
            message.request,
        )
        return self.apply(events.MessageReceived(link, ended))

    def answers(self, done):
        return [
            each.reason for each in builders.of_type(done, effects.AnswerJob)
        ]

    def test_job_goes_to_its_own_zone_while_that_is_calm(self):
        ((link, _),) = self.submit()
        self.assertEqual(link, 11)

    def test_job_goes_to_another_zone_if_its_own_is_busy(self):
        self.tell(11, "north", backlog=200.0, free=0)
        ((link, _),) = self.submit()
        self.assertEqual(link, 12)

    def test_job_leaves_a_host_whose_own_pool_has_no_usable_server(self):
        row = pool_rows.PoolRow((reducer_case.LOCAL,))
        self.apply(events.PoolsListed({"north": (20, row)}))
        ((link, _),) = self.submit()
        self.assertEqual(link, 12)

    def test_refused_job_is_routed_once_more_and_not_again(self):
        ((link, message),) = self.submit()
        done = self.refuse(link, message, "backlog")
        ((second, again),) = self.sent(done)
        self.assertEqual((second, again.job_id), (12, "j"))
        self.assertEqual(self.answers(done), [])
        done = self.refuse(second, again, "backlog")
        self.assertEqual(self.sent(done), [])
        self.assertEqual(self.answers(done), ["backlog"])

    def test_refused_job_is_answered_if_no_other_zone_can_serve_it(self):
        self.tell(12, "south", backlog=900.0, free=0)
        ((link, message),) = self.submit()
        done = self.refuse(link, message, "backlog")
        self.assertEqual(self.answers(done), ["backlog"])

    def test_refusal_for_another_reason_is_passed_on(self):
        ((link, message),) = self.submit()
        done = self.refuse(link, message, "fits no backend server")
        self.assertEqual(self.answers(done), ["fits no backend server"])

    def test_lost_job_is_not_routed_again(self):
        """Something of it may have run."""
        ((link, message),) = self.submit()
        ended = messages.JobEnded(
            "j", model.JobOutcome.LOST, "too late", None, message.request
        )
        done = self.apply(events.MessageReceived(link, ended))
        self.assertEqual(self.sent(done), [])
        self.assertEqual(self.answers(done), ["too late"])

    def test_lost_link_to_the_second_scheduler_loses_the_job(self):
        ((link, message),) = self.submit()
        ((second, _),) = self.sent(self.refuse(link, message, "backlog"))
        done = self.apply(events.LinkClosed(second))
        self.assertEqual(self.answers(done), ["scheduler lost"])

    def test_late_answer_of_the_first_scheduler_is_ignored(self):
        ((link, message),) = self.submit()
        self.refuse(link, message, "backlog")
        done = self.refuse(link, message, "backlog")
        self.assertEqual(self.answers(done), [])

    def test_old_status_does_not_attract_jobs(self):
        for self.now in range(0, 2700, 100):
            self.apply(events.Ticked())
            self.tell(11, "north", backlog=0.0)
        self.tell(11, "north", backlog=200.0, free=0)
        ((link, _),) = self.submit()
        self.assertEqual(link, 11)
