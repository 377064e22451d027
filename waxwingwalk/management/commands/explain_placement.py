"""``waxwingwalk explain-placement``: where a job would be placed now."""

from collections.abc import Callable
from typing import Any

import cleo.helpers
import cleo.io.inputs.option as cleo_option

from waxwingwalk.management import base

PATH = "/explain-placement"


def _option(name: str, description: str) -> cleo_option.Option:
    return cleo.helpers.option(name, None, description, flag=False)


class ExplainPlacementCommand(base.RequestCommand):
    """Asks a dispatch host where a job would go, without submitting it."""

    name = "explain-placement"
    description = "Show where a job would be placed now, and why."
    options = [
        cleo.helpers.option(
            "address",
            "a",
            "Address of a dispatch host's peers' listener, as HOST:PORT.",
            flag=False,
        ),
        _option("queue", "Queue of the job; or give --service."),
        _option("service", "Service of the job; its first queue is used."),
        _option("tasks", "Number of tasks; 1 by default."),
        _option("cores", "Processors of a task, in cores; 1 by default."),
        _option("memory", "Memory of a task, in MiB; 0 by default."),
        _option("run-time", "Run time of a task, in ms."),
        _option("priority", "Priority; that of the queue by default."),
        _option("label", "Label that a backend server must have."),
        base.BaseCommand.json_option,
    ]
    # Name of the option, name of the field, and how the value is read.
    _fields: tuple[tuple[str, str, Callable[[str], Any]], ...] = (
        ("queue", "queue", str),
        ("service", "service", str),
        ("tasks", "tasks", int),
        ("cores", "cores", float),
        ("memory", "memory_mib", int),
        ("run-time", "run_time_ms", float),
        ("priority", "priority", int),
        ("label", "label", str),
    )

    def read_token(self) -> str | None:
        """Return None: the peers' listener requires no token."""
        return None

    def handle(self) -> int:
        if not self.option("address"):
            return self.fail("--address HOST:PORT is required")
        if bool(self.option("queue")) == bool(self.option("service")):
            return self.fail("give either --queue or --service")
        if not self.option("run-time"):
            return self.fail("--run-time MS is required")
        question: dict[str, Any] = {}
        for name, field, read in self._fields:
            text = self.option(name)
            if text is None:
                continue
            try:
                question[field] = read(text)
            except ValueError:
                kind = "a whole number" if read is int else "a number"
                return self.fail(f"--{name} must be {kind}, not {text!r}")
        try:
            reply = self.request("POST", PATH, question)
        except ValueError:
            return self.fail(
                f"{self.address()} is not the peers' listener of a dispatch "
                "host that explains placements"
            )
        if reply is None:
            return base.EXIT_USAGE
        if self.option("json"):
            self.print_json(reply)
        elif "route" in reply:
            self._print_explanation(reply)
        return self.print_errors(reply)

    def _print_explanation(self, reply: dict[str, Any]) -> None:
        route = reply["route"]
        goal = route["scheduler"] or "no host"
        self.line(f"route: {route['decision']}, to {goal}", style=None)
        columns = ["zone", "scheduler", "backlog_ms", "news_age_ms", "reason"]
        self.print_table(
            ["zone", "scheduler", "backlog ms", "news age ms", "reason"],
            [[_text(each[c]) for c in columns] for each in route["zones"]],
        )
        self.line("", style=None)
        admission, task = reply["admission"], reply["task"]
        if admission is None or task is None:
            self.line(
                f"{reply['host']} schedules no pool; ask the scheduler",
                style=None,
            )
            return
        if route["scheduler"] != reply["host"]:
            self.line(
                f"the scheduler at {reply['host']}, if it got the job:",
                style=None,
            )
        verdict = "admitted"
        if not admission["is_admitted"]:
            verdict = f"refused, {admission['reason']}"
        self.line(
            f"admission: {verdict}; preceding backlog "
            f"{admission['preceding_backlog_ms']} of "
            f"{admission['backlog_ms']} ms, expected end in "
            f"{admission['expected_end_ms']} ms, useful until "
            f"{admission['useful_until_ms']} ms",
            style=None,
        )
        goal = task["backend"] or task["peer"]
        line = f"first task: {task['decision']}"
        if goal is not None:
            line += f" {goal}"
        if task["decision"] == "waits":
            line += f"; room expected in {_text(task['room_in_ms'])} ms"
        self.line(line, style=None)
        columns = [
            "backend",
            "zone",
            "free_processors",
            "slowness",
            "room_in_ms",
            "expected_end_ms",
            "reason",
        ]
        self.print_table(
            [
                "server",
                "zone",
                "free, 1/1000 core",
                "slowness",
                "room in ms",
                "end in ms",
                "reason",
            ],
            [[_text(each[c]) for c in columns] for each in task["backends"]],
        )
        if task["omitted"]:
            self.line(f"and {task['omitted']} more servers", style=None)


def _text(value: Any) -> str:
    return "-" if value is None else str(value)
