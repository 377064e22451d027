"""Writes the reference pages that follow from the code.

python docs/generate_reference.py
"""

import pathlib
import re

import pydantic

from waxwingwalk.core import results
from waxwingwalk.settings import global_settings

REFERENCE = pathlib.Path(__file__).parent / "ref"
_FIELD = re.compile(r"((?:    # .*\n)+)    (\w+):")
FAMILIES = {
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
    for family, meaning in FAMILIES.items():
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


def comments() -> dict[str, str]:
    """Return the comment above each setting."""
    text = pathlib.Path(global_settings.__file__).read_text()
    return {
        name: " ".join(
            line.strip().removeprefix("#").strip()
            for line in block.splitlines()
        )
        for block, name in _FIELD.findall(text)
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
    explained = comments()
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
            lines.append(f"| {name} | {default} | {explained[name]} |")
    return "\n".join([*lines, ""])


def main() -> None:
    """Write the pages."""
    (REFERENCE / "result-codes.md").write_text(result_codes())
    (REFERENCE / "settings.md").write_text(settings())


if __name__ == "__main__":
    main()
