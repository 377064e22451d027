"""Logging: one JSON object per line, on standard output.

A reader that is slow or gone neither delays nor ends the process: lines wait
in a bounded buffer, and are dropped once it is full.
"""

import logging

import structlog

from waxwingwalk.host import logs as host_logs


class _Sink:
    """The logger that structlog wraps; it writes rendered lines at once."""

    def __init__(self, writer: host_logs.NonBlockingWriter) -> None:
        self._writer = writer

    def msg(self, line: bytes) -> None:
        self._writer.write(line + b"\n")
        self._writer.flush()

    debug = info = warning = error = critical = msg


def configure(level: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger for a daemon."""
    number = logging.getLevelNamesMapping()[level.upper()]
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        _Sink(host_logs.NonBlockingWriter()),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=host_logs.serialize),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        cache_logger_on_first_use=True,
    )
    return logger
