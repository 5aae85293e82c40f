"""Flows of one agent, bounded in number, memory and idle time."""

import collections
import collections.abc
import dataclasses
import datetime

import msgspec

from egretfork import model
from egretfork import wire

IDLE_TIMEOUT = datetime.timedelta(minutes=30)
# RFC 7252 section 4.8.2: a message ID may be reused after this time.
EXCHANGE_LIFETIME = datetime.timedelta(seconds=247)
MAX_EXCHANGES_PER_FLOW = 64
MAX_EXCHANGE_BYTES_PER_FLOW = 16_384
MAX_SESSIONS_PER_FLOW = 16
MAX_ENTRIES_PER_FLOW = 3
MAX_TABLE_BYTES = 64 * 1024 * 1024
# Estimated size of a flow without its exchanges and sessions.
FLOW_BASE_BYTES = 600
EXCHANGE_BASE_BYTES = 120
SESSION_BASE_BYTES = 240
MESSAGE_ID_COUNT = 65_536


class AdmissionStamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies the admission of a flow.

    If a flow has two owners, the one with the smaller stamp keeps it.
    """

    incarnation: int
    agent: str


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request message of a caller and its answer.

    Attributes:
        answer: the encoded answer, empty while there is none.
        received_at: time of arrival.
        previous_owner: agent that still has the request in progress after
            the flow has moved.
    """

    answer: bytes
    received_at: datetime.timedelta
    previous_owner: model.Endpoint | None = None


@dataclasses.dataclass(slots=True)
class Session:
    """One observation (RFC 7641) of a caller.

    Attributes:
        token: the caller's token.
        request: the caller's registration as received.
        sequence: value of the last Observe option sent.
        observation_id: ID of the observation on the own target.
        message_id: message ID of the last notification, -1 before the
            first.
        unacknowledged: consecutive notifications without acknowledgement.
        acknowledged_at: time until which all notifications were
            acknowledged.
    """

    token: bytes
    request: bytes
    sequence: int
    observation_id: int
    message_id: int = -1
    unacknowledged: int = 0
    acknowledged_at: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(slots=True)
class Flow:
    """Record of one flow.

    Attributes:
        key: caller address and service address.
        bucket: hash bucket, which selects the list of agents.
        stamp: identifies the admission of the flow.
        next_message_id: next message ID for messages to the caller.
        last_used: time of the last datagram from the caller.
        entries: entries that delivered datagrams, latest first.
        sessions: observations by token.
        exchanges: request messages by message ID, oldest first.
        exchange_bytes: total size of the stored answers.
        revision: incremented at each change that a transfer must include.
        previous_owner: agent that moved the flow here and may still have
            requests of it in progress.
    """

    key: wire.FlowKey
    bucket: int
    stamp: AdmissionStamp
    next_message_id: int
    last_used: datetime.timedelta
    entries: tuple[model.Endpoint, ...] = ()
    sessions: dict[bytes, Session] | None = None
    exchanges: dict[int, Exchange] | None = None
    exchange_bytes: int = 0
    revision: int = 0
    previous_owner: model.Endpoint | None = None

    def record_entry(self, entry: model.Endpoint) -> None:
        """Move the entry that delivered a datagram to the front."""
        if self.entries and self.entries[0] == entry:
            return
        others = tuple(known for known in self.entries if known != entry)
        self.entries = (entry, *others)[:MAX_ENTRIES_PER_FLOW]

    def take_message_id(self) -> int:
        """Return a new message ID for a message to the caller."""
        message_id = self.next_message_id
        self.next_message_id = (message_id + 1) % MESSAGE_ID_COUNT
        return message_id

    def find_exchange(self, message_id: int) -> Exchange | None:
        """Return the exchange of a request message, or ``None``."""
        return (self.exchanges or {}).get(message_id)

    def find_session(self, token: bytes) -> Session | None:
        """Return the observation with a token, or ``None``."""
        return (self.sessions or {}).get(token)

    @property
    def size_bytes(self) -> int:
        """Return the estimated size of the flow in memory."""
        exchanges = len(self.exchanges or ()) * EXCHANGE_BASE_BYTES
        sessions = sum(
            SESSION_BASE_BYTES + len(session.request)
            for session in (self.sessions or {}).values()
        )
        return FLOW_BASE_BYTES + self.exchange_bytes + exchanges + sessions


class FlowTable:
    """Flows owned by this agent, least recently used first."""

    def __init__(
        self,
        max_bytes: int = MAX_TABLE_BYTES,
        idle_timeout: datetime.timedelta = IDLE_TIMEOUT,
    ) -> None:
        self._flows: collections.OrderedDict[wire.FlowKey, Flow] = (
            collections.OrderedDict()
        )
        self._max_bytes = max_bytes
        self._idle_timeout = idle_timeout
        self._size_bytes = 0
        self._session_count = 0

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> collections.abc.Iterator[Flow]:
        return iter(self._flows.values())

    @property
    def size_bytes(self) -> int:
        """Return the estimated size of all flows in memory."""
        return self._size_bytes

    @property
    def session_count(self) -> int:
        """Return the number of open sessions."""
        return self._session_count

    def get(self, key: wire.FlowKey) -> Flow | None:
        """Return a flow, or ``None`` if this agent does not own it."""
        return self._flows.get(key)

    def has_room(self, limit: int) -> bool:
        """Return whether one more flow stays within the bounds."""
        return len(self._flows) < limit and self._size_bytes < self._max_bytes

    def add(self, flow: Flow) -> None:
        """Add a flow that this agent now owns."""
        self._flows[flow.key] = flow
        self._size_bytes += flow.size_bytes
        self._session_count += len(flow.sessions or ())

    def remove(self, key: wire.FlowKey) -> Flow | None:
        """Remove and return a flow, if it is owned."""
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._size_bytes -= flow.size_bytes
            self._session_count -= len(flow.sessions or ())
        return flow

    def touch(self, flow: Flow, now: datetime.timedelta) -> None:
        """Mark a flow as most recently used."""
        flow.last_used = now
        self._flows.move_to_end(flow.key)

    def open_exchange(
        self, flow: Flow, message_id: int, now: datetime.timedelta
    ) -> None:
        """Record a request message for duplicate detection."""
        before = flow.size_bytes
        if flow.exchanges is None:
            flow.exchanges = {}
        flow.exchanges.pop(message_id, None)
        flow.exchanges[message_id] = Exchange(b"", now)
        flow.revision += 1
        drop_old_exchanges(flow, now)
        self._size_bytes += flow.size_bytes - before

    def close_exchange(
        self,
        flow: Flow,
        message_id: int,
        answer: bytes,
        now: datetime.timedelta,
    ) -> None:
        """Store the answer to a request message."""
        exchange = flow.find_exchange(message_id)
        if exchange is None:
            return
        before = flow.size_bytes
        flow.exchange_bytes += len(answer) - len(exchange.answer)
        exchange.answer = answer
        exchange.previous_owner = None
        flow.revision += 1
        drop_old_exchanges(flow, now)
        self._size_bytes += flow.size_bytes - before

    def add_session(self, flow: Flow, session: Session) -> None:
        """Add an observation to a flow."""
        before = flow.size_bytes
        if flow.sessions is None:
            flow.sessions = {}
        self._session_count += session.token not in flow.sessions
        flow.sessions[session.token] = session
        flow.revision += 1
        self._size_bytes += flow.size_bytes - before

    def remove_session(self, flow: Flow, token: bytes) -> Session | None:
        """Remove an observation from a flow."""
        if not flow.sessions or token not in flow.sessions:
            return None
        before = flow.size_bytes
        session = flow.sessions.pop(token)
        self._session_count -= 1
        flow.revision += 1
        self._size_bytes += flow.size_bytes - before
        return session

    def remove_idle(self, now: datetime.timedelta) -> list[Flow]:
        """Remove and return the flows past the idle timeout."""
        idle = []
        while self._flows:
            flow = next(iter(self._flows.values()))
            if now - flow.last_used < self._idle_timeout:
                break
            self.remove(flow.key)
            idle.append(flow)
        return idle


def drop_old_exchanges(flow: Flow, now: datetime.timedelta) -> None:
    """Drop a flow's exchanges beyond the bounds of number, bytes and age.

    An exchange in progress is kept until it expires, since a duplicate of
    its request must not run again.
    """
    exchanges = flow.exchanges or {}
    for message_id in tuple(exchanges):
        exchange = exchanges[message_id]
        exceeds_limits = (
            len(exchanges) > MAX_EXCHANGES_PER_FLOW
            or flow.exchange_bytes > MAX_EXCHANGE_BYTES_PER_FLOW
        )
        expired = now - exchange.received_at >= EXCHANGE_LIFETIME
        if not (exceeds_limits or expired):
            break
        if exchange.answer or expired:
            flow.exchange_bytes -= len(exchange.answer)
            del exchanges[message_id]


@dataclasses.dataclass(frozen=True, slots=True)
class CachedOwnerHint:
    """Owner of a flow, as known to an agent that does not own it.

    Attributes:
        owner: address of the agent that owns the flow.
        expires: time after which the hint is ignored.
        admit: this agent selected the owner, which may not have admitted
            the flow yet.
    """

    owner: model.Endpoint
    expires: datetime.timedelta
    admit: bool = False


class OwnerHintCache:
    """Bounded cache of owners of other flows; drops the oldest first."""

    def __init__(self, limit: int, lifetime: datetime.timedelta) -> None:
        self._limit = limit
        self._lifetime = lifetime
        self._hints: collections.OrderedDict[wire.FlowKey, CachedOwnerHint] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._hints)

    def put(
        self,
        key: wire.FlowKey,
        owner: model.Endpoint,
        now: datetime.timedelta,
        admit: bool = False,
    ) -> None:
        """Store the owner of a flow."""
        self._hints.pop(key, None)
        self._hints[key] = CachedOwnerHint(owner, now + self._lifetime, admit)
        while len(self._hints) > self._limit:
            self._hints.popitem(last=False)

    def get(
        self, key: wire.FlowKey, now: datetime.timedelta
    ) -> CachedOwnerHint | None:
        """Return the hint for a flow, or ``None`` if none is valid."""
        hint = self._hints.get(key)
        if hint is not None and hint.expires > now:
            return hint
        return None

    def drop(self, key: wire.FlowKey) -> None:
        """Remove the hint for a flow."""
        self._hints.pop(key, None)

    def drop_expired(self, now: datetime.timedelta) -> None:
        """Remove expired hints."""
        while self._hints:
            key = next(iter(self._hints))
            if self._hints[key].expires > now:
                break
            del self._hints[key]
