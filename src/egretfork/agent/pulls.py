"""Pulls by which an agent with a free slot asks peers for work."""

import dataclasses
import datetime
import functools

from egretfork.agent import context as contexts
from egretfork.agent import peers
from egretfork import model
from egretfork import reasons
from egretfork import wire

PULL_RESEND = datetime.timedelta(milliseconds=50)
MAX_PULL_SENDS = 3
# Longer than the origin uses a parked pull, so that it is still known here.
PARK_LIFETIME = datetime.timedelta(milliseconds=700)


@dataclasses.dataclass(slots=True)
class Pull:
    """A question for work to a peer.

    ``transit`` is the time that the peer's message may have travelled; it
    is known once the peer has answered that nothing waits. The pull is
    then parked: the peer may still hand a request over, but no slot is
    kept free for it.
    """

    peer: model.Endpoint
    asked: datetime.timedelta
    sends: int = 0
    transit: datetime.timedelta | None = None


class Puller:
    """Pulls in progress and parked pulls of this agent."""

    def __init__(self, context: contexts.Context) -> None:
        self._context = context
        self._pulls: dict[int, Pull] = {}
        self.unanswered = 0

    def __contains__(self, pull_id: int) -> bool:
        return pull_id in self._pulls

    def pull(self, peer: peers.Peer, now: datetime.timedelta) -> None:
        """Ask a peer for a waiting request."""
        peer.waiting = max(0, peer.waiting - 1)
        pull_id = self._context.next_id()
        address = peer.announcement.address
        self._pulls[pull_id] = Pull(address, now)
        self.unanswered += 1
        self._send_pull(pull_id, now)

    def take(self, pull_id: int) -> Pull | None:
        """Forget a pull and return it, ``None`` if it is not known."""
        pull = self._pulls.pop(pull_id, None)
        if pull is None:
            return None
        if pull.transit is None:
            self.unanswered -= 1
        return pull

    def park(self, pull_id: int, now: datetime.timedelta) -> None:
        """Note that nothing waits at the peer now."""
        pull = self._pulls.get(pull_id)
        if pull is None or pull.transit is not None:
            return
        pull.transit = now - pull.asked
        self.unanswered -= 1
        self._context.timers.schedule(
            now + PARK_LIFETIME,
            lambda later: self._drop(pull_id),
        )

    def _drop(self, pull_id: int) -> None:
        self.take(pull_id)

    def _send_pull(self, pull_id: int, now: datetime.timedelta) -> None:
        pull = self._pulls.get(pull_id)
        if pull is None or pull.transit is not None:
            return
        if pull.sends >= MAX_PULL_SENDS:
            self.take(pull_id)
            self._context.count(reasons.Retry.PEER_TIMEOUT)
            return
        pull.sends += 1
        self._context.send(
            pull.peer, wire.WorkPull(pull_id, self._context.address)
        )
        self._context.timers.schedule(
            now + PULL_RESEND, functools.partial(self._send_pull, pull_id)
        )
