"""The log catalogue says what the code emits."""

import ast
import collections
import pathlib
import unittest

import waxwingwalk
from waxwingwalk.host import log_catalogue

PACKAGE = pathlib.Path(waxwingwalk.__file__).parent
AREAS = ("dispatch", "host", "platform", "store")
# RunTracker._remove_backend logs under the name that it is given.
DROPPED_FIELDS = {"backend", "life", "fence", "reason"}
LOG_METHODS = {"info", "warning", "error"}


def emitted():
    """Return the events in the code with all fields that they ever have."""
    found = collections.defaultdict(set)
    for area in AREAS:
        for path in sorted((PACKAGE / area).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args:
                    note(node, found)
    return found


def note(call, found):
    """Take in a call that logs."""
    event = call.args[0]
    name = getattr(call.func, "attr", getattr(call.func, "id", ""))
    if name == "_remove_backend":
        found[call.args[2].value] |= DROPPED_FIELDS
    elif not isinstance(event, ast.Constant):
        return
    elif name == "Log":
        found[event.value] |= {key.value for key in call.args[1].keys}
    elif name in LOG_METHODS:
        found[event.value] |= {each.arg for each in call.keywords}


class CatalogueTests(unittest.TestCase):
    def test_catalogue_and_code_agree(self):
        code = {event: set(fields) for event, fields in emitted().items()}
        catalogue = {
            event: set(entry.fields)
            for event, entry in log_catalogue.EVENTS.items()
        }
        self.assertEqual(catalogue, code)
