"""Structured logs: one JSON object a line on standard error."""

import datetime
import json
import logging
import sys
import typing

STANDARD_FIELDS = ("step", "peer", "reason", "detail")


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


def configure(program: str, name: str, level: str) -> None:
    """Send all logs of the process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
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
