"""Control's part of finding nodes, and of handing out the routing.

Every control process keeps who greeted it lately. Nothing of it is on
disk: nodes greet all control processes they know, so that each of them
has the same picture within a period.
"""

import datetime
import zlib

import msgspec

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import messages
from egretfork.passthrough import roster
from egretfork.passthrough import routing

# Missed greetings after which a node is no longer listed.
SILENCE_LIMIT = datetime.timedelta(seconds=3)
PIECE_BYTES = 1_100


class DirectoryCore:
    """Answers the greetings of nodes and hands out the newest routing."""

    def __init__(self, agents: roster.Roster) -> None:
        self._roster = agents
        self._controls: tuple[model.Endpoint, ...] = ()
        self._entries: dict[model.Endpoint, datetime.timedelta] = {}
        self._agents: dict[model.Endpoint, datetime.timedelta] = {}
        self._listed: tuple[model.Endpoint, ...] = ()
        self._version = 0
        self._packed = b""
        self._checksum = 0

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of a node."""
        match message:
            case messages.Greeting():
                return self._answer_greeting(message, peer, now)
            case messages.PieceRequest():
                return self._answer_piece(message, peer)
        return []

    def handle_routing(self, newest: routing.Routing) -> list[actions.Action]:
        """Take a committed routing and tell all entries of it."""
        if newest.version <= self._version:
            return []
        self._version = newest.version
        self._packed = pack_routing(newest)
        news = messages.Directory(self._version, self._checksum)
        return [actions.SendMessage(entry, news) for entry in self._entries]

    def set_controls(self, controls: tuple[model.Endpoint, ...]) -> None:
        """Take the addresses of all control processes."""
        if controls != self._controls:
            self._controls = controls
            self._update_checksum()

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Forget silent nodes; tell agents when the entries change."""
        self._roster.expire(now)
        self._entries = _drop_silent(self._entries, now)
        self._agents = _drop_silent(self._agents, now)
        listed = tuple(sorted(self._entries))
        if listed == self._listed:
            return []
        self._listed = listed
        self._update_checksum()
        news = self._build_listing()
        return [actions.SendMessage(agent, news) for agent in self._agents]

    def _answer_greeting(
        self,
        message: messages.Greeting,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        news: list[actions.Action] = []
        if message.role is messages.Role.ENTRY:
            self._entries[peer] = now
            news = self.handle_tick(now)
        elif message.role is messages.Role.AGENT and message.ends:
            self._agents.pop(peer, None)
            self._roster.forget(peer)
            return []
        elif message.role is messages.Role.AGENT:
            self._agents[peer] = now
            self._roster.note(peer, now)
        if message.wants_roster and self._roster.is_complete(now):
            packed = messages.pack_endpoints(self._roster.list_agents())
            news.append(actions.SendMessage(peer, messages.Roster(packed)))
        if message.directory == self._checksum:
            answer = messages.Directory(self._version, self._checksum)
        else:
            answer = self._build_listing()
        return [actions.SendMessage(peer, answer), *news]

    def _build_listing(self) -> messages.Directory:
        return messages.Directory(
            self._version, self._checksum, self._controls, self._listed
        )

    def _answer_piece(
        self, message: messages.PieceRequest, peer: model.Endpoint
    ) -> list[actions.Action]:
        if message.version != self._version:
            news = messages.Directory(self._version, self._checksum)
            return [actions.SendMessage(peer, news)]
        end = message.offset + PIECE_BYTES
        piece = messages.Piece(
            self._version,
            len(self._packed),
            message.offset,
            self._packed[message.offset : end],
        )
        return [actions.SendMessage(peer, piece)]

    def _update_checksum(self) -> None:
        content = msgspec.msgpack.encode((self._controls, self._listed))
        self._checksum = zlib.crc32(content)


def _drop_silent(
    nodes: dict[model.Endpoint, datetime.timedelta], now: datetime.timedelta
) -> dict[model.Endpoint, datetime.timedelta]:
    return {
        node: heard_at
        for node, heard_at in nodes.items()
        if now - heard_at < SILENCE_LIMIT
    }


def pack_routing(newest: routing.Routing) -> bytes:
    """Encode and compress a routing."""
    return zlib.compress(msgspec.msgpack.encode(newest))


def unpack_routing(data: bytes) -> routing.Routing:
    """Decode a routing.

    Raises:
        ValueError: the bytes are not a routing.
    """
    try:
        return msgspec.msgpack.decode(
            zlib.decompress(data), type=routing.Routing
        )
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"routing cannot be read: {error}") from error
