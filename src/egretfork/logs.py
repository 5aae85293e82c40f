"""Structured logs: one JSON object a line on standard error."""

import collections.abc
import datetime
import json
import logging
import os
import sys
import time
import typing

STANDARD_FIELDS = ("step", "peer", "reason", "detail")
LINES_PER_S = 100.0
BURST_LINES = 400.0


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def __init__(self, program: str, name: str) -> None:
        super().__init__()
        self._program = program
        self._name = name

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON text of a record."""
        moment = datetime.datetime.fromtimestamp(
            record.created, tz=datetime.timezone.utc
        )
        line: dict[str, typing.Any] = {
            "time": moment.isoformat(timespec="milliseconds"),
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
    """Writes lines to a file descriptor at a bounded rate, never waiting.

    Lines above the rate, or that the descriptor does not take at once, are
    left out; the number left out is written once there is room again.
    """

    def __init__(
        self,
        descriptor: int,
        lines_per_s: float = LINES_PER_S,
        read_clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._read_clock = read_clock
        self._allowance = BURST_LINES
        self._refilled_at = read_clock()
        self._left_out = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record if there is room."""
        now = self._read_clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._allowance = min(self._allowance + refill, BURST_LINES)
        self._refilled_at = now
        important = record.levelno >= logging.WARNING
        if self._allowance < 1 and not important:
            self._left_out += 1
            return
        self._allowance -= 1
        if self._left_out:
            record.detail = (
                f"{getattr(record, 'detail', '')}"
                f" lines_left_out={self._left_out}"
            )
        if self._write(self.format(record)):
            self._left_out = 0
        else:
            self._left_out += 1

    def _write(self, line: str) -> bool:
        try:
            os.write(self._descriptor, (line + "\n").encode())
        except OSError:
            return False
        return True


def configure_rate_limited(program: str, name: str, level: str) -> None:
    """Send all logs of the process to standard output at a bounded rate."""
    _install(RateLimitedHandler(sys.stdout.fileno()), program, name, level)


def configure(program: str, name: str, level: str) -> None:
    """Send all logs of the process to standard error as JSON lines."""
    _install(logging.StreamHandler(sys.stderr), program, name, level)


def _install(
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
    """Write an event with the step and the peer at which it arose."""
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
