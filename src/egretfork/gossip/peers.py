"""Selection of the peers that a node exchanges state with."""

import datetime
import random

from egretfork.gossip import store
from egretfork import model

REPLY_TIMEOUT = datetime.timedelta(seconds=2)
UNREACHABLE_TIME = datetime.timedelta(seconds=5)


class PeerSelector:
    """Selects random peers from known nodes and seeds.

    Peers that did not reply are avoided for ``UNREACHABLE_TIME``.
    """

    def __init__(
        self,
        own_address: model.Endpoint,
        seeds: tuple[model.Endpoint, ...],
        generator: random.Random,
    ) -> None:
        self._own_address = own_address
        self._seeds = seeds
        self._generator = generator
        self._addresses: list[model.Endpoint] = [
            seed for seed in seeds if seed != own_address
        ]
        self._awaited: dict[model.Endpoint, datetime.timedelta] = {}
        self._unreachable: dict[model.Endpoint, datetime.timedelta] = {}

    def refresh(self, records: store.Store) -> None:
        """Update the addresses from the known nodes."""
        addresses = {
            record.address
            for record in records.nodes.values()
            if not record.left
        }
        addresses.update(self._seeds)
        addresses.discard(self._own_address)
        self._addresses = sorted(addresses)

    def choose(
        self, count: int, now: datetime.timedelta
    ) -> list[model.Endpoint]:
        """Return up to ``count`` random peers.

        Unreachable peers are chosen only if no other is known.
        """
        self._update_unreachable(now)
        if not self._unreachable:
            size = min(count, len(self._addresses))
            return self._generator.sample(self._addresses, size)
        reachable = [
            address
            for address in self._addresses
            if address not in self._unreachable
        ]
        candidates = reachable or self._addresses
        size = min(count, len(candidates))
        return self._generator.sample(candidates, size)

    def expect_reply(
        self, peer: model.Endpoint, now: datetime.timedelta
    ) -> None:
        """Record that a reply from a peer is expected."""
        self._awaited.setdefault(peer, now)

    def record_reply(self, peer: model.Endpoint) -> None:
        """Record a reply, which shows that the peer is reachable."""
        self._awaited.pop(peer, None)
        self._unreachable.pop(peer, None)

    def _update_unreachable(self, now: datetime.timedelta) -> None:
        for peer, since in list(self._awaited.items()):
            if now - since >= REPLY_TIMEOUT:
                del self._awaited[peer]
                self._unreachable[peer] = now
        for peer, since in list(self._unreachable.items()):
            if now - since >= UNREACHABLE_TIME:
                del self._unreachable[peer]
