"""Runs soak tests from the command line.

::

    python -m tests.soak --seeds 400-449 --seconds 20
"""

import argparse
import asyncio
import sys
import time

from tests.soak import faults
from tests.soak import soak


async def _run(seed, options):
    result = await soak.run_and_keep(
        seed,
        options.seconds,
        keep=options.keep,
        kinds=faults.PLANNED if options.planned else None,
        hosts_per_zone=options.hosts,
        servers_per_zone=options.servers,
    )
    print(result, flush=True)
    return result


def main():
    """Run soaks; return 1 if any of them has findings, else 0."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument(
        "--seeds", help="FIRST-LAST; without it one drawn from the time"
    )
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--hosts", type=int, default=2, help="in each zone")
    parser.add_argument("--servers", type=int, default=3, help="in each zone")
    parser.add_argument(
        "--planned",
        action="store_true",
        help="only routine work of operators, which breaks no request",
    )
    parser.add_argument(
        "--keep",
        default=soak.KEEP_FOLDER,
        help="where the logs of soaks with findings stay",
    )
    options = parser.parse_args()
    first = last = int(time.time()) % 1_000_000
    if options.seeds:
        first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    found = 0
    for seed in seeds:
        result = asyncio.run(_run(seed, options))
        found += bool(result.findings)
    print(f"{len(seeds)} soaks, {found} with findings")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
