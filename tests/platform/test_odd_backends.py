"""Odd rows and answers of backend servers cost no other server anything."""

import json
import unittest

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
NUMBERS = strategies.sampled_from(
    (
        *(-1, 0, 1, 5, 2**31, 2**53, 2**53 + 1, 2**63 - 1, 2**63, 2**64),
        *(10**13, 10**13 + 1, 10**15, 10**30, -(10**30)),
        *(0.5, 1e15, 1e300, -1e300, "7", "nan", "inf", None, True, [], {}),
    )
)
ADDRESSES = strategies.one_of(
    strategies.sampled_from(
        (
            *("127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0", "127.0.0.1"),
            *(":80", "a:b", "a b:80", "a/b:80", "a@b:80", "[::1]:80", ""),
            *("a:080", "a:80/x", "a?b:80", "\n:80", "a:٣", "127.0.0.1:80"),
        )
    ),
    strategies.text(max_size=12),
)
NAMES = strategies.one_of(
    strategies.sampled_from(("", "a\r\nX: y", "\x00", "x" * 300, "a-odd")),
    strategies.text(max_size=6),
)
FUZZ = hypothesis.settings(test_hostile_input.SETTINGS, max_examples=150)


def with_fields(**fields):
    """Return strategies of documents in which some fields are replaced."""
    return strategies.fixed_dictionaries({}, optional=fields)


ROWS = with_fields(
    born=NUMBERS,
    address=ADDRESSES,
    zone=strategies.one_of(NAMES, strategies.just(ZONE)),
    state=strategies.sampled_from(("ready", "draining", "gone", 1)),
    room=with_fields(cpu=NUMBERS, mem_mb=NUMBERS, gpu=NUMBERS),
    clock_ms=NUMBERS,
    cold_left_ms=NUMBERS,
    labels=strategies.lists(NAMES, max_size=2),
)
RUN_ROWS = strategies.tuples(NAMES, NUMBERS, NAMES, NUMBERS).map(list)
END_ROWS = strategies.tuples(
    NUMBERS, NAMES, NUMBERS, strategies.sampled_from(("done", "lapsed", "?"))
).map(list)
ANSWERS = with_fields(
    clock_ms=NUMBERS,
    born=NUMBERS,
    running=strategies.lists(RUN_ROWS, max_size=2),
    ended=strategies.lists(END_ROWS, max_size=2),
)


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


class OddBackendTests(unittest.TestCase):
    def start_job(self, host):
        """Submit a job that the sound server alone can run."""
        host.done = []
        job = builders.job(now=builders.at(host.at), estimate=50)
        host.apply(events.JobSubmitted(job))
        starts = builders.of_type(host.done, effects.StartRun)
        self.assertEqual(
            [each.incarnation.backend_id for each in starts], ["sound"]
        )

    def sound_answer(self, poll):
        """Return the answer of the sound server; others do not answer."""
        if poll.incarnation.backend_id == "sound":
            return encode({"clock_ms": 1000, "born": 1})
        return None

    def serve(self, host, answer=None):
        """Check that the sound server is acquired, and gets a job."""
        host.run(800, answer or self.sound_answer)
        self.start_job(host)

    @FUZZ
    @hypothesis.given(strategies.lists(ROWS, max_size=3), NAMES)
    def test_odd_rows_hide_no_server(self, odd, name):
        host = Host()
        rows = {
            f"a-{number}": stand_in.worker_row("a:1") | fields
            for number, fields in enumerate(odd)
        }
        if name:
            rows[name] = stand_in.worker_row("a:1")
        host.list_rows(rows | {"sound": stand_in.worker_row("s:80")})
        self.serve(host)

    @FUZZ
    @hypothesis.given(strategies.lists(ANSWERS, min_size=1, max_size=4))
    def test_odd_answers_of_a_server_cost_no_other_server(self, odd):
        host = Host()
        # The odd server is too small for the job.
        room = {"cpu": 1, "mem_mb": 1}
        host.list_rows(
            {
                "odd": stand_in.worker_row("o:80", room=room),
                "sound": stand_in.worker_row("s:80"),
            }
        )
        answers = [
            encode({"clock_ms": 1, "born": 1} | fields) for fields in odd
        ]

        def answer(poll):
            if poll.incarnation.backend_id == "odd":
                return answers[poll.number % len(answers)]
            return self.sound_answer(poll)

        self.serve(host, answer)

    def test_rows_with_values_out_of_range_are_refused(self):
        for fields in (
            {"born": 10**23},
            {"born": -1},
            {"room": {"cpu": 2**60}},
            {"room": {"cpu": -1}},
            {"address": "127.0.0.1:99999"},
            {"address": "127.0.0.1"},
            {"address": "a/b:80"},
            {"zone": ""},
            {"zone": "\n"},
        ):
            with self.subTest(fields=fields):
                content = encode(stand_in.worker_row("a:1") | fields)
                decoded = catalog.decode_backend("key", content)
                self.assertIsInstance(decoded, result.Failure)
        content = encode(stand_in.worker_row("a:1"))
        for key in ("", "a\r\nb", "x" * 300):
            decoded = catalog.decode_backend(key, content)
            self.assertIsInstance(decoded, result.Failure)

    def test_deeply_nested_row_is_refused(self):
        content = b'{"backend":' + b"[" * 100_000
        decoded = catalog.decode_backend("key", content)
        self.assertIsInstance(decoded, result.Failure)
