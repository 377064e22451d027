"""The operators' rows that evacuate zones."""

import unittest

from waxwingwalk.platform import catalog
from waxwingwalk.store import rows as store_rows


class EvacuatedZonesTests(unittest.TestCase):
    def test_zones_are_read_from_the_keys(self):
        rows = {
            key: store_rows.StoredRow(key, version, value)
            for key, version, value in (
                ("config", 3, b"{}"),
                ("evacuate/north", 12, b"{}"),
                # A malformed row evacuates its zone, too.
                ("evacuate/south-1", 13, b"\xff"),
                ("evacuate/", 14, b"{}"),
                ("evacuated/west", 15, b"{}"),
            )
        }
        self.assertEqual(
            catalog.evacuated_zones(rows), {"north": 12, "south-1": 13}
        )


if __name__ == "__main__":
    unittest.main()
