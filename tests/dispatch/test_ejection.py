"""Servers on which tasks fail are ejected, a quarter of a zone at a time."""

import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import run_tracker

Outcome = model.CallOutcome
ZONE_SIZE = 8
ENOUGH_FAILURES = 12


class EjectionTests(unittest.TestCase):
    def setUp(self):
        self.tracker = run_tracker.RunTracker()
        self.reports = [
            builders.report(f"server-{number}") for number in range(ZONE_SIZE)
        ]
        self.serials = dict.fromkeys(range(ZONE_SIZE), 0)
        self.runs = 0
        for number, report in enumerate(self.reports):
            self.tracker.acquire(report, 7, builders.START)
            self.poll(number, 1)

    def poll(self, number, at, *ended):
        self.tracker.polled(
            self.reports[number].incarnation,
            Outcome.ACCEPTED,
            1000 + at,
            (),
            ended,
            builders.at(at),
        )

    def backend(self, number):
        return self.tracker.get(self.reports[number].incarnation)

    def run_task(self, number, end, at=2, queue="q"):
        self.runs += 1
        order = builders.order(job_id=f"j{self.runs}", queue=queue)
        self.tracker.start(order, self.backend(number), builders.at(at))
        self.serials[number] += 1
        ended = model.EndedRun(
            self.serials[number], order.key.task, order.key.run, end
        )
        self.poll(number, at + 1, ended)

    def fail(self, number, at=2, queue="q"):
        for _ in range(ENOUGH_FAILURES):
            self.run_task(number, model.RunEnd.FAILED, at, queue)

    def ejected(self, at):
        return [
            number
            for number in range(ZONE_SIZE)
            if self.backend(number).is_ejected(builders.at(at))
        ]

    def complete_elsewhere(self, queue="q"):
        for number in range(4, ZONE_SIZE):
            for _ in range(20):
                self.run_task(number, model.RunEnd.DONE, 2, queue)

    def test_at_most_a_quarter_is_ejected_at_a_time(self):
        self.complete_elsewhere()
        for number in range(4):
            self.fail(number)
        self.assertEqual(self.ejected(10), [0, 1])

    def test_another_is_ejected_once_the_first_are_back(self):
        self.complete_elsewhere()
        for number in range(3):
            self.fail(number)
        later = 3500
        self.run_task(2, model.RunEnd.FAILED, later)
        self.assertEqual(self.ejected(later + 1), [2])

    def test_queue_that_fails_everywhere_ejects_no_server(self):
        self.complete_elsewhere()
        for _ in range(ENOUGH_FAILURES):
            for number in range(ZONE_SIZE):
                self.run_task(number, model.RunEnd.FAILED, 2, "broken")
        self.assertEqual(self.ejected(10), [])

    def test_ejected_server_is_tried_with_one_task_at_a_time(self):
        self.complete_elsewhere()
        self.fail(0)
        backend = self.backend(0)
        self.assertFalse(backend.is_usable(builders.at(2000)))
        self.assertTrue(backend.is_usable(builders.at(3500)))
        order = builders.order(job_id="trial")
        self.assertTrue(backend.can_fit_now(order))
        self.tracker.start(order, backend, builders.at(3500))
        self.assertFalse(backend.can_fit_now(builders.order(job_id="next")))
        self.serials[0] += 1
        done = model.EndedRun(
            self.serials[0], order.key.task, 1, model.RunEnd.DONE
        )
        self.poll(0, 3600, done)
        self.run_task(0, model.RunEnd.DONE, 3601)
        self.tracker.start(
            builders.order(job_id="a"), backend, builders.at(3700)
        )
        self.assertTrue(backend.can_fit_now(builders.order(job_id="b")))
