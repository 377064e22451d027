"""Logging: one JSON object per line, on standard output."""

import logging
import sys

import orjson
import structlog


def configure(level: str) -> structlog.typing.FilteringBoundLogger:
    """Return a logger for a daemon."""
    number = logging.getLevelNamesMapping()[level.upper()]
    logger: structlog.typing.FilteringBoundLogger = structlog.wrap_logger(
        structlog.BytesLogger(sys.stdout.buffer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=orjson.dumps),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(number),
        cache_logger_on_first_use=True,
    )
    return logger
