import pathlib
import tomllib
import unittest

from waxwingwalk.platform import boot

ROOT = pathlib.Path(__file__).resolve().parents[2]


def read_pins(name):
    """Return the lines of pinned versions in a requirements file."""
    lines = (ROOT / name).read_text().splitlines()
    return {line for line in lines if line}


class DeployFilesTests(unittest.TestCase):
    def setUp(self):
        path = ROOT / "deploy" / "system.toml"
        self.deploy = tomllib.loads(path.read_text())

    def test_deployed_versions_are_the_tested_versions(self):
        self.assertLessEqual(
            read_pins("requirements.txt"), read_pins("constraints.txt")
        )

    def test_metrics_port_is_the_one_that_the_daemon_uses(self):
        (role,) = self.deploy["roles"].values()
        self.assertEqual(role["metrics"], f"{boot.METRICS_PORT}/metrics")

    def test_daemon_runs_on_every_machine_that_callers_reach(self):
        (role,) = self.deploy["roles"].values()
        self.assertEqual(role["on"], "front")
        self.assertEqual(set(role["serves"]), {"front", "control"})
        self.assertEqual(role["run"], "python3 -m waxwingwalk.platform")
