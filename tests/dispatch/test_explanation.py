import collections
import dataclasses
import datetime
import enum
import random
import unittest

import hypothesis
from hypothesis import strategies

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import explanation
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings

# Caches of what follows from the tasks of a job alone.
CACHES = {"_ready_tasks", "_remaining_critical_path"}
ATOMS = (str, bytes, int, float, type(None), enum.Enum, datetime.datetime)


def fingerprint(value, seen=None):
    """Return a comparable description of all that an object refers to."""
    seen = {} if seen is None else seen
    if isinstance(value, (*ATOMS, datetime.timedelta, type)):
        return value
    if id(value) in seen:
        return ("seen", seen[id(value)])
    seen[id(value)] = len(seen)
    if isinstance(value, dict):
        return [
            (repr(key), fingerprint(each, seen)) for key, each in value.items()
        ]
    if isinstance(value, set | frozenset):
        return sorted(repr(each) for each in value)
    if isinstance(value, list | tuple | collections.deque):
        return [fingerprint(each, seen) for each in value]
    if callable(value):
        return "callable"
    names = list(getattr(value, "__dict__", ()))
    for kind in type(value).__mro__:
        slots = getattr(kind, "__slots__", ())
        names += [slots] if isinstance(slots, str) else slots
    return [
        (name, fingerprint(getattr(value, name, None), seen))
        for name in names
        if name not in CACHES and not name.startswith("__")
    ]


class RandomHost:
    """A host in a state that a random series of events leads to."""

    def __init__(self, random):
        self.random = random
        self.now = 1
        self.jobs = 0
        self.starts = []
        self.reducer = dispatch_reducer.Reducer(
            reducer_case.LOCAL,
            builders.START,
            settings=settings.DispatchSettings(
                look_ahead=random.random() < 0.5,
                job_admission=random.random() < 0.5,
                zone_balance=random.random() < 0.5,
                fast_settlement=random.random() < 0.5,
                run_progress=random.random() < 0.5,
            ),
        )
        for link, is_outbound in ((1, True), (2, False)):
            self.apply(events.LinkOpened(link, reducer_case.PEER, is_outbound))
        self.reports = [
            self._report(number) for number in range(random.randint(1, 6))
        ]
        self.apply(events.BackendsListed(tuple(self.reports)))
        row = pool_rows.PoolRow((reducer_case.LOCAL, reducer_case.PEER))
        rows = {"north": (10, row)}
        if random.random() < 0.7:
            rows["south"] = (11, pool_rows.PoolRow((reducer_case.PEER,)))
        self.apply(events.PoolsListed(rows))
        self._hear_of_peer()
        for report in self.reports:
            if random.random() < 0.9:
                self.apply(builders.polled(report))
        for _ in range(random.randint(0, 30)):
            self._step()

    def _report(self, number):
        draining = self.random.random() < 0.1
        return builders.report(
            f"server-{number}",
            capacity=model.Resources(
                self.random.choice((8_000, 16_000, 32_000, 48_000)), 4096
            ),
            advertised_state=model.AdvertisedState.DRAINING
            if draining
            else model.AdvertisedState.READY,
            labels=frozenset(self.random.choice(((), ("ssd",)))),
        )

    def apply(self, event):
        done = self.reducer.apply(event, builders.at(self.now))
        self.starts += builders.of_type(done, effects.StartRun)
        return done

    def _hear_of_peer(self):
        free = [
            messages.FreeRoom(model.Resources(16_000, 4096), 1.0)
            for _ in range(self.random.randint(0, 2))
        ]
        load = messages.PoolLoad(
            "south",
            pool_rows.fence(11, 0),
            builders.SERVICE,
            free,
            self.random.choice((0.0, 0.0, 50.0, 500.0)),
        )
        status = messages.HostStatus([load], False, 0)
        self.apply(events.MessageReceived(1, status))

    def job(self):
        """Return a new random job."""
        self.jobs += 1
        estimate = self.random.choice((20, 100, 400))
        step = model.Step(
            self.random.randint(1, 6),
            model.Resources(self.random.choice((2_000, 9_000, 17_000)), 64),
            builders.milliseconds(estimate),
            label=self.random.choice((None, None, None, "ssd")),
        )
        return builders.job(
            f"job{self.jobs}",
            estimate=estimate,
            now=builders.at(self.now),
            steps=(step,),
            priority=self.random.randint(0, 2),
            expires=builders.at(self.now + 1500),
        )

    def _step(self):
        self.now += self.random.choice((0, 1, 3, 10, 25))
        match self.random.randint(0, 9):
            case 0 | 1 | 2 | 3:
                self.apply(events.JobSubmitted(self.job()))
            case 4 | 5 | 6 if self.starts:
                self._answer_start()
            case 7:
                self._hear_of_peer()
            case 8 if self.random.random() < 0.2:
                zones = self.random.choice(({}, {"north": 20}))
                self.apply(events.EvacuationsListed(zones, 20 + self.now))
            case _:
                self.apply(events.Ticked())

    def _answer_start(self):
        start = self.starts.pop(self.random.randrange(len(self.starts)))
        outcome = self.random.choice(
            (model.CallOutcome.ACCEPTED,) * 4
            + (model.CallOutcome.UNKNOWN, model.CallOutcome.NO_ROOM)
        )
        self.apply(
            events.RunStarted(
                start.incarnation, start.run, outcome, 1000 + self.now
            )
        )
        if outcome is not model.CallOutcome.ACCEPTED:
            return
        if self.random.random() < 0.6:
            self.now += self.random.choice((10, 100))
            for report in self.reports:
                if report.incarnation == start.incarnation:
                    self._end_run(report, start.run)

    def _end_run(self, report, run):
        server = self.reducer.run_tracker.get(report.incarnation)
        if server is None:
            return
        ended = model.EndedRun(
            server.acknowledged + 1, run.task, run.run, model.RunEnd.DONE
        )
        running = tuple(each for each in server.runs if each != run)
        self.apply(
            builders.polled(
                report, 1000 + self.now, running=running, ended=(ended,)
            )
        )


def decisions(done, job):
    """Return what a submit did: the scheduler, the answer, the server."""
    logs = builders.of_type(done, effects.Log)
    routed = [
        each.fields["scheduler"] for each in logs if each.event == "job.routed"
    ]
    placed = {
        each.fields["task"]: each.fields["backend"]
        for each in logs
        if each.event == "task.placed"
    }
    offered = {
        each.fields["task"] for each in logs if each.event == "task.offered"
    }
    reasons = [
        (each.outcome, each.reason, each.retry_after)
        for each in builders.of_type(done, effects.AnswerJob)
        if each.job_id == job.job_id
    ]
    first = model.TaskRef(job.job_id, 0, 0).name
    return routed, reasons, placed.get(first), first in offered


class ExplanationEqualsSubmitTests(unittest.TestCase):
    """Guards against an explanation that differs from the decision."""

    def setUp(self):
        self.seen = collections.Counter()

    def test_explanation_equals_what_a_submit_does(self):
        self.explain_random_hosts()
        for decision in ("server", "offered", "waits", "refused", "elsewhere"):
            self.assertGreater(self.seen[decision], 0, self.seen)

    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(0, 2**32))
    def explain_random_hosts(self, seed):
        host = RandomHost(random.Random(seed))
        job = host.job()
        now = builders.at(host.now)
        before = fingerprint(host.reducer)
        explained = explanation.explain(host.reducer, job, now)
        self.assertEqual(before, fingerprint(host.reducer))
        self.assertEqual(
            explained, explanation.explain(host.reducer, job, now)
        )
        done = host.apply(events.JobSubmitted(job))
        routed, answers, backend_id, is_offered = decisions(done, job)
        scheduler = explained.route.scheduler
        self.assertEqual([scheduler] if scheduler else [], routed)
        if scheduler != reducer_case.LOCAL.address:
            self.seen["elsewhere"] += 1
            if explained.task is None:
                return
            # What the scheduler of this host would do is explained, too.
            done = host.reducer.scheduler.submit(job, None, now)
            _, answers, backend_id, is_offered = decisions(done, job)
        task, admission = explained.task, explained.admission
        self.seen[task.decision] += 1
        self.assertEqual(admission.is_admitted, not answers)
        if answers:
            _, reason, retry_after = answers[0]
            self.assertEqual(admission.reason, reason)
            self.assertEqual(
                admission.retry_in_ms, model.milliseconds(retry_after)
            )
        self.assertEqual(task.backend, backend_id)
        self.assertEqual(task.decision == explanation.OFFERED, is_offered)


class ExplanationTests(reducer_case.ReducerTestCase):
    """Guards against wrong reasons and unbounded output."""

    def build_servers(self, *reports):
        """Schedule a pool of these servers here."""
        self.apply(events.BackendsListed(reports), 0)
        self.list_row(reducer_case.LOCAL, reducer_case.PEER)
        for report in reports:
            self.apply(builders.polled(report), 1)

    def explain(self, at=2, **fields):
        job = builders.job("asked", now=builders.at(at), **fields)
        return explanation.explain(self.reducer, job, builders.at(at))

    def reasons(self, explained):
        return {each.backend: each.reason for each in explained.task.backends}

    def servers(self):
        return {
            each.incarnation.backend_id: each
            for each in self.reducer.run_tracker
        }

    def test_each_server_has_the_reason_against_it(self):
        names = "chosen slow full draining silent ejected reserved".split()
        small = builders.report("small", capacity=model.Resources(4_000, 64))
        self.build_servers(*map(builders.report, names), small)
        servers = self.servers()
        late = builders.milliseconds(300)
        for _ in range(30):
            servers["slow"].learn_slowness(late, late / 1.3)
        for index in range(2):
            servers["full"].add_run(
                backends.Run(
                    builders.order("other", index),
                    builders.START,
                    builders.START,
                )
            )
        servers["draining"].update_report(
            dataclasses.replace(
                servers["draining"].report,
                advertised_state=model.AdvertisedState.DRAINING,
            )
        )
        servers["silent"].state = backends.BackendState.SUSPECT
        servers["ejected"].ejected_until = builders.at(1000)
        servers["reserved"].reserved_for = "other.0.0.0"
        self.reducer.run_tracker.forget_usable()
        explained = self.explain()
        self.assertEqual(
            self.reasons(explained),
            {
                "chosen": explanation.CHOSEN,
                "slow": explanation.SLOWER,
                "full": explanation.NO_ROOM,
                "draining": explanation.DRAINING,
                "silent": explanation.SILENT,
                "ejected": explanation.EJECTED,
                "reserved": explanation.RESERVED,
                "small": explanation.TOO_SMALL,
            },
        )
        self.assertEqual(explained.task.backends[0].backend, "chosen")
        self.assertEqual(explained.task.decision, explanation.SERVER)

    def test_waiting_task_is_told_when_room_is_expected(self):
        self.build_servers(self.report)
        (server,) = self.servers().values()
        for index in range(2):
            server.add_run(
                backends.Run(
                    builders.order("other", index),
                    builders.START,
                    builders.START,
                )
            )
        self.reducer.run_tracker.changes += 1
        explained = self.explain()
        self.assertEqual(explained.task.decision, explanation.WAITS)
        self.assertEqual(explained.task.room_in_ms, 98.0)

    def test_refusal_has_its_reason_and_figures(self):
        self.build_servers(self.report)
        explained = self.explain(
            steps=(
                model.Step(
                    1, model.Resources(99_000, 64), builders.milliseconds(100)
                ),
            )
        )
        self.assertFalse(explained.admission.is_admitted)
        self.assertEqual(explained.admission.reason, "fits no backend server")
        self.assertEqual(explained.task.decision, explanation.REFUSED)
        self.assertEqual(explained.admission.expected_end_ms, 108.0)
        self.assertEqual(explained.admission.useful_until_ms, 660.0)

    def test_evacuated_zone_is_named(self):
        self.build_servers(self.report)
        self.apply(events.EvacuationsListed({"north": 30}, 31), 2)
        explained = self.explain(3)
        self.assertEqual(explained.route.decision, explanation.EVACUATED)
        self.assertEqual(explained.route.zones[0].reason, "zone evacuated")
        self.assertEqual(explained.admission.reason, "zone evacuated")
        self.assertEqual(
            self.reasons(explained), {"server-1": explanation.ZONE_EVACUATED}
        )

    def test_host_without_a_pool_explains_the_route_alone(self):
        self.schedule_at_peer()
        explained = self.explain(41)
        self.assertEqual(explained.route.scheduler, "peer")
        (zone,) = explained.route.zones
        self.assertEqual((zone.zone, zone.news_age_ms), ("north", 40.0))
        self.assertIsNone(explained.admission)
        self.assertIsNone(explained.task)

    def test_at_most_200_servers_are_listed(self):
        self.build_servers(
            *(builders.report(f"server-{number}") for number in range(230))
        )
        task = self.explain().task
        self.assertEqual((len(task.backends), task.omitted), (200, 30))
        self.assertEqual(task.backends[0].reason, explanation.CHOSEN)

    def test_held_jobs_are_not_routed(self):
        self.build_servers(self.report)
        self.reducer.front.hold_jobs()
        self.assertEqual(self.explain().route.decision, explanation.HELD)

    def test_waiting_task_of_another_job_gets_the_server_first(self):
        self.build_servers(self.report)
        resources = model.Resources(16_000, 64)
        step = model.Step(1, resources, builders.milliseconds(100))
        first = builders.job("first", steps=(step,))
        (start,) = builders.of_type(
            self.apply(events.JobSubmitted(first), 2), effects.StartRun
        )
        refusal = events.RunStarted(
            self.report.incarnation, start.run, reducer_case.Outcome.NO_ROOM, 5
        )
        self.apply(refusal, 3)
        record = self.reducer.scheduler.jobs["first"]
        before = fingerprint(record)
        # The refused task may start again since 13 ms, but no event came.
        explained = self.explain(20)
        self.assertEqual(explained.task.decision, explanation.WAITS)
        self.assertEqual(
            self.reasons(explained), {"server-1": explanation.TASK_WAITS}
        )
        self.assertEqual(before, fingerprint(record))
