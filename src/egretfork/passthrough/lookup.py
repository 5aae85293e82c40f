"""State of an entry's lookup of the agent that holds a flow."""

import datetime

import msgspec

from egretfork import model

# An agent replies within REPLY_TIMEOUT and TRIAL_TIMEOUT of `search` plus a
# few round trips.
REPLY_TIMEOUT = datetime.timedelta(milliseconds=200)
# Limit on the agents that are asked in turn to locate one flow.
MAX_ATTEMPTS = 2
# A failed lookup is repeated no sooner than this after its newest request;
# until then, packets of the flow are dropped.
FAILURE_HOLD_TIME = datetime.timedelta(milliseconds=180)
# A failed lookup is discarded after this time.
FAILURE_MEMORY_TIME = datetime.timedelta(seconds=2)
MAX_QUEUED_PACKETS = 32


class FlowLookup(msgspec.Struct):
    """A lookup that is in progress or has failed recently.

    Attributes:
        services: services that may hold the flow; empty if any may.
        requested_at: time of the newest request.
        acknowledged: sequence number that the caller expects next.
        cleared: agents that surely do not hold the flow. A flow stays where
            it was opened, so they need not be asked again.
        skipped: agents that are unsure and whose target is of none of the
            services.
        asked: candidates of the newest request.
        likely_only: the newest request covers only the agents at which the
            flow was most likely opened.
        number: number of the newest request; a negative reply to an earlier
            one is ignored.
        attempts: number of agents that were asked to locate the flow.
        queued_packets: packets that arrived during the lookup.
        failed: no agent is known to hold the flow.
    """

    services: tuple[str, ...]
    requested_at: datetime.timedelta
    acknowledged: int
    cleared: frozenset[model.Endpoint] = frozenset()
    skipped: frozenset[model.Endpoint] = frozenset()
    asked: frozenset[model.Endpoint] = frozenset()
    likely_only: bool = True
    number: int = 0
    attempts: int = 0
    queued_packets: list[bytes] = msgspec.field(default_factory=list)
    failed: bool = False

    def queue_packet(self, data: bytes) -> bool:
        """Queue a packet; return whether there was room."""
        if len(self.queued_packets) >= MAX_QUEUED_PACKETS:
            return False
        self.queued_packets.append(data)
        return True

    def begin_attempt(
        self, asked: frozenset[model.Endpoint], now: datetime.timedelta
    ) -> int:
        """Start a new request and return its number."""
        self.number += 1
        self.attempts += 1
        self.requested_at = now
        self.asked = asked
        self.failed = False
        return self.number

    def record_reply(
        self,
        unresolved: frozenset[model.Endpoint],
        skipped: frozenset[model.Endpoint],
    ) -> None:
        """Record a negative reply to the newest request.

        Args:
            unresolved: agents that did not answer or are unsure.
            skipped: unsure agents whose target is of another service.
        """
        self.cleared |= self.asked - unresolved - skipped
        self.skipped |= skipped
        self.attempts = 0

    def restart(self, data: bytes) -> None:
        """Prepare another request after a failure.

        Args:
            data: packet that replaces the queued ones, which the caller has
                sent again if it still needs them.
        """
        self.widen()
        self.queued_packets = [data]

    def widen(self) -> None:
        """Extend the lookup to agents of all services.

        If the entry's routing is older than the flow, the service at which
        the flow was opened may be missing from the route.
        """
        self.services = ()
        self.skipped = frozenset()
        self.attempts = 0
        self.likely_only = False

    def has_timed_out(self, now: datetime.timedelta) -> bool:
        """Return whether the newest request has timed out."""
        return not self.failed and now - self.requested_at >= REPLY_TIMEOUT

    def may_restart(self, now: datetime.timedelta) -> bool:
        """Return whether the next packet starts another request."""
        return self.failed and now - self.requested_at >= FAILURE_HOLD_TIME

    def has_expired(self, now: datetime.timedelta) -> bool:
        """Return whether the failed lookup may be discarded."""
        return self.failed and now - self.requested_at >= FAILURE_MEMORY_TIME

    def take_queued_packets(self) -> list[bytes]:
        """Remove and return the queued packets."""
        taken, self.queued_packets = self.queued_packets, []
        return taken
