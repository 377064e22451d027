"""Shared parts of the commands: options, requests, output and exit codes.

Exit codes: 0 success, 1 wrong usage or failure of the command itself,
2 refused and not run, 3 failed after a task had started, 4 outcome unknown,
5 operator request refused.
"""

import asyncio
import json
import pathlib
from typing import Any

import aiohttp
import cleo.commands.command
import cleo.helpers
import orjson
from returns import result
import yaml

from waxwingwalk.core import results

EXIT_OK = 0
EXIT_USAGE = 1
REQUEST_TIMEOUT_SECONDS = 30.0


def exit_code(code: int) -> int:
    """Return the exit code for a result code."""
    family = results.Family(code // 1000)
    return EXIT_OK if family is results.Family.OK else int(family)


class BaseCommand(cleo.commands.command.Command):
    """A command with ``--json`` output."""

    json_option = cleo.helpers.option(
        "json", None, "Print JSON rather than text.", flag=True
    )

    def print_json(self, content: Any) -> None:
        """Print a value as indented JSON."""
        self.line(json.dumps(content, indent=2), style=None)

    def print_table(self, headers: list[str], rows: list[list[str]]) -> None:
        """Print a table with a header row."""
        table = self.table(style="compact")
        table.set_headers(list(headers))
        table.set_rows([list(row) for row in rows])
        table.render()

    def fail(self, message: str) -> int:
        """Print an error message; return ``EXIT_USAGE``."""
        self.line_error(f"error: {message}", style="error")
        return EXIT_USAGE


class RequestCommand(BaseCommand):
    """A command that sends a request to an entry process."""

    default_address = "127.0.0.1:7002"

    address_option = cleo.helpers.option(
        "address",
        "a",
        "Address of an entry process, as HOST:PORT.",
        flag=False,
    )
    token_option = cleo.helpers.option(
        "token-file",
        None,
        "File that contains the bearer token.",
        flag=False,
    )

    def read_token(self) -> str | None:
        """Return the content of the token file, or None without one."""
        path = self.option("token-file")
        return pathlib.Path(path).read_text().strip() if path else None

    def address(self) -> str:
        """Return the address that requests are sent to."""
        return str(self.option("address") or self.default_address)

    def request(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> dict[str, Any] | None:
        """Send a request and return the reply.

        Prints an error and returns None if the request fails.
        """
        try:
            return asyncio.run(self._request(method, path, body))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.fail(f"{self.address()}: {error or type(error).__name__}")
            return None

    async def _request(
        self, method: str, path: str, body: dict[str, Any] | None
    ) -> dict[str, Any]:
        headers = {}
        token = self.read_token()
        if token is not None:
            headers["Authorization"] = f"Bearer {token}"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            headers=headers, timeout=timeout
        ) as session:
            async with session.request(
                method, f"http://{self.address()}{path}", json=body
            ) as response:
                reply: dict[str, Any] = orjson.loads(await response.read())
                return reply

    def print_errors(self, reply: dict[str, Any]) -> int:
        """Print the errors of a reply, if any; return its exit code."""
        code = exit_code(reply["code"])
        if code != EXIT_OK:
            text = f"{reply['code']} {reply['name']}: {reply['detail']}"
            self.line_error(text, style="error")
            for error in reply.get("errors", []):
                self.line_error(f"  {error['path']}: {error['message']}")
        return code


def read_document(path: str) -> result.Result[Any, str]:
    """Return the content of a JSON or YAML file, or an error message."""
    try:
        return result.Success(yaml.safe_load(pathlib.Path(path).read_text()))
    except (OSError, yaml.YAMLError) as error:
        return result.Failure(str(error))


def parse_value(text: str) -> Any:
    """Parse the value of a setting as YAML."""
    return yaml.safe_load(text)
