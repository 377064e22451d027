"""Starts the dispatch daemon: ``python -m waxwingwalk.platform``."""

import gc
import os
import signal
import sys

# Imports leave no garbage, and collections take a tenth of their time.
gc.disable()
# The settings are read after this, so a signal that they have changed needs no
# handling before the host has started.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The HTTP library reads all certificates of the system when it is imported,
# which takes a sixth of the processor time of a start. No call uses TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
# No plug-ins of aiomisc are used; the search for them reads the metadata of
# all packages.
os.environ.setdefault("AIOMISC_NO_PLUGINS", "1")

from waxwingwalk.platform import daemon  # noqa: E402

if __name__ == "__main__":
    # What the imports created stays until the process ends.
    gc.freeze()
    gc.enable()
    sys.exit(daemon.main())
