"""Typed messages of dissemination and their codec.

Each message travels in one UDP datagram of less than 1,200 bytes as a
MessagePack array whose first element is the tag of the type.
"""

import enum
import typing
import zlib

import msgspec

from egretfork import model
from egretfork import reasons
from egretfork import wire

MAX_MESSAGE_BYTES = 1_200
# IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28
MAX_UNPACKED_BYTES = 16 * 1024 * 1024

Item = typing.TypeVar("Item")


class Role(enum.StrEnum):
    """What a process that takes part in dissemination does."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class Order(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Position of a configuration: its version and record revision."""

    version: int = 0
    record_revision: int = 0

    def follows(self, other: "Order") -> bool:
        """Return whether both numbers moved forward, or one of them."""
        return (
            self != other
            and self.version >= other.version
            and self.record_revision >= other.record_revision
        )


NONE = Order()


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Newest known statement about one entry or control process."""

    name: str
    incarnation: int
    sequence: int
    address: model.Endpoint
    role: Role
    availability_zone: str
    left: bool = False

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Return the value by which the newer record is chosen."""
        return (self.incarnation, self.sequence, self.left)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An observer's statement that a target's agent is silent."""

    agent: str
    incarnation: int
    sequence: int
    observer: str


class RecordBatch(msgspec.Struct, frozen=True, array_like=True):
    """Announcements, nodes and suspicions that travel together."""

    targets: tuple[model.TargetAnnouncement, ...] = ()
    nodes: tuple[NodeRecord, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class Confirmed(msgspec.Struct, frozen=True, array_like=True):
    """Which nodes have confirmed a version.

    Attributes:
        version: version of the configuration.
        table: checksum of the sorted node names that number the bits.
        bits: one bit a node, in order of name.
    """

    version: int
    table: int
    bits: bytes


class Offer(wire.Message, frozen=True, tag=101):
    """The sender has this configuration, or this service's part of it."""

    scope: str
    order: Order
    checksum: int


class Piece(wire.Message, frozen=True, tag=102):
    """One piece of a compressed delta.

    Attributes:
        scope: service whose part it is, empty for all services.
        base: configuration that the delta applies to; 0 for none.
        order: configuration that results.
        checksum: checksum of the result.
        index: number of the piece, from 0.
        count: number of pieces.
        data: bytes of the piece.
    """

    scope: str
    base: Order
    order: Order
    checksum: int
    index: int
    count: int
    data: bytes


class PieceRequest(wire.Message, frozen=True, tag=103):
    """Asks for pieces of the delta from ``base`` to ``order``."""

    scope: str
    base: Order
    order: Order
    indexes: tuple[int, ...]


class Records(wire.Message, frozen=True, tag=104):
    """New announcements, pushed from node to node."""

    batch: RecordBatch


class PackedRecords(wire.Message, frozen=True, tag=105):
    """New announcements in compressed form."""

    data: bytes


class Digest(wire.Message, frozen=True, tag=106):
    """Summary of the sender's state, sent once a second to one peer."""

    order: Order
    root: int
    confirmed: Confirmed


class DigestReply(wire.Message, frozen=True, tag=107):
    """Answer to a digest.

    ``buckets`` holds the checksum of each bucket of records, and is empty
    if the records are equal.
    """

    order: Order
    buckets: bytes
    confirmed: Confirmed


class BucketHashes(msgspec.Struct, frozen=True, array_like=True):
    """Checksums of the cells of one bucket of records."""

    bucket: int
    cells: bytes


class BucketRequest(wire.Message, frozen=True, tag=108):
    """Asks for the records of the cells whose checksum differs."""

    buckets: tuple[BucketHashes, ...]


class CellRecords(wire.Message, frozen=True, tag=109):
    """All records of some cells, compressed; ``last`` ends an answer."""

    cells: tuple[int, ...]
    data: bytes
    last: bool


class Subscribe(wire.Message, frozen=True, tag=110):
    """An agent asks an entry for its service's part and confirms it.

    Attributes:
        service: the agent's service.
        agent: the agent.
        order: configuration in force on the agent.
        checksum: checksum of its part.
        records: checksum of the announcements it knows of the service.
        announcement: its own, until the entry is known to have it.
        entries_wanted: whether the agent knows too few entries.
    """

    service: str
    agent: model.AgentIdentity
    order: Order
    checksum: int
    records: int
    announcement: model.TargetAnnouncement | None = None
    entries_wanted: bool = False


class SubscribeReply(wire.Message, frozen=True, tag=111):
    """The entry's state of an agent's part.

    Attributes:
        order: configuration in force on the entry.
        checksum: checksum of the part.
        incarnation: of the newest announcement of the agent, 0 if none.
        sequence: of the newest announcement of the agent.
        entries: other entries, if wanted or ``full``.
        full: the agent is to use another entry if it can.
    """

    order: Order
    checksum: int
    incarnation: int
    sequence: int
    entries: tuple[model.Endpoint, ...]
    full: bool = False


class Unsubscribe(wire.Message, frozen=True, tag=112):
    """The agent uses another entry from now on."""

    agent: model.AgentIdentity


class Heartbeat(wire.Message, frozen=True, tag=113):
    """Tells an observer of the same service that the agent is alive.

    Attributes:
        agent: the sender.
        asks: the sender did not hear from the receiver for a while; the
            receiver answers at once.
    """

    agent: model.AgentIdentity
    asks: bool = False


AnyMessage = (
    Offer
    | Piece
    | PieceRequest
    | Records
    | PackedRecords
    | Digest
    | DigestReply
    | BucketRequest
    | CellRecords
    | Subscribe
    | SubscribeReply
    | Unsubscribe
    | Heartbeat
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
    AnyMessage
)
_BATCH_DECODER = msgspec.msgpack.Decoder(RecordBatch)


def encode(message: wire.Message) -> bytes:
    """Encode a message into the payload of one datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes, peer: str) -> AnyMessage | reasons.Failure:
    """Decode a datagram received from ``peer``."""
    try:
        return typing.cast(AnyMessage, _DECODER.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return _fail("decode gossip message", peer, str(error))


def pack_batch(batch: RecordBatch) -> bytes:
    """Compress a batch of records."""
    return zlib.compress(_ENCODER.encode(batch), 6)


def unpack_batch(data: bytes) -> RecordBatch | reasons.Failure:
    """Decompress and check a batch of records."""
    try:
        return _BATCH_DECODER.decode(decompress(data))
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        zlib.error,
        ValueError,
    ) as error:
        return _fail("unpack records", "", str(error))


def decompress(data: bytes) -> bytes:
    """Decompress at most ``MAX_UNPACKED_BYTES``.

    Raises:
        zlib.error: the data is not a zlib stream.
        ValueError: the stream is cut short or its content is too long.
    """
    stream = zlib.decompressobj()
    content = stream.decompress(data, MAX_UNPACKED_BYTES)
    if not stream.eof:
        raise ValueError("compressed data is cut short or too long")
    return content


def _fail(step: str, peer: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step=step, peer=peer, reason=reasons.Drop.MALFORMED, detail=detail
    )
