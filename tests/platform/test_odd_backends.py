"""Odd rows and answers of backend servers cost no other server anything."""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
from returns import result

from tests.platform import fuzzed_host
from tests.platform import stand_in
from waxwingwalk.platform import catalog
from waxwingwalk.store import rows as store_rows

ZONE = fuzzed_host.ZONE
NUMBERS = fuzzed_host.NUMBERS
NAMES = fuzzed_host.NAMES
FUZZ = fuzzed_host.FUZZ
with_fields = fuzzed_host.with_fields
encode = fuzzed_host.encode

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


class OddBackendTests(unittest.TestCase):
    def serve(self, host, answer=None):
        """Check that the sound server is acquired, and gets a job."""
        host.run(800, answer or fuzzed_host.sound_answer)
        self.assertEqual(host.start_job(), ["sound"])

    @FUZZ
    @hypothesis.given(strategies.lists(ROWS, max_size=3), NAMES)
    def test_odd_rows_hide_no_server(self, odd, name):
        host = fuzzed_host.Host()
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
        host = fuzzed_host.Host()
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
            return fuzzed_host.sound_answer(poll)

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

    def test_addresses_that_can_be_called_are_accepted(self):
        for address in ("127.0.0.1:80", "Worker-1.example:8169", "[::1]:80"):
            with self.subTest(address=address):
                content = encode(stand_in.worker_row(address))
                report = catalog.decode_backend("key", content).unwrap()
                self.assertEqual(report.address, address)

    def test_row_that_fails_unexpectedly_costs_no_other_row(self):
        rows = {
            key: store_rows.StoredRow(
                key, 1, encode(stand_in.worker_row("a:1"))
            )
            for key in ("bad", "good")
        }
        decode = catalog.decode_backend

        def failing(key, value):
            if key == "bad":
                raise ZeroDivisionError("unexpected")
            return decode(key, value)

        log = mock.Mock()
        with mock.patch.object(catalog, "decode_backend", failing):
            reports = catalog.BackendRowDecoder(log).decode(rows)
        (report,) = reports
        self.assertEqual(report.incarnation.backend_id, "good")
        log.info.assert_called_once()

    def test_deeply_nested_row_is_refused(self):
        content = b'{"backend":' + b"[" * 100_000
        decoded = catalog.decode_backend("key", content)
        self.assertIsInstance(decoded, result.Failure)
