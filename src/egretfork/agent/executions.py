"""Granted runs of this agent and their stored answers."""

import collections
import dataclasses
import datetime
import itertools
import typing

from egretfork.agent import context as context_module
from egretfork import model
from egretfork import reasons
from egretfork import wire

EXECUTION_LIFETIME = datetime.timedelta(minutes=10)
MAX_EXECUTIONS = 65_536
MAX_ANSWERS = 4_096
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_SUBSCRIBERS = 16
SWEEP_INTERVAL = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a run or a request.

    Attributes:
        kind: answered, refused or unknown.
        payload: the target's answer if answered.
        reason: value of ``reasons.Refusal`` or
            ``reasons.UnknownOutcome``, empty if answered.
    """

    kind: wire.WorkResultKind
    payload: bytes = b""
    reason: str = ""


LOST_ANSWER = Outcome(
    wire.WorkResultKind.UNKNOWN, reason=reasons.UnknownOutcome.ANSWER_LOST
)
Listener = typing.Callable[[Outcome, datetime.timedelta], None]


@dataclasses.dataclass(slots=True)
class RunningExecution:
    """A run in progress, with the waiting requests and remote agents."""

    listeners: list[Listener]
    subscribers: dict[tuple[model.Endpoint, int], None]


class ExecutionTable:
    """Keys that this agent has run, kept as long as run records.

    A key in the table never runs again. It stays in the table for its whole
    lifetime; only its stored answer may be evicted earlier.
    """

    def __init__(self, context: context_module.Context) -> None:
        self._context = context
        self._running: dict[bytes, RunningExecution] = {}
        self._ended: dict[bytes, datetime.timedelta] = {}
        self._answers: collections.OrderedDict[bytes, Outcome] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0
        self._swept_at = datetime.timedelta()

    def __contains__(self, key: bytes) -> bool:
        return key in self._running or key in self._ended

    @property
    def is_full(self) -> bool:
        """Return whether no further key can be run."""
        return len(self._running) + len(self._ended) >= MAX_EXECUTIONS

    def begin(self, key: bytes) -> None:
        """Register the start of a run."""
        self._running[key] = RunningExecution([], {})

    def is_awaited(self, key: bytes) -> bool:
        """Return whether another request waits for the answer of a run."""
        running = self._running.get(key)
        return running is not None and bool(
            running.listeners or running.subscribers
        )

    def join(
        self, key: bytes, listener: Listener, now: datetime.timedelta
    ) -> None:
        """Call the listener with the outcome, now or when the run ends."""
        running = self._running.get(key)
        if running is not None:
            running.listeners.append(listener)
            return
        listener(self._answers.get(key, LOST_ANSWER), now)

    def end(
        self, key: bytes, outcome: Outcome, now: datetime.timedelta
    ) -> None:
        """Store the outcome of a run and notify all that wait for it."""
        running = self._running.pop(key, None)
        self._ended[key] = now
        self._store(key, outcome)
        if running is None:
            return
        for address, query_id in running.subscribers:
            self._reply(address, query_id, outcome)
        for listener in running.listeners:
            listener(outcome, now)

    def _store(self, key: bytes, outcome: Outcome) -> None:
        self._answers[key] = outcome
        self._answer_bytes += len(outcome.payload)
        while (
            len(self._answers) > MAX_ANSWERS
            or self._answer_bytes > MAX_ANSWER_BYTES
        ):
            _, dropped = self._answers.popitem(last=False)
            self._answer_bytes -= len(dropped.payload)

    def sweep(self, now: datetime.timedelta) -> None:
        """Remove expired keys, at most once a second."""
        if now - self._swept_at < SWEEP_INTERVAL:
            return
        self._swept_at = now
        cutoff = now - EXECUTION_LIFETIME
        expired = [
            key
            for key, _ in itertools.takewhile(
                lambda item: item[1] <= cutoff, self._ended.items()
            )
        ]
        for key in expired:
            del self._ended[key]
            outcome = self._answers.pop(key, None)
            if outcome is not None:
                self._answer_bytes -= len(outcome.payload)

    def handle_stored_answer_request(
        self, request: wire.StoredAnswerRequest
    ) -> None:
        """Send a stored answer, or subscribe the sender to a running one."""
        running = self._running.get(request.key)
        if running is None:
            outcome = self._answers.get(request.key, LOST_ANSWER)
            self._reply(request.sender, request.query_id, outcome)
            return
        if len(running.subscribers) < MAX_SUBSCRIBERS:
            running.subscribers[request.sender, request.query_id] = None
        self._context.send(
            request.sender,
            wire.StoredAnswerReply(
                request.query_id, found=False, pending=True, payload=b""
            ),
        )

    def _reply(
        self, address: model.Endpoint, query_id: int, outcome: Outcome
    ) -> None:
        found = outcome.kind is wire.WorkResultKind.ANSWERED
        self._context.send(
            address,
            wire.StoredAnswerReply(
                query_id, found=found, pending=False, payload=outcome.payload
            ),
        )
