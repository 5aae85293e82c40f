"""Logging of the events that cores return."""

import logging

from egretfork import actions
from egretfork import logs


def write(
    logger: logging.Logger,
    action: actions.LogEvent,
    level: int = logging.INFO,
) -> None:
    """Write the log line of an action."""
    logs.write(
        logger,
        action.event,
        step=action.step,
        peer=action.peer,
        detail=action.detail,
        level=level,
    )
