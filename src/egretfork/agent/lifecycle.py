"""Life cycle of the agent's target, as it is announced."""

import dataclasses
import datetime

from egretfork.agent import events
from egretfork.agent import status as statuses
from egretfork import model

MAX_FAILED_PROBES = 3


class Lifecycle:
    """Derives the announced state from registration, health and orders."""

    def __init__(
        self, status: statuses.AgentStatus, is_configured: bool
    ) -> None:
        self._status = status
        self._is_configured = is_configured
        self._is_registered = False
        self._has_withdrawn = False
        self._drain_ordered = False
        self._is_marked = False
        self._target_drains = False
        self._failed_probes = MAX_FAILED_PROBES
        self._last_report = events.TargetReport(False, False, False, None)
        self._announced: model.TargetState | None = None
        self._has_been_ready = False
        status.ready = False

    def order_drain(self) -> None:
        """Drain for the rest of this life of the agent."""
        self._drain_ordered = True

    def follow_order(self, is_drained: bool) -> None:
        """Follow the operators' mark, which they may take back."""
        self._is_marked = is_drained

    def note_registration(self, change: events.RegistrationChanged) -> None:
        """Take a change of the target's registration."""
        self._is_registered = change.registered
        self._has_withdrawn = not change.registered

    def note_report(self, report: events.TargetReport) -> None:
        """Take the result of a probe."""
        self._last_report = report
        if not report.healthy:
            self._failed_probes += 1
            return
        self._failed_probes = 0
        self._target_drains = report.draining
        self._status.shedding = report.shedding

    def update(self, now: datetime.timedelta) -> list[events.Signal]:
        """Apply what is known; announce a change."""
        status = self._status
        known = self._is_registered or self._is_configured
        healthy = self._failed_probes < MAX_FAILED_PROBES
        status.ready = known and healthy
        self._has_been_ready = self._has_been_ready or status.ready
        status.draining = (
            self._drain_ordered
            or self._is_marked
            or self._target_drains
            or self._has_withdrawn
        )
        state = self._find_state()
        if state is self._announced:
            return []
        self._announced = state
        return [events.Announce(state, self._status.weight)]

    def _find_state(self) -> model.TargetState:
        if self._status.is_leaving:
            return model.TargetState.DRAINING
        if self._has_been_ready:
            return model.TargetState.READY
        return model.TargetState.JOINING

    @property
    def report(self) -> events.TargetReport:
        """Return the last report; an agent that leaves reports a drain."""
        draining = self._last_report.draining or self._status.is_leaving
        return dataclasses.replace(self._last_report, draining=draining)

    @property
    def has_been_ready(self) -> bool:
        """Tell whether the target has answered a probe."""
        return self._has_been_ready

    @property
    def state(self) -> model.TargetState:
        """Return the state as announced last."""
        return self._announced or model.TargetState.JOINING
