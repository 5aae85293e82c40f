"""Client session with control that follows leader redirects."""

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

ATTEMPT_TIMEOUT_MIN = datetime.timedelta(milliseconds=300)
ATTEMPT_TIMEOUT_MAX = datetime.timedelta(seconds=2)
RETRY_DELAY = datetime.timedelta(milliseconds=200)
DEFAULT_TIMEOUT = datetime.timedelta(seconds=15)


class Certainty(enum.StrEnum):
    """Whether a query without a result may have taken effect."""

    NOT_DONE = "not_done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class NoResult:
    """No member returned a result before the timeout."""

    certainty: Certainty
    failure: reasons.Failure


Result = api.Reply | NoResult
INCONCLUSIVE_REPLY = reasons.Failure | api.Redirect | api.OutcomeUnknown


class Session:
    """Sends a query to the members in turn until one returns a result.

    A query is resent after a redirect, a timeout or an unknown outcome. This
    is safe for reads, and for commands because they carry a request ID.
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
            build: creates the query with the given number.
        """
        with zmq.Context() as context:
            return self._query_members(context, build)

    def _query_members(
        self,
        context: "zmq.Context[zmq.Socket[bytes]]",
        build: collections.abc.Callable[[int], api.Query],
    ) -> Result:
        deadline = time.monotonic() + self._timeout.total_seconds()
        search = _LeaderSearch(self._members)
        while time.monotonic() < deadline:
            query = build(next(self._numbers))
            received = query_member(
                context, search.next_member, query, search.attempt_timeout
            )
            reply = convert_refusal(
                search.certainty, search.next_member, received
            )
            if not isinstance(reply, INCONCLUSIVE_REPLY):
                return reply
            search.record_reply(reply)
        return NoResult(search.certainty, search.failure)


class _LeaderSearch:
    """Next member to query, its timeout, and what is known so far."""

    def __init__(self, members: tuple[model.Endpoint, ...]) -> None:
        self._member_cycle = itertools.cycle(members)
        self.next_member = next(self._member_cycle)
        self.attempt_timeout = ATTEMPT_TIMEOUT_MIN
        self.certainty = Certainty.NOT_DONE
        self.failure = _build_failure(self.next_member, "no reply")

    def record_reply(
        self, reply: api.Redirect | api.OutcomeUnknown | reasons.Failure
    ) -> None:
        """Select the next member after an attempt without a result."""
        if isinstance(reply, api.Redirect) and reply.leader is not None:
            self.failure = _build_failure(
                self.next_member, f"redirected to leader {reply.leader}"
            )
            if reply.leader != self.next_member:
                self.next_member = reply.leader
                return
        else:
            self._record_failure(reply)
        self.next_member = next(self._member_cycle)
        time.sleep(RETRY_DELAY.total_seconds())

    def _record_failure(
        self, reply: api.Redirect | api.OutcomeUnknown | reasons.Failure
    ) -> None:
        if isinstance(reply, api.Redirect):
            self.failure = _build_failure(
                self.next_member, "no leader is known"
            )
            return
        self.certainty = Certainty.UNKNOWN
        if isinstance(reply, api.OutcomeUnknown):
            self.failure = _build_failure(self.next_member, reply.detail)
            return
        self.failure = reply
        self.attempt_timeout = min(
            2 * self.attempt_timeout, ATTEMPT_TIMEOUT_MAX
        )


def query_member(
    context: "zmq.Context[zmq.Socket[bytes]]",
    member: model.Endpoint,
    query: api.Query,
    attempt_timeout: datetime.timedelta = ATTEMPT_TIMEOUT_MAX,
) -> api.Reply | reasons.Failure:
    """Send a query to one member without following redirects."""
    with context.socket(zmq.DEALER) as dealer:
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.connect(f"tcp://{member}")
        dealer.send(api.encode(query))
        if not dealer.poll(int(attempt_timeout.total_seconds() * 1000)):
            return _build_failure(member, "no reply")
        return api.decode_reply(dealer.recv(), str(member))


def _build_failure(member: model.Endpoint, detail: str) -> reasons.Failure:
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
    """Replace a refusal that does not conclude the query."""
    if not isinstance(reply, api.QueryRefused):
        return reply
    if reply.reason is reasons.ControlRefusal.STORAGE_FAILED:
        # Another member may still be able to execute the query.
        return api.Redirect(reply.number, None)
    if certainty is Certainty.UNKNOWN:
        # An earlier attempt may have taken effect and caused the refusal.
        return NoResult(certainty, _build_failure(member, reply.detail))
    return reply


def read_status(
    member: model.Endpoint,
) -> api.StatusRead | reasons.Failure:
    """Return the status of one member."""
    with zmq.Context() as context:
        reply = query_member(context, member, api.Status(1))
    if isinstance(reply, api.StatusRead | reasons.Failure):
        return reply
    return _build_failure(member, f"unexpected reply {type(reply).__name__}")
