"""Typed messages between entries, agents and nodes, and their codec.

Each message travels in one UDP datagram as a MessagePack array whose first
element is the tag of the type. Fields are added only at the end and with a
default, so that neighbouring releases understand each other.
"""

import enum
import typing

import msgspec

from egretfork import model
from egretfork import reasons

MAX_DATAGRAM_BYTES = 60_000


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of all messages between processes of the system."""


class FlowKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A caller's address and the service address that it uses."""

    caller: model.Endpoint
    service_address: model.Endpoint


class Forwarded(Message, frozen=True, tag=1):
    """A caller's datagram on its way to the agent that owns the flow.

    Attributes:
        service: service that the entry looked up for the address.
        version: configuration version of the entry.
        flow: the flow of the datagram.
        bucket: hash bucket of the flow.
        agents: agent addresses of the bucket, best first.
        position: index in ``agents`` of the receiver.
        hops: agents passed so far, against loops.
        entry: address to which replies go.
        payload: the datagram as received.
        admit: the sender found no owner; the receiver admits the flow.
    """

    service: str
    version: int
    flow: FlowKey
    bucket: int
    agents: tuple[model.Endpoint, ...]
    position: int
    hops: int
    entry: model.Endpoint
    payload: bytes
    admit: bool = False


class Returned(Message, frozen=True, tag=2):
    """A datagram for a caller, returned through an entry."""

    flow: FlowKey
    payload: bytes


class OwnerHint(Message, frozen=True, tag=3):
    """Tells the agents of a bucket's list who owns a flow.

    Attributes:
        flow: the flow.
        owner: agent that owns it.
        admitted_incarnation: with ``admitted_agent``, the admission; of
            two owners the one with the smaller admission keeps the flow.
        admitted_agent: agent that admitted the flow; empty if unknown.
    """

    flow: FlowKey
    owner: model.Endpoint
    admitted_incarnation: int = 0
    admitted_agent: str = ""


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """One observation (RFC 7641) that a caller holds on a flow."""

    token: bytes
    request: bytes
    observe_sequence: int


class ExchangeRecord(msgspec.Struct, frozen=True, array_like=True):
    """An answered message, kept to answer duplicates (RFC 7252, 4.5)."""

    message_id: int
    answer: bytes
    age_ms: int


class FlowRecord(msgspec.Struct, frozen=True, array_like=True):
    """All that another agent needs to continue a flow."""

    flow: FlowKey
    bucket: int
    admitted_incarnation: int
    admitted_agent: str
    sessions: tuple[SessionRecord, ...]
    exchanges: tuple[ExchangeRecord, ...]
    entries: tuple[model.Endpoint, ...]
    next_message_id: int


class FlowTransfer(Message, frozen=True, tag=4):
    """Hands flows to another agent; repeated until acknowledged."""

    service: str
    transfer_id: int
    sender: model.Endpoint
    records: tuple[FlowRecord, ...]


class FlowTransferAck(Message, frozen=True, tag=5):
    """Names the flows of a transfer that the receiver now owns."""

    transfer_id: int
    accepted: tuple[FlowKey, ...]


class LoadHint(Message, frozen=True, tag=6):
    """What an agent tells the other agents of its service about itself.

    Attributes:
        admitted: flows admitted since the start of the agent.
        shedding: the agent takes no new flows for now.
        paced: the agent takes new flows only if no other agent does.
        entries: entries that the agent heard last, through which a peer
            can reach callers when the entries it knows have died.
        first_deadline_ms: time left of the first waiting request when the
            hint is sent.
    """

    service: str
    agent: model.AgentIdentity
    address: model.Endpoint
    flows: int
    flow_limit: int
    free_slots: int
    waiting: int
    state: model.TargetState
    weight: float = 1.0
    admitted: int = 0
    shedding: bool = False
    paced: bool = False
    entries: tuple[model.Endpoint, ...] = ()
    first_deadline_ms: int = 0


class RequestBody(msgspec.Struct, frozen=True, array_like=True):
    """A request that waits for a slot and may be run by any agent.

    Attributes:
        request_id: unique number given by the agent of the flow.
        origin: agent of the flow; answers go there.
        idempotent: whether it may run more than once.
        key: Request-Key of a non-idempotent request, else empty.
        attempt: Request-Attempt.
        deadline_ms: time left when the message is sent.
        payload: the caller's CoAP message.
    """

    request_id: int
    origin: model.Endpoint
    idempotent: bool
    key: bytes
    attempt: int
    deadline_ms: int
    payload: bytes


class WorkPull(Message, frozen=True, tag=7):
    """An agent with a free slot asks a peer for a waiting request."""

    pull_id: int
    puller: model.Endpoint


class WorkHandover(Message, frozen=True, tag=8):
    """Answer to a pull: a request, or none if nothing waits.

    ``waiting`` and ``first_deadline_ms`` describe the queue that is left,
    as in ``LoadHint``.
    """

    pull_id: int
    request: RequestBody | None
    waiting: int = 0
    first_deadline_ms: int = 0


class WorkAccepted(Message, frozen=True, tag=9):
    """The receiver of a handover has the request in its charge."""

    request_id: int
    origin: model.Endpoint


class WorkResultKind(enum.StrEnum):
    """How a handed-over request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class WorkResult(Message, frozen=True, tag=10):
    """Outcome of a handed-over request, sent to its origin."""

    request_id: int
    kind: WorkResultKind
    payload: bytes
    reason: str = ""


class WorkResultAck(Message, frozen=True, tag=11):
    """The origin has the outcome; the executor may forget it."""

    request_id: int


class WorkCancel(Message, frozen=True, tag=12):
    """The caller no longer wants a handed-over request."""

    request_id: int
    origin: model.Endpoint


class RecordAction(enum.StrEnum):
    """What an agent asks of the run records."""

    GRANT = "grant"
    VOID = "void"


class RecordState(enum.StrEnum):
    """State of one run record."""

    GRANTED = "granted"
    VOID = "void"
    SUPERSEDED = "superseded"
    UNAVAILABLE = "unavailable"


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """Decision about one Request-Key; written once an attempt."""

    key: bytes
    attempt: int
    state: RecordState
    executor: model.AgentIdentity
    executor_address: model.Endpoint
    age_ms: int = 0


class RecordRequest(Message, frozen=True, tag=13):
    """Asks the primary of a key for a grant or a void record."""

    service: str
    epoch: int
    query_id: int
    sender: model.Endpoint
    action: RecordAction
    record: RunRecord


class RecordReply(Message, frozen=True, tag=14):
    """Answer of the primary, sent once a majority holds the record."""

    query_id: int
    epoch: int
    record: RunRecord
    reason: str = ""


class RecordReplicate(Message, frozen=True, tag=15):
    """Primary to replicas: hold this record in this epoch."""

    service: str
    epoch: int
    primary: model.AgentIdentity
    sequence: int
    sender: model.Endpoint
    record: RunRecord


class RecordReplicated(Message, frozen=True, tag=16):
    """Replica to primary: record held, or refused with a reason."""

    epoch: int
    sequence: int
    member: model.AgentIdentity
    record: RunRecord
    reason: str = ""


class SealRequest(Message, frozen=True, tag=17):
    """New member to members of the epoch before: stop and send records."""

    service: str
    epoch: int
    sender: model.Endpoint
    offset: int = 0


class SealReply(Message, frozen=True, tag=18):
    """One page of a sealed member's records.

    ``lost_before_ms`` is the key time before which the member knows that
    records of an earlier epoch were lost.
    """

    service: str
    epoch: int
    member: model.AgentIdentity
    offset: int
    total: int
    records: tuple[RunRecord, ...]
    lost_before_ms: int = 0


class StoredAnswerRequest(Message, frozen=True, tag=19):
    """Asks an executor for the stored answer of a granted request."""

    query_id: int
    sender: model.Endpoint
    key: bytes
    attempt: int


class StoredAnswerReply(Message, frozen=True, tag=20):
    """The stored answer; ``pending`` while the request still runs."""

    query_id: int
    found: bool
    pending: bool
    payload: bytes


AnyMessage = (
    Forwarded
    | Returned
    | OwnerHint
    | FlowTransfer
    | FlowTransferAck
    | LoadHint
    | WorkPull
    | WorkHandover
    | WorkAccepted
    | WorkResult
    | WorkResultAck
    | WorkCancel
    | RecordRequest
    | RecordReply
    | RecordReplicate
    | RecordReplicated
    | SealRequest
    | SealReply
    | StoredAnswerRequest
    | StoredAnswerReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[typing.Any] = msgspec.msgpack.Decoder(
    AnyMessage
)


def encode(message: Message) -> bytes:
    """Encode a message into the payload of one datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes, peer: str) -> AnyMessage | reasons.Failure:
    """Decode a datagram received from ``peer``."""
    try:
        return typing.cast(AnyMessage, _DECODER.decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return reasons.Failure(
            step="decode wire message",
            peer=peer,
            reason=reasons.Drop.MALFORMED,
            detail=str(error),
        )
