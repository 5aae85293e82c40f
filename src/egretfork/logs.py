"""Structured logging: one JSON object per line."""

import collections.abc
import datetime
import json
import logging
import os
import sys
import time
import typing

STANDARD_FIELDS = ("step", "peer", "reason", "detail")
MAX_LINES_PER_S = 100.0
BURST_LINES = 400.0


class JsonFormatter(logging.Formatter):
    """Formats a log record as a JSON object."""

    def __init__(self, program: str, name: str) -> None:
        super().__init__()
        self._program = program
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON."""
        timestamp = datetime.datetime.fromtimestamp(
            record.created, tz=datetime.timezone.utc
        )
        line: dict[str, typing.Any] = {
            "time": timestamp.isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "program": self._program,
            "name": self._name,
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update(
            (field, getattr(record, field))
            for field in STANDARD_FIELDS
            if getattr(record, field, "")
        )
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class RateLimitedHandler(logging.Handler):
    """Rate-limited handler that writes to a non-blocking file descriptor.

    Lines above the rate limit and lines that the descriptor cannot accept
    immediately are dropped. Warnings and errors are exempt from the limit.
    The next line written reports the number of dropped lines.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = MAX_LINES_PER_S,
        read_clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._read_clock = read_clock
        self._tokens = BURST_LINES
        self._refilled_at = read_clock()
        self._dropped_lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record unless it exceeds the rate limit."""
        now = self._read_clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + refill, BURST_LINES)
        self._refilled_at = now
        exempt = record.levelno >= logging.WARNING
        if self._tokens < 1 and not exempt:
            self._dropped_lines += 1
            return
        self._tokens -= 1
        if self._dropped_lines:
            record.detail = (
                f"{getattr(record, 'detail', '')}"
                f" lines_left_out={self._dropped_lines}"
            )
        if self._write(self.format(record)):
            self._dropped_lines = 0
        else:
            self._dropped_lines += 1

    def _write(self, line: str) -> bool:
        try:
            os.write(self._descriptor, (line + "\n").encode())
        except OSError:
            return False
        return True


def configure_rate_limited(program: str, name: str, level: str) -> None:
    """Log JSON lines to standard output with a rate limit."""
    _install_handler(
        RateLimitedHandler(sys.stdout.fileno()), program, name, level
    )


def configure(program: str, name: str, level: str) -> None:
    """Log JSON lines to standard error."""
    _install_handler(logging.StreamHandler(sys.stderr), program, name, level)


def _install_handler(
    handler: logging.Handler, program: str, name: str, level: str
) -> None:
    handler.setFormatter(JsonFormatter(program, name))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def write(
    logger: logging.Logger,
    event: str,
    *,
    step: str,
    peer: str = "",
    reason: str = "",
    detail: str = "",
    level: int = logging.INFO,
) -> None:
    """Log an event with the step and the peer that it concerns."""
    logger.log(
        level,
        event,
        extra={
            "step": step,
            "peer": peer,
            "reason": reason,
            "detail": detail,
        },
    )
