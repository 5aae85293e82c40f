"""Packets that a target was sent and may still return."""

import collections

import msgspec

from egretfork import model

MAX_PENDING_RETURNS = 4_096
MAX_TAG = 0xFFFF_FFFF


class PendingReturn(msgspec.Struct, frozen=True):
    """A delivered packet that the target may still return.

    Attributes:
        entry: entry that delivered the packet.
        opens: the packet opens a flow.
        trial: the target is tried as one of several possible holders.
    """

    entry: model.Endpoint
    opens: bool
    trial: bool


class PendingReturns:
    """Delivered packets by the tag that the target leaves in them."""

    def __init__(self) -> None:
        self._pending: collections.OrderedDict[int, PendingReturn] = (
            collections.OrderedDict()
        )
        self._next_tag = 1

    def add(self, pending: PendingReturn) -> int:
        """Add a packet and return its tag; the oldest one may be dropped."""
        tag = self._next_tag
        self._next_tag = tag % MAX_TAG + 1
        self._pending[tag] = pending
        if len(self._pending) > MAX_PENDING_RETURNS:
            self._pending.popitem(last=False)
        return tag

    def pop(self, tag: int) -> PendingReturn | None:
        """Remove and return a packet, ``None`` if its tag is not known."""
        return self._pending.pop(tag, None)
