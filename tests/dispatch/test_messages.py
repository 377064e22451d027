"""Messages of hosts of the former version are understood."""

import datetime
import unittest

import orjson

from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

ROOM = model.Resources(500, 64)
STEP = model.Step(
    2, ROOM, datetime.timedelta(seconds=1.25), (0,), None, None, 3
)
# Messages as the former version wrote them: ``kind`` is the last field, and
# durations are in the format of ISO 8601.
FORMER_MESSAGES = (
    (
        messages.SubmitJob(
            "j", "q", "s", 0, 3, "spec", 1.6, (STEP,), 1.5, 2.5, 4
        ),
        '{"job_id":"j","queue":"q","service":"s","priority":0,"attempts":3,'
        '"spec":"spec","stretch":1.6,"steps":[{"count":2,"room":{"processors"'
        ':500,"memory":64,"accelerators":0},"estimate":"PT1.25S","after":[0],'
        '"label":null,"preferred_rack":null,"max_per_backend":3}],'
        '"due_in_ms":1.5,"expires_in_ms":2.5,"request":4,'
        '"kind":"submit_job"}',
    ),
    (
        messages.JobEnded("j", model.JobOutcome.LOST, "x", None, 2),
        '{"job_id":"j","outcome":"lost","reason":"x","return_in_ms":null,'
        '"request":2,"kind":"job_ended"}',
    ),
    (
        messages.TaskEnded("j", 1, 2, 3, model.TaskEnd.GONE),
        '{"job_id":"j","step":1,"index":2,"run":3,"end":"gone",'
        '"kind":"task_ended"}',
    ),
    (
        messages.HostStatus(
            [
                messages.PoolLoad(
                    "p", 7, "s", [messages.FreeRoom(ROOM, 1.5)], 2.5
                )
            ],
            False,
            3,
            ["z"],
        ),
        '{"loads":[{"pool":"p","fence":7,"service":"s","free":[{"room":'
        '{"processors":500,"memory":64,"accelerators":0},"slowness":1.5}],'
        '"backlog_ms":2.5}],"is_leaving":false,"catalog_version":3,'
        '"releasing":["z"],"kind":"host_status"}',
    ),
    (
        messages.ReportCrashes(
            [
                model.CrashEvidence(
                    "t",
                    model.BackendIncarnation("b", 1),
                    model.ServerFate.SILENT,
                )
            ]
        ),
        '{"evidence":[{"task":"t","incarnation":{"backend_id":"b",'
        '"started_ms":1},"fate":"silent"}],"kind":"report_crashes"}',
    ),
)
# Fields that the former version ignores, as it does not know them.
ADDED_FIELDS = {"host_status": {"evacuated": None}}
ADDED_LOAD_FIELDS = {"balance": None}


class FormerVersionTests(unittest.TestCase):
    def test_messages_of_the_former_version_are_decoded(self):
        for message, content in FORMER_MESSAGES:
            with self.subTest(kind=message.kind):
                frame = messages.decoder.validate_json(
                    f'{{"sent_ms":1.5,"messages":[{content}]}}'
                )
                self.assertEqual(frame, messages.Frame(1.5, [message]))

    def test_messages_have_the_fields_that_the_former_version_reads(self):
        for message, content in FORMER_MESSAGES:
            with self.subTest(kind=message.kind):
                frame = messages.Frame(1.5, [message])
                encoded = orjson.loads(messages.decoder.dump_json(frame))
                expected = orjson.loads(content)
                expected |= ADDED_FIELDS.get(message.kind, {})
                for load in expected.get("loads", ()):
                    load |= ADDED_LOAD_FIELDS
                self.assertEqual(encoded["messages"], [expected])

    def test_unknown_fields_of_a_later_version_are_ignored(self):
        frame = messages.decoder.validate_json(
            '{"sent_ms":1,"zone":"z","messages":[{"kind":"keep_alive",'
            '"catalog_version":2,"load":{"a":[1]}}]}'
        )
        self.assertEqual(frame.messages, [messages.KeepAlive(2)])


class DelayTests(unittest.TestCase):
    def test_limit_of_a_job_is_not_extended_by_a_delay_of_its_message(self):
        message = messages.LimitJob("j", 500, 1)
        messages.deduct_delay(message, 120)
        self.assertEqual(message.expires_in_ms, 380)
