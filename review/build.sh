#!/bin/sh
# The stand-ins of the scripts are Python and need no build. This checks that
# they compile, and that the build of the deploy file has the libraries.
cd "$(dirname "$0")" || exit 1
PYTHONPATH="$(cd .. && pwd)/target/deps" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 - harness.py */play.py <<'PYTHON'
import sys

import aiohttp  # noqa: F401
import yaml  # noqa: F401

for name in sys.argv[1:]:
    with open(name) as source:
        compile(source.read(), name, "exec")
PYTHON
