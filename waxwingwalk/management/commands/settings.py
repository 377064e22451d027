"""``waxwingwalk settings ...``: reads and changes the settings tree."""

from typing import Any
from urllib import parse

import cleo.helpers
from returns import result

from waxwingwalk.management import base
from waxwingwalk.settings import tree as settings_tree

SHARED_OPTIONS = [
    base.RequestCommand.address_option,
    base.RequestCommand.token_option,
    base.BaseCommand.json_option,
]
REASON_OPTION = cleo.helpers.option(
    "reason", "r", "Reason for the change.", flag=False
)
BASED_ON_OPTION = cleo.helpers.option(
    "based-on",
    None,
    "Revision that the change is based on.",
    flag=False,
)


class SettingsGetCommand(base.RequestCommand):
    """Shows the current settings tree, or the paths with a given prefix."""

    name = "settings get"
    description = "Show the settings of the current revision."
    arguments = [
        cleo.helpers.argument(
            "path", "A path, or the beginning of one.", optional=True
        )
    ]
    options = SHARED_OPTIONS

    def handle(self) -> int:
        reply = self.request("GET", "/v1/settings")
        if reply is None:
            return base.EXIT_USAGE
        if "revision" not in reply:
            return self.print_errors(reply)
        revision = reply["revision"]
        prefix = self.argument("path") or ""
        flat = {
            path: value
            for path, value in settings_tree.flatten(revision["tree"]).items()
            if path.startswith(prefix)
        }
        if self.option("json"):
            content = {"revision": revision["number"], "settings": flat}
            self.print_json(content)
        else:
            self.line(f"revision {revision['number']}")
            for path, value in sorted(flat.items()):
                self.line(f"{path}: {value}")
        return base.EXIT_OK


class SettingsChangeCommand(base.RequestCommand):
    """A command that creates a new revision."""

    def submit_changes(self, changes: dict[str, Any]) -> int:
        """Send changes and print the reply; return its exit code."""
        body: dict[str, Any] = {
            "changes": changes,
            "reason": self.option("reason") or "changed by hand",
        }
        based_on = self.option("based-on")
        if based_on is not None:
            body["based_on"] = int(based_on)
        reply = self.request("POST", "/v1/settings/changes", body)
        return base.EXIT_USAGE if reply is None else self.print_reply(reply)

    def print_reply(self, reply: dict[str, Any]) -> int:
        """Print the new revision or the errors; return the exit code."""
        if self.option("json"):
            self.print_json(reply)
            return base.exit_code(reply["code"])
        if "revision" in reply:
            self.line(f"revision {reply['revision']} accepted")
        return self.print_errors(reply)


class SettingsSetCommand(SettingsChangeCommand):
    """Sets the values of one or more paths in one revision."""

    name = "settings set"
    description = "Set the values of one or more paths."
    arguments = [
        cleo.helpers.argument("assignment", "PATH=VALUE", multiple=True)
    ]
    options = [*SHARED_OPTIONS, REASON_OPTION, BASED_ON_OPTION]

    def handle(self) -> int:
        changes = {}
        for assignment in self.argument("assignment"):
            path, separator, text = assignment.partition("=")
            if not separator:
                return self.fail(f"'{assignment}' is not PATH=VALUE")
            changes[path] = base.parse_value(text)
        return self.submit_changes(changes)


class SettingsUnsetCommand(SettingsChangeCommand):
    """Unsets paths, so that they take the value of the level above."""

    name = "settings unset"
    description = "Unset one or more paths."
    arguments = [cleo.helpers.argument("path", "A path.", multiple=True)]
    options = [*SHARED_OPTIONS, REASON_OPTION, BASED_ON_OPTION]

    def handle(self) -> int:
        return self.submit_changes(
            {path: None for path in self.argument("path")}
        )


class SettingsRollbackCommand(SettingsChangeCommand):
    """Restores the tree of an earlier revision in a new revision."""

    name = "settings rollback"
    description = "Restore the tree of REVISION."
    arguments = [cleo.helpers.argument("revision", "Number of the revision.")]
    options = [*SHARED_OPTIONS, REASON_OPTION]

    def handle(self) -> int:
        body = {
            "revision": int(self.argument("revision")),
            "reason": self.option("reason") or "",
        }
        reply = self.request("POST", "/v1/settings/rollback", body)
        return base.EXIT_USAGE if reply is None else self.print_reply(reply)


class SettingsHistoryCommand(base.RequestCommand):
    """Lists the latest revisions."""

    name = "settings history"
    description = "List the latest revisions."
    options = [
        *SHARED_OPTIONS,
        cleo.helpers.option("count", "c", "Number of revisions.", flag=False),
    ]

    def handle(self) -> int:
        count = self.option("count") or "20"
        path = f"/v1/settings/history?count={parse.quote(count)}"
        reply = self.request("GET", path)
        if reply is None:
            return base.EXIT_USAGE
        if self.option("json"):
            self.print_json(reply)
        elif "revisions" in reply:
            rows = [
                [
                    str(each["number"]),
                    each["at"],
                    each["author"],
                    each["reason"],
                    ", ".join(each["changes"]),
                ]
                for each in reply["revisions"]
            ]
            columns = ["revision", "at", "author", "reason", "changes"]
            self.print_table(columns, rows)
        return self.print_errors(reply)


class SettingsDiffCommand(base.RequestCommand):
    """Compares a tree in a YAML file with the current settings tree."""

    name = "settings diff"
    description = "Compare the tree in FILE with the current one."
    arguments = [
        cleo.helpers.argument("file", "A YAML file with a settings tree.")
    ]
    options = SHARED_OPTIONS

    def handle(self) -> int:
        document = base.read_document(self.argument("file"))
        if not isinstance(document, result.Success):
            return self.fail(document.failure())
        new_tree = document.unwrap()
        errors = settings_tree.validate(new_tree)
        if errors:
            return self.fail("; ".join(str(error) for error in errors))
        reply = self.request("GET", "/v1/settings")
        if reply is None:
            return base.EXIT_USAGE
        if "revision" not in reply:
            return self.print_errors(reply)
        differing = settings_tree.diff(reply["revision"]["tree"], new_tree)
        if self.option("json"):
            self.print_json(differing)
        else:
            for path, (old, new) in differing.items():
                self.line(f"{path}: {old} -> {new}")
        return base.EXIT_OK


class SettingsEffectiveCommand(base.RequestCommand):
    """Shows the effective value and the origin of each setting."""

    name = "settings effective"
    description = "Show the effective value and origin of each setting."
    options = [
        *SHARED_OPTIONS,
        *(
            cleo.helpers.option(
                name, None, f"Value in this {text}.", flag=False
            )
            for name, text in (
                ("region", "region"),
                ("service", "service"),
                ("host-class", "host class"),
                ("zone", "availability zone"),
                ("team", "team"),
            )
        ),
    ]

    def handle(self) -> int:
        names = ("region", "service", "host-class", "zone", "team")
        query = {
            name.replace("-", "_"): self.option(name)
            for name in names
            if self.option(name)
        }
        path = f"/v1/settings/effective?{parse.urlencode(query)}"
        reply = self.request("GET", path)
        if reply is None:
            return base.EXIT_USAGE
        if self.option("json"):
            self.print_json(reply)
        elif "settings" in reply:
            columns = ["name", "value", "origin"]
            rows = [
                [str(each[column]) for column in columns]
                for each in reply["settings"]
            ]
            self.print_table(columns, rows)
        return self.print_errors(reply)
