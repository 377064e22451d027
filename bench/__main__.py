"""``python -m bench``: runs the scenarios and prints a table for each."""

import argparse
import asyncio
import signal

from bench import runner
from bench import scenarios
from bench import spread

SEED = 20261203


def main() -> None:
    """Run the benchmarks that the arguments choose."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument(
        "--only", help="run only scenarios whose name starts with this"
    )
    parser.add_argument("--policy", action="append")
    parser.add_argument("--seed", type=int, default=SEED)
    arguments = parser.parse_args()
    # With this handler, either signal cancels the scenario that is running,
    # which kills the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    chosen = [
        scenario
        for scenario in scenarios.SCENARIOS
        if (scenario.is_quick or not arguments.quick)
        and scenario.name.startswith(arguments.only or "")
    ]
    policies = arguments.policy
    if arguments.quick and not policies:
        policies = list(scenarios.OCCUPANCY_AND_EQUAL_SHARE)
    asyncio.run(runner.run_all(chosen, arguments.seed, policies))
    if spread.TITLE.startswith(arguments.only or "") and not arguments.quick:
        print(asyncio.run(spread.run(arguments.seed)))


if __name__ == "__main__":
    main()
