"""Execution of the actions that the cores return."""

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


class ActionExecutor:
    """Executes the actions of a core.

    Attributes:
        caller_udp_port: UDP port on which all callers receive packets.
    """

    def __init__(
        self,
        registry: metrics.Metrics,
        send_message: Send,
        send_to_caller: Send,
        caller_udp_port: int,
        target_address: model.Endpoint | None = None,
        send_to_target: Send | None = None,
        probe_target: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        self._registry = registry
        self._send_message = send_message
        self._send_to_caller = send_to_caller
        self._caller_udp_port = caller_udp_port
        self._target_address = target_address
        self._send_to_target = send_to_target
        self._probe_target = probe_target

    def execute(
        self, requested_actions: collections.abc.Iterable[actions.Action]
    ) -> None:
        """Execute actions in order."""
        for action in requested_actions:
            self._execute_one(action)

    def _execute_one(self, action: actions.Action) -> None:
        match action:
            case actions.SendMessage():
                data = messages.encode(action.message)
                self._send_message(data, action.peer)
            case actions.SendToCaller():
                host = str(ipaddress.IPv4Address(action.flow.caller_host))
                self._send_to_caller(
                    action.data, model.Endpoint(host, self._caller_udp_port)
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
