"""Sending of load hints to the other agents of the service."""

import datetime

import msgspec

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import status as status_module
from egretfork import model
from egretfork import wire

MIN_INTERVAL = datetime.timedelta(milliseconds=100)
HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
HEARTBEAT_PEERS = 2


class HintSender:
    """Sends hints about flows and requests, at most 10 a second.

    The request engine supplies the fields about requests. The fields about
    flows are added here, so that a peer receives a single kind of hint.
    """

    def __init__(
        self,
        status: status_module.AgentStatus,
        flow_table: flows.FlowTable,
        flow_admission: admission.AdmissionController,
    ) -> None:
        self._status = status
        self._flow_table = flow_table
        self._admission = flow_admission
        self._next_hint = datetime.timedelta()
        self._next_heartbeat = datetime.timedelta()
        self._engine_hint: wire.LoadHint | None = None
        self._last_hint: wire.LoadHint | None = None
        self._rotation = 0

    def set_engine_hint(self, hint: wire.LoadHint) -> None:
        """Set the request engine's part of the hint."""
        self._engine_hint = hint

    def advance(
        self, now: datetime.timedelta, state: model.TargetState
    ) -> list[events.Signal]:
        """Send a hint if it has changed or a heartbeat is due."""
        if now < self._next_hint:
            return []
        hint = self._build(state)
        peers = sorted(self._admission.peers)
        changed = hint != self._last_hint
        # Entries are left out of the comparison: their order changes with each
        # datagram, which must not cause a hint.
        self._last_hint = hint
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
        # Heartbeats go to two fixed peers and, in rotation, to one of the
        # others, so that every peer recovers from a lost hint.
        own_address = self._status.address
        following = [peer for peer in peers if peer > own_address]
        ring = following + [peer for peer in peers if peer < own_address]
        receivers = ring[:HEARTBEAT_PEERS]
        if len(ring) > HEARTBEAT_PEERS:
            others = ring[HEARTBEAT_PEERS:]
            receivers.append(others[self._rotation % len(others)])
            self._rotation += 1
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
            flows=len(self._flow_table),
            flow_limit=service.connections if service is not None else 0,
            weight=status.weight,
            admitted=self._admission.admitted,
            shedding=not self._admission.is_accepting,
            rate_limited=self._admission.is_rate_limited,
        )
