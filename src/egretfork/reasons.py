"""Reasons for refusals, drops and retries, and the failure value."""

import enum

import msgspec


class Drop(enum.StrEnum):
    """Why a datagram was discarded without a response."""

    UNKNOWN_ADDRESS = "unknown_address"
    MALFORMED = "malformed"
    UNTRUSTED_SENDER = "untrusted_sender"
    NO_CONFIGURATION = "no_configuration"
    NO_TARGETS = "no_targets"
    WRONG_SERVICE = "wrong_service"
    HOP_LIMIT = "hop_limit"
    DUPLICATE = "duplicate"
    UNMATCHED_ANSWER = "unmatched_answer"
    SEND_FAILED = "send_failed"
    TABLE_FULL = "table_full"


class Refusal(enum.StrEnum):
    """Why a request was refused before it was run."""

    NO_CAPACITY = "no_capacity"
    QUEUE_FULL = "queue_full"
    DRAINING = "draining"
    SHEDDING = "shedding"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    UNHEALTHY = "unhealthy"
    MISSING_REQUEST_KEY = "missing_request_key"
    BAD_OPTION = "bad_option"
    SUPERSEDED = "superseded"


class UnknownOutcome(enum.StrEnum):
    """Why the outcome of a request is unknown."""

    EXECUTOR_LOST = "executor_lost"
    TARGET_TIMEOUT = "target_timeout"
    TARGET_LOST = "target_lost"
    RECORDS_UNREACHABLE = "records_unreachable"
    RECORDS_LOST = "records_lost"
    RECORDS_FULL = "records_full"
    ANSWER_LOST = "answer_lost"
    KEY_EXPIRED = "key_expired"
    NOT_STARTED = "granted_not_started"
    DEADLINE = "deadline_while_running"
    CANCELLED = "cancelled_while_running"


class ControlRefusal(enum.StrEnum):
    """Why control refused an operator's command."""

    STALE_BASE = "stale_base"
    INVALID_DOCUMENT = "invalid_document"
    ADDRESS_IN_QUARANTINE = "address_in_quarantine"
    REQUEST_ID_REUSED = "request_id_reused"
    UNKNOWN_NODE = "unknown_node"
    UNKNOWN_MEMBER = "unknown_member"
    MEMBER_EXISTS = "member_exists"
    MEMBER_NOT_CAUGHT_UP = "member_not_caught_up"
    MEMBERS_CHANGING = "members_changing"
    QUORUM_AT_RISK = "quorum_at_risk"
    STORAGE_FAILED = "storage_failed"


class Retry(enum.StrEnum):
    """Why an attempt was repeated or sent to another peer."""

    PEER_TIMEOUT = "peer_timeout"
    PEER_REFUSED = "peer_refused"
    TARGET_REFUSED = "target_refused"
    IDEMPOTENT_FAILURE = "idempotent_failure"
    BUDGET_EXHAUSTED = "budget_exhausted"


Reason = Drop | Refusal | UnknownOutcome | Retry | ControlRefusal


class Failure(msgspec.Struct, frozen=True):
    """Failure returned instead of a result.

    Attributes:
        step: operation that failed, for example ``"decode"``.
        peer: address or name of the peer, empty if there is none.
        reason: short name of the cause.
        detail: description for operators.
    """

    step: str
    peer: str
    reason: str
    detail: str = ""

    def __str__(self) -> str:
        peer = f" with {self.peer}" if self.peer else ""
        detail = f": {self.detail}" if self.detail else ""
        return f"{self.step}{peer} failed ({self.reason}){detail}"
