"""Starts the dispatch daemon: ``python -m waxwingwalk.platform``."""

import gc
import sys

# Imports leave no garbage, and collections take a tenth of their time.
gc.disable()

from waxwingwalk.platform import daemon  # noqa: E402

if __name__ == "__main__":
    gc.enable()
    sys.exit(daemon.main())
