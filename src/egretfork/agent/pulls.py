"""Pulls that request work from peers for free slots."""

import dataclasses
import datetime
import functools

from egretfork.agent import context as context_module
from egretfork.agent import peers
from egretfork import model
from egretfork import reasons
from egretfork import wire

PULL_RESEND = datetime.timedelta(milliseconds=50)
MAX_PULL_SENDS = 3
# Must be longer than the time for which the origin may answer a parked pull,
# so that the pull is still known when the answer arrives.
PULLER_PARK_LIFETIME = datetime.timedelta(milliseconds=700)


@dataclasses.dataclass(slots=True)
class Pull:
    """A request to a peer for work.

    ``max_transit`` is an upper bound of the transit time of the peer's answer,
    known once the peer has answered that no request is available. The pull
    is then parked: the peer may still hand a request over, but no slot is
    reserved for it.
    """

    peer: model.Endpoint
    requested_at: datetime.timedelta
    send_count: int = 0
    max_transit: datetime.timedelta | None = None


class Puller:
    """Unanswered and parked pulls of this agent."""

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._pulls: dict[int, Pull] = {}
        self.unanswered_count = 0

    def __contains__(self, pull_id: int) -> bool:
        return pull_id in self._pulls

    def pull(self, peer: peers.Peer, now: datetime.timedelta) -> None:
        """Send a pull to a peer."""
        peer.waiting = max(0, peer.waiting - 1)
        pull_id = self._context.next_id()
        address = peer.announcement.address
        self._pulls[pull_id] = Pull(address, now)
        self.unanswered_count += 1
        self._send_pull(pull_id, now)

    def pop_pull(self, pull_id: int) -> Pull | None:
        """Remove a pull and return it, ``None`` if it is unknown."""
        pull = self._pulls.pop(pull_id, None)
        if pull is None:
            return None
        if pull.max_transit is None:
            self.unanswered_count -= 1
        return pull

    def park(self, pull_id: int, now: datetime.timedelta) -> None:
        """Park a pull, since the peer has no request available."""
        pull = self._pulls.get(pull_id)
        if pull is None or pull.max_transit is not None:
            return
        pull.max_transit = now - pull.requested_at
        self.unanswered_count -= 1
        self._context.timers.schedule(
            now + PULLER_PARK_LIFETIME,
            lambda later: self._discard(pull_id),
        )

    def _discard(self, pull_id: int) -> None:
        self.pop_pull(pull_id)

    def _send_pull(self, pull_id: int, now: datetime.timedelta) -> None:
        pull = self._pulls.get(pull_id)
        if pull is None or pull.max_transit is not None:
            return
        if pull.send_count >= MAX_PULL_SENDS:
            self.pop_pull(pull_id)
            self._context.count(reasons.Retry.PEER_TIMEOUT)
            return
        pull.send_count += 1
        self._context.send(
            pull.peer, wire.WorkPull(pull_id, self._context.address)
        )
        self._context.timers.schedule(
            now + PULL_RESEND, functools.partial(self._send_pull, pull_id)
        )
