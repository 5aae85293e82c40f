"""State of an entry's lookup of the agent that holds a flow."""

import collections.abc
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
# Within this time of its newest request, a failed lookup makes the next one
# cover the agents of all services.
FAILURE_MEMORY_TIME = datetime.timedelta(seconds=2)
MAX_QUEUED_PACKETS = 32


class FlowLookup(msgspec.Struct):
    """A lookup that is in progress or has failed recently.

    Attributes:
        services: services that may hold the flow; empty if any may.
        requested_at: time of the newest request.
        acknowledged: sequence number that the caller expects next.
        excluded: agents that are known not to hold the flow.
        queried: agents that were candidates in any request.
        number: number of the newest request; a negative reply to an earlier
            one is ignored.
        attempts: number of agents that were asked to locate the flow.
        new_agents_seen: agents were discovered after the newest request.
        queued_packets: packets that arrived during the lookup.
        failed: no agent is known to hold the flow.
    """

    services: tuple[str, ...]
    requested_at: datetime.timedelta
    acknowledged: int
    excluded: frozenset[model.Endpoint] = frozenset()
    queried: frozenset[model.Endpoint] = frozenset()
    number: int = 0
    attempts: int = 0
    new_agents_seen: bool = False
    queued_packets: list[bytes] = msgspec.field(default_factory=list)
    failed: bool = False

    def queue_packet(self, data: bytes) -> bool:
        """Queue a packet; return whether there was room."""
        if len(self.queued_packets) >= MAX_QUEUED_PACKETS:
            return False
        self.queued_packets.append(data)
        return True

    def begin_attempt(self, now: datetime.timedelta) -> int:
        """Start a new request and return its number."""
        self.number += 1
        self.attempts += 1
        self.requested_at = now
        self.new_agents_seen = False
        return self.number

    def widen(self) -> None:
        """Extend the lookup to agents of all services."""
        self.services = ()
        self.attempts = 0
        self.failed = False

    def has_timed_out(self, now: datetime.timedelta) -> bool:
        """Return whether the newest request has timed out."""
        return not self.failed and now - self.requested_at >= REPLY_TIMEOUT

    def may_restart(self, now: datetime.timedelta) -> bool:
        """Return whether the next packet starts another lookup."""
        return self.failed and now - self.requested_at >= FAILURE_HOLD_TIME

    def has_expired(self, now: datetime.timedelta) -> bool:
        """Return whether the failed lookup may be discarded."""
        return self.failed and now - self.requested_at >= FAILURE_MEMORY_TIME

    def take_queued_packets(self) -> collections.abc.Iterator[bytes]:
        """Remove and return the queued packets."""
        taken, self.queued_packets = self.queued_packets, []
        return iter(taken)
