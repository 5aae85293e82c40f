"""Input events and output actions of the gossip cores."""

import dataclasses

from egretfork import actions
from egretfork.gossip import messages
from egretfork import model


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Periodic timer event, sent by the shell every 100 ms."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message of ``size`` bytes arrived from another process."""

    peer: model.Endpoint
    message: messages.AnyMessage
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """Control accepted a configuration."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Announce:
    """The announcement of the agent's own target changed."""

    announcement: model.TargetAnnouncement


@dataclasses.dataclass(frozen=True, slots=True)
class PeerActive:
    """A message outside gossip arrived from an agent of the service."""

    agent: str


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """An operator declared a node or an agent permanently removed."""

    node: str


@dataclasses.dataclass(frozen=True, slots=True)
class Leave:
    """The process is stopping."""


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Apply a newer configuration."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyAnnouncements:
    """Replace the visible targets, which are sorted by service."""

    announcements: tuple[model.TargetAnnouncement, ...]


Event = Tick | Received | Publish | Announce | PeerActive | Forget | Leave

Action = (
    actions.SendMessage
    | actions.CountReason
    | actions.LogEvent
    | ApplyConfiguration
    | ApplyAnnouncements
)
