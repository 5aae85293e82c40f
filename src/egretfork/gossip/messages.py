"""Gossip messages and their codec.

Each message travels in one UDP datagram of less than 1,200 bytes as a
MessagePack array whose first element is the tag of the type.
"""

import enum
import typing
import zlib

import msgspec

from egretfork import decoding
from egretfork import model
from egretfork import reasons
from egretfork import wire

MAX_MESSAGE_BYTES = 1_200
# Size of the IPv4 and UDP headers of a datagram.
HEADER_BYTES = 28
MAX_UNPACKED_BYTES = 16 * 1024 * 1024

Item = typing.TypeVar("Item")


class Role(enum.StrEnum):
    """Role of a process that takes part in gossip."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class ConfigurationRevision(
    msgspec.Struct, frozen=True, order=True, array_like=True
):
    """Version and record revision, which together order configurations."""

    version: int = 0
    record_revision: int = 0

    def follows(self, other: "ConfigurationRevision") -> bool:
        """Return whether a number is higher and none is lower."""
        return (
            self != other
            and self.version >= other.version
            and self.record_revision >= other.record_revision
        )


INITIAL_REVISION = ConfigurationRevision()


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Membership record of one entry or control process."""

    name: str
    incarnation: int
    sequence: int
    address: model.Endpoint
    role: Role
    availability_zone: str
    left: bool = False

    @property
    def rank(self) -> tuple[int, int, bool]:
        """Return the key that orders records; the highest is newest."""
        return (self.incarnation, self.sequence, self.left)


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Report by an observer that it no longer hears from an agent."""

    agent: str
    incarnation: int
    sequence: int
    observer: str


class RecordBatch(msgspec.Struct, frozen=True, array_like=True):
    """Announcements, nodes and suspicions of one message."""

    targets: tuple[model.TargetAnnouncement, ...] = ()
    nodes: tuple[NodeRecord, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class Confirmed(msgspec.Struct, frozen=True, array_like=True):
    """Bit set of the nodes that have confirmed a version.

    Attributes:
        version: version of the configuration.
        names_checksum: checksum of the sorted node names.
        bits: one bit per node, in the order of the sorted names.
    """

    version: int
    names_checksum: int
    bits: bytes


class Offer(wire.Message, frozen=True, tag=101):
    """Offers a configuration, or one service's part of it."""

    scope: str
    revision: ConfigurationRevision
    checksum: int


class Piece(wire.Message, frozen=True, tag=102):
    """One piece of a compressed delta.

    Attributes:
        scope: service whose part the delta holds, empty for all services.
        base: configuration that the delta applies to;
            ``INITIAL_REVISION`` for a full transfer.
        revision: configuration that results.
        checksum: checksum of the result.
        index: index of the piece, from 0.
        count: number of pieces.
        data: bytes of the piece.
    """

    scope: str
    base: ConfigurationRevision
    revision: ConfigurationRevision
    checksum: int
    index: int
    count: int
    data: bytes


class PieceRequest(wire.Message, frozen=True, tag=103):
    """Requests pieces of the delta from ``base`` to ``revision``."""

    scope: str
    base: ConfigurationRevision
    revision: ConfigurationRevision
    indexes: tuple[int, ...]


class Records(wire.Message, frozen=True, tag=104):
    """Uncompressed records, pushed or sent as a reply."""

    batch: RecordBatch


class PackedRecords(wire.Message, frozen=True, tag=105):
    """Compressed records, pushed or sent as a reply."""

    data: bytes


class Digest(wire.Message, frozen=True, tag=106):
    """Summary of the sender's state, sent to one peer per second."""

    revision: ConfigurationRevision
    root: int
    confirmed: Confirmed


class DigestReply(wire.Message, frozen=True, tag=107):
    """Answer to a digest.

    ``buckets`` holds the checksum of each bucket of records. It is empty if
    the root checksums are equal.
    """

    revision: ConfigurationRevision
    buckets: bytes
    confirmed: Confirmed


class BucketHashes(msgspec.Struct, frozen=True, array_like=True):
    """Checksums of the cells of one bucket of records."""

    bucket: int
    cells: bytes


class BucketRequest(wire.Message, frozen=True, tag=108):
    """Requests the records of the cells whose checksums differ."""

    buckets: tuple[BucketHashes, ...]


class CellRecords(wire.Message, frozen=True, tag=109):
    """Compressed records; ``last`` marks the last message of a reply.

    ``cells`` lists the cells that the message holds completely.
    """

    cells: tuple[int, ...]
    data: bytes
    last: bool


class Subscribe(wire.Message, frozen=True, tag=110):
    """Starts or renews a subscription and confirms a configuration.

    Attributes:
        service: service of the agent.
        agent: name and incarnation of the agent.
        revision: current configuration of the agent.
        checksum: checksum of the service's part on the agent.
        records: checksum of the service's records on the agent.
        announcement: the agent's announcement, until the entry is known to
            have it.
        entries_wanted: whether the agent requests addresses of more entries.
    """

    service: str
    agent: model.AgentIdentity
    revision: ConfigurationRevision
    checksum: int
    records: int
    announcement: model.TargetAnnouncement | None = None
    entries_wanted: bool = False


class SubscribeReply(wire.Message, frozen=True, tag=111):
    """Reply to a subscription.

    Attributes:
        revision: current configuration of the entry.
        checksum: checksum of the service's part on the entry.
        incarnation: incarnation in the agent's newest announcement, 0 if the
            entry has none.
        sequence: sequence in the agent's newest announcement.
        entries: addresses of other entries, if wanted or ``full``.
        full: the entry has too many subscribers, and the agent should
            subscribe to another one.
    """

    revision: ConfigurationRevision
    checksum: int
    incarnation: int
    sequence: int
    entries: tuple[model.Endpoint, ...]
    full: bool = False


class Unsubscribe(wire.Message, frozen=True, tag=112):
    """Ends the subscription of an agent."""

    agent: model.AgentIdentity


class Heartbeat(wire.Message, frozen=True, tag=113):
    """Heartbeat or probe between agents of one service.

    Attributes:
        agent: the sender.
        reply_requested: set in a probe, which is sent when the receiver's
            heartbeat is late; the receiver replies at once.
    """

    agent: model.AgentIdentity
    reply_requested: bool = False


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
    except decoding.UNREADABLE as error:
        return _make_failure("decode gossip message", peer, str(error))


def pack_batch(batch: RecordBatch) -> bytes:
    """Compress a batch of records."""
    return zlib.compress(_ENCODER.encode(batch), 6)


def unpack_batch(data: bytes) -> RecordBatch | reasons.Failure:
    """Decompress and decode a batch of records."""
    try:
        return _BATCH_DECODER.decode(decompress(data))
    except (*decoding.UNREADABLE, zlib.error, ValueError) as error:
        return _make_failure("unpack records", "", str(error))


def decompress(data: bytes) -> bytes:
    """Decompress at most ``MAX_UNPACKED_BYTES``.

    Raises:
        zlib.error: the data is not a zlib stream.
        ValueError: the stream is truncated or its content is too long.
    """
    stream = zlib.decompressobj()
    content = stream.decompress(data, MAX_UNPACKED_BYTES)
    if not stream.eof:
        raise ValueError(
            "compressed data is truncated or exceeds the size limit"
        )
    return content


def _make_failure(step: str, peer: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step=step, peer=peer, reason=reasons.Drop.MALFORMED, detail=detail
    )
