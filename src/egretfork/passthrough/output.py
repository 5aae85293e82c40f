"""Carries out the actions of the cores of passed-through flows."""

import collections.abc
import ipaddress
import logging

from egretfork import actions as common
from egretfork import eventlog
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import actions
from egretfork.passthrough import messages

LOGGER = logging.getLogger(__name__)

Send = collections.abc.Callable[[bytes, model.Endpoint], None]


class Output:
    """Carries out the actions of a core.

    Attributes:
        caller_port: UDP port at which every caller receives.
    """

    def __init__(
        self,
        registry: metrics.Metrics,
        send_message: Send,
        send_to_caller: Send,
        caller_port: int,
        target_address: model.Endpoint | None = None,
        send_to_target: Send | None = None,
        probe_target: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._registry = registry
        self._send_message = send_message
        self._send_to_caller = send_to_caller
        self._caller_port = caller_port
        self._target_address = target_address
        self._send_to_target = send_to_target
        self._probe_target = probe_target

    def carry_out(
        self, wanted: collections.abc.Iterable[actions.Action]
    ) -> None:
        """Carry out actions in order."""
        for action in wanted:
            self._carry_out_one(action)

    def _carry_out_one(self, action: actions.Action) -> None:
        match action:
            case actions.SendMessage():
                data = messages.encode(action.message)
                self._send_message(data, action.peer)
            case actions.SendToCaller():
                host = str(ipaddress.IPv4Address(action.flow.client_host))
                self._send_to_caller(
                    action.data, model.Endpoint(host, self._caller_port)
                )
            case actions.SendToTarget():
                if self._send_to_target and self._target_address:
                    self._send_to_target(action.data, self._target_address)
            case actions.ProbeTarget():
                self._probe_target()
            case actions.ObserveLatency():
                self._registry.observe(action.kind, action.duration)
            case common.CountReason():
                self._registry.count(action.reason)
            case common.LogEvent():
                eventlog.write(LOGGER, action)
