"""The daemon starts without libraries that it does not need.

A day has up to 200 starts, and pydantic with the models built with it took
some 0.25 s of processor time of each.
"""

import pathlib
import subprocess
import sys
import unittest

UNNEEDED = ("pydantic", "cleo", "tenacity", "humanfriendly")
PROGRAM = """
import sys
import waxwingwalk.platform.__main__
print(*sys.modules, sep=chr(10))
"""


class ImportTests(unittest.TestCase):
    def test_daemon_imports_no_library_of_other_programs(self):
        root = pathlib.Path(__file__).parents[2]
        ended = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            cwd=root,
            capture_output=True,
            text=True,
            check=True,
        )
        imported = set(ended.stdout.split())
        self.assertIn("waxwingwalk.platform.daemon", imported)
        self.assertEqual(imported.intersection(UNNEEDED), set())


if __name__ == "__main__":
    unittest.main()
