"""When an agent suspects that its target is dead, and when it is sure.

Answers a target that crashes: its callers would wait for their deadlines.
Silence alone proves nothing, as a slow target is silent too; that nothing
listens at its address any more does.
"""

import datetime

from egretfork.passthrough import messages

# A target answers most packets within some ms and a request within 0.2 s.
ANSWER_LIMIT = datetime.timedelta(milliseconds=250)
PROBE_PERIOD = datetime.timedelta(milliseconds=150)
# A target whose address takes connections is probed again after this time.
ALIVE_PERIOD = datetime.timedelta(milliseconds=1000)
REFUSALS_NEEDED = 2


class Suspicion:
    """Silence of a target and the probes that follow from it."""

    def __init__(self) -> None:
        # Until a target is heard, there may be none.
        self._unanswered_since: datetime.timedelta | None = -ANSWER_LIMIT
        self._probe_at = datetime.timedelta()
        self._refusals = 0
        self._listening = False

    def note_sent(self, now: datetime.timedelta) -> None:
        """Note that the target was sent a packet."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def note_heard(self) -> None:
        """Note that the target sent a packet."""
        self._unanswered_since = None
        self._refusals = 0

    def is_probe_due(
        self, state: messages.TargetState, now: datetime.timedelta
    ) -> bool:
        """Return whether to probe now, and plan the next probe."""
        if now < self._probe_at or not self._is_suspect(state, now):
            return False
        period = ALIVE_PERIOD if self._listening else PROBE_PERIOD
        self._listening = False
        self._probe_at = now + period
        return True

    def note_probe(self, listening: bool) -> bool:
        """Note the result of a probe; return whether the target is dead."""
        self._listening = listening
        if listening:
            self._refusals = 0
            return False
        self._refusals += 1
        return self._refusals == REFUSALS_NEEDED

    def _is_suspect(
        self, state: messages.TargetState, now: datetime.timedelta
    ) -> bool:
        if self._refusals >= REFUSALS_NEEDED:
            return False
        if state is messages.TargetState.ENDED:
            return False
        since = self._unanswered_since
        return since is not None and now - since >= ANSWER_LIMIT
