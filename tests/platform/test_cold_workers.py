"""Workers that are slow for a while after their start."""

import unittest

import orjson

from tests.platform import stand_in
from waxwingwalk.platform import catalog


class ColdWorkerTests(unittest.TestCase):
    def decode(self, **fields):
        row = stand_in.worker_row("127.0.0.1:80", **fields)
        return catalog.decode_backend("w-1", orjson.dumps(row)).unwrap()

    def test_rows_of_a_cold_worker_agree_on_when_it_is_warm(self):
        early = self.decode(clock_ms=1000, cold_left_ms=4000)
        late = self.decode(clock_ms=3500, cold_left_ms=1500)
        self.assertEqual((early.warm_at_ms, late.warm_at_ms), (5000, 5000))

    def test_worker_without_usable_times_counts_as_warm(self):
        cases = (
            {"cold_left_ms": 0},
            {"cold_left_ms": None},
            {"cold_left_ms": "long"},
            {"cold_left_ms": -5},
            {"cold_left_ms": 10**18},
            {"cold_left_ms": 100, "clock_ms": "late"},
        )
        for fields in cases:
            with self.subTest(fields=list(fields)):
                self.assertEqual(self.decode(**fields).warm_at_ms, 0)


if __name__ == "__main__":
    unittest.main()
