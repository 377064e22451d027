"""A host for fuzzing: its reducer, and the decoders at its borders."""

import json

import hypothesis
from hypothesis import strategies
import orjson
from returns import result

from tests.dispatch import builders
from tests.platform import stand_in
from tests.platform import test_hostile_input
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.platform import backends
from waxwingwalk.platform import catalog

ZONE = "north"
TICK_MS = 25
SETTINGS = dispatch_settings.DispatchSettings(
    job_admission=True, run_progress=True, fast_settlement=True
)
FUZZ = hypothesis.settings(test_hostile_input.SETTINGS, max_examples=150)
ODD_NUMBERS = (
    *(-1, 0, 1, 5, 2**31, 2**53, 2**53 + 1, 2**63 - 1, 2**63, 2**64),
    *(10**9, 10**12, 10**13, 10**13 + 1, 10**15, 10**30, -(10**30)),
    *(0.5, 1e15, 1e300, -1e300, "7", "nan", "inf", None, True, [], {}),
)
NUMBERS = strategies.sampled_from(ODD_NUMBERS)
NAMES = strategies.one_of(
    strategies.sampled_from(("", "a\r\nX: y", "\x00", "x" * 300, "a-odd")),
    strategies.text(max_size=6),
)


def with_fields(**fields):
    """Return strategies of documents in which some fields are replaced."""
    return strategies.fixed_dictionaries({}, optional=fields)


def encode(content):
    """Return a document as JSON, also with large integers."""
    return json.dumps(content).encode()


class Host:
    """A host that owns a pool; its effects have to be executable."""

    def __init__(self):
        local = model.HostRecord("local", "1", ZONE)
        self.at = 0
        self.reducer = dispatch_reducer.Reducer(
            local, builders.START, settings=SETTINGS
        )
        row = pool_rows.PoolRow((local,))
        self.reports = {}
        self.done = []
        self.apply(events.PoolsListed({ZONE: (10, row)}))

    def apply(self, event):
        """Apply an event; check and record the effects."""
        done = self.reducer.apply(event, builders.at(self.at))
        for effect in done:
            self.check(effect)
        self.done += done

    def receive(self, message, link):
        """Receive a message, which may fail by itself if it is nonsense."""
        done = self.reducer.apply(
            events.MessageReceived(link, message), builders.at(self.at)
        )
        for effect in done:
            if not isinstance(effect, effects.ReportFailure):
                self.check(effect)

    def check(self, effect):
        """Raise an exception if an effect cannot be executed."""
        match effect:
            case effects.ReportFailure():
                raise effect.error
            case effects.Send():
                content = messages.encode(effect.message)
                messages.decoder.validate_json(
                    messages.encode_frame(1, [content])
                )
            case effects.Log():
                assert effect.event != "internal.error", effect.fields
                json.dumps(effect.fields)
            case effects.StartRun():
                orjson.dumps([effect.fence, effect.lease_ends_ms])
            case effects.StopRun():
                orjson.dumps([effect.fence, effect.run.task, effect.run.run])
            case effects.PollBackend():
                orjson.dumps(
                    [effect.fence, effect.acknowledged, effect.lease_ends_ms]
                )

    def list_rows(self, rows):
        """List the rows of servers, as documents by key."""
        for key, document in rows.items():
            decoded = catalog.decode_backend(key, encode(document))
            if isinstance(decoded, result.Success):
                self.reports[key] = decoded.unwrap()
            else:
                self.reports.pop(key, None)
        self.apply(events.BackendsListed(tuple(self.reports.values())))

    def start_job(self):
        """Submit a job; return where its tasks start soon."""
        self.done = []
        job = builders.job("good", now=builders.at(self.at), estimate=50)
        self.apply(events.JobSubmitted(job))
        self.run(300, sound_answer)
        return [
            each.incarnation.backend_id
            for each in builders.of_type(self.done, effects.StartRun)
            if each.run.task.startswith("good.")
        ]

    def run(self, milliseconds, answer):
        """Apply ticks; ``answer`` returns the answers to polls by server."""
        for _ in range(0, milliseconds, TICK_MS):
            self.at += TICK_MS
            self.apply(events.Ticked())
            polls = builders.of_type(self.done, effects.PollBackend)
            self.done = [each for each in self.done if each not in polls]
            for poll in polls:
                content = answer(poll)
                if content is not None:
                    self.apply(backends.decode_lists(poll, content))


def sound_answer(poll):
    """Return the answer of the sound server; others do not answer."""
    if poll.incarnation.backend_id == "sound":
        return encode({"clock_ms": 1000, "born": 1})
    return None


def host_with_a_sound_server():
    """Return a host with a server that is ready."""
    host = Host()
    host.list_rows({"sound": stand_in.worker_row("s:80")})
    host.run(200, sound_answer)
    return host
