"""Load hints to the other agents of the service."""

import datetime

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import status as statuses
from egretfork.agent import events
from egretfork.agent import flows
from egretfork import model
from egretfork import wire

MIN_INTERVAL = datetime.timedelta(milliseconds=100)
HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
HEARTBEAT_PEERS = 2


class HintSender:
    """Sends the own load when it changes, and heartbeats otherwise."""

    def __init__(
        self,
        status: statuses.AgentStatus,
        table: flows.FlowTable,
        peers: admission.Admission,
    ) -> None:
        self._status = status
        self._table = table
        self._admission = peers
        self._next_hint = datetime.timedelta()
        self._next_heartbeat = datetime.timedelta()
        self._last: wire.LoadHint | None = None
        self._turn = 0

    def advance(
        self,
        now: datetime.timedelta,
        state: model.TargetState,
        free_slots: int,
        waiting: int,
    ) -> list[events.Signal]:
        """Send what is due."""
        if now < self._next_hint:
            return []
        hint = self._build(state, free_slots, waiting)
        peers = sorted(self._admission.peers)
        if hint != self._last:
            self._last = hint
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
        # Two fixed observers, and in turn one of all, so that a lost hint
        # is repaired everywhere.
        own = self._status.address
        following = [peer for peer in peers if peer > own]
        ring = following + [peer for peer in peers if peer < own]
        receivers = ring[:HEARTBEAT_PEERS]
        if len(ring) > HEARTBEAT_PEERS:
            others = ring[HEARTBEAT_PEERS:]
            receivers.append(others[self._turn % len(others)])
            self._turn += 1
        return receivers

    def _build(
        self, state: model.TargetState, free_slots: int, waiting: int
    ) -> wire.LoadHint:
        status = self._status
        service = status.service
        peers = self._admission
        return wire.LoadHint(
            service=status.service_name,
            agent=status.identity,
            address=status.address,
            flows=len(self._table),
            flow_limit=service.connections if service is not None else 0,
            free_slots=free_slots,
            waiting=waiting,
            state=state,
            weight=status.weight,
            admitted=peers.admitted,
            shedding=not peers.is_willing,
        )
