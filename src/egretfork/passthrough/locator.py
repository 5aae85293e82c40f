"""Location of flow holders by agents, on behalf of entries.

Needed after a change of the set of entries, when most flows arrive at an
entry that has not seen them. An entry's link and processor are small and all
its flows arrive at once; the agents share this work by the flow's hash.
"""

import datetime

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import base
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import registry
from egretfork.passthrough import search
from egretfork import reasons

MAX_SEARCHES = 4_096


class FlowLocator(base.Core):
    """Looks flows up in the registry and queries agents for the rest."""

    def __init__(self, now: datetime.timedelta) -> None:
        super().__init__(now)
        self._registry = registry.FlowRegistry()
        self._searches: dict[packets.FlowKey, search.Search] = {}

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of an entry or a reply of a queried agent."""
        self._begin(now)
        match message:
            case messages.RegisterFlow():
                self._registry.put(message.flow, message.holder, now)
            case messages.LocateRequest():
                self._start_search(message, peer)
            case messages.FlowQueryReply():
                self._handle_query_reply(message, peer)
            case messages.FlowOpened():
                self._resolve_search(message.flow, peer)
            case messages.FlowNotHeld():
                self._handle_not_held(message, peer)
        return self._actions

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Advance searches and remove expired registrations."""
        self._begin(now)
        self._registry.expire(now)
        for flow, flow_search in list(self._searches.items()):
            self._advance(flow, flow_search)
        return self._actions

    def _start_search(
        self, message: messages.LocateRequest, entry: model.Endpoint
    ) -> None:
        candidates = messages.unpack_endpoints(message.agents)
        holder = self._registry.find(message.flow)
        if holder in candidates:
            answer = messages.LocateReply(message.flow, message.number, holder)
            self._send(entry, answer)
            return
        if len(self._searches) >= MAX_SEARCHES:
            self._count(reasons.Drop.TABLE_FULL)
            return
        self._searches[message.flow] = search.Search(
            entry,
            message.number,
            message.services,
            self._now,
            set(candidates),
            message.data,
        )
        query = messages.FlowQuery(message.flow, message.services)
        for agent in candidates:
            self._send(agent, query)
        detail = f"asked={len(candidates)} for={entry}"
        self._log("search_started", message.flow, detail)

    def _handle_query_reply(
        self, message: messages.FlowQueryReply, peer: model.Endpoint
    ) -> None:
        if message.holding is messages.Holding.YES:
            self._resolve_search(message.flow, peer)
            return
        flow_search = self._searches.get(message.flow)
        if flow_search is not None:
            flow_search.record_reply(peer, message.holding)
            self._advance(message.flow, flow_search)

    def _handle_not_held(
        self, message: messages.FlowNotHeld, peer: model.Endpoint
    ) -> None:
        flow_search = self._searches.get(message.flow)
        if flow_search is not None:
            flow_search.record_not_held(peer)
            self._advance(message.flow, flow_search)

    def _resolve_search(
        self, flow: packets.FlowKey, holder: model.Endpoint
    ) -> None:
        flow_search = self._searches.pop(flow, None)
        if flow_search is None:
            return
        self._registry.put(flow, holder, self._now)
        self._log("search_settled", flow, f"agent={holder}")
        answer = messages.LocateReply(flow, flow_search.number, holder)
        self._send(flow_search.entry, answer)

    def _advance(
        self, flow: packets.FlowKey, flow_search: search.Search
    ) -> None:
        if not flow_search.is_complete(self._now):
            return
        if flow_search.unsure and not flow_search.trial_sent:
            self._send_trials(flow_search)
        else:
            self._conclude(flow, flow_search)

    def _send_trials(self, flow_search: search.Search) -> None:
        """Send the packet to the unsure agents for a trial delivery."""
        flow_search.trial_sent = True
        delivery = messages.PacketDelivery("", flow_search.packet, trial=True)
        for agent in sorted(flow_search.unsure):
            self._send(agent, delivery)

    def _conclude(
        self, flow: packets.FlowKey, flow_search: search.Search
    ) -> None:
        del self._searches[flow]
        detail = (
            f"unsure={len(flow_search.unsure)}"
            f" silent={len(flow_search.unanswered)}"
        )
        self._log("search_failed", flow, detail)
        unresolved = flow_search.list_unresolved()
        answer = messages.LocateReply(
            flow,
            flow_search.number,
            held_nowhere=not unresolved and not flow_search.skipped,
            unresolved=messages.pack_endpoints(unresolved),
            skipped=messages.pack_endpoints(sorted(flow_search.skipped)),
        )
        self._send(flow_search.entry, answer)
