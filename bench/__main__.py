"""``python -m bench``: every scenario, one table each."""

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
    parser.add_argument("--only", help="scenarios whose name begins so")
    parser.add_argument("--policy", action="append")
    parser.add_argument("--seed", type=int, default=SEED)
    arguments = parser.parse_args()
    # Ended by a signal, the processes that were started are ended too.
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
        policies = list(scenarios.OURS_AND_SHARE)
    asyncio.run(runner.run_all(chosen, arguments.seed, policies))
    if spread.TITLE.startswith(arguments.only or "") and not arguments.quick:
        print(asyncio.run(spread.run(arguments.seed)))


if __name__ == "__main__":
    main()
