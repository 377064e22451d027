"""``waxwingwalk explain``: the history of a job, from log files."""

from collections.abc import Iterator
import pathlib

import cleo.helpers

from waxwingwalk.host import history
from waxwingwalk.management import base


class ExplainCommand(base.BaseCommand):
    """Prints a job's history in order of time, or a summary of all jobs."""

    name = "explain"
    description = "Show a job's history from log files, or summarize all jobs."
    arguments = [
        cleo.helpers.argument(
            "job", "Id of the job, or 'all' for a summary of all jobs."
        ),
        cleo.helpers.argument(
            "files", "Log files of dispatch hosts.", multiple=True
        ),
    ]

    def handle(self) -> int:
        try:
            lines = list(self._read_lines())
        except OSError as error:
            return self.fail(f"{error.filename}: {error.strerror}")
        entries = history.read_entries(lines)
        if not entries:
            return self.fail(
                "the files contain no log line of a dispatch host"
            )
        job_id = self.argument("job")
        if job_id == "all":
            self._print_summary(history.summarise(entries))
            return base.EXIT_OK
        job_history = history.explain_job(job_id, entries)
        if job_history is None:
            return self.fail(f"no log line names the job {job_id!r}")
        for entry in job_history.entries:
            self.line(str(entry), style=None)
        if job_history.context:
            self.line("", style=None)
            self.line("at that time:", style=None)
            for entry in job_history.context:
                self.line(f"  {entry}", style=None)
        self.line("", style=None)
        self.line(job_history.explanation, style=None)
        return base.EXIT_OK

    def _read_lines(self) -> Iterator[tuple[str, str]]:
        for name in self.argument("files"):
            path = pathlib.Path(name)
            with path.open(errors="replace") as opened:
                for line in opened:
                    yield path.stem, line

    def _print_summary(self, summary: history.Summary) -> None:
        self.print_table(
            ["outcome", "reason", "jobs"],
            [
                [outcome, reason, str(count)]
                for outcome, reason, count in summary.answers
            ],
        )
        self.line("", style=None)
        self.print_table(
            ["event", "lines"],
            [[event, str(count)] for event, count in summary.events],
        )
        self.line("", style=None)
        self.print_table(
            ["latest jobs", "late ms", "why"],
            [
                [job_id, f"{late:.0f}", why]
                for job_id, late, why in summary.most_late_jobs
            ],
        )
