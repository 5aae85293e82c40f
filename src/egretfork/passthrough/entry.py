"""Decision logic of an entry for passed-through flows.

An entry only caches which agent holds a flow (a hint); the agents are
authoritative. For a packet without a hint, the entry asks an agent to locate
the holder. An agent that does not hold the flow returns the packet.
"""

import collections
import datetime

from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import agents
from egretfork.passthrough import base
from egretfork.passthrough import finder
from egretfork.passthrough import messages
from egretfork.passthrough import offers
from egretfork.passthrough import packets
from egretfork.passthrough import placement
from egretfork.passthrough import routing
from egretfork import reasons

HINT_IDLE_LIMIT = datetime.timedelta(seconds=60)
MAX_HINTS = 100_000
# Readiness waits this long for agents of every routed service to announce
# themselves.
MAX_READY_WAIT = datetime.timedelta(milliseconds=1500)
# After a start, callers' packets stay in the socket buffer until agents of
# all services, all agents on the rosters and a routing are known, but for no
# longer than this.
MAX_SERVICE_WAIT = datetime.timedelta(milliseconds=500)
MAX_ROUTING_WAIT = datetime.timedelta(seconds=1)
# Time from a caller's first packet of a flow until it gives up.
ATTEMPT_TIMEOUT = datetime.timedelta(milliseconds=1400)


class EntryCore(base.FlowCore):
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
        self._agents = agents.AgentTable(now)
        self._hints: collections.OrderedDict[packets.FlowKey, offers.Hint] = (
            collections.OrderedDict()
        )
        self._finder = finder.HolderFinder(codec, self._agents, now)
        self._started_at = now

    @property
    def version(self) -> int:
        """Return the version of the current routing or ``NO_VERSION``."""
        return self._routes.version if self._routes else routing.NO_VERSION

    def _begin(self, now: datetime.timedelta) -> None:
        super()._begin(now)
        self._finder.begin(now, self._actions)

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
            self._route_packet(packet, self._routes)
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
                self._handle_announcement(message, peer)
            case messages.FlowOpened():
                self._handle_flow_opened(message.flow, peer)
            case messages.FlowDeclined():
                self._handle_declined(message, peer)
            case messages.FlowWaiting():
                self._handle_flow_waiting(message.flow, peer)
            case messages.FlowNotHeld():
                self._handle_not_held(message, peer)
            case messages.LocateReply():
                self._handle_locate_reply(message)
        return self._actions

    def handle_routing(
        self, newest: routing.Routing, now: datetime.timedelta
    ) -> list[actions.Action]:
        """Apply a routing if it is newer than the current one."""
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

    def set_rosters(
        self, rosters: tuple[frozenset[model.Endpoint], ...]
    ) -> None:
        """Set the agent rosters, one per control process."""
        self._agents.set_rosters(rosters)

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Advance lookups and remove expired hints and silent agents."""
        self._begin(now)
        self._finder.handle_tick()
        self._expire_hints()
        for address in self._agents.handle_tick(now):
            self._log_event("agent_silent", "follow agents", str(address), "")
        return self._actions

    def is_ready(self, now: datetime.timedelta) -> bool:
        """Return whether the entry can forward callers' packets."""
        return self._has_agents_of_all_services(now, MAX_READY_WAIT)

    def can_read_packets(self, now: datetime.timedelta) -> bool:
        """Return whether to start reading the packets received since start."""
        if self._routes is None:
            return now - self._started_at >= MAX_ROUTING_WAIT
        if now - self._routed_at >= MAX_SERVICE_WAIT:
            return True
        return not self._agents.count_missing() and (
            self._has_agents_of_all_services(now, MAX_SERVICE_WAIT)
        )

    def _has_agents_of_all_services(
        self, now: datetime.timedelta, limit: datetime.timedelta
    ) -> bool:
        if self._routes is None:
            return False
        known = self._agents.list_services()
        complete = self._routes.list_services() <= known
        return complete or now - self._routed_at >= limit

    # Packets

    def _route_packet(
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
            self._handle_opening_packet(packet, route, hint)
        elif hint is None:
            self._finder.look_up(packet, route.list_services())
        else:
            self._forward(packet, hint)

    def _find_hint(self, flow: packets.FlowKey) -> offers.Hint | None:
        """Return the hint of a flow; drop it if its agent is lost."""
        hint = self._hints.get(flow)
        if hint is not None and self._agents.is_lost(hint.agent, self._now):
            del self._hints[flow]
            return None
        return hint

    def _forward(self, packet: packets.Packet, hint: offers.Hint) -> None:
        hint.used_at = self._now
        self._hints.move_to_end(packet.flow)
        self._send(
            hint.agent, messages.PacketDelivery(hint.service, packet.data)
        )

    def _handle_opening_packet(
        self,
        packet: packets.Packet,
        route: routing.Route,
        hint: offers.Hint | None,
    ) -> None:
        if hint is not None and not route.sends_to(hint.service):
            if self._was_just_opened(packet, hint):
                self._drop_flow(packet, hint.service)
                return
            del self._hints[packet.flow]
            hint = None
        if hint is None:
            made = offers.Offers(self._now, not packet.copy_number)
            self._place_flow(packet, route, made)
            return
        if hint.confirmed:
            self._forward(packet, hint)
            return
        if hint.offers.waiting and self._is_live(hint.agent):
            self._deliver_opening(packet, hint)
            return
        # No agent has confirmed the earlier copy of this packet: offer the
        # flow to another agent, or to the same one if there is no other.
        if not self._offer_flow(packet, hint.service, hint.offers):
            self._deliver_opening(packet, hint)

    def _was_just_opened(
        self, packet: packets.Packet, hint: offers.Hint
    ) -> bool:
        """Return whether a first packet is a copy of one that was accepted.

        The target then repeats its own packet until the caller has it. A
        packet that is not a copy, or that comes later, opens another flow
        from the same port.
        """
        age = self._now - hint.offers.began_at
        is_copy = bool(packet.copy_number) and age < ATTEMPT_TIMEOUT
        return hint.confirmed and is_copy

    def _place_flow(
        self,
        packet: packets.Packet,
        route: routing.Route,
        made: offers.Offers,
    ) -> None:
        """Offer a flow to an agent of a service that its route sends to."""
        service = routing.choose_service(route, packet.flow)
        if not self._offer_flow(packet, service, made):
            self._drop_flow(packet, service)

    def _is_live(self, agent: model.Endpoint) -> bool:
        view = self._agents.find(agent)
        return view is not None and view.is_live(self._now)

    def _offer_flow(
        self, packet: packets.Packet, service: str, made: offers.Offers
    ) -> bool:
        """Offer a flow to the best remaining agent, if there is one.

        Returns:
            Whether the packet was sent to an agent.
        """
        chosen = self._choose_agent(packet.flow, service, made.agents)
        if chosen is None:
            return False
        chosen.placed_flows += 1
        chosen.placed_at = self._now
        made.agents.append(chosen.address)
        hint = offers.Hint(service, chosen.address, False, self._now, made)
        self._store_hint(packet.flow, hint)
        self._log_offer(packet.flow, chosen, hint)
        delivery = messages.PacketDelivery(
            service, packet.data, max_wait_ms=made.get_acceptable_wait_ms()
        )
        self._send(chosen.address, delivery)
        return True

    def _deliver_opening(
        self, packet: packets.Packet, hint: offers.Hint
    ) -> None:
        """Send a first packet to an agent at which the flow may wait."""
        hint.used_at = self._now
        self._store_hint(packet.flow, hint)
        self._send(
            hint.agent,
            messages.PacketDelivery(
                hint.service, packet.data, accept_when_busy=True
            ),
        )

    def _choose_agent(
        self,
        flow: packets.FlowKey,
        service: str,
        offered: list[model.Endpoint],
    ) -> placement.AgentView | None:
        return placement.choose_agent(
            self._agents.list_by_service(service, offered),
            self._availability_zone,
            routing.hash_flow(flow),
            self._now,
        )

    def _handle_declined(
        self, message: messages.FlowDeclined, peer: model.Endpoint
    ) -> None:
        """Offer a flow that an agent declined to another agent."""
        hint = self._hints.get(message.flow)
        if (
            hint is None
            or hint.confirmed
            or hint.agent != peer
            or self._routes is None
        ):
            return
        packet = self._codec.read_from_caller(message.data)
        if isinstance(packet, reasons.Failure):
            self._count(reasons.Drop.MALFORMED)
            return
        self._count(reasons.Retry.PEER_REFUSED)
        del self._hints[message.flow]
        made = hint.offers
        route = self._routes.find(message.flow.service_address)
        if route is None:
            self._drop_flow(packet, hint.service)
            return
        if not route.sends_to(hint.service):
            again = offers.Offers(made.began_at, made.is_first_copy)
            self._place_flow(packet, route, again)
            return
        made.record_decline(peer, message)
        if made.may_offer() and self._offer_flow(packet, hint.service, made):
            return
        shortest = made.take_shortest()
        if shortest is not None:
            hint.agent = shortest
            self._deliver_opening(packet, hint)
        elif made.may_refuse(self._now) and self._is_without_capacity(
            message.reason
        ):
            self._refuse_flow(packet)
        else:
            self._drop_flow(packet, hint.service)

    def _is_without_capacity(self, reason: messages.DeclineReason) -> bool:
        """Return whether no agent that may be running can take a flow."""
        no_capacity = reason in (
            messages.DeclineReason.TARGET_BUSY,
            messages.DeclineReason.TARGET_FULL,
        )
        return no_capacity and not self._agents.count_missing()

    def _drop_flow(self, packet: packets.Packet, service: str) -> None:
        """Drop a first packet; the caller sends a copy of it."""
        self._count(reasons.Drop.NO_TARGETS)
        self._log("flow_dropped", packet.flow, f"service={service}")

    def _handle_flow_waiting(
        self, flow: packets.FlowKey, agent: model.Endpoint
    ) -> None:
        hint = self._hints.get(flow)
        if hint is not None and hint.agent == agent:
            hint.offers.waiting = True

    def _refuse_flow(self, packet: packets.Packet) -> None:
        """Reset a flow that no target has capacity for before it opens."""
        self._count(reasons.Refusal.NO_CAPACITY)
        self._log("flow_refused", packet.flow, "reason=no_capacity")
        self._send_reset(packet.flow, packet.acknowledged)

    # Lookups

    def _handle_locate_reply(self, message: messages.LocateReply) -> None:
        found = self._finder.handle_reply(message)
        if found is not None:
            self._forward_queued(found)

    def _forward_queued(self, found: finder.FoundFlow) -> None:
        """Forward the packets that waited for the holder of their flow."""
        view = self._agents.find(found.holder)
        service = view.announcement.service if view is not None else ""
        began = offers.Offers(self._now)
        hint = offers.Hint(service, found.holder, True, self._now, began)
        self._store_hint(found.flow, hint)
        self._register_flow(found.flow, found.holder)
        for data in found.queued_packets:
            self._send(found.holder, messages.PacketDelivery(service, data))

    def _register_flow(
        self, flow: packets.FlowKey, holder: model.Endpoint
    ) -> None:
        """Register the holder of a flow so that other entries find it."""
        for address in self._agents.list_registrars(routing.hash_flow(flow)):
            self._send(address, messages.RegisterFlow(flow, holder))

    def _handle_flow_opened(
        self, flow: packets.FlowKey, agent: model.Endpoint
    ) -> None:
        found = self._finder.resolve(flow, agent)
        if found is not None:
            self._forward_queued(found)
            return
        hint = self._hints.get(flow)
        if hint is not None and not hint.confirmed:
            hint.agent = agent
            hint.confirmed = True
            self._register_flow(flow, agent)
            self._actions.append(
                actions.ObserveLatency(
                    metrics.Latency.FLOW_OPENING, self._now - hint.used_at
                )
            )

    def _handle_not_held(
        self, message: messages.FlowNotHeld, peer: model.Endpoint
    ) -> None:
        """Look up a flow again after its hint turned out to be stale."""
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
            self._finder.start(packet, (), frozenset({peer}))

    # Agents and hints

    def _handle_announcement(
        self, message: messages.Announcement, peer: model.Endpoint
    ) -> None:
        change = self._agents.handle_announcement(message, peer, self._now)
        if change is not agents.AnnouncementChange.NONE:
            self._log_agent(peer, message)
        if change is agents.AnnouncementChange.NEW:
            self._finder.query_new_agent(peer)

    def _store_hint(self, flow: packets.FlowKey, hint: offers.Hint) -> None:
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
        hint: offers.Hint,
    ) -> None:
        announcement = chosen.announcement
        age = self._now - chosen.last_seen_at
        self._log(
            "flow_offered",
            flow,
            f"agent={announcement.agent} service={hint.service}"
            f" offer={len(hint.offers.agents)} version={self.version}"
            f" flows={announcement.flows}+{chosen.placed_flows}"
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
