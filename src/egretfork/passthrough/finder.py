"""An entry's lookups of the agents that hold flows.

Answers the moment after a change of the set of entries or a restart of many
nodes, when most packets arrive at an entry without a hint. An agent searches
on behalf of the entry: first among the few agents at which the flow was most
likely opened, then among all others that have not answered before. Only if
every agent surely does not hold the flow is it reset.
"""

import datetime
import itertools

import msgspec

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agents
from egretfork.passthrough import base
from egretfork.passthrough import lookup
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import routing
from egretfork import reasons

MAX_LOOKUPS = 4_096
# Limit on the agents of other services that are queried for one flow.
MAX_WIDENED_AGENTS = 256
# Limit on the flows about which a newly discovered agent is queried at once.
MAX_NEW_AGENT_QUERIES = 32
# Number of a request whose negative reply is ignored.
UNNUMBERED = 0


class FoundFlow(msgspec.Struct, frozen=True):
    """A flow whose holder was found.

    Attributes:
        queued_packets: packets that arrived during the lookup.
    """

    flow: packets.FlowKey
    holder: model.Endpoint
    queued_packets: list[bytes]


class HolderFinder(base.FlowCore):
    """Looks up the holders of flows."""

    def __init__(
        self,
        codec: packets.Codec,
        agent_table: agents.AgentTable,
        now: datetime.timedelta,
    ) -> None:
        super().__init__(codec, now)
        self._agents = agent_table
        self._lookups: dict[packets.FlowKey, lookup.FlowLookup] = {}

    def begin(
        self, now: datetime.timedelta, collected: list[actions.Action]
    ) -> None:
        """Set the time of the following calls and where their actions go."""
        self._now = now
        self._actions = collected

    def look_up(
        self, packet: packets.Packet, services: frozenset[str]
    ) -> None:
        """Start a lookup for a packet or queue the packet.

        Args:
            services: services that may hold the flow.
        """
        pending = self._lookups.get(packet.flow)
        if pending is None:
            self.start(packet, tuple(sorted(services)), frozenset())
        elif pending.may_restart(self._now):
            pending.restart(packet.data)
            self._request(packet.flow, pending)
        elif pending.failed or not pending.queue_packet(packet.data):
            self._count(reasons.Drop.NO_TARGETS)

    def start(
        self,
        packet: packets.Packet,
        services: tuple[str, ...],
        cleared: frozenset[model.Endpoint],
    ) -> None:
        """Start a lookup.

        Args:
            services: services that may hold the flow; empty if any may.
            cleared: agents that are known not to hold the flow.
        """
        if len(self._lookups) >= MAX_LOOKUPS:
            self._count(reasons.Drop.TABLE_FULL)
            return
        pending = lookup.FlowLookup(
            services, self._now, packet.acknowledged, cleared
        )
        pending.queue_packet(packet.data)
        self._lookups[packet.flow] = pending
        self._request(packet.flow, pending)

    def query_new_agent(self, agent: model.Endpoint) -> None:
        """Query a newly discovered agent for flows that it may hold.

        Agents at which a flow was less likely opened are asked with the next
        request.
        """
        waiting = (
            (flow, pending)
            for flow, pending in self._lookups.items()
            if pending.queued_packets
        )
        for flow, pending in itertools.islice(waiting, MAX_NEW_AGENT_QUERIES):
            flow_hash = routing.hash_flow(flow)
            if self._agents.is_likely_holder(agent, flow_hash):
                self._send_request(agent, flow, pending, UNNUMBERED, [agent])

    def handle_reply(self, message: messages.LocateReply) -> FoundFlow | None:
        """Process the reply of an agent; return the flow if it was found."""
        pending = self._lookups.get(message.flow)
        if pending is None:
            return None
        if message.holder is not None:
            return self.resolve(message.flow, message.holder)
        if message.number != pending.number or pending.failed:
            return None
        unresolved = frozenset(messages.unpack_endpoints(message.unresolved))
        skipped = frozenset(messages.unpack_endpoints(message.skipped))
        if not message.held_nowhere and not unresolved | skipped:
            # An agent of an earlier version does not list them.
            unresolved = pending.asked
        pending.record_reply(unresolved, skipped)
        self._continue(message.flow, pending, unresolved)
        return None

    def resolve(
        self, flow: packets.FlowKey, holder: model.Endpoint
    ) -> FoundFlow | None:
        """End a lookup whose holder is known, if there is one."""
        pending = self._lookups.get(flow)
        if pending is None or holder not in self._agents:
            return None
        del self._lookups[flow]
        self._log("lookup_settled", flow, f"agent={holder}")
        return FoundFlow(flow, holder, pending.take_queued_packets())

    def handle_tick(self) -> None:
        """Repeat requests that timed out and discard failed lookups."""
        for flow, pending in list(self._lookups.items()):
            if pending.has_expired(self._now):
                del self._lookups[flow]
            elif pending.has_timed_out(self._now):
                self._repeat(flow, pending)

    def _list_candidates(
        self, pending: lookup.FlowLookup
    ) -> list[model.Endpoint]:
        return self._agents.list_candidates(
            pending.services, pending.cleared | pending.skipped, self._now
        )

    def _request(
        self, flow: packets.FlowKey, pending: lookup.FlowLookup
    ) -> None:
        """Ask an agent to locate the holder of a flow among candidates."""
        candidates = self._list_candidates(pending)
        if not candidates:
            self._conclude(flow, pending)
            return
        if pending.likely_only:
            flow_hash = routing.hash_flow(flow)
            likely = self._agents.choose_likely(candidates, flow_hash)
            pending.likely_only = len(likely) < len(candidates)
            candidates = likely or candidates
        locators = self._list_locators(flow)
        if not locators:
            self._fail(flow, pending)
            return
        number = pending.begin_attempt(frozenset(candidates), self._now)
        locator = locators[(pending.attempts - 1) % len(locators)]
        self._send_request(locator, flow, pending, number, candidates)
        detail = f"seeker={locator} possible={len(candidates)}"
        self._log("lookup_started", flow, detail)

    def _list_locators(self, flow: packets.FlowKey) -> list[model.Endpoint]:
        registrars = self._agents.list_registrars(routing.hash_flow(flow))
        return [
            address
            for address in registrars
            if not self._agents.is_lost(address, self._now)
        ]

    def _send_request(
        self,
        locator: model.Endpoint,
        flow: packets.FlowKey,
        pending: lookup.FlowLookup,
        number: int,
        candidates: list[model.Endpoint],
    ) -> None:
        packed = messages.pack_endpoints(candidates)
        request = messages.LocateRequest(
            flow, number, pending.services, packed, pending.queued_packets[0]
        )
        self._send(locator, request)

    def _repeat(
        self, flow: packets.FlowKey, pending: lookup.FlowLookup
    ) -> None:
        """Repeat a request that timed out through another agent."""
        if pending.attempts >= lookup.MAX_ATTEMPTS:
            self._fail(flow, pending)
        else:
            self._request(flow, pending)

    def _continue(
        self,
        flow: packets.FlowKey,
        pending: lookup.FlowLookup,
        unresolved: frozenset[model.Endpoint],
    ) -> None:
        """Ask the agents that have not been asked yet, or end the lookup."""
        remaining = set(self._list_candidates(pending))
        if remaining - unresolved:
            pending.likely_only = False
            self._request(flow, pending)
        elif remaining:
            self._fail(flow, pending)
        else:
            self._conclude(flow, pending)

    def _conclude(
        self, flow: packets.FlowKey, pending: lookup.FlowLookup
    ) -> None:
        """Reset a flow that no agent holds if every agent is known."""
        if not self._agents.has_discovered_all(self._now):
            # An agent that has not announced itself yet may hold the flow.
            self._fail(flow, pending)
        elif not self._widen(flow, pending):
            pending.failed = True
            self._log("flow_reset", flow, "reason=held_nowhere")
            self._send_reset(flow, pending.acknowledged)

    def _widen(
        self, flow: packets.FlowKey, pending: lookup.FlowLookup
    ) -> bool:
        """Query the agents of all other services.

        Returns:
            Whether an agent of another service may hold the flow.
        """
        if not pending.services:
            return False
        pending.widen()
        others = self._list_candidates(pending)
        if not others:
            return False
        if len(others) > MAX_WIDENED_AGENTS:
            # Too many agents to query for one flow: let the caller time out.
            self._fail(flow, pending)
            return True
        self._request(flow, pending)
        return True

    def _fail(self, flow: packets.FlowKey, pending: lookup.FlowLookup) -> None:
        """Keep the packets queued: the holder may not be known yet."""
        pending.failed = True
        all_known = self._agents.has_discovered_all(self._now)
        self._log(
            "lookup_failed",
            flow,
            f"cleared={len(pending.cleared)} all_known={all_known}"
            f" missing={self._agents.count_missing()}",
        )
        self._count(reasons.Drop.NO_TARGETS)
