"""Events that entries and agents have in common."""

import dataclasses

from egretfork import model
from egretfork import wire


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from an entry or an agent."""

    peer: model.Endpoint
    message: wire.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration is in force on this process."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementsChanged:
    """The known targets: on an agent those of its own service."""

    announcements: tuple[model.TargetAnnouncement, ...]
