"""How a scheduler treats tasks that may crash servers."""

from tests.dispatch import builders
from tests.dispatch import reducer_case
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model

Outcome = model.CallOutcome
Fate = model.ServerFate
SMALL = model.Resources(processors=2000, memory=64)
TASK = "j.0.0.0"


def evidence(number, fate, *, task=TASK):
    incarnation = model.BackendIncarnation(f"elsewhere-{number}", 1)
    return model.CrashEvidence(task, incarnation, fate)


class SuspectTaskTests(reducer_case.ReducerTestCase):
    servers = 4

    def setUp(self):
        super().setUp()
        self.reports = [
            builders.report(f"server-{number}")
            for number in range(self.servers)
        ]
        self.list_row(reducer_case.LOCAL, reducer_case.PEER)
        self.apply(events.BackendsListed(tuple(self.reports)), 0)
        for each in self.reports:
            self.apply(builders.polled(each), 1)

    def report_crashes(self, *items, at=1):
        return self.receive(messages.ReportCrashes(list(items)), at)

    def submit(self, job_id, at=2, **fields):
        step = model.Step(1, SMALL, builders.milliseconds(400))
        job = builders.job(job_id, estimate=400, steps=(step,), **fields)
        return self.apply(events.JobSubmitted(job), at)

    def started_on(self, done):
        return [
            each.incarnation.backend_id
            for each in builders.of_type(done, effects.StartRun)
        ]

    def end(self, task, backend_id, at, serial=1):
        report = next(
            each
            for each in self.reports
            if each.incarnation.backend_id == backend_id
        )
        ended = model.EndedRun(serial, task, 1, model.RunEnd.DONE)
        return self.apply(
            builders.polled(report, 1000 + at, ended=[ended]), at
        )

    def fill(self):
        """Start a task on each server; return the servers by task."""
        servers = {}
        for number in range(self.servers):
            # Two tasks of this size do not fit on one server.
            job = builders.job(f"fill-{number}", estimate=400)
            step = model.Step(
                1,
                model.Resources(processors=9000, memory=64),
                builders.milliseconds(400),
            )
            done = self.apply(
                events.JobSubmitted(
                    builders.job(f"fill-{number}", steps=(step,))
                ),
                2,
            )
            (servers[f"{job.job_id}.0.0.0"],) = self.started_on(done)
        return servers

    def test_suspect_task_shares_its_server_with_no_other(self):
        self.report_crashes(evidence(0, Fate.CRASHED))
        (server,) = self.started_on(self.submit("j"))
        others = [
            self.started_on(self.submit(f"other-{number}"))
            for number in range(8)
        ]
        self.assertNotIn([server], others)
        self.assertNotIn([], others)

    def test_suspect_task_starts_beside_others_if_no_server_is_idle(self):
        self.fill()
        self.report_crashes(evidence(0, Fate.SILENT))
        self.assertEqual(len(self.started_on(self.submit("j"))), 1)

    def test_task_that_has_to_run_alone_has_a_server_emptied(self):
        servers = self.fill()
        self.report_crashes(
            evidence(0, Fate.CRASHED), evidence(1, Fate.SILENT)
        )
        self.assertEqual(self.started_on(self.submit("j")), [])
        # The reserved server takes no more tasks, and runs the task once idle.
        others = [
            self.started_on(self.submit(f"other-{number}"))
            for number in range(9)
        ]
        used = {server for each in others for server in each}
        (reserved,) = set(servers.values()) - used
        task = next(key for key, value in servers.items() if value == reserved)
        done = self.end(task, reserved, 100)
        self.assertEqual(self.started_on(done), [reserved])

    def test_reservation_ends_with_the_job(self):
        self.fill()
        self.report_crashes(
            evidence(0, Fate.CRASHED), evidence(1, Fate.SILENT)
        )
        self.submit("j")
        self.apply(events.JobAbandoned("j"), 3)
        others = [
            self.started_on(self.submit(f"other-{number}", 4))
            for number in range(12)
        ]
        self.assertNotIn([], others)

    def test_suspect_tasks_leave_servers_for_the_others(self):
        suspects = [f"suspect-{number}" for number in range(self.servers)]
        for each in suspects:
            self.report_crashes(
                evidence(0, Fate.CRASHED, task=f"{each}.0.0.0")
            )
            self.submit(each)
        done = self.submit("other")
        self.assertEqual(len(self.started_on(done)), 1)

    def test_task_is_held_until_a_silent_server_answers(self):
        silent = [evidence(number, Fate.SILENT) for number in range(3)]
        self.report_crashes(*silent)
        done = self.submit("j")
        done += self.tick_until(400, 25)
        self.assertEqual(self.started_on(done), [])
        done = self.report_crashes(evidence(0, Fate.ALIVE), at=401)
        done += self.apply(events.Ticked(), 402)
        self.assertEqual(len(self.started_on(done)), 1)

    def test_held_task_that_cannot_end_in_time_is_answered_at_once(self):
        silent = [evidence(number, Fate.SILENT) for number in range(3)]
        self.report_crashes(*silent)
        self.submit("j", expires=builders.at(1000))
        done = self.tick_until(700, 25)
        ((outcome, _),) = self.answers(done)
        self.assertIs(outcome, model.JobOutcome.NOT_RUN)

    def test_job_is_given_up_when_its_task_has_crashed_servers(self):
        self.submit("j")
        crashed = [evidence(number, Fate.CRASHED) for number in range(3)]
        done = self.report_crashes(*crashed[:2])
        self.assertEqual(self.answers(done), [])
        done = self.report_crashes(crashed[2])
        self.assertEqual(
            self.answers(done), [(model.JobOutcome.FAILED, "crashes servers")]
        )
        self.assertEqual(len(builders.of_type(done, effects.StopRun)), 1)

    def test_done_task_does_not_fail_its_job(self):
        step = model.Step(1, SMALL, builders.milliseconds(400))
        self.submit("j")
        job = builders.job("two", steps=(step, step), estimate=400)
        done = self.apply(events.JobSubmitted(job), 3)
        (start, _) = builders.of_type(done, effects.StartRun)
        self.assertEqual(start.run.task, "two.0.0.0")
        self.end("two.0.0.0", start.incarnation.backend_id, 50)
        crashed = [
            evidence(number, Fate.CRASHED, task="two.0.0.0")
            for number in range(3)
        ]
        self.assertEqual(self.answers(self.report_crashes(*crashed)), [])

    def test_job_whose_task_has_crashed_servers_is_not_started_again(self):
        self.report_crashes(
            *(evidence(number, Fate.CRASHED) for number in range(3))
        )
        done = self.submit("j")
        self.assertEqual(
            self.answers(done), [(model.JobOutcome.FAILED, "crashes servers")]
        )
        self.assertEqual(self.started_on(done), [])

    def test_host_that_links_later_is_told_of_crashes(self):
        known = evidence(0, Fate.CRASHED)
        self.report_crashes(known)
        later = model.HostRecord("later", "1", reducer_case.ZONE)
        done = self.apply(events.LinkOpened(9, later, False), 5)
        (report,) = [
            each.message
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.ReportCrashes)
        ]
        self.assertEqual(report.evidence, [known])

    def test_start_of_a_suspect_task_is_reported_before_its_end(self):
        self.report_crashes(evidence(0, Fate.CRASHED))
        done = self.submit("j")
        reports = [
            [item.fate for item in each.message.evidence]
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.ReportCrashes)
        ]
        self.assertEqual(reports, [[Fate.SILENT]])

    def test_offered_task_that_must_run_alone_is_declined_if_it_cannot(self):
        self.fill()
        offer = messages.OfferTask(
            job_id="k",
            step=0,
            index=0,
            run=3,
            queue="q",
            service=builders.SERVICE,
            spec="spec",
            room=SMALL,
            estimate_ms=400.0,
            due_in_ms=1000.0,
            label=None,
            max_per_backend=None,
            must_run_alone=True,
        )
        done = self.receive(offer, 5, link=reducer_case.INBOUND)
        self.assertEqual(self.started_on(done), [])
        (ended,) = [
            each.message
            for each in builders.of_type(done, effects.Send)
            if isinstance(each.message, messages.TaskEnded)
        ]
        self.assertIs(ended.end, model.TaskEnd.NOT_RUN)
