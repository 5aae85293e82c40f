"""Entry's wait for the holder of a flow that it has no hint for."""

import collections.abc
import datetime

import msgspec

from egretfork import model

# An agent answers within two limits of `search` and a few round trips.
ANSWER_LIMIT = datetime.timedelta(milliseconds=200)
# Agents that are made to seek one flow, one after the other.
MAX_ATTEMPTS = 2
# How long the result that nobody holds a flow stands.
RESULT_LIMIT = datetime.timedelta(milliseconds=180)
# How long it makes the next lookup a wide one.
MEMORY_LIMIT = datetime.timedelta(seconds=2)
MAX_WAITING = 32


class Lookup(msgspec.Struct):
    """One lookup in progress or just concluded.

    Attributes:
        services: services that may hold the flow; empty if any may.
        asked_at: instant of the newest question.
        acknowledged: number that the caller expects next.
        without: agents that are known not to hold the flow.
        asked: agents that were named in a question.
        number: counts the questions; answers to earlier ones say nothing
            about where the flow is not.
        attempts: agents that were made to seek the flow.
        others_came: agents announced themselves after the question.
        waiting: packets that arrived meanwhile.
        concluded: nobody is known to hold the flow.
    """

    services: tuple[str, ...]
    asked_at: datetime.timedelta
    acknowledged: int
    without: frozenset[model.Endpoint] = frozenset()
    asked: frozenset[model.Endpoint] = frozenset()
    number: int = 0
    attempts: int = 0
    others_came: bool = False
    waiting: list[bytes] = msgspec.field(default_factory=list)
    concluded: bool = False

    def add_packet(self, data: bytes) -> bool:
        """Let a packet wait; return whether there was room."""
        if len(self.waiting) >= MAX_WAITING:
            return False
        self.waiting.append(data)
        return True

    def ask(self, now: datetime.timedelta) -> int:
        """Return the number of a new question."""
        self.number += 1
        self.attempts += 1
        self.asked_at = now
        self.others_came = False
        return self.number

    def widen(self) -> None:
        """Go on with the agents of all other services."""
        self.services = ()
        self.attempts = 0
        self.concluded = False

    def is_late(self, now: datetime.timedelta) -> bool:
        """Return whether the agent that seeks has had its time."""
        return not self.concluded and now - self.asked_at >= ANSWER_LIMIT

    def is_over(self, now: datetime.timedelta) -> bool:
        """Return whether a further packet begins another lookup."""
        return self.concluded and now - self.asked_at >= RESULT_LIMIT

    def is_forgotten(self, now: datetime.timedelta) -> bool:
        """Return whether a further packet begins a first lookup."""
        return self.concluded and now - self.asked_at >= MEMORY_LIMIT

    def take_waiting(self) -> collections.abc.Iterator[bytes]:
        """Return the packets that waited, and hold none any longer."""
        taken, self.waiting = self.waiting, []
        return iter(taken)
