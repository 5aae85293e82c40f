"""Decisions of an entry for flows whose content it cannot read.

An entry holds hints, never the truth: which agent has a flow is known to
the agents. For a packet with no hint an agent looks for the holder; an agent
that does not hold the flow hands the packet back.
"""

import collections
import datetime

import msgspec

from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agents
from egretfork.passthrough import basis
from egretfork.passthrough import lookup
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import placement
from egretfork.passthrough import routing
from egretfork import reasons

HINT_IDLE_LIMIT = datetime.timedelta(seconds=60)
MAX_HINTS = 100_000
MAX_LOOKUPS = 4_096
# Agents of other services that are asked for one flow.
MAX_WIDENED = 256
# Question whose negative answer decides nothing.
NO_NUMBER = 0
# Offers after which a flow is opened at a busy target too.
MAX_BUSY_OFFERS = 3
# Agents that are offered a new flow before its caller is refused.
MAX_OFFERS = 6
# Routes may lead to agents that have not announced themselves yet.
READY_WAIT_MAX = datetime.timedelta(milliseconds=1500)
# For how long packets wait for the agents of all services, and for a routing.
READ_WAIT_MAX = datetime.timedelta(milliseconds=500)
ROUTING_WAIT_MAX = datetime.timedelta(seconds=1)


class Hint(msgspec.Struct):
    """Where an entry sends the packets of a flow.

    Attributes:
        agent: address of the agent.
        opened: the agent said that its target holds the flow.
        offered: agents that were offered the flow, in order.
    """

    service: str
    agent: model.Endpoint
    opened: bool
    used_at: datetime.timedelta
    offered: list[model.Endpoint] = msgspec.field(default_factory=list)


class EntryCore(basis.FlowCore):
    """Forwards callers' packets to agents."""

    def __init__(
        self,
        availability_zone: str,
        codec: packets.Codec,
        now: datetime.timedelta,
    ) -> None:
        super().__init__(codec, now)
        self._availability_zone = availability_zone
        self._routes: routing.RouteTable | None = None
        self._routed_at = now
        self._agents = agents.KnownAgents(now)
        self._hints: collections.OrderedDict[packets.FlowKey, Hint] = (
            collections.OrderedDict()
        )
        self._lookups: dict[packets.FlowKey, lookup.Lookup] = {}
        self._started_at = now

    @property
    def version(self) -> int:
        """Return the version of the routing in force, 0 for none."""
        return self._routes.version if self._routes else 0

    # Events

    def handle_packet(
        self, data: bytes, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Process a packet of a caller."""
        self._begin(now)
        packet = self._codec.read_from_caller(data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
        elif self._routes is None:
            self._count(reasons.Drop.NO_CONFIGURATION)
        else:
            self._route(packet, self._routes)
        return self._actions

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of an agent."""
        self._begin(now)
        match message:
            case messages.Announcement():
                self._note_announcement(message, peer)
            case messages.Opened():
                self._note_opened(message.flow, peer)
            case messages.Declined():
                self._offer_again(message, peer)
            case messages.NotHeld():
                self._note_not_held(message, peer)
            case messages.Sought():
                self._note_sought(message)
        return self._actions

    def handle_routing(
        self, newest: routing.Routing, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Put a newer routing in force; an older one changes nothing."""
        self._begin(now)
        if newest.version <= self.version:
            return self._actions
        if self._routes is None:
            self._routed_at = now
        before = self.version
        self._routes = routing.RouteTable(newest)
        detail = f"version={newest.version} before={before}"
        self._log_event("routing_in_force", "route", "", detail)
        return self._actions

    def note_rosters(
        self, rosters: tuple[frozenset[model.Endpoint], ...]
    ) -> None:
        """Take the lists of agents of control processes, one of each."""
        self._agents.note_rosters(rosters)

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Conclude lookups and expire what is no longer needed."""
        self._begin(now)
        self._advance_lookups()
        self._expire_hints()
        for address in self._agents.handle_tick(now):
            self._log_event("agent_silent", "follow agents", str(address), "")
        return self._actions

    def is_ready(self, now: datetime.timedelta) -> bool:
        """Return whether callers' packets can be forwarded."""
        return self._knows_services(now, READY_WAIT_MAX)

    def may_read(self, now: datetime.timedelta) -> bool:
        """Return whether packets that wait since the start may be read."""
        if self._routes is None:
            return now - self._started_at >= ROUTING_WAIT_MAX
        return self._knows_services(now, READ_WAIT_MAX)

    def _knows_services(
        self, now: datetime.timedelta, limit: datetime.timedelta
    ) -> bool:
        if self._routes is None:
            return False
        known = self._agents.list_services()
        complete = self._routes.list_services() <= known
        return complete or now - self._routed_at >= limit

    # Packets

    def _route(
        self, packet: packets.Packet, routes: routing.RouteTable
    ) -> None:
        route = routes.find(packet.flow.service_address)
        if route is None:
            self._count(reasons.Drop.UNKNOWN_ADDRESS)
            detail = f"reason=no_route version={routes.version}"
            self._log("packet_dropped", packet.flow, detail)
            return
        hint = self._find_hint(packet.flow)
        if packet.opens:
            self._open(packet, route, hint)
        elif hint is None:
            self._search_for(packet, route)
        else:
            self._forward(packet, hint)

    def _find_hint(self, flow: packets.FlowKey) -> Hint | None:
        """Return the hint of a flow unless its agent is lost."""
        hint = self._hints.get(flow)
        if hint is not None and self._agents.is_lost(hint.agent, self._now):
            del self._hints[flow]
            return None
        return hint

    def _forward(self, packet: packets.Packet, hint: Hint) -> None:
        hint.used_at = self._now
        self._hints.move_to_end(packet.flow)
        self._send(hint.agent, messages.Deliver(hint.service, packet.data))

    def _open(
        self,
        packet: packets.Packet,
        route: routing.Route,
        hint: Hint | None,
    ) -> None:
        if hint is not None and hint.opened:
            self._forward(packet, hint)
            return
        if hint is None:
            service = routing.choose_service(route, packet.flow)
            self._offer(packet, service, [])
            return
        # A copy whose first packet had no effect goes to another agent.
        self._offer(packet, hint.service, hint.offered, again=hint)

    def _offer(
        self,
        packet: packets.Packet,
        service: str,
        offered: list[model.Endpoint],
        again: Hint | None = None,
    ) -> bool:
        """Offer a flow to the best agent left; return whether there is one."""
        chosen = self._choose(packet.flow, service, offered)
        if chosen is None:
            if again is not None:
                self._forward(packet, again)
                return True
            self._count(reasons.Drop.NO_TARGETS)
            self._log("flow_dropped", packet.flow, f"service={service}")
            return False
        chosen.placed += 1
        hint = Hint(
            service,
            chosen.address,
            False,
            self._now,
            [*offered, chosen.address],
        )
        self._keep_hint(packet.flow, hint)
        self._log_offer(packet.flow, chosen, hint)
        insist = len(hint.offered) >= MAX_BUSY_OFFERS
        self._send(
            chosen.address, messages.Deliver(service, packet.data, insist)
        )
        return True

    def _choose(
        self,
        flow: packets.FlowKey,
        service: str,
        offered: list[model.Endpoint],
    ) -> placement.AgentView | None:
        return placement.choose_agent(
            self._agents.list_of_service(service, offered),
            self._availability_zone,
            routing.hash_flow(flow),
            self._now,
        )

    def _offer_again(
        self, message: messages.Declined, peer: model.Endpoint
    ) -> None:
        """Offer a flow that an agent declined to another one."""
        hint = self._hints.get(message.flow)
        if hint is None or hint.opened or hint.agent != peer:
            return
        packet = self._codec.read_from_caller(message.data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
            return
        self._count(reasons.Retry.PEER_REFUSED)
        del self._hints[message.flow]
        room = len(hint.offered) < MAX_OFFERS
        if room and self._offer(packet, hint.service, hint.offered):
            return
        if message.reason is messages.DeclineReason.TARGET_FULL:
            self._refuse(packet)
        elif message.reason is messages.DeclineReason.TARGET_BUSY:
            # No other agent takes flows: waiting is better than nothing.
            self._keep_hint(message.flow, hint)
            self._send(
                peer, messages.Deliver(hint.service, message.data, True)
            )

    def _refuse(self, packet: packets.Packet) -> None:
        """Reject a flow that no target can take, before it has opened."""
        self._count(reasons.Refusal.NO_CAPACITY)
        self._log("flow_refused", packet.flow, "reason=no_capacity")
        self._send_reset(packet.flow, packet.acknowledged)

    # Lookups

    def _search_for(
        self, packet: packets.Packet, route: routing.Route
    ) -> None:
        known = self._lookups.get(packet.flow)
        if known is not None and not known.is_over(self._now):
            if known.concluded or not known.add_packet(packet.data):
                self._count(reasons.Drop.NO_TARGETS)
            return
        if len(self._lookups) >= MAX_LOOKUPS:
            self._count(reasons.Drop.TABLE_FULL)
            return
        self._start_lookup(
            packet, route, without=frozenset(), wide=known is not None
        )

    def _start_lookup(
        self,
        packet: packets.Packet,
        route: routing.Route,
        without: frozenset[model.Endpoint],
        *,
        wide: bool,
    ) -> None:
        services = () if wide else tuple(sorted(route.list_services()))
        started = lookup.Lookup(
            services, self._now, packet.acknowledged, without
        )
        started.add_packet(packet.data)
        self._lookups[packet.flow] = started
        self._ask_seeker(packet.flow, started, self._list_possible(started))

    def _list_possible(self, wanted: lookup.Lookup) -> list[model.Endpoint]:
        return self._agents.list_possible(
            wanted.services, wanted.without, self._now
        )

    def _ask_seeker(
        self,
        flow: packets.FlowKey,
        wanted: lookup.Lookup,
        possible: list[model.Endpoint],
    ) -> None:
        """Let an agent find out which of the possible ones holds a flow."""
        number = wanted.ask(self._now)
        seekers = [
            address
            for address in self._list_registrars(flow)
            if not self._agents.is_lost(address, self._now)
        ]
        if not possible or not seekers:
            self._conclude_lookup(flow, wanted, nowhere=not possible)
            return
        wanted.asked |= frozenset(possible)
        seeker = seekers[(wanted.attempts - 1) % len(seekers)]
        self._send_seek(seeker, flow, wanted, number, possible)
        detail = f"seeker={seeker} possible={len(possible)}"
        self._log("lookup_started", flow, detail)

    def _send_seek(
        self,
        seeker: model.Endpoint,
        flow: packets.FlowKey,
        wanted: lookup.Lookup,
        number: int,
        possible: list[model.Endpoint],
    ) -> None:
        packed = messages.pack_endpoints(possible)
        seek = messages.Seek(
            flow, number, wanted.services, packed, wanted.waiting[0]
        )
        self._send(seeker, seek)

    def _list_registrars(self, flow: packets.FlowKey) -> list[model.Endpoint]:
        return self._agents.list_registrars(routing.hash_flow(flow))

    def _register(self, flow: packets.FlowKey, holder: model.Endpoint) -> None:
        """Let two agents know who holds a flow, for other entries."""
        for address in self._list_registrars(flow):
            self._send(address, messages.Register(flow, holder))

    def _ask_late_agent(self, agent: model.Endpoint) -> None:
        """Ask an agent that was not known when lookups began."""
        for flow, wanted in self._lookups.items():
            if wanted.waiting:
                wanted.others_came = True
                self._send_seek(agent, flow, wanted, NO_NUMBER, [agent])

    def _note_sought(self, message: messages.Sought) -> None:
        wanted = self._lookups.get(message.flow)
        if wanted is None:
            return
        if message.holder is not None:
            self._settle(message.flow, wanted, message.holder)
        elif message.number == wanted.number and not wanted.concluded:
            nowhere = message.nowhere and not wanted.others_came
            self._conclude_lookup(message.flow, wanted, nowhere=nowhere)

    def _settle(
        self,
        flow: packets.FlowKey,
        wanted: lookup.Lookup,
        holder: model.Endpoint,
    ) -> None:
        view = self._agents.find(holder)
        if view is None:
            return
        del self._lookups[flow]
        service = view.announcement.service
        self._keep_hint(flow, Hint(service, holder, True, self._now))
        self._register(flow, holder)
        self._log("lookup_settled", flow, f"agent={holder}")
        for data in wanted.take_waiting():
            self._send(holder, messages.Deliver(service, data))

    def _advance_lookups(self) -> None:
        for flow, wanted in list(self._lookups.items()):
            if wanted.is_forgotten(self._now):
                del self._lookups[flow]
            elif wanted.is_late(self._now):
                self._repeat_lookup(flow, wanted)

    def _repeat_lookup(
        self, flow: packets.FlowKey, wanted: lookup.Lookup
    ) -> None:
        """Ask another agent to seek a flow, or give up."""
        if wanted.attempts >= lookup.MAX_ATTEMPTS:
            self._conclude_lookup(flow, wanted, nowhere=False)
            return
        possible = self._list_possible(wanted)
        self._ask_seeker(flow, wanted, possible)

    def _conclude_lookup(
        self,
        flow: packets.FlowKey,
        wanted: lookup.Lookup,
        *,
        nowhere: bool,
    ) -> None:
        wanted.concluded = True
        all_known = self._agents.are_all_known(self._now)
        self._log(
            "lookup_failed",
            flow,
            f"nowhere={nowhere} all_known={all_known}"
            f" missing={self._agents.count_missing()}",
        )
        self._count(reasons.Drop.NO_TARGETS)
        # An agent may still announce itself and take what waits.
        if nowhere and all_known and not self._widen(flow, wanted):
            self._reset(flow, wanted.acknowledged, "held_nowhere")

    def _widen(self, flow: packets.FlowKey, wanted: lookup.Lookup) -> bool:
        """Ask the agents of other services; return whether any may hold it.

        An entry whose routing is older than the flow does not know the
        service that the flow was opened at.
        """
        if not wanted.services:
            return False
        without = wanted.without | wanted.asked
        others = self._agents.list_possible((), without, self._now)
        if len(others) > MAX_WIDENED:
            # Too many to ask for one flow; the caller is left to time out.
            return True
        if not others:
            return False
        wanted.widen()
        self._ask_seeker(flow, wanted, others)
        return True

    def _reset(
        self, flow: packets.FlowKey, acknowledged: int, reason: str
    ) -> None:
        """Tell a caller that its flow is lost."""
        self._log("flow_reset", flow, f"reason={reason}")
        self._send_reset(flow, acknowledged)

    def _note_opened(
        self, flow: packets.FlowKey, agent: model.Endpoint
    ) -> None:
        wanted = self._lookups.get(flow)
        if wanted is not None:
            self._settle(flow, wanted, agent)
            return
        hint = self._hints.get(flow)
        if hint is not None and not hint.opened:
            hint.agent = agent
            hint.opened = True
            self._register(flow, agent)
            self._actions.append(
                actions.ObserveLatency(
                    metrics.Latency.FLOW_OPENING, self._now - hint.used_at
                )
            )

    def _note_not_held(
        self, message: messages.NotHeld, peer: model.Endpoint
    ) -> None:
        """Search elsewhere for a flow that a hinted agent does not hold."""
        hint = self._hints.get(message.flow)
        if hint is None or hint.agent != peer or self._routes is None:
            return
        del self._hints[message.flow]
        packet = self._codec.read_from_caller(message.data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
            return
        route = self._routes.find(message.flow.service_address)
        if route is not None:
            self._start_lookup(packet, route, frozenset({peer}), wide=True)

    # Agents and hints

    def _note_announcement(
        self, message: messages.Announcement, peer: model.Endpoint
    ) -> None:
        change = self._agents.note(message, peer, self._now)
        if change is not agents.Change.NONE:
            self._log_agent(peer, message)
        if change is agents.Change.NEW:
            self._ask_late_agent(peer)

    def _keep_hint(self, flow: packets.FlowKey, hint: Hint) -> None:
        self._hints[flow] = hint
        self._hints.move_to_end(flow)
        if len(self._hints) > MAX_HINTS:
            self._hints.popitem(last=False)

    def _expire_hints(self) -> None:
        while self._hints:
            flow, hint = next(iter(self._hints.items()))
            if self._now - hint.used_at < HINT_IDLE_LIMIT:
                return
            del self._hints[flow]

    # Output

    def _log_offer(
        self,
        flow: packets.FlowKey,
        chosen: placement.AgentView,
        hint: Hint,
    ) -> None:
        announcement = chosen.announcement
        age = self._now - chosen.heard_at
        self._log(
            "flow_offered",
            flow,
            f"agent={announcement.agent} service={hint.service}"
            f" offer={len(hint.offered)} version={self.version}"
            f" flows={announcement.flows}+{chosen.placed}"
            f" running={announcement.running}"
            f" age_ms={age // datetime.timedelta(milliseconds=1)}",
        )

    def _log_agent(
        self, address: model.Endpoint, message: messages.Announcement
    ) -> None:
        detail = (
            f"agent={message.agent} service={message.service}"
            f" state={message.state} stopping={message.stopping}"
        )
        self._log_event("agent_state", "follow agents", str(address), detail)
