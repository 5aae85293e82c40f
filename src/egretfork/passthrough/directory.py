"""Control's directory of live nodes and distribution of the routing.

Every control process tracks the nodes whose heartbeats it receives. The
directory is not persisted: nodes send heartbeats to all control processes
that they know, so each of them has the same view within one heartbeat period.
"""

import datetime
import zlib

import msgspec

from egretfork import decoding
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import messages
from egretfork.passthrough import roster
from egretfork.passthrough import routing

# A node is removed from the directory after this time without a heartbeat.
NODE_EXPIRY = datetime.timedelta(seconds=3)
CHUNK_BYTES = 1_100


class DirectoryCore:
    """Answers heartbeats of nodes and serves the newest routing."""

    def __init__(self, agent_roster: roster.Roster) -> None:
        self._roster = agent_roster
        self._controls: tuple[model.Endpoint, ...] = ()
        self._entries: dict[model.Endpoint, datetime.timedelta] = {}
        self._agents: dict[model.Endpoint, datetime.timedelta] = {}
        self._listed_entries: tuple[model.Endpoint, ...] = ()
        self._version = routing.NO_VERSION
        self._packed_routing = b""
        self._checksum = 0

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of a node."""
        match message:
            case messages.NodeHeartbeat():
                return self._answer_heartbeat(message, peer, now)
            case messages.RoutingChunkRequest():
                return self._answer_chunk_request(message, peer)
        return []

    def handle_routing(self, newest: routing.Routing) -> list[actions.Action]:
        """Set a committed routing and notify all entries."""
        if newest.version <= self._version:
            return []
        self._version = newest.version
        self._packed_routing = pack_routing(newest)
        update = messages.Directory(self._version, self._checksum)
        return [actions.SendMessage(entry, update) for entry in self._entries]

    def set_controls(self, controls: tuple[model.Endpoint, ...]) -> None:
        """Set the addresses of all control processes."""
        if controls != self._controls:
            self._controls = controls
            self._update_checksum()

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Remove silent nodes and notify agents when the entries change."""
        self._roster.expire(now)
        self._entries = _remove_expired(self._entries, now)
        self._agents = _remove_expired(self._agents, now)
        listed_entries = tuple(sorted(self._entries))
        if listed_entries == self._listed_entries:
            return []
        self._listed_entries = listed_entries
        self._update_checksum()
        update = self._build_full_directory()
        return [actions.SendMessage(agent, update) for agent in self._agents]

    def _answer_heartbeat(
        self,
        message: messages.NodeHeartbeat,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        updates: list[actions.Action] = []
        if message.role is messages.Role.ENTRY:
            self._entries[peer] = now
            updates = self.handle_tick(now)
        elif message.role is messages.Role.AGENT and message.deregister:
            self._agents.pop(peer, None)
            self._roster.remove(peer)
            return []
        elif message.role is messages.Role.AGENT:
            self._agents[peer] = now
            self._roster.record(peer, now)
        if message.wants_roster and self._roster.is_complete(now):
            packed = messages.pack_endpoints(self._roster.list_agents())
            updates.append(actions.SendMessage(peer, messages.Roster(packed)))
        if message.directory_checksum == self._checksum:
            reply = messages.Directory(self._version, self._checksum)
        else:
            reply = self._build_full_directory()
        return [actions.SendMessage(peer, reply), *updates]

    def _build_full_directory(self) -> messages.Directory:
        return messages.Directory(
            self._version, self._checksum, self._controls, self._listed_entries
        )

    def _answer_chunk_request(
        self, message: messages.RoutingChunkRequest, peer: model.Endpoint
    ) -> list[actions.Action]:
        if message.version != self._version:
            update = messages.Directory(self._version, self._checksum)
            return [actions.SendMessage(peer, update)]
        end = message.offset + CHUNK_BYTES
        chunk = messages.RoutingChunk(
            self._version,
            len(self._packed_routing),
            message.offset,
            self._packed_routing[message.offset : end],
        )
        return [actions.SendMessage(peer, chunk)]

    def _update_checksum(self) -> None:
        content = msgspec.msgpack.encode(
            (self._controls, self._listed_entries)
        )
        self._checksum = zlib.crc32(content)


def _remove_expired(
    nodes: dict[model.Endpoint, datetime.timedelta], now: datetime.timedelta
) -> dict[model.Endpoint, datetime.timedelta]:
    return {
        node: last_seen_at
        for node, last_seen_at in nodes.items()
        if now - last_seen_at < NODE_EXPIRY
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
    except (*decoding.UNREADABLE, zlib.error) as error:
        raise ValueError(f"routing cannot be read: {error}") from error
