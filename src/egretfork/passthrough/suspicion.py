"""Failure detection for an agent's target.

Without it, the callers of a crashed target would wait until their deadlines.
Silence only makes a target suspect, since a slow target is silent as well. A
suspect target is probed and counts as dead if nothing listens at its address.
"""

import datetime

from egretfork.passthrough import messages

# A target responds to most packets within a few ms and to a request within
# 0.2 s.
RESPONSE_TIMEOUT = datetime.timedelta(milliseconds=250)
PROBE_PERIOD = datetime.timedelta(milliseconds=150)
# A target whose address accepts connections is probed again after this time.
LISTENING_PROBE_PERIOD = datetime.timedelta(milliseconds=1000)
REFUSALS_UNTIL_DEAD = 2


class Suspicion:
    """Tracks the silence of a target and the results of its probes."""

    def __init__(self) -> None:
        # Suspect from the start: until a packet arrives, there may be no
        # target at all.
        self._unanswered_since: datetime.timedelta | None = -RESPONSE_TIMEOUT
        self._next_probe_at = datetime.timedelta()
        self._refusals = 0
        self._listening = False

    def record_sent(self, now: datetime.timedelta) -> None:
        """Record that a packet was sent to the target."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_received(self) -> None:
        """Record that a packet was received from the target."""
        self._unanswered_since = None
        self._refusals = 0

    def is_probe_due(
        self, state: messages.TargetState, now: datetime.timedelta
    ) -> bool:
        """Return whether to probe now; if so, schedule the next probe."""
        if now < self._next_probe_at or not self._is_suspect(state, now):
            return False
        period = LISTENING_PROBE_PERIOD if self._listening else PROBE_PERIOD
        self._listening = False
        self._next_probe_at = now + period
        return True

    def record_probe(self, listening: bool) -> bool:
        """Record the result of a probe; return whether the target is dead."""
        self._listening = listening
        if listening:
            self._refusals = 0
            return False
        self._refusals += 1
        return self._refusals == REFUSALS_UNTIL_DEAD

    def _is_suspect(
        self, state: messages.TargetState, now: datetime.timedelta
    ) -> bool:
        if self._refusals >= REFUSALS_UNTIL_DEAD:
            return False
        if state is messages.TargetState.ENDED:
            return False
        since = self._unanswered_since
        return since is not None and now - since >= RESPONSE_TIMEOUT
