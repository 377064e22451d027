"""Reducers for tests, and the events that they are fed with."""

import datetime
import random

from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import model
from waxwingwalk.settings import adopted
import waxwingwalk.wiring as wiring

SELF = identity.ProcessId("10.0.0.1:7003", "0000000000aa000001")
PLACE = adopted.Place("wales", "wales-1", "small")


def seconds(value):
    """Return a duration."""
    return datetime.timedelta(seconds=value)


class ReducerHarness:
    """A reducer on a manual clock that keeps all effects."""

    def __init__(self, process=SELF, tree=None, place=PLACE):
        self.clock = clock.ManualClock()
        self.process = process
        self.reducer = wiring.build_reducer(
            process, place, self.clock, random.Random(1)
        )
        self.state = self.reducer.state
        self.effects = []
        self.adopt(1, tree or {})

    def apply(self, event):
        """Apply an event; return its effects."""
        done = self.reducer.apply(event, self.clock.now())
        self.effects += done
        return done

    def adopt(self, number, tree):
        """Adopt a settings revision."""
        revision = adopted.Revision(number=number, tree=tree)
        return self.apply(events.SettingsRead(revision.document()))

    def advance(self, duration, step=0.5):
        """Let time pass, with ticks."""
        done = []
        remaining = duration
        while remaining > 0:
            self.clock.advance(seconds(min(step, remaining)))
            remaining -= step
            done += self.apply(events.Ticked())
        return done

    def list_backends(self, *specs):
        """Read a host list."""
        return self.apply(events.BackendsListed(list(specs)))

    def submit(self, count=1, **members):
        """Submit a job; return its id and the effects."""
        spec = job_spec(self, count, **members)
        return spec.job_id, self.apply(events.JobSubmitted(spec))

    def reply(self, sent, outcome=model.TaskOutcome.DONE, **members):
        """Reply to a task that was sent, as its backend server would."""
        reply = events.TaskReplied(
            job_id=sent.job_id,
            index=sent.index,
            attempt=sent.attempt,
            backend_id=sent.backend_id,
            outcome=outcome,
            result=result_of(sent.job_id, sent.index),
            reply_task=f"{sent.job_id}/{sent.index}",
            reply_incarnation=self.process.incarnation,
        )
        for name, value in members.items():
            setattr(reply, name, value)
        return self.apply(reply)


def result_of(job_id, index):
    """Return the right result of a task."""
    return f"{job_id}#{index}"


def backend(name="b1", slots=2, zone="wales-1", **members):
    """Return a backend server as the host list gives it."""
    members.setdefault("incarnation", "1")
    members.setdefault("services", frozenset({"refunds"}))
    return model.BackendSpec(
        backend_id=name,
        address=f"{name}:80",
        zone=zone,
        rack="r1",
        slots=slots,
        **members,
    )


def job_spec(harness, count=1, **members):
    """Return a job for a harness."""
    now = harness.clock.now()
    run_time = seconds(members.pop("run_time", 0.2))
    deadline = members.pop("deadline", 30)
    task = members.pop("task", {})
    members.setdefault("service", "refunds")
    members.setdefault("team", "shops")
    return model.JobSpec(
        job_id=harness.state.next_job_id(),
        tasks=[model.TaskSpec(i, run_time, **task) for i in range(count)],
        submitted_at=now,
        deadline=now + seconds(deadline),
        **members,
    )


def sent(done):
    """Return the tasks that effects send."""
    return [each for each in done if isinstance(each, effects.SendTask)]


def answers(done):
    """Return the answers that effects deliver."""
    return [
        each.answer for each in done if isinstance(each, effects.DeliverAnswer)
    ]


def messages_to(done, address=None):
    """Return the messages that effects send to a peer."""
    return [
        each.message
        for each in done
        if isinstance(each, effects.SendToPeer)
        and address in (None, each.address)
    ]
