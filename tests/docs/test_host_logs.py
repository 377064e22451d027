"""Tests that the log catalogue has the events and fields of the code."""

import ast
import collections
import pathlib
import unittest

import waxwingwalk
from waxwingwalk.host import log_catalogue

PACKAGE = pathlib.Path(waxwingwalk.__file__).parent
AREAS = ("connections", "dispatch", "host", "platform", "store")
# RunTracker._remove_backend logs the event that it is given as an argument,
# with these fields.
REMOVED_BACKEND_FIELDS = {"backend", "life", "fence", "reason"}
LOG_METHODS = {"info", "warning", "error"}


def find_logged_events():
    """Return the events that the code logs, with all of their fields."""
    events = collections.defaultdict(set)
    for area in AREAS:
        for path in sorted((PACKAGE / area).rglob("*.py")):
            for node in ast.walk(ast.parse(path.read_text())):
                if isinstance(node, ast.Call) and node.args:
                    record_log_call(node, events)
    return events


def record_log_call(call, events):
    """Record the event and fields of a call if it logs."""
    event = call.args[0]
    name = getattr(call.func, "attr", getattr(call.func, "id", ""))
    if name == "_remove_backend":
        events[call.args[2].value] |= REMOVED_BACKEND_FIELDS
    elif not isinstance(event, ast.Constant):
        return
    elif name == "Log":
        events[event.value] |= {key.value for key in call.args[1].keys}
    elif name in LOG_METHODS:
        events[event.value] |= {each.arg for each in call.keywords}


class CatalogueTests(unittest.TestCase):
    def test_catalogue_and_code_agree(self):
        code = {
            event: set(fields)
            for event, fields in find_logged_events().items()
        }
        catalogue = {
            event: set(entry.fields)
            for event, entry in log_catalogue.EVENTS.items()
        }
        self.assertEqual(catalogue, code)
