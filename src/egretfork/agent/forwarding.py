"""Way of a caller's datagram along the agents of its bucket's list."""

import datetime

import aiocoap
from aiocoap.numbers import types

import msgspec

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import screening
from egretfork.agent import serving
from egretfork.agent import status as statuses
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork.routing import ranking
from egretfork.routing import table as table_module
from egretfork import wire

HINT_LIFETIME = datetime.timedelta(seconds=60)
# Hints that name each other must not keep a datagram for ever: beyond the
# first bound hints are not followed, beyond the last it is dropped.
MAX_HINT_HOPS = 5
MAX_ADMIT_HOPS = 10
HOP_LIMIT = 18
JOIN_WINDOW = datetime.timedelta(seconds=30)


class BucketLists:
    """Lists of agents, computed from the announcements as entries do.

    Until the own target is among the announcements, the lists that
    entries state are used.
    """

    def __init__(
        self, status: statuses.AgentStatus, peers: admission.Admission
    ) -> None:
        self._status = status
        self._admission = peers
        self._stated: dict[int, tuple[model.Endpoint, ...]] = {}
        self._current: table_module.ServiceTable | None = None
        self._earlier: table_module.ServiceTable | None = None
        self._joined: frozenset[model.Endpoint] = frozenset()

    def update(self) -> None:
        """Compute the lists anew: targets or the declaration changed."""
        service = self._status.service
        announcements = self._admission.announcements
        own = self._status.address
        is_known = any(item.address == own for item in announcements)
        self._current = None
        self._earlier = None
        if service is not None and is_known:
            targets = table_module.select_targets(service, announcements)
            self._current = table_module.ServiceTable(service, targets)

    def note(self, forwarded: wire.Forwarded) -> None:
        """Remember the list that an entry stated."""
        self._stated[forwarded.bucket] = forwarded.agents[
            : ranking.LIST_LENGTH
        ]

    def get(self, bucket: int) -> tuple[model.Endpoint, ...]:
        """Return the current list of a bucket."""
        if self._current is None:
            return self._stated.get(bucket, ())
        return self._current.find_agents(bucket)

    def has_fallen_out(self, bucket: int) -> bool:
        """Tell whether this agent is not on the list of a bucket."""
        if self._current is None:
            return False
        agents = self._current.find_agents(bucket)
        return self._status.address not in agents

    def find_earlier(
        self, bucket: int, now: datetime.timedelta
    ) -> tuple[model.Endpoint, ...]:
        """Return the agents of a bucket before the latest changes.

        These are the agents that may own a flow which has not been moved
        yet: the list without the agents that joined lately, and with those
        that drain at their usual places.
        """
        peers = self._admission.peers
        joined = frozenset(
            address
            for address, peer in peers.items()
            if now - peer.first_seen < JOIN_WINDOW
        )
        is_draining = any(
            peer.announcement.state is model.TargetState.DRAINING
            for peer in peers.values()
        )
        service = self._status.service
        if service is None or not (joined or is_draining):
            return ()
        if self._earlier is None or joined != self._joined:
            self._joined = joined
            self._earlier = self._build_earlier(service, joined)
        return self._earlier.find_agents(bucket)

    def _build_earlier(
        self, service: model.Service, joined: frozenset[model.Endpoint]
    ) -> table_module.ServiceTable:
        targets = (
            msgspec.structs.replace(item, state=model.TargetState.READY)
            for item in table_module.select_targets(
                service, self._admission.announcements
            )
            if item.address not in joined
            and item.state not in admission.GONE_STATES
        )
        return table_module.ServiceTable(service, targets)


class Forwarder:
    """Passes on the datagrams of flows that this agent does not own."""

    def __init__(
        self,
        status: statuses.AgentStatus,
        table: flows.FlowTable,
        server: serving.CallerServer,
        peers: admission.Admission,
        lists: BucketLists,
    ) -> None:
        self._status = status
        self._table = table
        self._server = server
        self._admission = peers
        self._lists = lists
        limit = flows.MESSAGE_ID_COUNT
        self.hints = flows.HintCache(limit, HINT_LIFETIME)

    def pass_on(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        """Find the next agent for a datagram.

        Returns:
            Actions, or the datagram if this agent is to admit its flow.
        """
        if forwarded.hops >= HOP_LIMIT:
            return [actions.CountReason(reasons.Drop.HOP_LIMIT)]
        hint = self.hints.get(forwarded.flow, now)
        if hint is not None and forwarded.hops < MAX_HINT_HOPS:
            if not self._admission.is_gone(hint.owner):
                admit = hint.admit
                return self._send(forwarded, hint.owner, admit=admit)
        if forwarded.admit:
            return self._admit_here(forwarded, now)
        return self._walk(forwarded, now)

    def note_list(self, forwarded: wire.Forwarded) -> None:
        """Remember the list that an entry stated."""
        self._lists.note(forwarded)

    def relay(
        self, forwarded: wire.Forwarded, agent: model.Endpoint
    ) -> list[events.Signal]:
        """Pass a datagram to an agent that has its request in progress."""
        if forwarded.hops >= MAX_HINT_HOPS:
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

    def _walk(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        own = self._status.address
        extended = forwarded
        following = self._find_following(forwarded)
        if following is None:
            listed = forwarded.agents
            extra = tuple(
                agent
                for agent in self._lists.find_earlier(forwarded.bucket, now)
                if agent not in listed and agent != own
            )
            agents = tuple(dict.fromkeys((*listed, *extra)))
            extended = msgspec.structs.replace(forwarded, agents=agents)
            following = self._find_following(extended)
        if following is not None:
            agent = extended.agents[following]
            return self._send(extended, agent, following)
        return self._place(extended, now)

    def _find_following(self, forwarded: wire.Forwarded) -> int | None:
        start = forwarded.position + 1
        candidates = enumerate(forwarded.agents[start:], start)
        return next(
            (
                position
                for position, agent in candidates
                if agent != self._status.address
                and not self._admission.is_gone(agent)
            ),
            None,
        )

    def _place(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        screened = self.screen(forwarded)
        if isinstance(screened, list):
            return screened
        chosen = self._admission.choose(self._find_list(forwarded))
        if chosen is None:
            reason = self._find_refusal()
            return self._server.refuse(forwarded, screened, reason, now)
        if chosen == self._status.address:
            return forwarded
        return self._place_at(forwarded, chosen, now)

    def _place_at(
        self,
        forwarded: wire.Forwarded,
        agent: model.Endpoint,
        now: datetime.timedelta,
    ) -> list[events.Signal]:
        self._admission.note_placed(agent, now)
        self.hints.put(forwarded.flow, agent, now, admit=True)
        return self._send(forwarded, agent, admit=True)

    def _find_list(
        self, forwarded: wire.Forwarded
    ) -> tuple[model.Endpoint, ...]:
        listed = self._lists.get(forwarded.bucket)
        return listed or forwarded.agents[: ranking.LIST_LENGTH]

    def _find_refusal(self) -> reasons.Refusal:
        if self._status.is_leaving:
            return reasons.Refusal.DRAINING
        if self._status.shedding:
            return reasons.Refusal.SHEDDING
        return reasons.Refusal.NO_CAPACITY

    def _admit_here(
        self, forwarded: wire.Forwarded, now: datetime.timedelta
    ) -> list[events.Signal] | wire.Forwarded:
        screened = self.screen(forwarded)
        if isinstance(screened, list):
            return screened
        if self._admission.can_admit():
            return forwarded
        own = frozenset((self._status.address,))
        agents = self._find_list(forwarded)
        other = self._admission.choose(agents, own, beyond_pace=False)
        if other is not None and forwarded.hops < MAX_ADMIT_HOPS:
            return self._place_at(forwarded, other, now)
        if self._admission.can_admit(beyond_pace=True):
            return forwarded
        reason = self._find_refusal()
        return self._server.refuse(forwarded, screened, reason, now)

    def screen(
        self, forwarded: wire.Forwarded
    ) -> screening.ScreenedRequest | list[events.Signal]:
        """Check that a datagram without a flow is a request to serve."""
        peer = str(forwarded.flow.caller)
        message = coap.decode(forwarded.payload, peer)
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        kind = coap.classify(message)
        if kind is coap.MessageKind.REQUEST:
            return screening.screen(
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
    return screening.return_through((forwarded.entry,), forwarded.flow, reset)
