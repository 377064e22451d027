"""Arbitrary input at the borders of a dispatch host is refused, not raised."""

import copy
import json
import unittest

import hypothesis
from hypothesis import strategies
import orjson
from returns import result

from tests.platform import stand_in
from waxwingwalk.core import decoding
from waxwingwalk.dispatch import messages
from waxwingwalk.host import records
from waxwingwalk.platform import boot
from waxwingwalk.platform import callers
from waxwingwalk.platform import catalog

KEYS = strategies.sampled_from(
    (
        *("spec", "steps", "best_effort", "times", "count", "cpu", "after"),
        *("est_ms", "version", "routes", "backends", "limits", "name"),
        *("backend", "address", "zone", "state", "room", "labels", "born"),
        *("incarnation", "processors", "order", "kind", "job_id", "run"),
        *("messages", "sent_ms", "loads", "node", "ip", "listen", "front"),
    )
)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-(2**63), 2**63 - 1),
    strategies.floats(allow_nan=False, allow_infinity=False),
    strategies.text(max_size=8),
    strategies.sampled_from(("ready", "draining", "task_ended", "done")),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=4),
        strategies.dictionaries(
            strategies.one_of(KEYS, strategies.text(max_size=4)),
            inner,
            max_size=6,
        ),
    ),
    max_leaves=20,
)
DOCUMENTS = strategies.one_of(
    strategies.binary(max_size=40),
    VALUES.map(
        lambda value: orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)
    ),
)
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=100, deadline=None
)


HOSTILE_VALUES = (
    *(None, True, -1, 0, 2**62, 1e300, -1e300, 1e-300),
    *("", "x" * 10, [], {}, [[]], 10**30, "nan", "inf"),
)
HOST_RECORD = {
    "address": "a:1",
    "incarnation": "1",
    "zone": "z",
    "processors": 1.0,
}
JOB = {
    "spec": "s",
    "best_effort": True,
    "steps": [{"count": 2, "cpu": 5, "est_ms": 50, "after": []}],
}
BOOT_SETTINGS = {
    "node": "n",
    "ip": "127.0.0.1",
    "zone": "z",
    "listen": {"front": "a:1", "ready": "a:2", "control": "a:3"},
    "seeds": [],
    "limits": {"cpu_share": 0.5, "cores": 2},
    "bounds": {"grace_s": 6},
    "platform": {"address": "a:4"},
}


def places(value, path=()):
    """Yield the path of each value within a document."""
    yield path
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from places(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from places(inner, (*path, index))


def variants(document):
    """Yield the document with each of its values replaced by hostile ones."""
    for path in places(document):
        for value in HOSTILE_VALUES:
            if not path:
                yield value
                continue
            changed = copy.deepcopy(document)
            target = changed
            for key in path[:-1]:
                target = target[key]
            target[path[-1]] = value
            yield changed


class HostileInputTests(unittest.TestCase):
    def test_documents_with_one_hostile_value_are_decoded_or_refused(self):
        cases = (
            (JOB, callers.decode_job),
            (stand_in.config(), catalog.decode_catalog),
            (
                stand_in.worker_row("a:1"),
                lambda content: catalog.decode_backend("key", content),
            ),
            (HOST_RECORD, records.decode_host),
            ({"order": [HOST_RECORD]}, records.decode_pool),
        )
        for document, decode in cases:
            for variant in variants(document):
                with self.subTest(variant=variant):
                    decoded = decode(json.dumps(variant).encode())
                    self.assertIsInstance(decoded, result.Result)

    def test_settings_with_one_hostile_value_are_decoded_or_refused(self):
        for variant in variants(BOOT_SETTINGS):
            with self.subTest(variant=variant):
                self.assertIsInstance(boot.decode(variant), result.Result)

    @SETTINGS
    @hypothesis.given(DOCUMENTS)
    def test_documents_are_decoded_or_refused(self, content):
        for decoded in (
            callers.decode_job(content),
            catalog.decode_catalog(content),
            catalog.decode_backend("key", content),
            records.decode_host(content),
            records.decode_pool(content),
        ):
            self.assertIsInstance(decoded, result.Result)

    @SETTINGS
    @hypothesis.given(VALUES)
    def test_settings_are_decoded_or_refused(self, content):
        self.assertIsInstance(boot.decode(content), result.Result)

    @SETTINGS
    @hypothesis.given(VALUES)
    def test_frames_are_decoded_or_refused(self, content):
        text = orjson.dumps(content).decode()
        try:
            frame, errors = messages.decode_separately(text)
        except decoding.MalformedError:
            return
        self.assertEqual(
            len(frame.messages) + len(errors), len(content["messages"])
        )

    @SETTINGS
    @hypothesis.given(strategies.lists(VALUES, max_size=6))
    def test_messages_are_decoded_or_dropped_one_by_one(self, content):
        good = {"kind": "abandon_job", "job_id": "j"}
        text = orjson.dumps({"sent_ms": 1, "messages": [*content, good]})
        frame, errors = messages.decode_separately(text.decode())
        self.assertEqual(len(frame.messages) + len(errors), len(content) + 1)
        self.assertEqual(frame.messages[-1].kind, "abandon_job")


if __name__ == "__main__":
    unittest.main()
