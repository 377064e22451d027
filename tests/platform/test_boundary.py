"""No code outside the adapter uses the platform's names."""

import ast
import pathlib
import re
import unittest

import waxwingwalk

PACKAGE = pathlib.Path(waxwingwalk.__file__).parent
ADAPTER = "platform"
# Names that only the platform uses; waxwingwalk has other names for the same.
PLATFORM_NAMES = (
    "run-start",
    "run-stop",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "acked_upto",
    "deadline_ms",
    "clock_ms",
    "retry_after_ms",
    "est_ms",
    "mem_mb",
    "slo_ms",
    "best_effort",
    "max_per_server",
    "Expect-Instance",
    "Deadline-Ms",
    "WAXWINGWALK_BOOT",
    "servers/",
)


def sources():
    """Return the source files of the package outside the adapter."""
    return [
        path
        for path in sorted(PACKAGE.rglob("*.py"))
        if ADAPTER not in path.relative_to(PACKAGE).parts[:1]
    ]


class BoundaryTests(unittest.TestCase):
    def test_no_module_imports_the_adapter(self):
        for path in sources():
            tree = ast.parse(path.read_text())
            for node in ast.walk(tree):
                names = []
                if isinstance(node, ast.Import):
                    names = [each.name for each in node.names]
                elif isinstance(node, ast.ImportFrom) and node.module:
                    names = [node.module] + [
                        f"{node.module}.{each.name}" for each in node.names
                    ]
                for name in names:
                    self.assertFalse(
                        name.startswith(f"waxwingwalk.{ADAPTER}"),
                        f"{path} imports {name}",
                    )

    def test_platform_names_occur_only_in_the_adapter(self):
        for path in sources():
            text = path.read_text()
            for name in PLATFORM_NAMES:
                found = re.search(rf"(?<![\w-]){re.escape(name)}", text)
                self.assertIsNone(found, f"{path} contains {name}")
