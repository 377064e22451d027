"""Entry process of a benchmark, with simulated delays between zones.

The delays to peers are read from a file at the start and again on SIGUSR1. A
negative delay means that messages are lost.
"""

import asyncio
import json
import math
import pathlib
import signal
import sys

import uvloop

from waxwingwalk.entry import config
from waxwingwalk.entry import logs
import waxwingwalk.wiring as wiring


class PeerDelays:
    """Delays in seconds by peer address, read from a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._delays: dict[str, float] = {}
        self.load()

    def load(self) -> None:
        """Read the delays from the file."""
        self._delays = json.loads(self._path.read_text())

    def __call__(self, address: str) -> float:
        delay = self._delays.get(address, 0.0)
        return math.inf if delay < 0 else delay


async def serve(settings: config.EntryConfig, delays: PeerDelays) -> None:
    """Serve until SIGTERM, then stop without a drain."""
    secrets = config.load_secrets(settings.access).unwrap()
    logger = logs.configure(settings.log_level)
    entry = wiring.build_entry(settings, secrets, logger, delay=delays)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGUSR1, delays.load)
    await entry.service.start()
    print(
        json.dumps(
            {
                "callers": entry.callers_address,
                "operators": entry.operators_address,
            }
        ),
        flush=True,
        file=sys.stderr,
    )
    await stop_requested.wait()
    await entry.service.abort()


def main() -> None:
    """Run an entry process with the settings and delays files given."""
    settings = config.load(pathlib.Path(sys.argv[1])).unwrap()
    uvloop.run(serve(settings, PeerDelays(pathlib.Path(sys.argv[2]))))


if __name__ == "__main__":
    main()
