"""``waxwingwalk emulate``: fault and load tests on an emulated fleet."""

import pathlib
from typing import Any

import cleo.helpers
from returns import result

from waxwingwalk.dispatch import ordering
from waxwingwalk.dispatch import placement
from waxwingwalk.emulator import experiment
from waxwingwalk.emulator import scenario
from waxwingwalk.management import base

# Exit code if a guarantee was violated. It does not have the meaning that
# management.base gives to 3.
EXIT_VIOLATION = 3
JOB_ORDERS: dict[str, type[ordering.JobOrder]] = {
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
        "first-seed", None, "First seed.", flag=False, default="0"
    ),
    cleo.helpers.option(
        "seeds", None, "Number of seeds.", flag=False, default="10"
    ),
]


class EmulateDaysCommand(base.BaseCommand):
    """Emulates days with random faults and reports violated guarantees."""

    name = "emulate days"
    description = "Emulate days with random faults."
    options = [
        *SEED_OPTIONS,
        cleo.helpers.option(
            "faults",
            None,
            "Number of faults per day.",
            flag=False,
            default="6",
        ),
        cleo.helpers.option(
            "scenario",
            None,
            "YAML file with 'seed' and 'faults', a list of 'kind' and 'at' "
            "(seconds from the first job).",
            flag=False,
        ),
    ]

    def handle(self) -> int:
        days = self._days()
        if not isinstance(days, result.Success):
            return self.fail(days.failure())
        rows, has_violation = [], False
        for day in days.unwrap():
            day_result = day.run()
            has_violation = has_violation or bool(day_result.violations)
            rows.append(_table_row(day_result))
            for violation in day_result.violations:
                self.line_error(
                    f"seed {day_result.seed}: {violation.guarantee.value}: "
                    f"{violation.detail}",
                    style="error",
                )
        headers = ["seed", "jobs", "done", "refused", "lost", "failed"]
        self.print_table(
            [*headers, "left", "starts", "faults", "broken"], rows
        )
        return EXIT_VIOLATION if has_violation else base.EXIT_OK

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
            "Load during the peak, relative to the normal load.",
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
            [
                order_name,
                placement_name,
                *_mean_shares(order_name, placement_name, load, seeds),
            ]
            for order_name in JOB_ORDERS
            for placement_name in PLACEMENTS
        ]
        classes = [kind.name for kind in experiment.CLASSES]
        self.print_table(["order", "placement", "worth", *classes], rows)
        return base.EXIT_OK


def _mean_shares(
    order_name: str, placement_name: str, load: experiment.Load, seeds: range
) -> list[str]:
    results = [
        experiment.Experiment(
            seed, JOB_ORDERS[order_name](), PLACEMENTS[placement_name](), load
        ).run()
        for seed in seeds
    ]
    worth = sum(experiment.earned_share(each) for each in results) / len(
        results
    )
    shares = [
        sum(each[kind.name].share for each in results) / len(results)
        for kind in experiment.CLASSES
    ]
    return [f"{share:.3f}" for share in (worth, *shares)]


def _table_row(day_result: scenario.Result) -> list[str]:
    numbers = (
        day_result.seed,
        day_result.jobs,
        day_result.done,
        day_result.refused,
        day_result.lost,
        day_result.failed,
        day_result.left,
        day_result.starts,
    )
    faults = ", ".join(day_result.faults)
    return [*map(str, numbers), faults, str(len(day_result.violations))]


def _read_scenario(
    path: pathlib.Path,
) -> result.Result[scenario.Scenario, str]:
    """Return the day that a scenario file describes, or an error message."""
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
