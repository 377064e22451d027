"""Guarantees of the reducer under arbitrary interleavings of events.

No task runs twice, no job is answered twice or left without an answer, and no
job is reported as not run after one of its tasks may have started.
"""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.core import reducers
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.core import results

PEERS = ("10.0.0.2:7003", "10.0.0.3:7003")
BACKENDS = ("b1", "b2", "b3")
PROVES_UNSTARTED = (model.TaskOutcome.NOT_SENT, model.TaskOutcome.NOT_RUN)
TEAMS = ("shops", "pubs")
MODES = ("occupancy", "owner", "equal-share", "unlimited")


def peer_incarnation(address, serial):
    """Return an incarnation that sorts by its serial number."""
    return f"{serial:012x}{PEERS.index(address):06x}"


class ReducerMachine(stateful.RuleBasedStateMachine):
    """Applies random events to a reducer and checks its effects."""

    def __init__(self):
        super().__init__()
        self.harness = reducers.ReducerHarness()
        self.tasks = {}
        self.sends = collections.Counter()
        self.unstarted = collections.Counter()
        self.answers = {}
        self.open = []
        self.closed = []
        self.claims = []
        self.revision = 1
        self.incarnations = dict.fromkeys(PEERS, 1)
        self.has_exited = False
        specs = [reducers.backend(name) for name in BACKENDS]
        self.check_effects(self.harness.list_backends(*specs))
        self.check_effects(self.harness.advance(3))

    def check_effects(self, done):
        """Check effects against those recorded so far, and record them."""
        for effect in done:
            match effect:
                case effects.SendTask():
                    self.check_send(effect)
                case effects.DeliverAnswer():
                    self.check_answer(effect.answer)
                case effects.ClaimKey():
                    self.claims.append(effect.job_id)
                case effects.Exit():
                    self.has_exited = True

    def check_send(self, effect):
        ref = (effect.job_id, effect.index)
        assert effect.job_id not in self.answers, "sent after the answer"
        assert effect.job_id not in self.claims, (
            "sent before the claim settled"
        )
        self.sends[ref] += 1
        assert self.sends[ref] - self.unstarted[ref] <= 1, "started twice"
        self.open.append(effect)

    def check_answer(self, answer):
        assert answer.job_id not in self.answers, "answered twice"
        self.answers[answer.job_id] = answer
        count = self.tasks[answer.job_id]
        if answer.code is results.ResultCode.COMPLETE:
            expected = [
                reducers.result_of(answer.job_id, index)
                for index in range(count)
            ]
            assert answer.results == expected
            return
        assert answer.results == []
        if answer.code.family is results.Family.NOT_RUN:
            for index in range(count):
                ref = (answer.job_id, index)
                assert self.sends[ref] == self.unstarted[ref], (
                    "reported as not run, but a task may have started"
                )

    @stateful.rule(
        count=strategies.integers(1, 9),
        team=strategies.sampled_from(TEAMS),
        deadline=strategies.sampled_from([0.5, 5, 60]),
        key=strategies.sampled_from([None, "claimed"]),
    )
    def submit(self, count, team, deadline, key):
        spec = reducers.job_spec(
            self.harness, count, team=team, deadline=deadline
        )
        if key:
            spec.key = f"{key}-{spec.job_id}"
        self.tasks[spec.job_id] = count
        self.check_effects(self.harness.apply(events.JobSubmitted(spec)))

    @stateful.precondition(lambda self: self.claims)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        code=strategies.sampled_from(
            [None, None, results.ResultCode.STORE_UNAVAILABLE]
        ),
    )
    def settle_claim(self, pick, code):
        job_id = self.claims.pop(pick % len(self.claims))
        self.check_effects(
            self.harness.apply(events.ClaimSettled(job_id, code))
        )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        outcome=strategies.sampled_from(
            [
                model.TaskOutcome.DONE,
                model.TaskOutcome.NOT_RUN,
                *model.TaskOutcome,
            ]
        ),
        leaving=strategies.sampled_from([False] * 9 + [True]),
    )
    def reply(self, pick, outcome, leaving):
        sent = self.open.pop(pick % len(self.open))
        self.closed.append(sent)
        if outcome in PROVES_UNSTARTED:
            self.unstarted[sent.job_id, sent.index] += 1
        self.check_effects(self.harness.reply(sent, outcome, leaving=leaving))

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        outcome=strategies.sampled_from(
            [model.TaskOutcome.DONE, model.TaskOutcome.NOT_RUN]
        ),
        is_task_wrong=strategies.booleans(),
    )
    def reply_of_another(self, pick, outcome, is_task_wrong):
        """A reply names another task or incarnation.

        It proves neither that the task ran nor that it did not start.
        """
        sent = self.open.pop(pick % len(self.open))
        wrong = {"reply_incarnation": "other"}
        if is_task_wrong:
            wrong = {"reply_task": f"{sent.job_id}/{sent.index + 1}"}
        self.check_effects(
            self.harness.reply(sent, outcome, result="foreign", **wrong)
        )

    @stateful.precondition(lambda self: self.closed)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        outcome=strategies.sampled_from(list(model.TaskOutcome)),
    )
    def reply_again(self, pick, outcome):
        sent = self.closed[pick % len(self.closed)]
        if sent in self.open:
            return
        self.check_effects(self.harness.reply(sent, outcome, result="again"))

    @stateful.precondition(lambda self: self.open and self.closed)
    @stateful.rule(outcome=strategies.sampled_from(list(model.TaskOutcome)))
    def reply_of_an_earlier_attempt(self, outcome):
        """A late reply to an attempt that has been repeated since."""
        refs = {(sent.job_id, sent.index) for sent in self.open}
        for sent in self.closed:
            if (sent.job_id, sent.index) in refs:
                self.check_effects(
                    self.harness.reply(sent, outcome, result="early")
                )

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(
        pick=strategies.integers(0, 99),
        is_known=strategies.sampled_from([True, False, None]),
    )
    def read_status(self, pick, is_known):
        sent = self.open[pick % len(self.open)]
        event = events.TaskStatusRead(
            sent.job_id, sent.index, sent.attempt, is_known
        )
        self.check_effects(self.harness.apply(event))

    @stateful.precondition(lambda self: self.tasks)
    @stateful.rule(pick=strategies.integers(0, 99))
    def cancel(self, pick):
        job_id = sorted(self.tasks)[pick % len(self.tasks)]
        self.check_effects(self.harness.apply(events.JobCancelled(job_id)))

    @stateful.rule(duration=strategies.sampled_from([0.02, 0.3, 2, 8, 120]))
    def pass_time(self, duration):
        """Advance the time; a long step stands for a process pause."""
        self.harness.clock.advance(reducers.seconds(duration))
        self.check_effects(self.harness.apply(events.Ticked()))

    @stateful.rule(
        states=strategies.lists(
            strategies.sampled_from(["live", "live", "leaving", None]),
            min_size=3,
            max_size=3,
        ),
        incarnation=strategies.sampled_from(["1", "1", "2"]),
    )
    def list_backends(self, states, incarnation):
        specs = [
            reducers.backend(
                name,
                incarnation=incarnation,
                state=model.BackendState(state),
            )
            for name, state in zip(BACKENDS, states, strict=True)
            if state is not None
        ]
        self.check_effects(self.harness.list_backends(*specs))

    @stateful.rule(
        address=strategies.sampled_from(PEERS),
        state=strategies.sampled_from(["live", "live", "leaving"]),
        is_restarted=strategies.booleans(),
        zone=strategies.sampled_from(["wales-1", "wales-2"]),
    )
    def probe(self, address, state, is_restarted, zone):
        if is_restarted:
            self.incarnations[address] += 1
        serial = self.incarnations[address]
        record = messages.MemberRecord(
            address,
            peer_incarnation(address, serial),
            zone,
            "wales",
            state,
            serial,
        )
        probe = messages.Probe(record, [], 1, {"b1": 2}, False)
        self.receive(address, probe)

    def receive(self, address, message):
        serial = self.incarnations[address]
        incarnation = peer_incarnation(address, serial)
        self.check_effects(
            self.harness.apply(
                events.PeerMessageReceived(address, incarnation, message)
            )
        )

    @stateful.rule(
        address=strategies.sampled_from(PEERS),
        is_open=strategies.booleans(),
    )
    def change_link(self, address, is_open):
        serial = self.incarnations[address]
        incarnation = peer_incarnation(address, serial)
        event = events.PeerLinkClosed(address, incarnation, True)
        if is_open:
            event = events.PeerLinkOpened(address, incarnation)
        self.check_effects(self.harness.apply(event))

    @stateful.rule(
        address=strategies.sampled_from(PEERS),
        kind=strategies.sampled_from(
            ["request", "grant", "return", "recall", "report", "notice"]
        ),
        name=strategies.sampled_from(BACKENDS),
        count=strategies.integers(0, 4),
    )
    def slot_message(self, address, kind, name, count):
        slots = {name: count}
        sent = {
            "request": messages.SlotRequest(
                "refunds", count, 1, {"shops": 1.0}
            ),
            "grant": messages.SlotGrant("refunds", slots, 1, {}),
            "return": messages.SlotReturn(slots),
            "recall": messages.SlotRecall(slots),
            "report": messages.SlotReport(slots),
            "notice": messages.BackendNotice(name, "1", "set_aside", 1.0),
        }
        self.receive(address, sent[kind])

    @stateful.rule(
        sharing=strategies.sampled_from(MODES),
        order=strategies.sampled_from(
            ["fifo", "deadline", "shortest-remaining"]
        ),
        quota=strategies.sampled_from([0, 1, 4]),
    )
    def change_settings(self, sharing, order, quota):
        self.revision += 1
        tree = {
            "defaults": {"slot_sharing": sharing, "job_order": order},
            "teams": {"pubs": {"quota": quota, "weight": 3}},
        }
        self.check_effects(self.harness.adopt(self.revision, tree))

    @stateful.rule(tree=strategies.sampled_from([{}, {"teams": 3}]))
    def old_settings(self, tree):
        """An older revision, or an invalid one, changes nothing."""
        self.harness.adopt(self.revision - 1, {})
        assert self.harness.state.settings.number == self.revision

    @stateful.precondition(lambda self: len(self.tasks) > 5)
    @stateful.rule(deadline=strategies.sampled_from([0, 20]))
    def drain(self, deadline):
        event = events.DrainRequested(reducers.seconds(deadline))
        self.check_effects(self.harness.apply(event))

    @stateful.invariant()
    def bookkeeping_is_consistent(self):
        state = self.harness.state
        running = collections.Counter(
            attempt.backend_id for attempt in state.attempts.values()
        )
        for backend in state.registry.all():
            assert backend.running == running[backend.backend_id]
        teams = collections.Counter(
            state.jobs[job_id].spec.team for job_id, _ in state.attempts
        )
        assert state.team_running == dict(teams)
        waiting = sum(len(job.pending) for job in self.active_jobs())
        queued = sum(queue.task_count for queue in state.queues.values())
        assert waiting == queued

    def active_jobs(self):
        return [
            job
            for job in self.harness.state.jobs.values()
            if job.phase.value == "active"
        ]

    @stateful.invariant()
    def slots_are_never_negative_or_leaked(self):
        state = self.harness.state
        if state.sharing_name != "owner":
            return
        running = collections.Counter(
            attempt.backend_id for attempt in state.attempts.values()
        )
        for name, held in state.sharing.holdings.items():
            assert held.busy == running[name]
            assert held.held >= held.busy >= 0
            assert held.recalled >= 0
        for owned in state.sharing.pools.values():
            assert owned.granted_total == sum(owned.granted.values())
            assert all(count > 0 for count in owned.granted.values())
            assert owned.free() >= 0

    def teardown(self):
        """Check that every job ends and that no attempt is left over.

        This must hold after any sequence of events.
        """
        for job_id in list(self.claims):
            self.claims.remove(job_id)
            self.check_effects(
                self.harness.apply(events.ClaimSettled(job_id, None))
            )
        while self.open:
            sent = self.open.pop()
            self.check_effects(self.harness.reply(sent))
        for _ in range(4):
            self.check_effects(self.harness.advance(100, step=50))
            while self.open:
                self.check_effects(self.harness.reply(self.open.pop()))
        assert self.answers.keys() == self.tasks.keys()
        state = self.harness.state
        assert not state.attempts
        assert not state.team_running
        self.check_effects(
            self.harness.apply(events.DrainRequested(reducers.seconds(0)))
        )
        assert self.has_exited


TestReducer = ReducerMachine.TestCase
TestReducer.settings = hypothesis.settings(
    max_examples=300,
    stateful_step_count=50,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
