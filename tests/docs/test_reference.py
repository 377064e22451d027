"""Tests that the reference pages agree with the code."""

import pathlib
import re
import runpy
import unittest

from waxwingwalk.core import results

DOCS = pathlib.Path(__file__).resolve().parents[2] / "docs"
CODE_ROW = re.compile(r"^\| (\d{4}) \| (\w+) \| (\d{3}) \| (.+?) \|$", re.M)


class ResultCodeTests(unittest.TestCase):
    def test_table_agrees_with_code(self):
        text = (DOCS / "ref" / "result-codes.md").read_text()
        documented = {
            int(number): (name, int(status), meaning)
            for number, name, status, meaning in CODE_ROW.findall(text)
        }
        expected = {
            int(code): (code.name, info.http_status, info.meaning)
            for code, info in results.CODES.items()
        }
        self.assertEqual(expected, documented)

    def test_every_code_is_described(self):
        self.assertEqual(set(results.ResultCode), set(results.CODES))

    def test_not_run_means_no_task_started(self):
        code = results.ResultCode
        for started in range(4):
            chosen = results.code_for_ending(
                started,
                unstarted=code.CANCELLED_UNSTARTED,
                otherwise=code.CANCELLED,
            )
            is_not_run = chosen.family is results.Family.NOT_RUN
            self.assertEqual(started == 0, is_not_run)


class GeneratedPagesTests(unittest.TestCase):
    def test_pages_are_up_to_date(self):
        pages = runpy.run_path(str(DOCS / "generate_reference.py"))["PAGES"]
        for name, page in pages.items():
            with self.subTest(page=name):
                self.assertEqual((DOCS / "ref" / name).read_text(), page())
