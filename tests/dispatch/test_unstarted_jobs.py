"""A job is refused as not run only if no run of it may have started."""

import unittest

import hypothesis
from hypothesis import strategies

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings as dispatch_settings

Outcome = model.CallOutcome
End = model.TaskEnd
# Answers to a start after which it has had no effect and will have none.
REFUSALS = (
    Outcome.NO_ROOM,
    Outcome.NOT_SENT,
    Outcome.UNHEALTHY,
    Outcome.INVALID,
    Outcome.EXPIRED,
)
SETTINGS = hypothesis.settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    # A failure is a list of actions, which takes minutes to shrink.
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
)
ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            (
                "submit",
                "advertise",
                "start",
                "start",
                "stop",
                "poll",
                "poll",
                "fail_poll",
                "peer",
                "peer",
                "tick",
                "wait",
                "close",
                "drain",
            )
        ),
        strategies.integers(0, 999),
    ),
    min_size=10,
    max_size=30,
)


class World:
    """A host with a server and a peer, whose answers are drawn.

    ``possible`` holds, for each job, the runs that may have started.
    """

    def __init__(self, *, is_fast):
        self.now = 2
        self.reducer = dispatch_reducer.Reducer(
            reducer_case.LOCAL,
            builders.START,
            settings=dispatch_settings.DispatchSettings(
                fast_settlement=is_fast
            ),
        )
        self.report = builders.report()
        self.jobs = 0
        self.possible = {}
        self.starts, self.stops, self.polls, self.offers = [], [], [], []
        self.refused = []
        self.accepted, self.serial = [], 0
        self.link = reducer_case.INBOUND
        self.open_links()
        self.apply(events.BackendsListed((self.report,)))
        case = reducer_case
        row = case.pool_rows.PoolRow((case.LOCAL, case.PEER))
        self.apply(events.PoolsListed({case.ZONE: (case.ROW_VERSION, row)}))
        self.poll(0)

    def open_links(self):
        for is_outbound in (False, True):
            self.link += 1
            self.apply(
                events.LinkOpened(self.link, reducer_case.PEER, is_outbound)
            )

    def apply(self, event):
        for effect in self.reducer.apply(event, builders.at(self.now)):
            match effect:
                case effects.StartRun():
                    job = effect.run.task.partition(".")[0]
                    self.possible.setdefault(job, set()).add(effect.run)
                    self.starts.append(effect)
                case effects.StopRun():
                    self.stops.append(effect)
                case effects.PollBackend():
                    self.polls.append(effect)
                case effects.Send(message=messages.OfferTask() as offer):
                    self.possible.setdefault(offer.job_id, set()).add(
                        (offer.index, offer.run)
                    )
                    self.offers.append((effect.link, offer))
                case effects.AnswerJob():
                    if effect.outcome is model.JobOutcome.NOT_RUN:
                        self.check(effect)

    def check(self, answer):
        left = self.possible.get(answer.job_id)
        self.refused.append((answer.job_id, answer.reason))
        assert not left, f"{answer} although {left} may have started"

    def submit(self, number):
        self.jobs += 1
        self.apply(
            events.JobSubmitted(
                builders.job(
                    f"j{self.jobs}",
                    tasks=number % 4 + 1,
                    estimate=20 + number,
                    now=builders.at(self.now),
                    expires=builders.at(self.now + 1500),
                )
            )
        )

    def advertise(self, number):
        free = messages.FreeRoom(builders.CAPACITY, 1.0)
        load = messages.PoolLoad(
            "south", 640, builders.SERVICE, [free] * (number % 3), 0.0
        )
        self.receive(messages.HostStatus([load], False, 0))

    def receive(self, message, link=None):
        self.apply(events.MessageReceived(link or self.link, message))

    def start(self, number):
        if not self.starts:
            return
        order = self.starts.pop(number % len(self.starts))
        outcomes = (*REFUSALS, Outcome.ACCEPTED, Outcome.UNKNOWN)
        outcome = outcomes[number % len(outcomes)]
        if outcome in REFUSALS:
            job = order.run.task.partition(".")[0]
            self.possible[job].discard(order.run)
        if outcome is Outcome.ACCEPTED:
            self.accepted.append(order.run)
        clock_ms = None if outcome is Outcome.UNKNOWN else 1000 + self.now
        self.apply(
            events.RunStarted(order.incarnation, order.run, outcome, clock_ms)
        )

    def stop(self, number):
        if not self.stops:
            return
        order = self.stops.pop(number % len(self.stops))
        outcome = Outcome.UNKNOWN if number % 5 == 0 else Outcome.ACCEPTED
        self.apply(
            events.RunStopped(
                order.incarnation, order.run, outcome, order.fence
            )
        )

    def poll(self, number):
        """Answer a poll; runs that are not listed were never started."""
        if not self.polls:
            return
        order = self.polls.pop(number % len(self.polls))
        ended = ()
        if self.accepted and number % 2:
            run = self.accepted.pop(number % len(self.accepted))
            self.serial += 1
            ends = (model.RunEnd.STOPPED, model.RunEnd.FAILED)
            end = ends[number % 4 // 2]
            ended = (model.EndedRun(self.serial, run.task, run.run, end),)
        self.apply(
            events.BackendPolled(
                order.incarnation,
                Outcome.ACCEPTED,
                1000 + self.now,
                running=tuple(self.accepted),
                ended=ended,
                fence=order.fence,
                number=order.number,
            )
        )

    def fail_poll(self, number):
        if not self.polls:
            return
        order = self.polls.pop(number % len(self.polls))
        self.apply(
            events.BackendPolled(
                order.incarnation,
                Outcome.UNKNOWN,
                fence=order.fence,
                number=order.number,
            )
        )

    def peer(self, number):
        """Answer an offer; the peer may have run the task unless NOT_RUN."""
        if not self.offers:
            return
        link, offer = self.offers.pop(number % len(self.offers))
        end = (End.NOT_RUN, End.GONE, End.FAILED, End.NOT_RUN)[number % 4]
        if end is End.NOT_RUN:
            self.possible[offer.job_id].discard((offer.index, offer.run))
        self.receive(
            messages.TaskEnded(
                offer.job_id, offer.step, offer.index, offer.run, end
            ),
            link,
        )

    def tick(self, number):
        self.now += 25
        self.apply(events.Ticked())

    def wait(self, number):
        for _ in range(number % 12):
            self.tick(0)
            self.receive(messages.KeepAlive(0))

    def close(self, number):
        self.apply(events.LinkClosed(self.link))
        self.open_links()

    def drain(self, number):
        if number % 10 == 0:
            self.apply(events.DrainRequested(builders.milliseconds(3000)))

    def play(self, actions):
        # More tasks than fit, some of them offered.
        self.submit(1)
        self.submit(2)
        self.advertise(1)
        for name, number in actions:
            getattr(self, name)(number)
        for _ in range(8):
            self.wait(11)


class UnstartedJobTests(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(ACTIONS, strategies.booleans())
    def test_not_run_is_never_said_of_a_job_that_may_have_run(
        self, actions, is_fast
    ):
        World(is_fast=is_fast).play(actions)

    def test_job_whose_starts_were_all_refused_is_unstarted_again(self):
        world = World(is_fast=False)
        world.submit(0)
        world.start(0)
        (record,) = world.reducer.scheduler.jobs.values()
        self.assertFalse(record.has_started)
        for _ in range(20):
            world.tick(0)
            if world.starts:
                world.start(0)
        world.play([])
        self.assertEqual([each for each, _ in world.refused], ["j1"])

    def test_job_whose_offer_was_declined_is_refused_as_not_run(self):
        """It was answered as lost although nothing had run."""
        world = World(is_fast=False)
        # It fills the server.
        world.submit(1)
        self.assertEqual(len(world.starts), 2)
        world.submit(0)
        world.advertise(1)
        ((link, offer),) = world.offers
        world.advertise(0)
        world.receive(
            messages.TaskEnded(
                offer.job_id, offer.step, offer.index, offer.run, End.NOT_RUN
            ),
            link,
        )
        record = world.reducer.scheduler.jobs[offer.job_id]
        self.assertFalse(record.has_started)
        world.possible[offer.job_id].clear()
        for _ in range(8):
            world.wait(11)
        self.assertIn(offer.job_id, [each for each, _ in world.refused])

    def test_declined_offer_leaves_a_job_with_another_run_started(self):
        world = World(is_fast=False)
        world.submit(2)
        self.assertEqual(len(world.starts), 2)
        world.advertise(1)
        ((link, offer),) = world.offers
        world.receive(
            messages.TaskEnded(
                offer.job_id, offer.step, offer.index, offer.run, End.NOT_RUN
            ),
            link,
        )
        record = world.reducer.scheduler.jobs[offer.job_id]
        self.assertTrue(record.has_started)

    def test_start_settled_without_an_answer_leaves_its_job_started(self):
        """Its server may restart, and then carry the order out late."""
        for is_fast in (False, True):
            with self.subTest(is_fast=is_fast):
                world = World(is_fast=is_fast)
                world.submit(0)
                (order,) = world.starts
                world.starts.clear()
                if is_fast:
                    world.wait(9)
                else:
                    world.apply(
                        events.RunStarted(
                            order.incarnation, order.run, Outcome.UNKNOWN, None
                        )
                    )
                world.stop(1)
                for _ in range(6):
                    world.poll(len(world.polls) - 1)
                (record,) = world.reducer.scheduler.jobs.values()
                self.assertGreater(record.tasks[0, 0].run, 0)
                self.assertTrue(record.has_started)
