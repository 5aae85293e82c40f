"""Typed messages between entries, agents and nodes, and their codec.

Each message travels in one UDP datagram as a MessagePack array whose first
element is the tag of the type. New fields are added only at the end and with
a default, so that adjacent releases can communicate.
"""

import enum
import typing

import msgspec

from egretfork import decoding
from egretfork import model
from egretfork import reasons

MAX_DATAGRAM_BYTES = 60_000


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the messages between processes."""


class FlowKey(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Key of a flow: a caller's address and the service address it uses."""

    caller: model.Endpoint
    service_address: model.Endpoint


class Forwarded(Message, frozen=True, tag=1):
    """A caller's datagram, forwarded to the agent that owns the flow.

    Attributes:
        service: service to which the entry resolved the address.
        version: configuration version of the entry.
        flow: flow of the datagram.
        bucket: hash bucket of the flow.
        agents: agent addresses of the bucket, most preferred first.
        position: index of the receiver in ``agents``.
        hops: number of agents passed so far, limited to prevent loops.
        entry: address to which replies are sent.
        payload: datagram as received.
        admit: whether the receiver must admit the flow, because the sender
            found no owner.
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
    """A datagram for a caller, sent through an entry."""

    flow: FlowKey
    payload: bytes


class OwnerHint(Message, frozen=True, tag=3):
    """Tells the agents in a bucket's list which agent owns a flow.

    Attributes:
        flow: flow that is owned.
        owner: agent that owns the flow.
        admitted_incarnation: identifies the admission together with
            ``admitted_agent``. If a flow has two owners, the one with the
            smaller admission keeps it.
        admitted_agent: agent that admitted the flow; empty if unknown.
    """

    flow: FlowKey
    owner: model.Endpoint
    admitted_incarnation: int = 0
    admitted_agent: str = ""


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """An observation (RFC 7641) that a caller has registered on a flow."""

    token: bytes
    request: bytes
    observe_sequence: int


class ExchangeRecord(msgspec.Struct, frozen=True, array_like=True):
    """A request message and its answer, for duplicate detection.

    See RFC 7252, section 4.5. ``answer`` is empty while the request is in
    progress at the sender of the record.
    """

    message_id: int
    answer: bytes
    age_ms: int


class FlowRecord(msgspec.Struct, frozen=True, array_like=True):
    """State that another agent needs to take over a flow."""

    flow: FlowKey
    bucket: int
    admitted_incarnation: int
    admitted_agent: str
    sessions: tuple[SessionRecord, ...]
    exchanges: tuple[ExchangeRecord, ...]
    entries: tuple[model.Endpoint, ...]
    next_message_id: int


class FlowTransfer(Message, frozen=True, tag=4):
    """Transfers flows to another agent; resent until acknowledged."""

    service: str
    transfer_id: int
    sender: model.Endpoint
    records: tuple[FlowRecord, ...]


class FlowTransferAck(Message, frozen=True, tag=5):
    """Lists the flows of a transfer that the receiver now owns."""

    transfer_id: int
    accepted: tuple[FlowKey, ...]


class LoadHint(Message, frozen=True, tag=6):
    """State of an agent, sent to the other agents of its service.

    Attributes:
        admitted: flows admitted since the start of the agent.
        shedding: whether the agent currently rejects new flows.
        rate_limited: whether the agent accepts new flows only if no other
            does.
        entries: entries that sent to the agent most recently. A peer can
            reach callers through them if the entries it knows have failed.
        first_deadline_ms: time until the earliest deadline of the waiting
            requests, measured when the hint is sent.
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
    rate_limited: bool = False
    entries: tuple[model.Endpoint, ...] = ()
    first_deadline_ms: int = 0


class RequestBody(msgspec.Struct, frozen=True, array_like=True):
    """A request that waits for a slot and may be run by any agent.

    Attributes:
        request_id: unique ID assigned by the agent of the flow.
        origin: agent of the flow, to which the outcome is sent.
        idempotent: whether the request may run more than once.
        key: Request-Key of a non-idempotent request, otherwise empty.
        attempt: Request-Attempt.
        deadline_ms: time until the deadline when the message is sent.
        payload: CoAP message of the caller.
    """

    request_id: int
    origin: model.Endpoint
    idempotent: bool
    key: bytes
    attempt: int
    deadline_ms: int
    payload: bytes


class WorkPull(Message, frozen=True, tag=7):
    """Asks a peer for a waiting request, to fill a free slot."""

    pull_id: int
    puller: model.Endpoint


class WorkHandover(Message, frozen=True, tag=8):
    """Answers a pull with a request, or with none if none is available.

    ``waiting`` and ``first_deadline_ms`` describe the remaining queue, as in
    ``LoadHint``.
    """

    pull_id: int
    request: RequestBody | None
    waiting: int = 0
    first_deadline_ms: int = 0


class WorkAccepted(Message, frozen=True, tag=9):
    """Confirms that the receiver of a handover accepted the request."""

    request_id: int
    origin: model.Endpoint


class WorkResultKind(enum.StrEnum):
    """How a handed-over request ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class WorkResult(Message, frozen=True, tag=10):
    """Reports the outcome of a handed-over request to its origin."""

    request_id: int
    kind: WorkResultKind
    payload: bytes
    reason: str = ""


class WorkResultAck(Message, frozen=True, tag=11):
    """Acknowledges an outcome, which the executor may then discard."""

    request_id: int


class WorkCancel(Message, frozen=True, tag=12):
    """Cancels a handed-over request on behalf of the caller."""

    request_id: int
    origin: model.Endpoint


class RecordAction(enum.StrEnum):
    """Kind of record that an agent requests."""

    GRANT = "grant"
    VOID = "void"


class RecordState(enum.StrEnum):
    """State of a run record.

    ``UNAVAILABLE`` marks a request or refusal that contains no decision.
    ``SUPERSEDED`` is the reason of a replica that holds another decision.
    """

    GRANTED = "granted"
    VOID = "void"
    SUPERSEDED = "superseded"
    UNAVAILABLE = "unavailable"


class RunRecord(msgspec.Struct, frozen=True, array_like=True):
    """Decision about a Request-Key, written at most once per attempt."""

    key: bytes
    attempt: int
    state: RecordState
    executor: model.AgentIdentity
    executor_address: model.Endpoint
    age_ms: int = 0


class RecordRequest(Message, frozen=True, tag=13):
    """Requests a grant or a void record from the primary of a key."""

    service: str
    epoch: int
    query_id: int
    sender: model.Endpoint
    action: RecordAction
    record: RunRecord


class RecordReply(Message, frozen=True, tag=14):
    """Reply of the primary: a record held by a majority, or a refusal."""

    query_id: int
    epoch: int
    record: RunRecord
    reason: str = ""


class RecordReplicate(Message, frozen=True, tag=15):
    """Asks a replica to store a record in an epoch."""

    service: str
    epoch: int
    primary: model.AgentIdentity
    sequence: int
    sender: model.Endpoint
    record: RunRecord


class RecordReplicated(Message, frozen=True, tag=16):
    """Tells the primary that a replica stored or refused a record.

    ``reason`` is empty if the record was stored. If it is ``superseded``,
    ``record`` is the one that the replica holds.
    """

    epoch: int
    sequence: int
    member: model.AgentIdentity
    record: RunRecord
    reason: str = ""


class SealRequest(Message, frozen=True, tag=17):
    """Asks a member of the previous epoch to stop voting and send records."""

    service: str
    epoch: int
    sender: model.Endpoint
    offset: int = 0


class SealReply(Message, frozen=True, tag=18):
    """One page of a sealed member's records.

    Records of earlier epochs may have been lost for keys created before
    ``lost_before_ms``, a Unix time in milliseconds.
    """

    service: str
    epoch: int
    member: model.AgentIdentity
    offset: int
    total: int
    records: tuple[RunRecord, ...]
    lost_before_ms: int = 0


class StoredAnswerRequest(Message, frozen=True, tag=19):
    """Requests the stored answer of a granted request from its executor."""

    query_id: int
    sender: model.Endpoint
    key: bytes
    attempt: int


class StoredAnswerReply(Message, frozen=True, tag=20):
    """Reply with a stored answer, or ``pending`` while the request runs."""

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
    """Encode a message as the payload of a datagram."""
    return _ENCODER.encode(message)


def decode(data: bytes, peer: str) -> AnyMessage | reasons.Failure:
    """Decode a datagram received from ``peer``."""
    try:
        return typing.cast(AnyMessage, _DECODER.decode(data))
    except decoding.UNREADABLE as error:
        return reasons.Failure(
            step="decode wire message",
            peer=peer,
            reason=reasons.Drop.MALFORMED,
            detail=str(error),
        )
