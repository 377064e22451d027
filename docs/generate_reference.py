"""Generates the reference pages from the code.

python docs/generate_reference.py
"""

import json
import pathlib
import re
from typing import Any

import pydantic

import waxwingwalk
from waxwingwalk.client import model as client_model
from waxwingwalk.core import results
from waxwingwalk.entry import requests
from waxwingwalk.host import log_catalogue
from waxwingwalk.settings import global_settings

REFERENCE = pathlib.Path(__file__).parent / "ref"
_COMMENTED_FIELD = re.compile(r"((?:    # .*\n)+)    (\w+):")
FAMILY_MEANINGS = {
    results.Family.OK: "The answer is complete, or the request is under way.",
    results.Family.NOT_RUN: (
        "Not run: no task of this submission was ever started."
    ),
    results.Family.FAILED: (
        "Failed: some task was started, and there is no whole answer."
    ),
    results.Family.UNKNOWN: "Unknown: an earlier attempt may have run.",
    results.Family.OPERATOR: "Operators' requests, and access.",
}


def result_codes() -> str:
    """Return the page on result codes."""
    lines = [
        "# Result codes",
        "",
        "Every reply carries a `code` and its `name`. The thousands digit is",
        "the family, and the family is what a caller may rely on.",
    ]
    for family, meaning in FAMILY_MEANINGS.items():
        lines += ["", f"## {int(family)}000", "", meaning, ""]
        lines += [
            "| code | name | HTTP | meaning |",
            "| --- | --- | --- | --- |",
        ]
        for code, info in results.CODES.items():
            if code.family is family:
                lines.append(
                    f"| {int(code)} | {code.name} | {info.http_status} "
                    f"| {info.meaning} |"
                )
    return "\n".join([*lines, ""])


def host_logs() -> str:
    """Return the page on the logs of dispatch hosts."""
    lines = [
        "# Logs of dispatch hosts",
        "",
        "One JSON object a line on standard output, with `event`, `level` and",
        "`timestamp`. Each event has a budget of lines a second; what is left",
        "out is counted in `log.suppressed`. No payload is logged.",
        "",
        "| event | when | fields |",
        "| --- | --- | --- |",
    ]
    for name, event in log_catalogue.EVENTS.items():
        fields = ", ".join(f"`{field}`" for field in event.fields)
        lines.append(f"| `{name}` | {event.when} | {fields} |")
    return "\n".join([*lines, ""])


def read_setting_comments() -> dict[str, str]:
    """Return the comment above each setting, by the name of the setting."""
    text = pathlib.Path(global_settings.__file__).read_text()
    return {
        name: " ".join(
            line.strip().removeprefix("#").strip()
            for line in block.splitlines()
        )
        for block, name in _COMMENTED_FIELD.findall(text)
    }


def settings() -> str:
    """Return the page on settings."""
    lines = [
        "# Settings",
        "",
        "Durations and sizes are written with a unit: `250 ms`, `2 s`,",
        "`64 KiB`. Levels, from the broadest to the narrowest: `defaults`,",
        "`regions`, `services`, `host_classes`, `availability_zones`.",
    ]
    setting_comments = read_setting_comments()
    titles: list[tuple[str, type[pydantic.BaseModel]]] = [
        ("Of a service (every level)", global_settings.ServiceOptions),
        ("Of a process (all but `services`)", global_settings.ProcessOptions),
        ("Of a team (`defaults`, `teams`)", global_settings.TeamOptions),
    ]
    for title, model in titles:
        lines += ["", f"## {title}", ""]
        lines += ["| setting | default | meaning |", "| --- | --- | --- |"]
        for name, field in sorted(model.model_fields.items()):
            default = field.default
            if hasattr(default, "total_seconds"):
                default = f"{default.total_seconds():g} s"
            lines.append(f"| {name} | {default} | {setting_comments[name]} |")
    return "\n".join([*lines, ""])


def _operation(
    summary: str, body: str | None = None, *, takes_job: bool = False
) -> dict[str, Any]:
    """Return an OpenAPI operation, which responds with the schema Reply."""
    schema = {"$ref": "#/components/schemas/Reply"}
    content = {"application/json": {"schema": schema}}
    operation: dict[str, Any] = {
        "summary": summary,
        "responses": {
            "default": {
                "description": "A reply with a result code.",
                "content": content,
            }
        },
    }
    if body is not None:
        reference = {"$ref": f"#/components/schemas/{body}"}
        operation["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": reference}},
        }
    if takes_job:
        operation["parameters"] = [
            {
                "name": "job",
                "in": "path",
                "required": True,
                "schema": {"type": "string"},
            }
        ]
    return operation


def openapi() -> str:
    """Return the OpenAPI document of the callers' interface."""
    models: list[type[pydantic.BaseModel]] = [
        requests.JobRequest,
        requests.KeysRequest,
        client_model.ReplyModel,
    ]
    schemas: dict[str, Any] = {}
    for each in models:
        schema = each.model_json_schema(
            ref_template="#/components/schemas/{model}"
        )
        schemas.update(schema.pop("$defs", {}))
        name = "Reply" if each is client_model.ReplyModel else each.__name__
        schemas[name] = schema
    submit = _operation("Submit a job and wait for it.", "JobRequest")
    status = _operation("Read a job's state or answer.", takes_job=True)
    status["parameters"].append(
        {
            "name": "wait",
            "in": "query",
            "description": "Wait for the answer.",
            "schema": {"type": "boolean", "default": False},
        }
    )
    cancel = _operation("Cancel a job.", takes_job=True)
    explain = _operation("Read a job's story.", takes_job=True)
    document = {
        "openapi": "3.1.0",
        "info": {
            "title": "waxwingwalk, callers' interface",
            "version": waxwingwalk.VERSION,
        },
        "security": [{"bearer": []}],
        "paths": {
            "/v1/jobs": {"post": submit},
            "/v1/jobs/{job}": {"get": status, "delete": cancel},
            "/v1/jobs/{job}/explain": {"get": explain},
            "/v1/keys": {"post": _operation("Issue keys.", "KeysRequest")},
            "/health": {"get": _operation("Is the process alive?")},
            "/ready": {"get": _operation("Does the process take jobs?")},
            "/version": {"get": _operation("Version and revision.")},
        },
        "components": {
            "schemas": schemas,
            "securitySchemes": {
                "bearer": {"type": "http", "scheme": "bearer"}
            },
        },
    }
    return json.dumps(document, indent=2, sort_keys=True) + "\n"


PAGES = {
    "host-logs.md": host_logs,
    "result-codes.md": result_codes,
    "settings.md": settings,
    "callers.openapi.json": openapi,
}


def main() -> None:
    """Write the pages."""
    for name, page in PAGES.items():
        (REFERENCE / name).write_text(page())


if __name__ == "__main__":
    main()
