"""Events shared by the cores of entries and agents."""

import dataclasses

from egretfork import model
from egretfork import wire


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message was received from an entry or an agent."""

    peer: model.Endpoint
    message: wire.AnyMessage


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration arrived at this process."""

    configuration: model.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementsChanged:
    """The known targets changed; an agent gets those of its service."""

    announcements: tuple[model.TargetAnnouncement, ...]
