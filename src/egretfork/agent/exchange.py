"""CoAP client of the agent towards its target."""

import collections
import dataclasses
import datetime
import random

import aiocoap
from aiocoap.numbers import codes
from aiocoap.numbers import types

from egretfork import actions
from egretfork.agent import events
from egretfork.agent import flows
from egretfork.agent import retransmission
from egretfork import coap
from egretfork import reasons
from egretfork import wire

# The target runs on the same VM and acknowledges within milliseconds unless
# it is busy.
ACK_TIMEOUT = datetime.timedelta(milliseconds=500)
# The target answers with these codes only if it did not run the request.
REFUSAL_CODES = frozenset((codes.SERVICE_UNAVAILABLE, codes.TOO_MANY_REQUESTS))
TOKEN_BYTES = 6
MILLISECOND = datetime.timedelta(milliseconds=1)


class TargetLink:
    """Message IDs, tokens and retransmission towards the target.

    A message ID is reused only after EXCHANGE_LIFETIME; before that, the
    target may treat the message as a duplicate (RFC 7252, section 4.4).
    """

    def __init__(self, generator: random.Random) -> None:
        self._next_message_id = generator.randrange(flows.MESSAGE_ID_COUNT)
        self._next_token = generator.getrandbits(8 * TOKEN_BYTES)
        self._allocated_at: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self.unacknowledged = retransmission.RetransmissionQueue[int](
            ACK_TIMEOUT
        )

    def allocate_message_id(self, now: datetime.timedelta) -> int | None:
        """Return a free message ID, or ``None`` if all are in use."""
        while (
            self._allocated_at
            and now - self._allocated_at[0] >= flows.EXCHANGE_LIFETIME
        ):
            self._allocated_at.popleft()
        if len(self._allocated_at) >= flows.MESSAGE_ID_COUNT:
            return None
        self._allocated_at.append(now)
        message_id = self._next_message_id
        self._next_message_id = (message_id + 1) % flows.MESSAGE_ID_COUNT
        return message_id

    def allocate_token(self) -> bytes:
        """Return a token that is unique within the agent's incarnation."""
        self._next_token = (self._next_token + 1) % (1 << 8 * TOKEN_BYTES)
        return self._next_token.to_bytes(TOKEN_BYTES, "big")

    def send(
        self, message: aiocoap.Message, now: datetime.timedelta
    ) -> list[events.Signal]:
        """Send a confirmable message and schedule its retransmission."""
        payload = coap.encode(message)
        self.unacknowledged.add(message.mid, payload, now)
        return [actions.SendToTarget(payload)]


def send_empty(mtype: types.Type, message_id: int) -> actions.SendToTarget:
    """Return the action that sends an empty ACK or RST to the target."""
    return actions.SendToTarget(
        coap.encode(coap.build_empty_message(mtype, message_id))
    )


@dataclasses.dataclass(slots=True)
class Run:
    """A request in progress on the target.

    Attributes:
        run_id: ID assigned by the request engine.
        message_id: message ID of the request to the target.
        token: token of the request to the target.
        deadline: time at which the run is cancelled.
    """

    run_id: int
    message_id: int
    token: bytes
    deadline: datetime.timedelta


Signals = list[events.Signal]


class RunClient:
    """Runs requests on the target; each run yields one ``RunEnded``."""

    def __init__(self, link: TargetLink) -> None:
        self._link = link
        self._runs: dict[int, Run] = {}
        self._by_token: dict[bytes, Run] = {}
        self._by_message_id: dict[int, Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def start(
        self, start: events.StartRun, now: datetime.timedelta
    ) -> Signals:
        """Send a request to the target."""
        request = coap.decode(start.payload, "caller")
        message_id = self._link.allocate_message_id(now)
        if isinstance(request, reasons.Failure) or message_id is None:
            return [self._end_refused(start.run_id)]
        run = Run(
            start.run_id,
            message_id,
            self._link.allocate_token(),
            start.deadline,
        )
        self._runs[run.run_id] = run
        self._by_token[run.token] = run
        self._by_message_id[message_id] = run
        message = coap.copy_with_header(
            request, types.CON, message_id, run.token
        )
        remaining_ms = max((start.deadline - now) // MILLISECOND, 0)
        coap.set_uint_option(message, coap.DEADLINE_MS, remaining_ms)
        return [*self._link.send(message, now)]

    @staticmethod
    def _end_refused(run_id: int, payload: bytes = b"") -> events.RunEnded:
        refused = wire.WorkResultKind.REFUSED
        reason = reasons.Refusal.NO_CAPACITY.value
        return events.RunEnded(run_id, refused, payload, reason)

    def cancel(self, run_id: int) -> Signals:
        """Cancel a run by resetting its request message."""
        run = self._runs.get(run_id)
        if run is None:
            return []
        return [
            send_empty(types.RST, run.message_id),
            self._end_unknown(run, reasons.UnknownOutcome.CANCELLED),
        ]

    def receive_reset(self, message_id: int) -> Signals | None:
        """End the run whose request the target reset.

        Returns:
            Actions, or ``None`` if the message ID belongs to no run.
        """
        run = self._by_message_id.get(message_id)
        if run is None:
            return None
        return [self._end_unknown(run, reasons.UnknownOutcome.TARGET_LOST)]

    def receive_response(
        self, response: aiocoap.Message, payload: bytes
    ) -> Signals | None:
        """End the run that a response answers.

        Returns:
            Actions, or ``None`` if the response belongs to no run.
        """
        run = self._by_token.get(response.token)
        if run is None:
            return None
        if response.mtype is types.ACK and response.mid != run.message_id:
            return None
        self._remove(run)
        if response.code in REFUSAL_CODES:
            return [self._end_refused(run.run_id, payload)]
        answered = wire.WorkResultKind.ANSWERED
        return [events.RunEnded(run.run_id, answered, payload)]

    def expire(self, message_id: int) -> Signals | None:
        """End the run whose request was not acknowledged.

        Returns:
            Actions, or ``None`` if the message ID belongs to no run.
        """
        run = self._by_message_id.get(message_id)
        if run is None:
            return None
        return [self._end_unknown(run, reasons.UnknownOutcome.TARGET_TIMEOUT)]

    def advance(self, now: datetime.timedelta) -> Signals:
        """Cancel the runs whose deadline has passed."""
        overdue = [run for run in self._runs.values() if run.deadline <= now]
        result: Signals = []
        for run in overdue:
            result.append(send_empty(types.RST, run.message_id))
            result.append(
                self._end_unknown(run, reasons.UnknownOutcome.DEADLINE)
            )
        return result

    def _end_unknown(
        self, run: Run, reason: reasons.UnknownOutcome
    ) -> events.RunEnded:
        self._remove(run)
        unknown = wire.WorkResultKind.UNKNOWN
        return events.RunEnded(run.run_id, unknown, b"", reason.value)

    def _remove(self, run: Run) -> None:
        self._link.unacknowledged.remove(run.message_id)
        del self._runs[run.run_id]
        del self._by_token[run.token]
        del self._by_message_id[run.message_id]
