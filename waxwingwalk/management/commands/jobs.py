"""``waxwingwalk job ...``: submit, status, cancel, explain."""

import asyncio
from typing import Any

import aiohttp
import cleo.helpers
from returns import result

from waxwingwalk.management import base

PROGRESS_SECONDS = 2.0


class JobCommand(base.RequestCommand):
    """A command that talks to the callers' interface."""

    default_address = "127.0.0.1:7001"

    shared_options = [
        base.RequestCommand.address_option,
        base.RequestCommand.token_option,
        base.BaseCommand.json_option,
    ]

    def show(self, reply: dict[str, Any]) -> int:
        """Print a reply about a job; return the exit code."""
        if self.option("json"):
            self.print_json(reply)
            return base.exit_code(reply["code"])
        for name in ("job", "tasks", "tasks_done", "tasks_started"):
            if name in reply:
                self.line(f"{name.replace('_', ' ')}: {reply[name]}")
        if "results" in reply:
            self.line(f"results: {reply['results']}")
        for line in reply.get("story", []):
            self.line(line)
        self.line(f"{reply['code']} {reply['name']}: {reply['detail']}")
        return base.exit_code(reply["code"])


class JobSubmitCommand(JobCommand):
    """Submits a job from a JSON or YAML file and waits for its answer."""

    name = "job submit"
    description = "Submit the job in FILE."
    arguments = [cleo.helpers.argument("file", "A JSON or YAML file.")]
    options = [
        *JobCommand.shared_options,
        cleo.helpers.option(
            "no-wait", None, "Print the job's id at once.", flag=True
        ),
    ]

    def handle(self) -> int:
        document = base.read_document(self.argument("file"))
        if not isinstance(document, result.Success):
            return self.fail(document.failure())
        job = document.unwrap()
        if not isinstance(job, dict):
            return self.fail("the file holds no job")
        if self.option("no-wait"):
            job["wait"] = False
        reply = self._submit(job)
        return base.EXIT_USAGE if reply is None else self.show(reply)

    def _submit(self, job: dict[str, Any]) -> dict[str, Any] | None:
        try:
            return asyncio.run(self._submit_with_progress(job))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.fail(f"{self.address()}: {error or type(error).__name__}")
            return None

    async def _submit_with_progress(
        self, job: dict[str, Any]
    ) -> dict[str, Any]:
        """Wait for the answer; on a terminal, show that time passes."""
        request = asyncio.create_task(self._request("POST", "/v1/jobs", job))
        waited = 0.0
        while True:
            done, _ = await asyncio.wait({request}, timeout=PROGRESS_SECONDS)
            if done:
                return request.result()
            waited += PROGRESS_SECONDS
            if self.io.error_output.is_decorated():
                self.line_error(f"waiting for {waited:.0f} s")


class AboutJobCommand(JobCommand):
    """A command that asks about a job by its id."""

    method = "GET"
    suffix = ""
    arguments = [cleo.helpers.argument("job", "The job's id.")]
    options = JobCommand.shared_options

    def handle(self) -> int:
        path = f"/v1/jobs/{self.argument('job')}{self.suffix}"
        reply = self.request(self.method, path)
        return base.EXIT_USAGE if reply is None else self.show(reply)


class JobStatusCommand(AboutJobCommand):
    """Shows a job's state, or its answer once it has one."""

    name = "job status"
    description = "Show the state of JOB."


class JobCancelCommand(AboutJobCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel JOB."
    method = "DELETE"


class JobExplainCommand(AboutJobCommand):
    """Shows what became of a job and its tasks, and why."""

    name = "job explain"
    description = "Explain JOB from its coordinator's memory."
    suffix = "/explain"
