"""``waxwingwalk emulate``: random days and load experiments, emulated."""

import pathlib
from typing import Any

import cleo.helpers
from returns import result

from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement
from waxwingwalk.emulator import experiment
from waxwingwalk.emulator import scenario
from waxwingwalk.management import base

EXIT_BREACH = 3
ORDERS: dict[str, type[ordering.JobOrder]] = {
    "least-slack": ordering.LeastSlack,
    "priority-then-slack": ordering.PriorityThenSlack,
}
PLACEMENTS: dict[str, type[placement.Placement]] = {
    "slowest-in-time": placement.SlowestInTime,
    "fastest": placement.Fastest,
    "fastest-in-time": placement.FastestInTime,
}
SEED_OPTIONS = [
    cleo.helpers.option(
        "first-seed", None, "The first seed.", flag=False, default="0"
    ),
    cleo.helpers.option(
        "seeds", None, "How many seeds.", flag=False, default="10"
    ),
]


class EmulateDaysCommand(base.BaseCommand):
    """Plays random days and reports every broken promise."""

    name = "emulate days"
    description = "Play days with random faults on an emulated fleet."
    options = [
        *SEED_OPTIONS,
        cleo.helpers.option(
            "faults", None, "Faults a day.", flag=False, default="6"
        ),
        cleo.helpers.option(
            "scenario",
            None,
            "YAML file with 'seed' and 'faults', a list of kinds and times.",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        days = self._days()
        if not isinstance(days, result.Success):
            return self.fail(days.failure())
        rows, is_broken = [], False
        for day in days.unwrap():
            played = day.run()
            is_broken = is_broken or bool(played.breaches)
            rows.append(_row(played))
            for breach in played.breaches:
                self.line_error(
                    f"seed {played.seed}: {breach.guarantee.value}: "
                    f"{breach.detail}",
                    style="error",
                )
        headers = ["seed", "jobs", "done", "refused", "lost", "failed"]
        self.print_table(
            [*headers, "left", "starts", "faults", "broken"], rows
        )
        return EXIT_BREACH if is_broken else base.EXIT_OK

    def _days(self) -> result.Result[list[scenario.Scenario], str]:
        path = self.option("scenario")
        if path:
            return _read_scenario(pathlib.Path(path)).map(lambda day: [day])
        try:
            first = int(self.option("first-seed"))
            seeds = range(first, first + int(self.option("seeds")))
            faults = int(self.option("faults"))
        except ValueError as error:
            return result.Failure(str(error))
        return result.Success(
            [scenario.Scenario(seed, faults) for seed in seeds]
        )


class EmulateLoadCommand(base.BaseCommand):
    """Compares policies under the same seeded load."""

    name = "emulate load"
    description = "Compare policies under a load with a peak."
    options = [
        *SEED_OPTIONS,
        cleo.helpers.option(
            "peak",
            None,
            "The load in the peak, 1 is the usual.",
            flag=False,
            default="1.3",
        ),
    ]

    def handle(self) -> int:
        try:
            first = int(self.option("first-seed"))
            seeds = range(first, first + int(self.option("seeds")))
            load = experiment.Load(peak=float(self.option("peak")))
        except ValueError as error:
            return self.fail(str(error))
        rows = [
            [order, place, *_mean_shares(order, place, load, seeds)]
            for order in ORDERS
            for place in PLACEMENTS
        ]
        classes = [kind.name for kind in experiment.CLASSES]
        self.print_table(["order", "placement", "worth", *classes], rows)
        return base.EXIT_OK


def _mean_shares(
    order: str, place: str, load: experiment.Load, seeds: range
) -> list[str]:
    played = [
        experiment.Experiment(
            seed, ORDERS[order](), PLACEMENTS[place](), load
        ).run()
        for seed in seeds
    ]
    worth = sum(experiment.earned_share(each) for each in played) / len(played)
    shares = [
        sum(each[kind.name].share for each in played) / len(played)
        for kind in experiment.CLASSES
    ]
    return [f"{share:.3f}" for share in (worth, *shares)]


def _row(played: scenario.Result) -> list[str]:
    numbers = (
        played.seed,
        played.jobs,
        played.done,
        played.refused,
        played.lost,
        played.failed,
        played.left,
        played.starts,
    )
    faults = ", ".join(played.faults)
    return [*map(str, numbers), faults, str(len(played.breaches))]


def _read_scenario(
    path: pathlib.Path,
) -> result.Result[scenario.Scenario, str]:
    """Return the day that a scenario file describes, or what is wrong."""
    return base.read_document(str(path)).bind(_parse_scenario)


def _parse_scenario(content: Any) -> result.Result[scenario.Scenario, str]:
    if not isinstance(content, dict) or "faults" not in content:
        return result.Failure("a scenario needs 'faults'")
    planned = []
    for number, fault in enumerate(content["faults"]):
        try:
            kind, at = fault["kind"], float(fault["at"])
        except (KeyError, TypeError, ValueError):
            return result.Failure(f"faults.{number} needs 'kind' and 'at'")
        if kind not in scenario.FAULTS:
            known = ", ".join(scenario.FAULTS)
            return result.Failure(
                f"faults.{number}: {kind!r} is none of {known}"
            )
        planned.append((at, kind))
    seed = int(content.get("seed", 0))
    return result.Success(scenario.Scenario(seed, planned=planned))
