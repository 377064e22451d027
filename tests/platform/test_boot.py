import datetime
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from returns import result
import yaml

from waxwingwalk.platform import boot


def settings(**fields):
    """Return settings as the platform writes them."""
    values = {
        "node": "front-north-1",
        "role": "dispatch",
        "ip": "10.1.0.13",
        "zone": "north",
        "region": "wales",
        "listen": {
            "front": "10.1.0.13:8161",
            "ready": "10.1.0.13:8167",
            "control": "10.1.0.13:8166",
        },
        "seeds": ["10.2.0.30:8166"],
        "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300},
        "bounds": {"grace_s": 6, "drain_ms": 2000},
        "platform": {"address": "10.200.1.7:8169", "form": "table"},
        "not_known_yet": {"a": 1},
    }
    return values | fields


class DecodeTests(unittest.TestCase):
    def test_settings_are_decoded(self):
        config = boot.decode(settings()).unwrap()
        self.assertEqual(config.callers, "10.1.0.13:8161")
        self.assertEqual(config.readiness, "10.1.0.13:8167")
        self.assertEqual(config.peers, "10.1.0.13:8166")
        self.assertEqual(config.metrics, "10.1.0.13:9464")
        self.assertEqual(config.store, "10.200.1.7:8169")
        self.assertEqual(config.processors, 1.074)
        self.assertEqual(config.grace, datetime.timedelta(seconds=6))

    def test_errors_name_the_setting(self):
        cases = (
            ("listen", {"front": "10.1.0.13:8161"}),
            ("platform", {}),
            ("zone", None),
            ("seeds", "10.2.0.30:8166"),
        )
        for name, value in cases:
            with self.subTest(setting=name):
                decoded = boot.decode(settings(**{name: value}))
                self.assertIsInstance(decoded, result.Failure)
                self.assertIn(name, decoded.failure())

    def test_dispatch_settings_are_off_unless_enabled(self):
        config = boot.decode(settings()).unwrap()
        self.assertFalse(config.dispatch.look_ahead)
        config = boot.decode(settings(), "{look_ahead: true}").unwrap()
        self.assertTrue(config.dispatch.look_ahead)
        self.assertFalse(config.dispatch.job_admission)

    def test_errors_name_the_dispatch_setting(self):
        for content in ("{look_ahed: true}", "{look_ahead: 2}", "[1", "5"):
            with self.subTest(content=content):
                decoded = boot.decode(settings(), content)
                self.assertIsInstance(decoded, result.Failure)
                self.assertIn("WAXWINGWALK_DISPATCH", decoded.failure())

    def test_fields_whose_names_are_not_strings_are_ignored(self):
        # YAML allows such names, and a later platform may use them.
        limits = {"cores": 2, 7: None}
        decoded = boot.decode(settings(limits=limits) | {1: "a"})
        self.assertEqual(decoded.unwrap().processors, 2)
        self.assertIsInstance(
            boot.decode(settings(), "{1: 2}"), result.Failure
        )

    def test_file_without_a_mapping_is_rejected(self):
        for content in (None, [], "text"):
            with self.subTest(content=content):
                self.assertIsInstance(boot.decode(content), result.Failure)


class SettingsFileTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.yaml"
        environment = {boot.SETTINGS_VARIABLE: str(self.path)}
        patch = mock.patch.dict(os.environ, environment)
        patch.start()
        self.addCleanup(patch.stop)
        self.file = boot.SettingsFile()

    def write(self, **fields):
        self.path.write_text(yaml.safe_dump(settings(**fields)))

    def test_changed_file_is_reloaded(self):
        self.write()
        self.file.load()
        self.write(seeds=["10.3.0.36:8166", "10.4.0.1:8166"])
        config = self.file.load().unwrap()
        self.assertEqual(len(config.seeds), 2)

    def test_unchanged_file_is_not_parsed_again(self):
        self.write()
        first = self.file.load().unwrap()
        self.assertIs(self.file.load().unwrap(), first)

    def test_missing_and_broken_files_are_explained(self):
        self.assertIn("No such file", self.file.load().failure())
        self.path.write_text("a: [")
        self.assertIn(str(self.path), self.file.load().failure())

    def test_missing_variable_is_explained(self):
        with mock.patch.dict(os.environ, clear=True):
            self.assertIn(boot.SETTINGS_VARIABLE, self.file.load().failure())
