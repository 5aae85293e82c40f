"""Queries of the operators' client to control, with leader redirects."""

import collections.abc
import dataclasses
import datetime
import enum
import itertools
import time

import zmq

from egretfork.control import api
from egretfork import model
from egretfork import reasons

TRY_TIMEOUT_MIN = datetime.timedelta(milliseconds=300)
TRY_TIMEOUT_MAX = datetime.timedelta(seconds=2)
RETRY_PAUSE = datetime.timedelta(milliseconds=200)
DEFAULT_TIMEOUT = datetime.timedelta(seconds=15)


class Certainty(enum.StrEnum):
    """What is known when a query got no result."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class NoResult:
    """No member gave a result in time."""

    certainty: Certainty
    failure: reasons.Failure


Result = api.Reply | NoResult
NO_RESULT = reasons.Failure | api.Redirect | api.OutcomeUnknown


class Session:
    """Asks the members in turn until one gives a result.

    A query is sent again as it is after a redirect, a timeout or an
    unknown outcome. That is safe for commands, which carry a request
    identity, and for reads.
    """

    def __init__(
        self,
        members: tuple[model.Endpoint, ...],
        timeout: datetime.timedelta = DEFAULT_TIMEOUT,
    ) -> None:
        self._members = members
        self._timeout = timeout
        self._numbers = itertools.count(1)

    def send_query(
        self, build: collections.abc.Callable[[int], api.Query]
    ) -> Result:
        """Send a query to the leader and return its result.

        Args:
            build: makes the query with a number.
        """
        with zmq.Context() as context:
            return self._ask_in_turn(context, build)

    def _ask_in_turn(
        self,
        context: "zmq.Context[zmq.Socket[bytes]]",
        build: collections.abc.Callable[[int], api.Query],
    ) -> Result:
        deadline = time.monotonic() + self._timeout.total_seconds()
        search = _Search(self._members)
        while time.monotonic() < deadline:
            query = build(next(self._numbers))
            received = ask_member(context, search.target, query, search.wait)
            reply = convert_refusal(search.certainty, search.target, received)
            if not isinstance(reply, NO_RESULT):
                return reply
            search.note(reply)
        return NoResult(search.certainty, search.failure)


class _Search:
    """Whom to ask next, how long to wait, and what is certain so far."""

    def __init__(self, members: tuple[model.Endpoint, ...]) -> None:
        self._turns = itertools.cycle(members)
        self.target = next(self._turns)
        self.wait = TRY_TIMEOUT_MIN
        self.certainty = Certainty.NOT_DONE
        self.failure = _describe(self.target, "no reply")

    def note(
        self, reply: api.Redirect | api.OutcomeUnknown | reasons.Failure
    ) -> None:
        """Choose the next member after a try without a result."""
        if isinstance(reply, api.Redirect) and reply.leader is not None:
            self.failure = _describe(self.target, f"leads: {reply.leader}")
            if reply.leader != self.target:
                self.target = reply.leader
                return
        else:
            self._weigh(reply)
        self.target = next(self._turns)
        time.sleep(RETRY_PAUSE.total_seconds())

    def _weigh(
        self, reply: api.Redirect | api.OutcomeUnknown | reasons.Failure
    ) -> None:
        if isinstance(reply, api.Redirect):
            self.failure = _describe(self.target, "no leader is known")
            return
        self.certainty = Certainty.UNKNOWN
        if isinstance(reply, api.OutcomeUnknown):
            self.failure = _describe(self.target, reply.detail)
            return
        self.failure = reply
        self.wait = min(2 * self.wait, TRY_TIMEOUT_MAX)


def ask_member(
    context: "zmq.Context[zmq.Socket[bytes]]",
    member: model.Endpoint,
    query: api.Query,
    wait: datetime.timedelta = TRY_TIMEOUT_MAX,
) -> api.Reply | reasons.Failure:
    """Ask one member without following redirects."""
    with context.socket(zmq.DEALER) as dealer:
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.connect(f"tcp://{member}")
        dealer.send(api.encode(query))
        if not dealer.poll(int(wait.total_seconds() * 1000)):
            return _describe(member, "no reply")
        return api.decode_reply(dealer.recv(), str(member))


def _describe(member: model.Endpoint, detail: str) -> reasons.Failure:
    return reasons.Failure(
        step="ask control",
        peer=str(member),
        reason=reasons.Retry.PEER_TIMEOUT,
        detail=detail,
    )


def convert_refusal(
    certainty: Certainty,
    member: model.Endpoint,
    reply: api.Reply | reasons.Failure,
) -> api.Reply | NoResult | reasons.Failure:
    """Return what a refusal means after the tries before it."""
    if not isinstance(reply, api.QueryRefused):
        return reply
    if reply.reason is reasons.ControlRefusal.STORAGE_FAILED:
        # Another member can still carry the query out.
        return api.Redirect(reply.number, None)
    if certainty is Certainty.UNKNOWN:
        # An earlier try may have had the effect that is refused now.
        return NoResult(certainty, _describe(member, reply.detail))
    return reply


def read_status(
    member: model.Endpoint,
) -> api.StatusRead | reasons.Failure:
    """Return the status of one member."""
    with zmq.Context() as context:
        reply = ask_member(context, member, api.Status(1))
    if isinstance(reply, api.StatusRead | reasons.Failure):
        return reply
    return _describe(member, f"unexpected reply {type(reply).__name__}")
