"""Announced state of the agent's target."""

import dataclasses
import datetime

from egretfork.agent import events
from egretfork.agent import status as status_module
from egretfork import model

MAX_FAILED_PROBES = 3


class Lifecycle:
    """Derives the announced state of the target.

    The inputs are the registration, health reports and drain requests.
    """

    def __init__(
        self, status: status_module.AgentStatus, is_configured: bool
    ) -> None:
        self._status = status
        self._is_configured = is_configured
        self._is_registered = False
        self._has_deregistered = False
        self._drain_requested = False
        self._drained_by_operator = False
        self._target_draining = False
        self._failed_probes = MAX_FAILED_PROBES
        self._last_report = events.TargetReport(False, False, False, None)
        self._announced: model.TargetState | None = None
        self._has_been_ready = False
        status.ready = False

    def request_drain(self) -> None:
        """Drain the target until the agent restarts."""
        self._drain_requested = True

    def set_operator_drain(self, is_drained: bool) -> None:
        """Set or clear the drain state from the configuration."""
        self._drained_by_operator = is_drained

    def note_registration(self, change: events.RegistrationChanged) -> None:
        """Record a change of the target's registration."""
        self._is_registered = change.registered
        self._has_deregistered = not change.registered

    def note_report(self, report: events.TargetReport) -> None:
        """Record the result of a probe."""
        self._last_report = report
        if not report.healthy:
            self._failed_probes += 1
            return
        self._failed_probes = 0
        self._target_draining = report.draining
        self._status.shedding = report.shedding

    def update(self, now: datetime.timedelta) -> list[events.Signal]:
        """Update the agent status; announce the state if it changed."""
        status = self._status
        has_target = self._is_registered or self._is_configured
        healthy = self._failed_probes < MAX_FAILED_PROBES
        status.ready = has_target and healthy
        self._has_been_ready = self._has_been_ready or status.ready
        status.draining = (
            self._drain_requested
            or self._drained_by_operator
            or self._target_draining
            or self._has_deregistered
        )
        state = self._derive_state()
        if state is self._announced:
            return []
        self._announced = state
        return [events.Announce(state, self._status.weight)]

    def _derive_state(self) -> model.TargetState:
        if self._status.is_leaving:
            return model.TargetState.DRAINING
        if self._has_been_ready:
            return model.TargetState.READY
        return model.TargetState.JOINING

    @property
    def report(self) -> events.TargetReport:
        """Return the last report, as draining if the agent is leaving."""
        draining = self._last_report.draining or self._status.is_leaving
        return dataclasses.replace(self._last_report, draining=draining)

    @property
    def has_been_ready(self) -> bool:
        """Return whether the target has ever been ready."""
        return self._has_been_ready

    @property
    def state(self) -> model.TargetState:
        """Return the last announced state."""
        return self._announced or model.TargetState.JOINING
