"""Which JSON is accepted, and that errors name the field."""

import unittest

import msgspec

from waxwingwalk.core import decoding


class Step(msgspec.Struct):
    count: int = 1
    seconds: float = 0.0
    is_alone: bool = False


class Job(msgspec.Struct):
    name: str
    steps: list[Step] = []


DECODER = decoding.Decoder(Job)


class DecoderTests(unittest.TestCase):
    def test_values_written_as_strings_and_unknown_fields_are_accepted(self):
        cases = (
            ('{"name":"a"}', Job("a")),
            ('{"name":"a","colour":[1]}', Job("a")),
            ('{"name":"a","steps":[{"count":"2"}]}', Job("a", [Step(2)])),
            ('{"name":"a","steps":[{"count":2.0}]}', Job("a", [Step(2)])),
            ('{"name":"a","steps":[{"seconds":3}]}', Job("a", [Step(1, 3.0)])),
            (
                '{"name":"a","steps":[{"is_alone":1}]}',
                Job("a", [Step(1, 0.0, True)]),
            ),
        )
        for content, expected in cases:
            with self.subTest(content=content):
                self.assertEqual(DECODER.decode(content), expected)

    def test_errors_name_the_field(self):
        cases = (
            ("{}", "`name`"),
            ('{"name":1}', "name: "),
            ('{"name":null}', "name: "),
            ('{"name":"a","steps":{}}', "steps: "),
            ('{"name":"a","steps":[{},{"count":1.5}]}', "steps.1.count: "),
            ('{"name":"a","steps":[{"seconds":"x"}]}', "steps.0.seconds: "),
            ('{"name":"a","steps":[{"is_alone":2}]}', "steps.0.is_alone: "),
            ('{"name":"a","steps":[7]}', "steps.0: "),
        )
        for content, place in cases:
            with self.subTest(content=content):
                with self.assertRaises(decoding.MalformedError) as caught:
                    DECODER.decode(content)
                self.assertIn(place, str(caught.exception))

    def test_unreadable_input_is_malformed(self):
        # Each of these is reported by an exception of another type inside.
        deep = '{"name":"a","x":' + "[" * 100_000 + "}"
        for content in (b"", b"{", b'{"name":"\xff"}', '"\ud800"', deep):
            with self.subTest(content=content[:30]):
                with self.assertRaises(decoding.MalformedError):
                    DECODER.decode(content)

    def test_strict_decoder_refuses_values_written_as_strings(self):
        decoder = decoding.Decoder(Step, strict=True)
        for content in ('{"count":"2"}', '{"is_alone":1}'):
            with self.subTest(content=content):
                with self.assertRaises(decoding.MalformedError):
                    decoder.decode(content)


class ConvertTests(unittest.TestCase):
    def test_document_is_converted(self):
        document = {"name": "a", "steps": [{"count": "2"}]}
        self.assertEqual(decoding.convert(document, Job), Job("a", [Step(2)]))

    def test_errors_name_the_field(self):
        for document in ({}, {"name": 1}, {"name": "a", "steps": [1]}, [], 7):
            with self.subTest(document=document):
                with self.assertRaises(decoding.MalformedError):
                    decoding.convert(document, Job)
