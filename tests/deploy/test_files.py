import pathlib
import tomllib
import unittest

from waxwingwalk.platform import boot

ROOT = pathlib.Path(__file__).resolve().parents[2]


def pins(name):
    """Return the pinned versions in a file."""
    lines = (ROOT / name).read_text().splitlines()
    return {line for line in lines if line}


class DeployFilesTests(unittest.TestCase):
    def setUp(self):
        path = ROOT / "deploy" / "system.toml"
        self.deploy = tomllib.loads(path.read_text())

    def test_daemons_run_the_versions_that_are_tested(self):
        self.assertLessEqual(pins("requirements.txt"), pins("constraints.txt"))

    def test_metrics_are_where_the_daemon_serves_them(self):
        (role,) = self.deploy["roles"].values()
        self.assertEqual(role["metrics"], f"{boot.METRICS_PORT}/metrics")

    def test_every_host_that_callers_reach_runs_the_daemon(self):
        (role,) = self.deploy["roles"].values()
        self.assertEqual(role["on"], "front")
        self.assertEqual(set(role["serves"]), {"front", "control"})
        self.assertEqual(role["run"], "python3 -m waxwingwalk.platform")
