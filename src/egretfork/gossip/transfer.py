"""Transfer of configurations in pieces: serving and pulling."""

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
    """The current configuration and a limited number of earlier ones.

    The configurations share the objects of unchanged services, so that the
    earlier ones take little memory.
    """

    def __init__(self) -> None:
        self.newest = deltas.EMPTY
        self.revision = messages.INITIAL_REVISION
        self.checksum = deltas.compute_checksum(deltas.EMPTY)
        self._configurations: collections.OrderedDict[
            messages.ConfigurationRevision, model.Configuration
        ] = collections.OrderedDict({messages.INITIAL_REVISION: deltas.EMPTY})
        self._pieces: collections.OrderedDict[
            tuple[
                str,
                messages.ConfigurationRevision,
                messages.ConfigurationRevision,
            ],
            tuple[messages.Piece, ...],
        ] = collections.OrderedDict()

    def advance(self, configuration: model.Configuration) -> bool:
        """Make a configuration the newest if it follows the current one."""
        revision = deltas.get_revision(configuration)
        if not revision.follows(self.revision):
            return False
        self.newest = configuration
        self.revision = revision
        self.checksum = deltas.compute_checksum(configuration)
        self._configurations[revision] = configuration
        while len(self._configurations) > deltas.HISTORY_LENGTH:
            # The first item is the empty configuration, which is kept as the
            # base of full transfers.
            del self._configurations[list(self._configurations)[1]]
        return True

    def get(
        self, revision: messages.ConfigurationRevision
    ) -> model.Configuration | None:
        """Return a configuration that is still kept."""
        return self._configurations.get(revision)

    def make_pieces(
        self,
        scope: str,
        base: messages.ConfigurationRevision,
        revision: messages.ConfigurationRevision,
    ) -> tuple[messages.Piece, ...]:
        """Return the pieces of the delta from ``base`` to ``revision``.

        If ``revision`` is no longer kept, the delta leads to the newest
        configuration. If ``base`` is not kept, the pieces hold the full
        configuration.
        """
        if (
            revision not in self._configurations
            or revision == messages.INITIAL_REVISION
        ):
            revision = self.revision
        if base not in self._configurations or scope:
            base = messages.INITIAL_REVISION
        key = (scope, base, revision)
        if key not in self._pieces:
            self._pieces[key] = deltas.make_pieces(
                scope,
                self._configurations[base],
                self._configurations[revision],
            )
            while len(self._pieces) > CACHED_TRANSFERS:
                self._pieces.popitem(last=False)
        return self._pieces[key]

    def serve(
        self, request: messages.PieceRequest
    ) -> tuple[messages.Piece, ...]:
        """Return the requested pieces if a newer revision is known."""
        if not self.revision.follows(request.base):
            return ()
        pieces = self.make_pieces(
            request.scope, request.base, request.revision
        )
        return tuple(
            pieces[index]
            for index in request.indexes[:WINDOW_PIECES]
            if 0 <= index < len(pieces)
        )


@dataclasses.dataclass(slots=True)
class Pull:
    """State of one transfer in progress.

    Attributes:
        peer: process that serves the pieces.
        base: configuration to which the delta is to be applied.
        revision: configuration that is pulled.
        checksum: checksum of the result, ``None`` until the first piece
            arrives.
        count: number of pieces, 0 until the first piece arrives.
        pieces: data of the received pieces by index.
        requested: indexes that were requested and have not arrived.
        requested_at: time of the last request.
        attempts: consecutive requests without any piece.
    """

    peer: model.Endpoint
    base: messages.ConfigurationRevision
    revision: messages.ConfigurationRevision
    requested_at: datetime.timedelta
    checksum: int | None = None
    count: int = 0
    pieces: dict[int, bytes] = dataclasses.field(default_factory=dict)
    requested: set[int] = dataclasses.field(default_factory=set)
    attempts: int = 0

    def list_missing(self) -> tuple[int, ...]:
        """Return the indexes of the next pieces to request."""
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
        """Return whether a transfer is in progress."""
        return self._pull is not None

    def start(
        self,
        peer: model.Endpoint,
        current: messages.ConfigurationRevision,
        revision: messages.ConfigurationRevision,
        now: datetime.timedelta,
    ) -> messages.PieceRequest | None:
        """Start to pull a newer configuration unless a pull is in progress."""
        if self._pull is not None or not revision.follows(current):
            return None
        self._pull = Pull(
            peer=peer, base=current, revision=revision, requested_at=now
        )
        return self._make_request(now)

    def add(
        self, piece: messages.Piece, current: messages.ConfigurationRevision
    ) -> bytes | None:
        """Store a piece; return the joined data once complete."""
        pull = self._pull
        if not is_acceptable(piece, current):
            return None
        if piece.count == 1:
            return piece.data
        if pull is None:
            return None
        if (pull.base, pull.revision) != (piece.base, piece.revision):
            if pull.pieces:
                return None
            pull.base, pull.revision = piece.base, piece.revision
        if pull.checksum is None:
            pull.checksum, pull.count = piece.checksum, piece.count
        if (pull.checksum, pull.count) != (piece.checksum, piece.count):
            return None
        pull.pieces[piece.index] = piece.data
        pull.requested.discard(piece.index)
        pull.attempts = 0
        if len(pull.pieces) < pull.count:
            return None
        return b"".join(pull.pieces[index] for index in range(pull.count))

    def drop_superseded(
        self, revision: messages.ConfigurationRevision
    ) -> None:
        """Drop a transfer that the given current revision makes useless.

        This includes a delta whose base is no longer the current revision.
        """
        pull = self._pull
        if pull is None:
            return
        if (
            pull.base != messages.INITIAL_REVISION
            or not pull.revision.follows(revision)
        ):
            self._pull = None

    def abandon(self) -> None:
        """Drop the transfer, for example after its data proved invalid."""
        self._pull = None

    def poll(
        self, now: datetime.timedelta
    ) -> tuple[model.Endpoint, messages.PieceRequest] | None:
        """Return the next request, if one is due.

        After ``MAX_ATTEMPTS`` requests without a piece the transfer is
        dropped; a later digest starts one from another peer.
        """
        pull = self._pull
        if pull is None:
            return None
        delay = RESEND_DELAY if pull.count else FIRST_RESEND_DELAY
        if pull.requested and now - pull.requested_at < delay:
            return None
        if pull.requested:
            pull.attempts += 1
        if pull.attempts >= MAX_ATTEMPTS:
            self._pull = None
            return None
        return pull.peer, self._make_request(now)

    def _make_request(self, now: datetime.timedelta) -> messages.PieceRequest:
        pull = self._pull
        assert pull is not None
        missing = pull.list_missing()
        pull.requested = set(missing)
        pull.requested_at = now
        return messages.PieceRequest(
            scope=self._scope,
            base=pull.base,
            revision=pull.revision,
            indexes=missing,
        )


def is_acceptable(
    piece: messages.Piece, current: messages.ConfigurationRevision
) -> bool:
    """Return whether a piece leads to a revision newer than ``current``."""
    return (
        0 <= piece.index < piece.count <= MAX_PIECES
        and piece.revision.follows(current)
        and piece.base in (current, messages.INITIAL_REVISION)
    )


def assemble(
    data: bytes, old: model.Configuration
) -> model.Configuration | reasons.Failure:
    """Decode packed data and apply it to the current configuration.

    A full transfer is applied to the empty configuration instead.
    """
    delta = deltas.unpack(data)
    if isinstance(delta, reasons.Failure):
        return delta
    if delta.base == messages.INITIAL_REVISION:
        return deltas.apply(deltas.EMPTY, delta)
    return deltas.apply(old, delta)


def make_rejection_event(
    peer: model.Endpoint, failure: reasons.Failure
) -> actions.LogEvent:
    """Return the log event for a configuration that was rejected."""
    return actions.LogEvent(
        event="configuration_rejected",
        step=failure.step,
        peer=str(peer),
        detail=f"{failure.reason}: {failure.detail}",
    )
