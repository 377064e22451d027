"""Messages of peers whose numbers are out of range."""

import unittest

import pydantic

from tests.core import reducers
from waxwingwalk.core import events
from waxwingwalk.core import messages

PEER = "10.0.0.2:7003"
PEER_INCARNATION = "0000000000bb000001"
RECORD = {
    "address": PEER,
    "incarnation": PEER_INCARNATION,
    "zone": "wales-1",
    "region": "wales",
    "state": "live",
    "version": 1,
}
PROBE = {
    "kind": "probe",
    "sender": RECORD,
    "changes": [],
    "revision": -1,
    "free": {"b1": 0},
    "is_reply": True,
    "running": {"refunds": 2.5},
}
NOTICE = {
    "kind": "backend_notice",
    "backend_id": "b1",
    "incarnation": "1",
    "state": "set_aside",
    "seconds": 30.0,
}
GRANT = {
    "kind": "slot_grant",
    "service": "refunds",
    "slots": {"b1": 2},
    "serial": 1,
    "free": {"b1": 1},
}
REQUEST = {
    "kind": "slot_request",
    "service": "refunds",
    "want": 0,
    "serial": 1,
    "teams": {"shops": 1.0},
}
REPORT = {"kind": "slot_report", "slots": {"b1": 8}}
VALID = [PROBE, NOTICE, GRANT, REQUEST, REPORT]
OUT_OF_RANGE = [
    {**PROBE, "running": {"refunds": 1e308}},
    {**PROBE, "running": {"refunds": -1e308}},
    {**PROBE, "running": {"refunds": float("nan")}},
    {**PROBE, "free": {"b1": -1}},
    {**NOTICE, "seconds": 1e300},
    {**NOTICE, "seconds": 1e9},
    {**NOTICE, "seconds": -1.0},
    {**GRANT, "slots": {"b1": -1}},
    {**REQUEST, "want": -1},
    {**REQUEST, "teams": {"shops": 0.0}},
    {**REPORT, "slots": {"b1": 10**9}},
]


class MessageTests(unittest.TestCase):
    def test_messages_in_range_are_accepted(self):
        for content in VALID:
            with self.subTest(content=content):
                message = messages.decoder.validate_python(content)
                self.assertEqual(content["kind"], message.kind)

    def test_messages_out_of_range_are_rejected(self):
        for content in OUT_OF_RANGE:
            with self.subTest(content=content):
                with self.assertRaises(pydantic.ValidationError):
                    messages.decoder.validate_python(content)

    def test_impossible_load_of_a_peer_does_not_stop_dispatch(self):
        harness = reducers.ReducerHarness()
        harness.list_backends(reducers.backend())
        for load in (0.0, 1e308, -1e308):
            content = {**PROBE, "running": {"refunds": load}}
            try:
                message = messages.decoder.validate_python(content)
            except pydantic.ValidationError:
                continue
            harness.apply(
                events.PeerMessageReceived(PEER, PEER_INCARNATION, message)
            )
        harness.advance(5)
        _, done = harness.submit()
        self.assertEqual(1, len(reducers.sent(done)))
