"""``waxwingwalk check``: lists all errors of a settings file."""

import pathlib

import cleo.helpers
from returns import result

from waxwingwalk.entry import config
from waxwingwalk.management import base
from waxwingwalk.settings import tree as settings_tree


class CheckCommand(base.BaseCommand):
    """Checks the settings file of an entry process, or a settings tree."""

    name = "check"
    description = "Check a settings file, a settings tree, or both."
    options = [
        cleo.helpers.option(
            "settings",
            "s",
            "Settings file of an entry process.",
            flag=False,
        ),
        cleo.helpers.option(
            "tree", "t", "File with a settings tree.", flag=False
        ),
        base.BaseCommand.json_option,
    ]

    def handle(self) -> int:
        faults = []
        if self.option("settings"):
            faults += _check_process_settings(
                pathlib.Path(self.option("settings"))
            )
        if self.option("tree"):
            faults += _check_tree(self.option("tree"))
        if not self.option("settings") and not self.option("tree"):
            return self.fail("--settings FILE or --tree FILE is required")
        if self.option("json"):
            self.print_json({"faults": faults})
        else:
            for fault in faults:
                self.line(fault)
            self.line(f"{len(faults)} faults")
        return base.EXIT_USAGE if faults else base.EXIT_OK


def _check_process_settings(path: pathlib.Path) -> list[str]:
    loaded = config.load(path)
    if not isinstance(loaded, result.Success):
        return [f"W001 {fault}" for fault in loaded.failure()]
    settings = loaded.unwrap()
    faults = _check_listeners_and_access(settings)
    secrets = config.load_secrets(settings.access)
    if not isinstance(secrets, result.Success):
        faults += [f"W002 {fault}" for fault in secrets.failure()]
    return faults


def _check_listeners_and_access(settings: config.EntryConfig) -> list[str]:
    faults = []
    listeners = {
        "callers": settings.callers,
        "operators": settings.operators,
        "peers": settings.peers,
    }
    for name, listener in listeners.items():
        if listener.address in ("0.0.0.0", "::"):
            faults.append(
                f"W003 {name}.address: listens on every interface; "
                "hint: name one address"
            )
    ports = [each.port for each in listeners.values() if each.port]
    if len(set(ports)) < len(ports):
        faults.append("W004 callers, operators, peers: ports must differ")
    if settings.access.callers_file is None:
        faults.append(
            "W005 access.callers_file: callers need no token; "
            "hint: name a file of team tokens"
        )
    if settings.access.operators_file is None:
        faults.append(
            "W006 access.operators_file: operators need no token; "
            "hint: name a file of operator tokens"
        )
    return faults


def _check_tree(path: str) -> list[str]:
    document = base.read_document(path)
    if not isinstance(document, result.Success):
        return [f"W010 {document.failure()}"]
    errors = settings_tree.validate(document.unwrap())
    return [f"W011 {error}" for error in errors]
