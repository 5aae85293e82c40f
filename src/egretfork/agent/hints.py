"""Load hints to the other agents of the service."""

import datetime

import msgspec

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import status as statuses
from egretfork import model
from egretfork import wire

MIN_INTERVAL = datetime.timedelta(milliseconds=100)
HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
HEARTBEAT_PEERS = 2


class HintSender:
    """Sends one hint for flows and requests, at most 10 a second.

    The request engine states its part of the hint; this adds the part of
    the flows, so that a peer does not get two kinds of hints.
    """

    def __init__(
        self,
        status: statuses.AgentStatus,
        table: flows.FlowTable,
        peers: admission.AdmissionController,
    ) -> None:
        self._status = status
        self._table = table
        self._admission = peers
        self._next_hint = datetime.timedelta()
        self._next_heartbeat = datetime.timedelta()
        self._engine_hint: wire.LoadHint | None = None
        self._last: wire.LoadHint | None = None
        self._turn = 0

    def take(self, hint: wire.LoadHint) -> None:
        """Take the request engine's part of the hint."""
        self._engine_hint = hint

    def advance(
        self, now: datetime.timedelta, state: model.TargetState
    ) -> list[events.Signal]:
        """Send what is due."""
        if now < self._next_hint:
            return []
        hint = self._build(state)
        peers = sorted(self._admission.peers)
        changed = hint != self._last
        # The order of entries changes with each datagram and is no reason
        # for a hint of its own.
        self._last = hint
        hint = msgspec.structs.replace(
            hint, entries=self._status.entries.list_recent()
        )
        if changed:
            self._next_hint = now + MIN_INTERVAL
            self._next_heartbeat = now + HEARTBEAT_INTERVAL
            return [actions.SendMessage(peer, hint) for peer in peers]
        if now < self._next_heartbeat:
            return []
        self._next_heartbeat = now + HEARTBEAT_INTERVAL
        receivers = self._find_heartbeat_receivers(peers)
        return [actions.SendMessage(peer, hint) for peer in receivers]

    def _find_heartbeat_receivers(
        self, peers: list[model.Endpoint]
    ) -> list[model.Endpoint]:
        # Two fixed observers, and in turn one of the others, so that a
        # lost hint is repaired everywhere.
        own = self._status.address
        following = [peer for peer in peers if peer > own]
        ring = following + [peer for peer in peers if peer < own]
        receivers = ring[:HEARTBEAT_PEERS]
        if len(ring) > HEARTBEAT_PEERS:
            others = ring[HEARTBEAT_PEERS:]
            receivers.append(others[self._turn % len(others)])
            self._turn += 1
        return receivers

    def _build(self, state: model.TargetState) -> wire.LoadHint:
        status = self._status
        service = status.service
        engine_hint = self._engine_hint or wire.LoadHint(
            status.service_name,
            status.identity,
            status.address,
            0,
            0,
            0,
            0,
            state,
        )
        if engine_hint.state in admission.ACCEPTING_STATES:
            engine_hint = msgspec.structs.replace(engine_hint, state=state)
        return msgspec.structs.replace(
            engine_hint,
            flows=len(self._table),
            flow_limit=service.connections if service is not None else 0,
            weight=status.weight,
            admitted=self._admission.admitted,
            shedding=not self._admission.is_accepting,
            paced=self._admission.is_rate_limited,
        )
