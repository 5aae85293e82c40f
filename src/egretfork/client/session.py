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

TRY_TIMEOUT = datetime.timedelta(seconds=1)
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

    def ask(self, build: collections.abc.Callable[[int], api.Query]) -> Result:
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
        turns = itertools.cycle(self._members)
        target = next(turns)
        certainty = Certainty.NOT_DONE
        failure = _describe(target, "no reply")
        while time.monotonic() < deadline:
            received = ask_member(context, target, build(next(self._numbers)))
            reply = convert_refusal(certainty, target, received)
            if not isinstance(
                reply, reasons.Failure | api.Redirect | api.OutcomeUnknown
            ):
                return reply
            if isinstance(reply, api.Redirect) and reply.leader:
                failure = _describe(target, f"leader is {reply.leader}")
                if reply.leader != target:
                    target = reply.leader
                    continue
            else:
                certainty, failure = _weigh(certainty, target, reply)
            target = next(turns)
            time.sleep(RETRY_PAUSE.total_seconds())
        return NoResult(certainty, failure)


def ask_member(
    context: "zmq.Context[zmq.Socket[bytes]]",
    member: model.Endpoint,
    query: api.Query,
) -> api.Reply | reasons.Failure:
    """Ask one member without following redirects."""
    with context.socket(zmq.DEALER) as dealer:
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.connect(f"tcp://{member}")
        dealer.send(api.encode(query))
        if not dealer.poll(int(TRY_TIMEOUT.total_seconds() * 1000)):
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


def _weigh(
    certainty: Certainty,
    member: model.Endpoint,
    reply: api.Redirect | api.OutcomeUnknown | reasons.Failure,
) -> tuple[Certainty, reasons.Failure]:
    """Return what is known after a try without a result."""
    if isinstance(reply, api.Redirect):
        return certainty, _describe(member, "no leader is known")
    if isinstance(reply, api.OutcomeUnknown):
        return Certainty.UNKNOWN, _describe(member, reply.detail)
    return Certainty.UNKNOWN, reply


def read_status(
    member: model.Endpoint,
) -> api.StatusRead | reasons.Failure:
    """Return the status of one member."""
    with zmq.Context() as context:
        reply = ask_member(context, member, api.Status(1))
    if isinstance(reply, api.StatusRead | reasons.Failure):
        return reply
    return _describe(member, f"unexpected reply {type(reply).__name__}")
