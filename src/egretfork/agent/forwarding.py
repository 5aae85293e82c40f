"""Way of a caller's datagram along the agents of its bucket's list."""

import datetime
import typing

import aiocoap
from aiocoap.numbers import types

import msgspec

from egretfork import actions
from egretfork.agent import admission
from egretfork.agent import status as statuses
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import screening
from egretfork.agent import serving
from egretfork import coap
from egretfork import model
from egretfork import reasons
from egretfork import wire

LIST_LENGTH = 4
HINT_LIFETIME = datetime.timedelta(seconds=60)
# Hints that name each other must not keep a datagram for ever: beyond the
# first bound hints are not followed, beyond the last it is dropped.
MAX_HINT_HOPS = 5
MAX_ADMIT_HOPS = 14
HOP_LIMIT = 18
JOIN_WINDOW = datetime.timedelta(seconds=30)


class Ranking(typing.Protocol):
    """Order of a service's agents for each bucket."""

    def list_agents(
        self,
        service: model.Service,
        bucket: int,
        announcements: tuple[model.TargetAnnouncement, ...],
    ) -> tuple[model.Endpoint, ...]:
        """Return the agents of a bucket, best first; empty if unknown."""


class NoRanking:
    """Ranking that knows no lists; those of the entries are used."""

    def list_agents(
        self,
        service: model.Service,
        bucket: int,
        announcements: tuple[model.TargetAnnouncement, ...],
    ) -> tuple[model.Endpoint, ...]:
        """Return no agents."""
        return ()


class BucketLists:
    """Lists of agents, computed or as the entries last stated them."""

    def __init__(
        self,
        status: statuses.AgentStatus,
        ranking: Ranking,
        peers: admission.Admission,
    ) -> None:
        self._status = status
        self._ranking = ranking
        self._admission = peers
        self._stated: dict[int, tuple[model.Endpoint, ...]] = {}
        self._computed: dict[int, tuple[model.Endpoint, ...]] = {}

    def invalidate(self) -> None:
        """Compute the lists anew: targets or the declaration changed."""
        self._computed.clear()

    def note(self, forwarded: wire.Forwarded) -> None:
        """Remember the list that an entry stated."""
        self._stated[forwarded.bucket] = forwarded.agents[:LIST_LENGTH]

    def get(self, bucket: int) -> tuple[model.Endpoint, ...]:
        """Return the current list of a bucket."""
        known = self._computed.get(bucket)
        if known is None:
            known = self._computed[bucket] = self._compute(bucket)
        return known or self._stated.get(bucket, ())

    def _compute(self, bucket: int) -> tuple[model.Endpoint, ...]:
        service = self._status.service
        if service is None:
            return ()
        current = tuple(
            item
            for item in self._admission.announcements
            if item.state in admission.ABLE_STATES
        )
        return self._ranking.list_agents(service, bucket, current)

    def find_earlier(
        self, bucket: int, now: datetime.timedelta
    ) -> tuple[model.Endpoint, ...]:
        """Return the agents of a bucket before the latest changes.

        These are the agents that may own a flow which has not been moved
        yet: those that drain, and the list without those that joined.
        """
        service = self._status.service
        peers = self._admission.peers
        joined = {
            address
            for address, peer in peers.items()
            if now - peer.first_seen < JOIN_WINDOW
        }
        draining = {
            address
            for address, peer in peers.items()
            if peer.announcement.state is model.TargetState.DRAINING
        }
        if service is None or not (joined or draining):
            return ()
        earlier = tuple(
            item
            for item in self._admission.announcements
            if item.address not in joined
            and item.state not in admission.GONE_STATES
        )
        listed = self._ranking.list_agents(
            service, bucket, tuple(map(_restore, earlier))
        )
        return (*listed, *sorted(draining)[:LIST_LENGTH])


def _restore(
    announcement: model.TargetAnnouncement,
) -> model.TargetAnnouncement:
    return msgspec.structs.replace(announcement, state=model.TargetState.READY)


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
        self,
        forwarded: wire.Forwarded,
        now: datetime.timedelta,
        excluded: frozenset[model.Endpoint] = frozenset(),
    ) -> list[events.Signal] | wire.Forwarded:
        screened = self.screen(forwarded)
        if isinstance(screened, list):
            return screened
        agents = self._lists.get(forwarded.bucket)
        if not agents:
            agents = forwarded.agents[:LIST_LENGTH]
        chosen = self._admission.choose(agents, excluded)
        if chosen is None:
            reason = self._find_refusal()
            return self._server.refuse(forwarded, screened, reason, now)
        if chosen == self._status.address:
            return forwarded
        self._admission.note_placed(chosen, now)
        self.hints.put(forwarded.flow, chosen, now, admit=True)
        return self._send(forwarded, chosen, admit=True)

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
        if forwarded.hops >= MAX_ADMIT_HOPS:
            reason = self._find_refusal()
            return self._server.refuse(forwarded, screened, reason, now)
        own = frozenset((self._status.address,))
        return self._place(forwarded, now, own)

    def screen(
        self, forwarded: wire.Forwarded
    ) -> screening.ScreenedRequest | list[events.Signal]:
        """Check that a datagram without a flow is a request to serve."""
        peer = str(forwarded.flow.caller)
        message = coap.decode(forwarded.payload, peer)
        if isinstance(message, reasons.Failure):
            return [actions.CountReason(reasons.Drop.MALFORMED)]
        kind = coap.classify(message)
        if kind is coap.Kind.REQUEST:
            return screening.screen(
                forwarded, message, self._status.service_name
            )
        if kind is coap.Kind.PING:
            return answer_ping(forwarded, message)
        return [actions.CountReason(reasons.Drop.UNMATCHED_ANSWER)]


def answer_ping(
    forwarded: wire.Forwarded, message: aiocoap.Message
) -> list[events.Signal]:
    """Answer an empty confirmable message (RFC 7252, section 4.3)."""
    if message.mtype is not types.CON:
        return []
    reset = coap.encode(coap.build_empty(types.RST, message.mid))
    return screening.return_through((forwarded.entry,), forwarded.flow, reset)
