"""Percentiles and tables of benchmark results."""

from collections.abc import Sequence
import dataclasses

from hdrh import histogram

from bench import callers
from bench import workload

# Ratios are recorded as integers, in thousandths.
RATIO_SCALE = 1000
RATIO_MAX = 10_000 * RATIO_SCALE
COMPLETE = 1000
NOT_RUN_FAMILY = 2


@dataclasses.dataclass(slots=True)
class Row:
    """The row of a policy in the table of a scenario."""

    policy: str
    cells: dict[str, str]


def ratios(
    outcomes: Sequence[callers.Outcome], ideals: Sequence[float]
) -> histogram.HdrHistogram:
    """Return the ratios of actual to ideal response times.

    Only complete jobs are recorded.
    """
    recorded = histogram.HdrHistogram(1, RATIO_MAX, 3)
    for outcome, ideal in zip(outcomes, ideals, strict=True):
        if outcome.code == COMPLETE:
            recorded.record_value(
                int(outcome.response_time / ideal * RATIO_SCALE)
            )
    return recorded


def percentile(recorded: histogram.HdrHistogram, rank: float) -> float:
    """Return a percentile of the recorded ratios."""
    return float(recorded.get_value_at_percentile(rank)) / RATIO_SCALE


def response_cells(
    outcomes: Sequence[callers.Outcome],
    jobs: Sequence[workload.BenchJob],
    servers: workload.Servers,
    round_trip: float,
) -> dict[str, str]:
    """Return the columns on response times and outcomes.

    Response times are ratios to the ideal: of the whole stream of jobs, and
    in "alone" and "others" of each job alone on an idle fleet. "others"
    leaves out the team "greedy"; "others lost" counts the jobs of other teams
    that are not complete. Impossible jobs are not counted.
    """
    recorded = ratios(
        outcomes, workload.ideal_response_times(jobs, servers, round_trip)
    )
    alone = ratios(
        outcomes,
        [
            workload.ideal_response_time_alone(job, servers, round_trip)
            for job in jobs
        ],
    )
    others = ratios(
        [each for each in outcomes if each.job.team != "greedy"],
        [
            workload.ideal_response_time_alone(job, servers, round_trip)
            for job in jobs
            if job.team != "greedy"
        ],
    )
    feasible = [each for each in outcomes if not each.job.is_impossible]
    refused = sum(each.code // 1000 == NOT_RUN_FAMILY for each in feasible)
    complete = sum(each.code == COMPLETE for each in feasible)
    return {
        "p50": f"{percentile(recorded, 50):.2f}",
        "p99": f"{percentile(recorded, 99):.2f}",
        "p99.9": f"{percentile(recorded, 99.9):.2f}",
        "alone p50": f"{percentile(alone, 50):.2f}",
        "others p99": f"{percentile(others, 99):.2f}",
        "others lost": str(
            sum(
                each.code != COMPLETE and each.job.team.startswith("team-")
                for each in outcomes
            )
        ),
        "jobs": str(len(feasible)),
        "refused": str(refused),
        "failed": str(len(feasible) - refused - complete),
    }


def cost_cells(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, str]:
    """Return the columns on messages and processor time, per task sent.

    "wasted" is the sum of "slots", "probes", "control" and "useless". The
    frames to peers that are not probes count as "slots".
    """

    def increase(name: str) -> float:
        return after.get(name, 0.0) - before.get(name, 0.0)

    tasks = max(1.0, increase("task"))
    # A frame counts as one message, a control request as two, with its reply.
    frames = increase("peer_frame")
    probes = increase("peer_probe")
    control = 2 * sum(increase(name) for name in ("status", "stop", "renew"))
    useless = 2 * (increase("task") - increase("tasks_done_total"))
    wasted = frames + control + useless
    return {
        "wasted": f"{wasted / tasks:.3f}",
        "slots": f"{max(0.0, frames - probes) / tasks:.3f}",
        "probes": f"{probes / tasks:.3f}",
        "control": f"{control / tasks:.3f}",
        "useless": f"{useless / tasks:.3f}",
        "cpu us": f"{increase('cpu') / tasks * 1e6:.0f}",
    }


def table(title: str, rows: Sequence[Row]) -> str:
    """Return the table of a scenario as text."""
    columns = list(rows[0].cells)
    lines = [["policy", *columns]]
    for row in rows:
        cells = [row.cells.get(column, "") for column in columns]
        lines.append([row.policy, *cells])
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(columns) + 1)
    ]
    text = [f"## {title}", ""]
    for line in lines:
        cells = [line[0].ljust(widths[0])]
        cells += [
            cell.rjust(width)
            for cell, width in zip(line[1:], widths[1:], strict=True)
        ]
        text.append("  ".join(cells))
    return "\n".join([*text, ""])
