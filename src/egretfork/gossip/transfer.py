"""Transfer of configurations: serving pieces and pulling them."""

import collections
import dataclasses
import datetime

from egretfork import actions
from egretfork.gossip import deltas
from egretfork.gossip import messages
from egretfork import model
from egretfork import reasons

WINDOW_PIECES = 2
RESEND_DELAY = datetime.timedelta(seconds=2)
FIRST_RESEND_DELAY = datetime.timedelta(seconds=1)
MAX_ATTEMPTS = 4
MAX_PIECES = 8_192
CACHED_TRANSFERS = 8


class History:
    """The configuration in force and those before it.

    Unchanged services are the same objects in all of them, so that the
    older ones cost little memory.
    """

    def __init__(self) -> None:
        self.newest = deltas.EMPTY
        self.order = messages.NONE
        self.checksum = deltas.compute_checksum(deltas.EMPTY)
        self._past: collections.OrderedDict[
            messages.Order, model.Configuration
        ] = collections.OrderedDict({messages.NONE: deltas.EMPTY})
        self._pieces: collections.OrderedDict[
            tuple[str, messages.Order, messages.Order],
            tuple[messages.Piece, ...],
        ] = collections.OrderedDict()

    def advance(self, configuration: model.Configuration) -> bool:
        """Put a configuration in force if it follows the newest one."""
        order = deltas.get_order(configuration)
        if not order.follows(self.order):
            return False
        self.newest = configuration
        self.order = order
        self.checksum = deltas.compute_checksum(configuration)
        self._past[order] = configuration
        while len(self._past) > deltas.HISTORY_LENGTH:
            # The empty configuration, which is the first, is kept as the
            # base of the whole state.
            del self._past[list(self._past)[1]]
        return True

    def get(self, order: messages.Order) -> model.Configuration | None:
        """Return a kept configuration."""
        return self._past.get(order)

    def make_pieces(
        self, scope: str, base: messages.Order, order: messages.Order
    ) -> tuple[messages.Piece, ...]:
        """Return the delta from ``base`` to ``order``, or the nearest.

        If the order is no longer kept, the result leads to the newest
        configuration; if the base is not kept, it is the whole state.
        """
        if order not in self._past or order == messages.NONE:
            order = self.order
        if base not in self._past or scope:
            base = messages.NONE
        key = (scope, base, order)
        if key not in self._pieces:
            self._pieces[key] = deltas.make_pieces(
                scope, self._past[base], self._past[order]
            )
            while len(self._pieces) > CACHED_TRANSFERS:
                self._pieces.popitem(last=False)
        return self._pieces[key]

    def serve(
        self, request: messages.PieceRequest
    ) -> tuple[messages.Piece, ...]:
        """Return the requested pieces of something newer than its base."""
        if not self.order.follows(request.base):
            return ()
        pieces = self.make_pieces(request.scope, request.base, request.order)
        return tuple(
            pieces[index]
            for index in request.indexes[:WINDOW_PIECES]
            if 0 <= index < len(pieces)
        )


@dataclasses.dataclass(slots=True)
class Pull:
    """One transfer that is under way.

    Attributes:
        peer: where the pieces come from.
        base: configuration to which the delta is to be applied.
        order: configuration that is pulled.
        checksum: of the result, ``None`` until the first piece arrived.
        count: number of pieces, 0 until the first piece arrived.
        pieces: data of the pieces received.
        asked: pieces that were requested and have not arrived.
        asked_at: when they were requested.
        attempts: requests in a row without any piece.
    """

    peer: model.Endpoint
    base: messages.Order
    order: messages.Order
    asked_at: datetime.timedelta
    checksum: int | None = None
    count: int = 0
    pieces: dict[int, bytes] = dataclasses.field(default_factory=dict)
    asked: set[int] = dataclasses.field(default_factory=set)
    attempts: int = 0

    def list_missing(self) -> tuple[int, ...]:
        """Return the next pieces to request."""
        if not self.count:
            return (0,)
        missing = (
            index for index in range(self.count) if index not in self.pieces
        )
        return tuple(index for index, _ in zip(missing, range(WINDOW_PIECES)))


class Puller:
    """Pulls at most one configuration at a time, for one scope."""

    def __init__(self, scope: str) -> None:
        self._scope = scope
        self._pull: Pull | None = None

    @property
    def active(self) -> bool:
        """Return whether a transfer is under way."""
        return self._pull is not None

    def start(
        self,
        peer: model.Endpoint,
        own: messages.Order,
        order: messages.Order,
        now: datetime.timedelta,
    ) -> messages.PieceRequest | None:
        """Begin to pull a newer configuration unless one is being pulled."""
        if self._pull is not None or not order.follows(own):
            return None
        self._pull = Pull(peer=peer, base=own, order=order, asked_at=now)
        return self._ask(now)

    def add(self, piece: messages.Piece, own: messages.Order) -> bytes | None:
        """Take over a piece; return the whole data once complete."""
        pull = self._pull
        if not is_acceptable(piece, own):
            return None
        if piece.count == 1:
            return piece.data
        if pull is None:
            return None
        if (pull.base, pull.order) != (piece.base, piece.order):
            if pull.pieces:
                return None
            pull.base, pull.order = piece.base, piece.order
        if pull.checksum is None:
            pull.checksum, pull.count = piece.checksum, piece.count
        if (pull.checksum, pull.count) != (piece.checksum, piece.count):
            return None
        pull.pieces[piece.index] = piece.data
        pull.asked.discard(piece.index)
        pull.attempts = 0
        if len(pull.pieces) < pull.count:
            return None
        return b"".join(pull.pieces[index] for index in range(pull.count))

    def finish(self, order: messages.Order) -> None:
        """Drop a transfer that the configuration in force overtook.

        A delta to an older base no longer applies either.
        """
        pull = self._pull
        if pull is None:
            return
        if pull.base != messages.NONE or not pull.order.follows(order):
            self._pull = None

    def abandon(self) -> None:
        """Drop the transfer, for example after a damaged result."""
        self._pull = None

    def poll(
        self, now: datetime.timedelta
    ) -> tuple[model.Endpoint, messages.PieceRequest] | None:
        """Return the next request, if one is due.

        After several requests without a piece the peer is given up, and the
        next digest leads to another one.
        """
        pull = self._pull
        if pull is None:
            return None
        delay = RESEND_DELAY if pull.count else FIRST_RESEND_DELAY
        if pull.asked and now - pull.asked_at < delay:
            return None
        if pull.asked:
            pull.attempts += 1
        if pull.attempts >= MAX_ATTEMPTS:
            self._pull = None
            return None
        return pull.peer, self._ask(now)

    def _ask(self, now: datetime.timedelta) -> messages.PieceRequest:
        pull = self._pull
        assert pull is not None
        missing = pull.list_missing()
        pull.asked = set(missing)
        pull.asked_at = now
        return messages.PieceRequest(
            scope=self._scope,
            base=pull.base,
            order=pull.order,
            indexes=missing,
        )


def is_acceptable(piece: messages.Piece, own: messages.Order) -> bool:
    """Return whether a piece can lead forward from ``own``."""
    return (
        0 <= piece.index < piece.count <= MAX_PIECES
        and piece.order.follows(own)
        and piece.base in (own, messages.NONE)
    )


def assemble(
    data: bytes, old: model.Configuration
) -> model.Configuration | reasons.Failure:
    """Apply packed data to the configuration in force.

    The whole state does not build on the configuration in force.
    """
    delta = deltas.unpack(data)
    if isinstance(delta, reasons.Failure):
        return delta
    if delta.base == messages.NONE:
        return deltas.apply(deltas.EMPTY, delta)
    return deltas.apply(old, delta)


def make_rejection_event(
    peer: model.Endpoint, failure: reasons.Failure
) -> actions.LogEvent:
    """Return the log line about data that was not put in force."""
    return actions.LogEvent(
        event="configuration_rejected",
        step=failure.step,
        peer=str(peer),
        detail=f"{failure.reason}: {failure.detail}",
    )
