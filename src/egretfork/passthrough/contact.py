"""A node's contact with control: discovery and transfer of routings.

A node starts with the seeds and sends heartbeats to every control process
that it knows of. It can therefore lose any of them, including all seeds, as
long as one control process responds.
"""

import datetime
import itertools

import msgspec

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import base
from egretfork.passthrough import directory
from egretfork.passthrough import messages
from egretfork.passthrough import routing

HEARTBEAT_PERIOD = datetime.timedelta(milliseconds=500)
# Period of a node that lacks data which it needs to work.
STARTUP_HEARTBEAT_PERIOD = datetime.timedelta(milliseconds=100)
PULL_TIMEOUT = datetime.timedelta(milliseconds=250)
MAX_PULL_ATTEMPTS = 3
PULL_WINDOW = 16
# A control process that neither replies nor is listed is removed after this
# time.
CONTROL_EXPIRY = datetime.timedelta(seconds=20)
# Agents keep entries for this long without a listing, since a restarted
# control process starts with an empty list.
ENTRY_EXPIRY = datetime.timedelta(seconds=15)
MAX_CONTROLS = 16
# An entry requests the agent roster for this long after its start.
ROSTER_REQUEST_TIME = datetime.timedelta(seconds=3)


class RoutingPull(msgspec.Struct):
    """Transfer of a routing in progress.

    Attributes:
        size: total size in bytes, 0 until the first chunk has arrived.
        attempts: number of consecutive timeouts.
    """

    source: model.Endpoint
    version: int
    requested_at: datetime.timedelta
    size: int = 0
    attempts: int = 0
    chunks: dict[int, bytes] = msgspec.field(default_factory=dict)

    def list_missing_offsets(self) -> list[int]:
        """Return the offsets of the next chunks to request."""
        if not self.size:
            return [0]
        offsets = range(0, self.size, directory.CHUNK_BYTES)
        missing = (offset for offset in offsets if offset not in self.chunks)
        return list(itertools.islice(missing, PULL_WINDOW))

    def join(self) -> bytes:
        """Return the complete data once no chunk is missing."""
        return b"".join(data for _, data in sorted(self.chunks.items()))


class ContactCore(base.Core):
    """Sends heartbeats to control and, on entries, pulls newer routings."""

    def __init__(
        self,
        role: messages.Role,
        name: str,
        seeds: tuple[model.Endpoint, ...],
        now: datetime.timedelta,
    ) -> None:
        super().__init__(now)
        self._role = role
        self._name = name
        self._seeds = seeds
        self._controls = dict.fromkeys(seeds, now)
        self._entries: dict[model.Endpoint, datetime.timedelta] = {}
        self._directories: dict[model.Endpoint, messages.Directory] = {}
        self._next_heartbeat_at = now
        self._pull: RoutingPull | None = None
        self._started_at = now
        self._rosters: dict[model.Endpoint, frozenset[model.Endpoint]] = {}
        self.newest_routing = routing.Routing()

    @property
    def entries(self) -> tuple[model.Endpoint, ...]:
        """Return the entries that control listed recently."""
        return tuple(sorted(self._entries))

    @property
    def controls(self) -> tuple[model.Endpoint, ...]:
        """Return the known control processes."""
        return tuple(self._controls)

    @property
    def rosters(self) -> tuple[frozenset[model.Endpoint], ...]:
        """Return the agent rosters, one per control process that sent one."""
        return tuple(self._rosters.values())

    def set_seeds(
        self, seeds: tuple[model.Endpoint, ...], now: datetime.timedelta
    ) -> None:
        """Replace the seeds; known control processes are kept."""
        self._seeds = seeds
        self._controls.update(dict.fromkeys(seeds, now))

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of control."""
        self._begin(now)
        match message:
            case messages.Directory():
                self._handle_directory(message, peer)
            case messages.RoutingChunk():
                self._handle_chunk(message, peer)
            case messages.Roster():
                agents = messages.unpack_endpoints(message.agents)
                self._rosters[peer] = frozenset(agents)
        return self._actions

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Send heartbeats when due and repeat lost requests."""
        self._begin(now)
        if now >= self._next_heartbeat_at:
            has_required_data = self._has_required_data()
            period = (
                HEARTBEAT_PERIOD
                if has_required_data
                else STARTUP_HEARTBEAT_PERIOD
            )
            self._next_heartbeat_at = now + period
            self._expire()
            self._send_heartbeats()
        pull = self._pull
        if pull is not None and now - pull.requested_at >= PULL_TIMEOUT:
            self._repeat_pull(pull)
        return self._actions

    def handle_permanent_stop(
        self, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Deregister the node at control."""
        self._begin(now)
        final_heartbeat = messages.NodeHeartbeat(
            self._role, self._name, 0, deregister=True
        )
        for control in self._controls:
            self._send(control, final_heartbeat)
        return self._actions

    # Heartbeats

    def _has_required_data(self) -> bool:
        """Return whether the node could work without control."""
        match self._role:
            case messages.Role.ENTRY:
                return self.newest_routing.version != routing.NO_VERSION
            case messages.Role.AGENT:
                return bool(self._entries)
        return True

    def _send_heartbeats(self) -> None:
        recently_started = self._now - self._started_at < ROSTER_REQUEST_TIME
        wants_roster = recently_started and self._role is messages.Role.ENTRY
        for control in self._controls:
            known_directory = self._directories.get(control)
            checksum = known_directory.checksum if known_directory else 0
            heartbeat = messages.NodeHeartbeat(
                self._role, self._name, checksum, wants_roster
            )
            self._send(control, heartbeat)

    def _expire(self) -> None:
        kept = {
            control: last_seen_at
            for control, last_seen_at in self._controls.items()
            if control in self._seeds
            or self._now - last_seen_at < CONTROL_EXPIRY
        }
        newest = sorted(kept.items(), key=lambda item: item[1], reverse=True)
        self._controls = dict(newest[:MAX_CONTROLS])
        self._directories = {
            control: known_directory
            for control, known_directory in self._directories.items()
            if control in self._controls
        }
        self._entries = {
            entry: listed_at
            for entry, listed_at in self._entries.items()
            if self._now - listed_at < ENTRY_EXPIRY
        }

    def _handle_directory(
        self, message: messages.Directory, peer: model.Endpoint
    ) -> None:
        self._controls[peer] = self._now
        if message.controls or message.entries:
            self._directories[peer] = message
        known_directory = self._directories.get(peer)
        # A reply without addresses confirms the directory with its checksum.
        if (
            known_directory is not None
            and known_directory.checksum == message.checksum
        ):
            for control in known_directory.controls:
                self._controls.setdefault(control, self._now)
            self._entries.update(
                dict.fromkeys(known_directory.entries, self._now)
            )
        if self._role is messages.Role.ENTRY:
            self._pull_if_newer(message.version, peer)

    # Pulls

    def _pull_if_newer(self, version: int, peer: model.Endpoint) -> None:
        if version <= self.newest_routing.version:
            return
        if self._pull is not None and version <= self._pull.version:
            return
        self._pull = RoutingPull(peer, version, self._now)
        self._request_chunks(self._pull)

    def _request_chunks(self, pull: RoutingPull) -> None:
        pull.requested_at = self._now
        for offset in pull.list_missing_offsets():
            request = messages.RoutingChunkRequest(pull.version, offset)
            self._send(pull.source, request)

    def _repeat_pull(self, pull: RoutingPull) -> None:
        pull.attempts += 1
        if pull.attempts >= MAX_PULL_ATTEMPTS:
            self._abandon_pull(pull)
            return
        self._request_chunks(pull)

    def _abandon_pull(self, pull: RoutingPull) -> None:
        """End a pull; the next heartbeats find a process with the version."""
        self._pull = None
        self._log_pull("pull_abandoned", pull)

    def _handle_chunk(
        self, message: messages.RoutingChunk, peer: model.Endpoint
    ) -> None:
        pull = self._pull
        if pull is None or (peer, message.version) != (
            pull.source,
            pull.version,
        ):
            return
        if not message.size:
            self._abandon_pull(pull)
            return
        pull.attempts = 0
        is_first_chunk = not pull.size
        pull.size = message.size
        pull.chunks[message.offset] = message.data
        missing = pull.list_missing_offsets()
        if not missing:
            self._finish_pull(pull)
        elif is_first_chunk or len(pull.chunks) % PULL_WINDOW == 1:
            self._request_chunks(pull)

    def _finish_pull(self, pull: RoutingPull) -> None:
        self._pull = None
        try:
            self.newest_routing = directory.unpack_routing(pull.join())
        except ValueError as error:
            self._log_pull("pull_unreadable", pull, str(error))
            return
        self._log_pull("routing_pulled", pull)

    def _log_pull(
        self, event: str, pull: RoutingPull, reason: str = ""
    ) -> None:
        age = self._now - pull.requested_at
        detail = (
            f"version={pull.version} bytes={pull.size}"
            f" asked_ms_ago={age // datetime.timedelta(milliseconds=1)}"
        )
        self._log_event(
            event,
            "pull routing",
            str(pull.source),
            f"{detail} {reason}".rstrip(),
        )
