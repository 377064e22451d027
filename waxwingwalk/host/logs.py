"""Logs of a dispatch host: JSON lines, written without blocking the process.

The lines of each event are limited per second, so that a burst of requests
cannot fill the disk of the log's reader. Dropped lines are counted and
reported. Lines wait in a bounded buffer: if the reader is slow, lines are
dropped and the process is not delayed.
"""

import collections
import datetime
import json
import logging
import os
import select
from typing import Any

import orjson
import structlog

from waxwingwalk.core import clock

# Maximum lines of one event in one second. A request causes about four lines,
# and a host gets about 100 requests a second in the largest deployment.
EVENT_LINES_PER_SECOND = 400
# Bytes that may wait for the reader: a few seconds of a busy host's lines.
BUFFER_MAX = 1 << 20
STDOUT = 1
SECOND = datetime.timedelta(seconds=1)
# Maximum length of a library's message or error in a line, in characters.
MESSAGE_MAX = 500


class NonBlockingWriter:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        self._descriptor = descriptor
        self._queue: collections.deque[bytes] = collections.deque()
        self._size = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Queue a line; it is dropped if the buffer is full."""
        if self._size + len(line) > BUFFER_MAX:
            self.dropped += 1
            return
        self._queue.append(line)
        self._size += len(line)

    def flush(self) -> None:
        """Write queued lines, whole if possible, until writing would block."""
        while self._queue:
            chunk = self._next_lines()
            try:
                count = os.write(self._descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere to report that.
                count = len(chunk)
            self._discard_written(count)

    def _next_lines(self) -> bytes:
        """Return lines that a pipe writes atomically, at least one line."""
        size = 0
        lines: list[bytes] = []
        for line in self._queue:
            size += len(line)
            if lines and size > select.PIPE_BUF:
                break
            lines.append(line)
        return b"".join(lines)

    def _discard_written(self, count: int) -> None:
        """Remove written bytes; the rest of a cut line stays first."""
        self._size -= count
        while count:
            line = self._queue.popleft()
            if len(line) > count:
                self._queue.appendleft(line[count:])
                return
            count -= len(line)


class LineRateLimiter:
    """Limits the lines of each event per second."""

    def __init__(self, time: clock.Clock) -> None:
        self._clock = time
        # The bounds of the current second of the clock.
        self._second = self._second_end = clock.DISTANT_PAST
        self._remaining: dict[str, int] = {}
        self.suppressed: collections.Counter[str] = collections.Counter()

    def allows(self, event: str) -> bool:
        """Count a line, and return whether it may be written."""
        now = self._clock.now()
        if not self._second <= now < self._second_end:
            self._second = now.replace(microsecond=0)
            self._second_end = self._second + SECOND
            self._remaining.clear()
        remaining = self._remaining.get(event, EVENT_LINES_PER_SECOND)
        if remaining <= 0:
            self.suppressed[event] += 1
            return False
        self._remaining[event] = remaining - 1
        return True


class HostLog:
    """The log of one dispatch host."""

    def __init__(
        self,
        time: clock.Clock,
        writer: NonBlockingWriter,
        level: str = "info",
    ) -> None:
        self._writer = writer
        self._rate_limiter = LineRateLimiter(time)
        self._reported = 0
        self._logger: structlog.typing.FilteringBoundLogger = (
            structlog.wrap_logger(
                _Sink(writer),
                processors=[
                    structlog.processors.add_log_level,
                    structlog.processors.TimeStamper(fmt="iso", utc=True),
                    structlog.processors.format_exc_info,
                    structlog.processors.JSONRenderer(serializer=serialize),
                ],
                wrapper_class=structlog.make_filtering_bound_logger(
                    logging.getLevelNamesMapping()[level.upper()]
                ),
                cache_logger_on_first_use=True,
            )
        )

    @property
    def suppressed(self) -> int:
        """Lines dropped by the rate limit or because the buffer was full."""
        return self._rate_limiter.suppressed.total() + self._writer.dropped

    def info(self, event: str, **fields: object) -> None:
        """Log an ordinary decision."""
        if self._rate_limiter.allows(event):
            self._logger.info(event, **fields)

    def error(self, event: str, **fields: object) -> None:
        """Log a failure of the program itself."""
        if self._rate_limiter.allows(event):
            self._logger.error(event, **fields)

    def flush(self) -> None:
        """Write queued lines, and report how many were dropped."""
        if self.suppressed > self._reported:
            count, self._reported = (
                self.suppressed - self._reported,
                self.suppressed,
            )
            self._logger.warning("log.suppressed", lines=count)
        self._writer.flush()


def serialize(line: dict[str, Any], **options: Any) -> bytes:
    """Return a line as JSON, also with values that the fast encoder refuses.

    Such are integers of more than 64 bits and unpaired surrogates.
    """
    try:
        return orjson.dumps(line, **options)
    except TypeError:
        return json.dumps(line, default=repr).encode()


class LibraryHandler(logging.Handler):
    """Writes warnings of libraries to the host's log.

    Without this handler they would go to standard error, neither structured
    nor rate-limited.
    """

    def __init__(self, log: HostLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as ``library.warned``."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.error(
            "library.warned",
            library=record.name,
            message=record.getMessage()[:MESSAGE_MAX],
            error=None if error is None else repr(error)[:MESSAGE_MAX],
        )


class _Sink:
    """The logger that structlog wraps; it receives rendered lines."""

    def __init__(self, writer: NonBlockingWriter) -> None:
        self._writer = writer

    def msg(self, line: bytes) -> None:
        self._writer.write(line + b"\n")

    debug = info = warning = error = critical = msg
