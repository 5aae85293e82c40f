"""Forwarding of datagrams along the list of agents of their bucket."""

import datetime

import aiocoap
from aiocoap.numbers import types

import msgspec

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import serving
from egretfork.agent import status as status_module
from egretfork.agent import validation
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork.routing import ranking
from egretfork.routing import table as table_module
from egretfork import wire

OWNER_HINT_LIFETIME = datetime.timedelta(seconds=60)
# Bounds against forwarding loops, since owner hints of two agents can name
# each other: owner hints are followed for at most MAX_OWNER_HINT_HOPS hops and
# a datagram is dropped after HOP_LIMIT hops. After MAX_ADMIT_HOPS hops an
# agent that is asked to admit a flow does not pass it to another agent.
MAX_OWNER_HINT_HOPS = 5
MAX_ADMIT_HOPS = 10
HOP_LIMIT = 18
JOIN_WINDOW = datetime.timedelta(seconds=30)


class BucketLists:
    """Agents of each bucket, computed from announcements as entries do.

    Until the announcements include the own target, the lists that entries
    send with datagrams are used.
    """

    def __init__(
        self,
        status: status_module.AgentStatus,
        admission_controller: admission.AdmissionController,
    ) -> None:
        self._status = status
        self._admission = admission_controller
        self._entry_lists: dict[int, tuple[model.Endpoint, ...]] = {}
        self._current_table: table_module.ServiceTable | None = None
        self._previous_table: table_module.ServiceTable | None = None
        self._recently_joined: frozenset[model.Endpoint] = frozenset()

    def update(self) -> None:
        """Recompute the lists after a change of targets or declaration."""
        service = self._status.service
        announcements = self._admission.announcements
        own = self._status.address
        is_known = any(item.address == own for item in announcements)
        self._current_table = None
        self._previous_table = None
        if service is not None and is_known:
            targets = table_module.select_targets(service, announcements)
            self._current_table = table_module.ServiceTable(service, targets)

    def record_entry_list(self, forwarded: wire.Forwarded) -> None:
        """Store the list of agents that an entry sent with a datagram."""
        self._entry_lists[forwarded.bucket] = forwarded.agents[
            : ranking.LIST_LENGTH
        ]

    def get(self, bucket: int) -> tuple[model.Endpoint, ...]:
        """Return the agents of a bucket, most preferred first."""
        if self._current_table is None:
            return self._entry_lists.get(bucket, ())
        return self._current_table.find_agents(bucket)

    def excludes_self(self, bucket: int) -> bool:
        """Return whether this agent is missing from the list of a bucket."""
        if self._current_table is None:
            return False
        agents = self._current_table.find_agents(bucket)
        return self._status.address not in agents

    def find_previous_agents(
        self, bucket: int, now: datetime.timedelta
    ) -> tuple[model.Endpoint, ...]:
        """Return the agents of a bucket before the latest changes.

        These agents may still own a flow that has not been moved yet. The
        list leaves out agents that joined within ``JOIN_WINDOW`` and ranks
        draining agents as if they were ready.

        Returns:
            The agents, empty if no agent has joined lately or is draining.
        """
        peers = self._admission.peers
        recent = frozenset(
            address
            for address, peer in peers.items()
            if now - peer.first_seen < JOIN_WINDOW
        )
        is_draining = any(
            peer.announcement.state is model.TargetState.DRAINING
            for peer in peers.values()
        )
        service = self._status.service
        if service is None or not (recent or is_draining):
            return ()
        if self._previous_table is None or recent != self._recently_joined:
            self._recently_joined = recent
            self._previous_table = self._build_previous_table(service, recent)
        return self._previous_table.find_agents(bucket)

    def _build_previous_table(
        self, service: model.Service, recent: frozenset[model.Endpoint]
    ) -> table_module.ServiceTable:
        targets = (
            msgspec.structs.replace(item, state=model.TargetState.READY)
            for item in table_module.select_targets(
                service, self._admission.announcements
            )
            if item.address not in recent
            and item.state not in admission.UNAVAILABLE_STATES
        )
        return table_module.ServiceTable(service, targets)


class Forwarder:
    """Forwards datagrams of flows that this agent does not own."""

    def __init__(
        self,
        status: status_module.AgentStatus,
        table: flows.FlowTable,
        server: serving.CallerServer,
        admission_controller: admission.AdmissionController,
        lists: BucketLists,
    ) -> None:
        self._status = status
        self._table = table
        self._server = server
        self._admission = admission_controller
        self._lists = lists
        limit = flows.MESSAGE_ID_COUNT
        self.owner_hints = flows.OwnerHintCache(limit, OWNER_HINT_LIFETIME)

    def route(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        """Forward a datagram to the next agent, or refuse its request.

        Returns:
            Actions, or the datagram if this agent admits its flow.
        """
        if forwarded.hops >= HOP_LIMIT:
            return [actions.CountReason(reasons.Drop.HOP_LIMIT)]
        hint = self.owner_hints.get(forwarded.flow, now)
        if hint is not None and forwarded.hops < MAX_OWNER_HINT_HOPS:
            if not self._admission.is_unavailable(hint.owner):
                admit = hint.admit
                return self._send(forwarded, hint.owner, admit=admit)
        if forwarded.admit:
            return self._admit_here(forwarded, now)
        return self._forward_along_list(forwarded, now)

    def record_entry_list(self, forwarded: wire.Forwarded) -> None:
        """Store the list of agents that an entry sent with a datagram."""
        self._lists.record_entry_list(forwarded)

    def relay(
        self, forwarded: wire.Forwarded, agent: model.Endpoint
    ) -> list[events.Signal]:
        """Forward a datagram to an agent that has its request in progress."""
        if forwarded.hops >= MAX_OWNER_HINT_HOPS:
            return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]
        return self._send(forwarded, agent)

    def _send(
        self,
        forwarded: wire.Forwarded,
        agent: model.Endpoint,
        position: int | None = None,
        admit: bool = False,
    ) -> list[events.Signal]:
        message = msgspec.structs.replace(
            forwarded,
            hops=forwarded.hops + 1,
            admit=admit,
            position=(forwarded.position if position is None else position),
        )
        return [actions.SendMessage(agent, message)]

    def _forward_along_list(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        own = self._status.address
        extended = forwarded
        next_position = self._find_next_position(forwarded)
        if next_position is None:
            listed = forwarded.agents
            extra = tuple(
                agent
                for agent in self._lists.find_previous_agents(
                    forwarded.bucket, now
                )
                if agent not in listed and agent != own
            )
            agents = tuple(dict.fromkeys((*listed, *extra)))
            extended = msgspec.structs.replace(forwarded, agents=agents)
            next_position = self._find_next_position(extended)
        if next_position is not None:
            agent = extended.agents[next_position]
            return self._send(extended, agent, next_position)
        return self._place(extended, now)

    def _find_next_position(self, forwarded: wire.Forwarded) -> int | None:
        start = forwarded.position + 1
        candidates = enumerate(forwarded.agents[start:], start)
        return next(
            (
                position
                for position, agent in candidates
                if agent != self._status.address
                and not self._admission.is_unavailable(agent)
            ),
            None,
        )

    def _place(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        validated = self.validate(forwarded)
        if isinstance(validated, list):
            return validated
        chosen = self._admission.choose_agent(self._find_agents(forwarded))
        if chosen is None:
            reason = self._choose_refusal()
            return self._server.refuse(forwarded, validated, reason, now)
        if chosen == self._status.address:
            return forwarded
        return self._assign(forwarded, chosen, now)

    def _assign(
        self,
        forwarded: wire.Forwarded,
        agent: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        self._admission.record_placement(agent, now)
        self.owner_hints.put(forwarded.flow, agent, now, admit=True)
        return self._send(forwarded, agent, admit=True)

    def _find_agents(
        self, forwarded: wire.Forwarded
    ) -> tuple[model.Endpoint, ...]:
        listed = self._lists.get(forwarded.bucket)
        return listed or forwarded.agents[: ranking.LIST_LENGTH]

    def _choose_refusal(self) -> reasons.Refusal:
        if self._status.is_leaving:
            return reasons.Refusal.DRAINING
        if self._status.shedding:
            return reasons.Refusal.SHEDDING
        return reasons.Refusal.NO_CAPACITY

    def _admit_here(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        validated = self.validate(forwarded)
        if isinstance(validated, list):
            return validated
        if self._admission.can_admit():
            return forwarded
        own = frozenset((self._status.address,))
        agents = self._find_agents(forwarded)
        other = self._admission.choose_agent(agents, own, ignore_rate=False)
        if other is not None and forwarded.hops < MAX_ADMIT_HOPS:
            return self._assign(forwarded, other, now)
        if self._admission.can_admit(ignore_rate=True):
            return forwarded
        reason = self._choose_refusal()
        return self._server.refuse(forwarded, validated, reason, now)

    def validate(
        self, forwarded: wire.Forwarded
    ) -> validation.ValidatedRequest | list[events.Signal]:
        """Check that a datagram without a flow is a valid request."""
        peer = str(forwarded.flow.caller)
        message = coap.decode(forwarded.payload, peer)
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        kind = coap.classify(message)
        if kind is coap.MessageKind.REQUEST:
            return validation.validate_request(
                forwarded, message, self._status.service_name
            )
        if kind is coap.MessageKind.PING:
            return answer_ping(forwarded, message)
        return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]


def answer_ping(
    forwarded: wire.Forwarded, message: aiocoap.Message
) -> list[events.Signal]:
    """Answer an empty confirmable message (RFC 7252, section 4.3)."""
    if message.mtype is not types.CON:
        return []
    reset = coap.encode(coap.build_empty_message(types.RST, message.mid))
    return validation.send_to_caller((forwarded.entry,), forwarded.flow, reset)
