"""Requests held back until their flow has moved to a successor."""

import collections
import dataclasses
import datetime

from egretfork import wire

# A transfer takes a few round trips between availability zones. A request
# that waits longer is served or refused by the current owner.
MAX_HOLD_TIME = datetime.timedelta(seconds=1)
MAX_HELD_REQUESTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """A caller's datagram and the time at which it is released."""

    forwarded: wire.Forwarded
    due: datetime.timedelta


class HeldRequests:
    """Held datagrams by flow, bounded in number."""

    def __init__(self) -> None:
        self._held: collections.OrderedDict[
            wire.FlowKey, list[HeldRequest]
        ] = collections.OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def hold(self, forwarded: wire.Forwarded, now: datetime.timedelta) -> bool:
        """Hold a datagram; return ``False`` if there is no room."""
        if self._count >= MAX_HELD_REQUESTS:
            return False
        request = HeldRequest(forwarded, now + MAX_HOLD_TIME)
        self._held.setdefault(forwarded.flow, []).append(request)
        self._count += 1
        return True

    def take(self, key: wire.FlowKey) -> list[wire.Forwarded]:
        """Remove and return the datagrams of a flow."""
        requests = self._held.pop(key, [])
        self._count -= len(requests)
        return [request.forwarded for request in requests]

    def take_due(self, now: datetime.timedelta) -> list[wire.Forwarded]:
        """Remove and return datagrams of flows held for too long."""
        result: list[wire.Forwarded] = []
        while self._held:
            key = next(iter(self._held))
            if self._held[key][0].due > now:
                break
            result += self.take(key)
        return result
