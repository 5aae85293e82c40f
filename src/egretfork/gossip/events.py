"""Events into and actions out of the dissemination cores."""

import dataclasses

from egretfork import actions
from egretfork.gossip import messages
from egretfork import model


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent by the shell every 100 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of ``size`` bytes from another process."""

    peer: model.Endpoint
    message: messages.AnyMessage
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Control accepted a configuration."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """The agent's own target changed."""

    announcement: model.TargetAnnouncement


@dataclasses.dataclass(frozen=True, slots=True)
class Heard:
    """A message of another kind arrived from an agent of the service."""

    agent: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Operators state that a node is gone for good."""

    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The process is about to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class UseConfiguration:
    """A newer configuration is in force from now on."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class UseAnnouncements:
    """The targets that are visible from now on, in order of service."""

    announcements: tuple[model.TargetAnnouncement, ...]


Event = Tick | Received | Publish | Announce | Heard | Forget | Leave

Action = (
    actions.SendMessage
    | actions.CountReason
    | actions.LogEvent
    | UseConfiguration
    | UseAnnouncements
)
