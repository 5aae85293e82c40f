"""Agent's part of finding the holder of a flow for an entry.

Answers a change of the set of entries, after which most flows arrive at an
entry that has not seen them. An entry's link and processor are small and all
its flows arrive at once; the agents share this work by the flow's hash.
"""

import datetime

from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import basis
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork.passthrough import registry
from egretfork.passthrough import search
from egretfork import reasons

MAX_SEARCHES = 4_096


class Seeker(basis.Core):
    """Looks flows up in the register, and asks agents for the others."""

    def __init__(self, now: datetime.timedelta) -> None:
        super().__init__(now)
        self._register = registry.Register()
        self._searches: dict[packets.FlowKey, search.Search] = {}

    def handle_message(
        self,
        message: messages.Message,
        peer: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[actions.Action]:
        """Process a message of an entry or of an agent that was asked."""
        self._begin(now)
        match message:
            case messages.Register():
                self._register.put(message.flow, message.holder, now)
            case messages.Seek():
                self._seek(message, peer)
            case messages.Found():
                self._note_found(message, peer)
            case messages.Opened():
                self._note_holder(message.flow, peer)
            case messages.NotHeld():
                self._note_not_held(message, peer)
        return self._actions

    def handle_tick(self, now: datetime.timedelta) -> list[actions.Action]:
        """Conclude searches that had their time."""
        self._begin(now)
        self._register.expire(now)
        for flow, found in list(self._searches.items()):
            self._advance(flow, found)
        return self._actions

    def _seek(self, message: messages.Seek, entry: model.Endpoint) -> None:
        asked = messages.unpack_endpoints(message.agents)
        holder = self._register.find(message.flow)
        if holder in asked:
            answer = messages.Sought(message.flow, message.number, holder)
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
            set(asked),
            message.data,
        )
        find = messages.Find(message.flow, message.services)
        for agent in asked:
            self._send(agent, find)
        detail = f"asked={len(asked)} for={entry}"
        self._log("search_started", message.flow, detail)

    def _note_found(
        self, message: messages.Found, peer: model.Endpoint
    ) -> None:
        if message.holding is messages.Holding.YES:
            self._note_holder(message.flow, peer)
            return
        found = self._searches.get(message.flow)
        if found is not None:
            found.note_reply(peer, message.holding)
            self._advance(message.flow, found)

    def _note_not_held(
        self, message: messages.NotHeld, peer: model.Endpoint
    ) -> None:
        found = self._searches.get(message.flow)
        if found is not None:
            found.note_not_held(peer)
            self._advance(message.flow, found)

    def _note_holder(
        self, flow: packets.FlowKey, holder: model.Endpoint
    ) -> None:
        found = self._searches.pop(flow, None)
        if found is None:
            return
        self._register.put(flow, holder, self._now)
        self._log("search_settled", flow, f"agent={holder}")
        answer = messages.Sought(flow, found.number, holder)
        self._send(found.entry, answer)

    def _advance(self, flow: packets.FlowKey, found: search.Search) -> None:
        if not found.is_complete(self._now):
            return
        if found.unsure and not found.tried:
            self._try_unsure(found)
        else:
            self._conclude(flow, found)

    def _try_unsure(self, found: search.Search) -> None:
        """Let the unsure agents try the packet on their targets."""
        found.tried = True
        deliver = messages.Deliver("", found.packet, trial=True)
        for agent in sorted(found.unsure):
            self._send(agent, deliver)

    def _conclude(self, flow: packets.FlowKey, found: search.Search) -> None:
        del self._searches[flow]
        detail = f"unsure={len(found.unsure)} silent={len(found.unanswered)}"
        self._log("search_failed", flow, detail)
        nowhere = found.is_held_nowhere()
        answer = messages.Sought(flow, found.number, nowhere=nowhere)
        self._send(found.entry, answer)
