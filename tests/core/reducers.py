"""A reducer harness for tests, with builders of its events."""

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
    """A reducer on a manual clock that records all effects."""

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
        """Advance the clock in steps, with a tick after each."""
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

    def submit(self, count=1, **fields):
        """Submit a job; return its id and the effects."""
        spec = job_spec(self, count, **fields)
        return spec.job_id, self.apply(events.JobSubmitted(spec))

    def reply(self, sent, outcome=model.TaskOutcome.DONE, **fields):
        """Reply to a task that was sent, as its backend server does."""
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
        for name, value in fields.items():
            setattr(reply, name, value)
        return self.apply(reply)


def result_of(job_id, index):
    """Return the expected result of a task."""
    return f"{job_id}#{index}"


def backend(name="b1", slots=2, zone="wales-1", **fields):
    """Return a backend server as listed in the host list."""
    fields.setdefault("incarnation", "1")
    fields.setdefault("services", frozenset({"refunds"}))
    return model.BackendSpec(
        backend_id=name,
        address=f"{name}:80",
        zone=zone,
        rack="r1",
        slots=slots,
        **fields,
    )


def job_spec(harness, count=1, **fields):
    """Return the spec of a job submitted to a harness now."""
    now = harness.clock.now()
    run_time = seconds(fields.pop("run_time", 0.2))
    deadline = fields.pop("deadline", 30)
    task = fields.pop("task", {})
    fields.setdefault("service", "refunds")
    fields.setdefault("team", "shops")
    return model.JobSpec(
        job_id=harness.state.next_job_id(),
        tasks=[model.TaskSpec(i, run_time, **task) for i in range(count)],
        submitted_at=now,
        deadline=now + seconds(deadline),
        **fields,
    )


def sent(done):
    """Return the effects that send a task."""
    return [each for each in done if isinstance(each, effects.SendTask)]


def answers(done):
    """Return the answers that the effects deliver."""
    return [
        each.answer for each in done if isinstance(each, effects.DeliverAnswer)
    ]


def messages_to(done, address=None):
    """Return the messages to one peer, or to all without an address."""
    return [
        each.message
        for each in done
        if isinstance(each, effects.SendToPeer)
        and address in (None, each.address)
    ]
