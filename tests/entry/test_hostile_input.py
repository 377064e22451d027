"""Malformed input of callers and backend servers."""

import json
import unittest

from waxwingwalk.core import model
from waxwingwalk.entry import backend_client

BEYOND_FLOATS = 10**400

# Members of a backend server's reply.
MALFORMED_REPLIES = [
    {"running": BEYOND_FLOATS},
    {"running": -1},
]


class HostileInputTests(unittest.TestCase):
    def test_reply_with_numbers_out_of_range_has_an_unknown_outcome(self):
        for members in MALFORMED_REPLIES:
            with self.subTest(members=members):
                reply = {"task": "j/0", "incarnation": "a", "status": "done"}
                content = json.dumps({**reply, **members}).encode()
                parsed = backend_client.parse_reply(content)
                self.assertIs(model.TaskOutcome.LOST, parsed.outcome)
