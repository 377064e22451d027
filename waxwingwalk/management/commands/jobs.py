"""``waxwingwalk job ...``: submit, status, cancel, explain."""

import asyncio
from typing import Any

import aiohttp
import cleo.helpers
from returns import result

from waxwingwalk.management import base

PROGRESS_INTERVAL_SECONDS = 2.0


class JobCommand(base.RequestCommand):
    """A command that sends a request to the callers' API."""

    default_address = "127.0.0.1:7001"

    shared_options = [
        base.RequestCommand.address_option,
        base.RequestCommand.token_option,
        base.BaseCommand.json_option,
    ]

    def print_reply(self, reply: dict[str, Any]) -> int:
        """Print a reply about a job; return its exit code."""
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
    arguments = [
        cleo.helpers.argument("file", "A JSON or YAML file with a job.")
    ]
    options = [
        *JobCommand.shared_options,
        cleo.helpers.option(
            "no-wait", None, "Print the job's id without waiting.", flag=True
        ),
    ]

    def handle(self) -> int:
        document = base.read_document(self.argument("file"))
        if not isinstance(document, result.Success):
            return self.fail(document.failure())
        job = document.unwrap()
        if not isinstance(job, dict):
            return self.fail("the file contains no job")
        if self.option("no-wait"):
            job["wait"] = False
        reply = self._submit(job)
        return base.EXIT_USAGE if reply is None else self.print_reply(reply)

    def _submit(self, job: dict[str, Any]) -> dict[str, Any] | None:
        try:
            return asyncio.run(self._submit_with_progress(job))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.fail(f"{self.address()}: {error or type(error).__name__}")
            return None

    async def _submit_with_progress(
        self, job: dict[str, Any]
    ) -> dict[str, Any]:
        """Submit a job and wait for the answer.

        Prints the time waited so far at intervals, if standard error is a
        terminal.
        """
        request = asyncio.create_task(self._request("POST", "/v1/jobs", job))
        waited = 0.0
        while True:
            done, _ = await asyncio.wait(
                {request}, timeout=PROGRESS_INTERVAL_SECONDS
            )
            if done:
                return request.result()
            waited += PROGRESS_INTERVAL_SECONDS
            if self.io.error_output.is_decorated():
                self.line_error(f"waiting for {waited:.0f} s")


class JobByIdCommand(JobCommand):
    """A command that sends a request for a job by its id."""

    method = "GET"
    path_suffix = ""
    arguments = [cleo.helpers.argument("job", "The job's id.")]
    options = JobCommand.shared_options

    def handle(self) -> int:
        path = f"/v1/jobs/{self.argument('job')}{self.path_suffix}"
        reply = self.request(self.method, path)
        return base.EXIT_USAGE if reply is None else self.print_reply(reply)


class JobStatusCommand(JobByIdCommand):
    """Shows the state of a job, or its answer if the job has ended."""

    name = "job status"
    description = "Show the state of JOB."


class JobCancelCommand(JobByIdCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel JOB."
    method = "DELETE"


class JobExplainCommand(JobByIdCommand):
    """Shows the history of a job and its tasks."""

    name = "job explain"
    description = "Show the history of JOB that its coordinator keeps."
    path_suffix = "/explain"
