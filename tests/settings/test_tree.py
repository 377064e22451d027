"""The settings tree: inheritance, validation and changes."""

import datetime
import unittest

import hypothesis
from hypothesis import strategies

from waxwingwalk.settings import global_settings
from waxwingwalk.settings import tree

TREE = {
    "defaults": {"job_deadline": "20 s", "job_max_tasks": 100},
    "regions": {"wales": {"job_max_tasks": 200, "probe_interval": "2 s"}},
    "services": {"refunds": {"job_max_tasks": 300}},
    "host_classes": {"small": {"queue_max_tasks": 50}},
    "availability_zones": {"wales-1": {"queue_max_tasks": 40}},
    "teams": {"pubs": {"weight": 2, "quota": 64}},
}
# Tree, path of the fault, part of the message.
FAULTS = [
    ({"defaults": {"job_maxtasks": 1}}, "defaults.job_maxtasks", "did you"),
    ({"defaults": {"job_deadline": 20}}, "defaults.job_deadline", "unit"),
    ({"defaults": {"job_deadline": "20"}}, "defaults.job_deadline", "unit"),
    ({"defaults": {"job_deadline": "2 x"}}, "defaults.job_deadline", "x"),
    ({"defaults": {"job_max_tasks": 0}}, "defaults.job_max_tasks", "greater"),
    ({"defaults": {"job_order": "lifo"}}, "defaults.job_order", "fifo"),
    ({"defaults": {"payload_max": "4 XB"}}, "defaults.payload_max", "byte"),
    ({"services": {"a": {"quota": 1}}}, "services.a.quota", "not known"),
    ({"teams": {"a": {"weight": 0}}}, "teams.a.weight", "greater than 0"),
    ({"teams": 3}, "teams", "mapping"),
    ({"zones": {}}, "zones", "not known"),
    ([], "", "mapping"),
]
PATHS = strategies.sampled_from(
    [
        "defaults.job_max_tasks",
        "services.refunds.job_max_tasks",
        "services.scans.queue_max_tasks",
        "regions.wales.job_max_tasks",
    ]
)
CHANGES = strategies.dictionaries(
    PATHS, strategies.one_of(strategies.none(), strategies.integers(1, 500))
)
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


class InheritanceTests(unittest.TestCase):
    def test_narrower_level_overrides_a_broader_one(self):
        cases = [
            (tree.Context(), 100),
            (tree.Context(region="wales"), 200),
            (tree.Context(region="wales", service="refunds"), 300),
            (tree.Context(service="other"), 100),
        ]
        for context, expected in cases:
            with self.subTest(context=context):
                options = tree.resolve(
                    TREE, context, global_settings.ServiceOptions
                )
                self.assertEqual(expected, options.job_max_tasks)

    def test_durations_become_standard_time_types(self):
        options = tree.resolve(
            TREE, tree.Context(), global_settings.ServiceOptions
        )
        self.assertEqual(datetime.timedelta(seconds=20), options.job_deadline)

    def test_effective_value_names_its_origin(self):
        context = tree.Context(
            region="wales",
            service="refunds",
            host_class="small",
            availability_zone="wales-1",
            team="pubs",
        )
        origins = {
            each.name: (each.value, each.origin)
            for each in tree.effective(TREE, context)
        }
        self.assertEqual(
            (40, "availability_zones.wales-1"), origins["queue_max_tasks"]
        )
        self.assertEqual((64, "teams.pubs"), origins["quota"])
        self.assertEqual("built in", origins["payload_max"][1])


class ValidationTests(unittest.TestCase):
    def test_valid_tree_has_no_fault(self):
        self.assertEqual([], tree.validate(TREE))

    def test_each_fault_is_named_with_its_path(self):
        for faulty, path, message in FAULTS:
            with self.subTest(tree=faulty):
                (error,) = tree.validate(faulty)
                self.assertEqual(path, error.path)
                self.assertIn(message, error.message)

    def test_all_faults_are_reported_at_once(self):
        faulty = {
            "defaults": {"weight": -1, "nonsense": 1},
            "teams": {"a": {"quota": "many"}},
        }
        self.assertEqual(3, len(tree.validate(faulty)))


class ChangeTests(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(CHANGES, CHANGES)
    def test_diff_of_a_change_can_be_applied_in_both_directions(
        self, first, second
    ):
        before = tree.apply_changes({}, first).unwrap()
        after = tree.apply_changes(before, second).unwrap()
        differing = tree.diff(before, after)
        forward = {path: values[1] for path, values in differing.items()}
        backward = {path: values[0] for path, values in differing.items()}
        redone = tree.apply_changes(before, forward).unwrap()
        undone = tree.apply_changes(after, backward).unwrap()
        self.assertEqual(tree.flatten(after), tree.flatten(redone))
        self.assertEqual(tree.flatten(before), tree.flatten(undone))

    def test_bad_path_is_an_error(self):
        for path in ("", "defaults", "defaults.", "teams.quota", "x"):
            with self.subTest(path=path):
                errors = tree.apply_changes({}, {path: 1}).failure()
                self.assertEqual(1, len(errors))
