import datetime
import unittest

from tests.dispatch import builders
from waxwingwalk.dispatch import crashes
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

Fate = model.ServerFate
Suspicion = crashes.Suspicion
TASK = "j.0.0.0"
LATER = builders.START + crashes.RETENTION_TIME + builders.milliseconds(1)


def evidence(number, fate, *, task=TASK):
    """Return evidence on the server of a number."""
    incarnation = model.BackendIncarnation(f"server-{number}", 1)
    return model.CrashEvidence(task, incarnation, fate)


class CrashHistoryTests(unittest.TestCase):
    def setUp(self):
        self.history = crashes.CrashHistory()

    def record(self, *items, now=builders.START):
        for each in items:
            self.history.record(each, now)

    def test_suspicion_follows_from_what_is_known(self):
        crashed = [evidence(number, Fate.CRASHED) for number in (0, 1, 2)]
        silent = [evidence(number, Fate.SILENT) for number in (3, 4, 5)]
        sound = evidence(6, Fate.ALIVE)
        cases = (
            ((), Suspicion.NONE),
            ((sound,), Suspicion.NONE),
            (crashed[:1], Suspicion.PREFER_ALONE),
            ((silent[0], sound), Suspicion.PREFER_ALONE),
            ((crashed[0], silent[0]), Suspicion.MUST_RUN_ALONE),
            (crashed[:2], Suspicion.MUST_RUN_ALONE),
            ((crashed[0], *silent[:2]), Suspicion.HELD),
            ((*crashed[:2], silent[0]), Suspicion.HELD),
            (silent, Suspicion.HELD),
            (crashed, Suspicion.GIVEN_UP),
        )
        for items, expected in cases:
            with self.subTest(items=items):
                self.setUp()
                self.record(*items)
                self.assertIs(self.history.suspicion(TASK), expected)

    def test_silent_servers_alone_never_give_a_job_up(self):
        self.record(*(evidence(n, Fate.SILENT) for n in range(20)))
        self.assertIs(self.history.suspicion(TASK), Suspicion.HELD)

    def test_evidence_on_a_server_counts_once(self):
        self.record(*[evidence(0, Fate.CRASHED)] * 3)
        self.assertIs(self.history.suspicion(TASK), Suspicion.PREFER_ALONE)

    def test_crash_is_not_overruled_by_late_evidence(self):
        self.record(evidence(0, Fate.CRASHED), evidence(0, Fate.ALIVE))
        self.assertIs(self.history.suspicion(TASK), Suspicion.PREFER_ALONE)

    def test_server_that_was_silent_and_answers_does_not_count(self):
        self.record(evidence(0, Fate.SILENT), evidence(0, Fate.ALIVE))
        self.assertIs(self.history.suspicion(TASK), Suspicion.NONE)

    def test_lost_runs_at_other_hosts_count_as_possible_crashes(self):
        self.assertIs(self.history.suspicion(TASK, 3), Suspicion.HELD)

    def test_old_evidence_is_forgotten(self):
        self.record(evidence(0, Fate.CRASHED))
        self.record(evidence(0, Fate.CRASHED, task="other"), now=LATER)
        self.assertIs(self.history.suspicion(TASK), Suspicion.NONE)
        self.assertEqual(len(self.history.recent(LATER)), 1)

    def test_evidence_that_is_known_is_not_kept_longer(self):
        self.record(evidence(0, Fate.CRASHED))
        halfway = builders.START + crashes.RETENTION_TIME / 2
        self.record(evidence(0, Fate.CRASHED), now=halfway)
        self.assertEqual(self.history.recent(LATER), [])

    def test_number_of_tasks_is_bounded(self):
        for number in range(crashes.MAX_TASKS + 5):
            self.record(evidence(0, Fate.CRASHED, task=str(number)))
        known = sum(
            self.history.suspicion(str(number)) is not Suspicion.NONE
            for number in range(crashes.MAX_TASKS + 5)
        )
        self.assertEqual(known, crashes.MAX_TASKS)
        recent = self.history.recent(builders.START)
        self.assertEqual(len(recent), crashes.MAX_REPORTED_TASKS)

    def test_evidence_is_kept_as_long_as_callers_ask_again(self):
        for seconds in range(0, 600, 60):
            now = builders.START + datetime.timedelta(seconds=seconds)
            self.record(evidence(seconds, Fate.SILENT), now=now)
        self.assertIs(self.history.suspicion(TASK), Suspicion.HELD)


class ReportCrashesTests(unittest.TestCase):
    def test_report_survives_the_link(self):
        report = messages.ReportCrashes([evidence(0, Fate.CRASHED)])
        frame = messages.Frame(1.0, [report])
        content = messages.decoder.dump_json(frame)
        self.assertEqual(messages.decoder.validate_json(content), frame)
