"""Shell of a control process: network and disk I/O around the core."""

import asyncio
import collections.abc
import dataclasses
import datetime
import logging
import typing

import mode
import zmq
import zmq.asyncio

from egretfork import clock
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import core
from egretfork.control import entries
from egretfork.control import events
from egretfork.control import membership
from egretfork.control import records
from egretfork.control import storage
from egretfork import logs
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import routing
from egretfork import reasons

LOGGER = logging.getLogger(__name__)

STOP_TIMEOUT = datetime.timedelta(seconds=1)

# Replacing a voter takes two committed entries, and an election before them
# if the leader stops.
DEPARTURE_TIMEOUT = datetime.timedelta(seconds=2)
CLOSE_LINGER_MS = 200
TICK_INTERVAL = datetime.timedelta(milliseconds=50)
CONFIRMATIONS_PERIOD_S = 1.0
REOPEN_PERIOD_S = 1.0
# Never collides with the routing IDs that a ROUTER socket assigns to peers.
LOCAL_CLIENT_PREFIX = b"local-"
MAX_FRAME_BYTES = 64 * 1024 * 1024
SEND_QUEUE_MESSAGES = 256
RECONNECT_MS = 100
RECONNECT_MAX_MS = 300

# Limits how long a connection to a VM that disappeared is kept open.
TCP_RETRANSMIT_TIMEOUT_MS = 4000

# Reconnects if the peer stops responding without resetting the connection.
HEARTBEAT_INTERVAL_MS = 400
HEARTBEAT_TIMEOUT_MS = 1200
CONNECT_TIMEOUT_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class _ReplyRoute:
    """Connection on which the current message arrived.

    Attributes:
        client: routing ID of the connection; empty if this process opened
            it.
    """

    sender: str
    client: bytes


_NO_REPLY_ROUTE = _ReplyRoute("", b"")

ReopenCallback = collections.abc.Callable[
    [], tuple[core.ControlCore, storage.Storage]
]


@dataclasses.dataclass(frozen=True, slots=True)
class _LoggedState:
    """State that is logged when it changes."""

    role: str = ""
    leader: str = ""
    version: int = 0
    verified: bool = False
    hello_replies: tuple[str, ...] = ()


class Dissemination(typing.Protocol):
    """Interface to the dissemination of configurations and routings."""

    def publish(self, configuration: model.Configuration) -> None:
        """Disseminate a committed configuration."""

    def publish_routing(self, newest: routing.Routing) -> None:
        """Disseminate the routing of a committed declaration."""

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return the version that each entry has confirmed."""

    def forget(self, node: str) -> None:
        """Stop the dissemination to an entry removed by an operator."""


class ControlService(mode.Service):
    """Serves other members and clients on one TCP address."""

    def __init__(
        self,
        address: model.Endpoint,
        control_core: core.ControlCore,
        member_storage: storage.Storage,
        dissemination: Dissemination,
        time_source: clock.Clock,
        registry: metrics.Metrics,
        reopen: ReopenCallback | None = None,
    ) -> None:
        super().__init__()
        self._reopen = reopen
        self._local_replies: dict[bytes, asyncio.Future[api.Reply]] = {}
        self._last_local_number = 0
        self._address = address
        self._core = control_core
        self._storage = member_storage
        self._dissemination = dissemination
        self._time_source = time_source
        self._registry = registry
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._peers: dict[model.Endpoint, zmq.asyncio.Socket] = {}
        self._connected_members: tuple[entries.Member, ...] = ()
        self._reply_route = _NO_REPLY_ROUTE
        self._last_logged_state = _LoggedState()
        self._inactive_voters: frozenset[str] = frozenset()

    @property
    def registry(self) -> metrics.Metrics:
        """Return the metrics of the process."""
        return self._registry

    async def on_start(self) -> None:
        """Bind the socket and publish the state committed on disk.

        Raises:
            zmq.ZMQError: the address cannot be bound.
        """
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._router.setsockopt(zmq.TCP_MAXRT, TCP_RETRANSMIT_TIMEOUT_MS)
        _enable_heartbeats(self._router)
        self._router.bind(f"tcp://{self._address}")
        self._publish_committed()

    def _publish_committed(self) -> None:
        """Publish the state that the disk shows to be committed."""
        if self._core.configuration.version:
            self._dissemination.publish(self._core.configuration)
        self._dissemination.publish_routing(self._core.declaration.routing)

    @property
    def control_core(self) -> core.ControlCore:
        """Return the core; reopening the storage replaces it."""
        return self._core

    async def submit_query(self, query: api.Query) -> api.Reply:
        """Submit a query from this process and wait for the reply."""
        self._last_local_number += 1
        client = LOCAL_CLIENT_PREFIX + str(self._last_local_number).encode()
        future: asyncio.Future[api.Reply] = asyncio.Future()
        self._local_replies[client] = future
        try:
            self._handle(core.QueryReceived(client, query))
            return await future
        finally:
            del self._local_replies[client]

    def handle_join_request(self, member: entries.Member) -> None:
        """Process the request of a process to become a member."""
        self._handle(core.JoinRequested(member))

    async def on_stop(self) -> None:
        """Complete pending queries, transfer leadership and vote, close."""
        await self._wait_until(
            lambda: not self._core.has_pending, STOP_TIMEOUT
        )
        self._handle(events.Resigned())
        self._handle(events.Departing())
        is_replaced = await self._wait_until(
            lambda: self._core.may_stop, DEPARTURE_TIMEOUT
        )
        logs.write(
            LOGGER,
            "member_stopping",
            step="stop",
            peer=self._core.consensus.leader,
            detail=f"may_stop={is_replaced}",
        )
        for peer in self._peers.values():
            peer.close(CLOSE_LINGER_MS)
        if self._router is not None:
            self._router.close(CLOSE_LINGER_MS)
        if self._context is not None:
            self._context.term()

    async def _wait_until(
        self,
        condition: collections.abc.Callable[[], bool],
        timeout: datetime.timedelta,
    ) -> bool:
        """Wait for a condition; return whether it holds."""
        deadline = self._time_source.now() + timeout
        while not condition() and self._time_source.now() < deadline:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
        return condition()

    def update_announcements(
        self, announcements: tuple[model.TargetAnnouncement, ...]
    ) -> None:
        """Process new announcements from the gossip service."""
        self._handle(core.AnnouncementsReceived(announcements))

    @mode.Service.task
    async def _tick(self) -> None:
        while True:
            self._connect_members()
            self._handle(events.Tick())
            self._log_inactive_voters()
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    @mode.Service.timer(REOPEN_PERIOD_S)
    async def _reopen_storage(self) -> None:
        """Reload the state from disk after a failed write."""
        if self._reopen is None or not self._storage.failure:
            return
        try:
            self._core, self._storage = self._reopen()
        except (
            OSError,
            records.CorruptionError,
            storage.StorageError,
        ) as error:
            self._report_storage_failure(str(error))
            return
        logs.write(LOGGER, "storage_reopened", step="reopen")
        # The failed write may have prevented the publication of a snapshot.
        self._publish_committed()

    @mode.Service.timer(CONFIRMATIONS_PERIOD_S)
    async def _read_confirmations(self) -> None:
        confirmations = self._dissemination.list_confirmations()
        if confirmations:
            self._handle(core.ConfirmationsReceived(confirmations))

    @mode.Service.task
    async def _receive(self) -> None:
        router = self._router
        if router is None:
            return
        while True:
            frames = await router.recv_multipart()
            if len(frames) != 2:
                self._count_malformed("receive frames", f"{len(frames)} parts")
                continue
            self._on_frame(frames[0], frames[1])

    async def _receive_replies(self, peer: zmq.asyncio.Socket) -> None:
        while True:
            frames = await peer.recv_multipart()
            self._on_frame(b"", frames[-1])

    def _on_frame(self, client: bytes, data: bytes) -> None:
        incoming = api.decode_incoming(data, client.hex())
        if isinstance(incoming, reasons.Failure):
            self._count_malformed(incoming.step, incoming.detail)
        elif isinstance(incoming, entries.Envelope):
            self._on_envelope(client, incoming)
        elif client:
            self._handle(core.QueryReceived(client, incoming))

    def _on_envelope(self, client: bytes, envelope: entries.Envelope) -> None:
        if envelope.receiver != self._core.consensus.identity:
            return
        # Sending a reply on the connection of its request avoids TCP
        # segments that contain only an acknowledgement.
        self._reply_route = _ReplyRoute(envelope.sender, client)
        self._handle(
            events.Received(
                envelope.sender, envelope.sequence, envelope.message
            )
        )
        self._reply_route = _NO_REPLY_ROUTE

    def _count_malformed(self, step: str, detail: str) -> None:
        self._registry.count(reasons.Drop.MALFORMED)
        logs.write(LOGGER, "malformed_frame", step=step, detail=detail)

    def _handle(self, event: core.CoreEvent) -> None:
        actions = self._core.handle(event, self._time_source.now())
        try:
            for action in actions:
                self._execute(action)
        except storage.StorageError as error:
            self._report_storage_failure(str(error))
            self._handle(core.SaveFailed(str(error)))
        self._log_state_changes()

    def _log_state_changes(self) -> None:
        consensus = self._core.consensus
        current = _LoggedState(
            consensus.role,
            consensus.leader,
            self._core.configuration.version,
            consensus.verified,
            consensus.hello_replies,
        )
        if current == self._last_logged_state:
            return
        self._last_logged_state = current
        leads = consensus.leadership is not None
        for name, description, value in (
            ("control_term", "Current term.", consensus.term),
            ("control_leads", "Whether this member leads.", leads),
            ("control_version", "Newest known version.", current.version),
        ):
            self._registry.set_gauge(name, description, float(value))
        logs.write(
            LOGGER,
            "control_state",
            step="consensus",
            peer=current.leader,
            detail=f"{current.role} in term {consensus.term},"
            f" version {current.version}, verified={current.verified}"
            f" hello_replies={','.join(current.hello_replies)}",
        )

    def _log_inactive_voters(self) -> None:
        """Log the voters that begin or cease to take no part."""
        found = self._core.list_inactive_voters(self._time_source.now())
        known = self._inactive_voters
        self._inactive_voters = frozenset(item.identity for item in found)
        if self._inactive_voters == known:
            return
        self._registry.set_gauge(
            "control_inactive_voters",
            "Voters that take no part, as the leader knows them.",
            float(len(found)),
        )
        for item in found:
            if item.identity not in known:
                _log_inactive_voter(item)
        if self._core.consensus.leadership is not None:
            for identity in sorted(known - self._inactive_voters):
                self._log_end_of_inactivity(identity)

    def _log_end_of_inactivity(self, identity: str) -> None:
        voters = entries.list_voters(self._core.consensus.log.members)
        logs.write(
            LOGGER,
            "voter_inactive_ended",
            step="consensus",
            peer=identity,
            detail="takes part" if identity in voters else "removed",
        )

    def _report_storage_failure(self, detail: str) -> None:
        self._registry.count(reasons.ControlRefusal.STORAGE_FAILED)
        logs.write(
            LOGGER,
            "storage_failed",
            step="save",
            detail=detail,
            level=logging.ERROR,
        )

    def _execute(self, action: core.CoreAction) -> None:
        match action:
            case events.Send():
                self._send_peer(action)
            case core.SendReply():
                self._send_reply(action)
            case core.PublishRouting():
                self._dissemination.publish_routing(action.routing)
            case core.Publish():
                self._dissemination.publish(action.configuration)
            case core.StopDissemination():
                self._dissemination.forget(action.node)
            case _:
                self._storage.save(action)

    def _send_peer(self, action: events.Send) -> None:
        envelope = entries.Envelope(
            sender=self._core.consensus.identity,
            receiver=action.receiver,
            sequence=self._storage.sequence,
            message=action.message,
        )
        data = api.encode(envelope)
        route = self._reply_route
        address = self._find_address(action.receiver)
        is_reply = isinstance(action.message, entries.ReplyMessage)
        has_route = route.sender == action.receiver and bool(route.client)
        if has_route and self._router and (is_reply or address is None):
            self._send(self._router, [route.client, data])
            return
        peer = self._connect(address) if address is not None else None
        if peer is not None:
            self._send(peer, [data])

    def _find_address(self, identity: str) -> model.Endpoint | None:
        found = (
            member.address
            for member in self._core.consensus.known_members
            if member.identity == identity
        )
        return next(found, None)

    def _connect_members(self) -> None:
        """Keep connections to all members and close all others.

        Without open connections, the first messages of an election would be
        dropped while the connections are established.
        """
        members = self._core.consensus.known_members
        if members == self._connected_members:
            return
        self._connected_members = members
        _log_members(members)
        addresses = {member.address for member in members} - {self._address}
        for address in self._peers.keys() - addresses:
            self._peers.pop(address).close(CLOSE_LINGER_MS)
        for address in addresses:
            self._connect(address)

    def _connect(self, address: model.Endpoint) -> zmq.asyncio.Socket | None:
        """Return the connection to a member, ``None`` if it has no address.

        An unusable address in the list of members must not stop the others.
        """
        existing = self._peers.get(address)
        if existing is not None:
            return existing
        if self._context is None:
            raise RuntimeError("the service is not started")
        peer = self._context.socket(zmq.DEALER)
        peer.setsockopt(zmq.LINGER, 0)
        peer.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        # Drops messages while there is no connection; the core retries.
        peer.setsockopt(zmq.IMMEDIATE, 1)
        peer.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        peer.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        peer.setsockopt(zmq.TCP_MAXRT, TCP_RETRANSMIT_TIMEOUT_MS)
        peer.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        _enable_heartbeats(peer)
        try:
            peer.connect(f"tcp://{address}")
        except (zmq.ZMQError, ValueError) as error:
            peer.close()
            _log_unusable_address(address, error)
            return None
        self._peers[address] = peer
        self.add_future(self._receive_replies(peer))
        return peer

    def _send_reply(self, action: core.SendReply) -> None:
        if isinstance(action.reply, api.QueryRefused):
            self._registry.count(action.reply.reason)
        elif isinstance(action.reply, api.Concluded):
            self._count_outcome(action.reply.outcome)
        future = self._local_replies.get(action.client)
        if future is not None:
            if not future.done():
                future.set_result(action.reply)
        elif self._router is not None:
            frames = [action.client, api.encode(action.reply)]
            self._send(self._router, frames)

    def _count_outcome(self, outcome: commands.Outcome) -> None:
        if outcome.reason:
            self._registry.count(reasons.ControlRefusal(outcome.reason))

    def _send(self, peer: zmq.asyncio.Socket, frames: list[bytes]) -> None:
        # With DONTWAIT the future is already done. A message that does not
        # fit into the send queue is dropped.
        sent = typing.cast(
            "asyncio.Future[object]", peer.send_multipart(frames, zmq.DONTWAIT)
        )
        if sent.exception() is not None:
            self._registry.count(reasons.Drop.SEND_FAILED)


def _log_members(members: tuple[entries.Member, ...]) -> None:
    voters = ",".join(member.identity for member in members if member.voter)
    learners = ",".join(
        member.identity for member in members if not member.voter
    )
    logs.write(
        LOGGER,
        "members_changed",
        step="consensus",
        detail=f"voters={voters} learners={learners}",
    )


def _log_inactive_voter(voter: membership.InactiveVoter) -> None:
    ages = (
        ("heard", voter.heard_ago),
        ("replied", voter.replied_ago),
        ("caught_up", voter.caught_up_ago),
    )
    described = " ".join(
        f"{name}_ms_ago={age // datetime.timedelta(milliseconds=1)}"
        for name, age in ages
    )
    logs.write(
        LOGGER,
        "voter_inactive",
        step="consensus",
        peer=voter.identity,
        detail=f"{described} match={voter.match_index}"
        f" commit={voter.commit_index}",
        level=logging.WARNING,
    )


def _log_unusable_address(address: model.Endpoint, error: Exception) -> None:
    logs.write(
        LOGGER,
        "member_address_unusable",
        step="connect",
        peer=str(address),
        detail=str(error),
        level=logging.WARNING,
    )


def _enable_heartbeats(watched: zmq.asyncio.Socket) -> None:
    watched.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    watched.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
