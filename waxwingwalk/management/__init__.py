"""The command line; the commands are in ``commands``."""

import sys

import cleo.application

import waxwingwalk
from waxwingwalk.management.commands import backend
from waxwingwalk.management.commands import check
from waxwingwalk.management.commands import demo
from waxwingwalk.management.commands import emulate
from waxwingwalk.management.commands import entry
from waxwingwalk.management.commands import explain
from waxwingwalk.management.commands import explain_placement
from waxwingwalk.management.commands import hosts
from waxwingwalk.management.commands import jobs
from waxwingwalk.management.commands import platform
from waxwingwalk.management.commands import settings


def application() -> cleo.application.Application:
    """Return the command-line application."""
    app = cleo.application.Application("waxwingwalk", waxwingwalk.VERSION)
    for command in (
        backend.BackendCommand(),
        check.CheckCommand(),
        demo.DemoCommand(),
        emulate.EmulateDaysCommand(),
        emulate.EmulateLoadCommand(),
        entry.EntryCommand(),
        explain.ExplainCommand(),
        explain_placement.ExplainPlacementCommand(),
        hosts.BackendServerListCommand(),
        hosts.HostDrainCommand(),
        hosts.HostListCommand(),
        jobs.JobCancelCommand(),
        jobs.JobExplainCommand(),
        jobs.JobStatusCommand(),
        jobs.JobSubmitCommand(),
        platform.PlatformCommand(),
        settings.SettingsDiffCommand(),
        settings.SettingsEffectiveCommand(),
        settings.SettingsGetCommand(),
        settings.SettingsHistoryCommand(),
        settings.SettingsRollbackCommand(),
        settings.SettingsSetCommand(),
        settings.SettingsUnsetCommand(),
    ):
        app.add(command)
    return app


def main() -> None:
    """Run the command line and exit."""
    sys.exit(application().run())
