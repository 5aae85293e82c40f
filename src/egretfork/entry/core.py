"""Core of an entry: selects the agent that receives a datagram."""

import dataclasses
import datetime

from egretfork import actions
from egretfork import coapheader
from egretfork import model
from egretfork import nodeevents
from egretfork import reasons
from egretfork.routing import ranking
from egretfork.routing import table
from egretfork import wire

# Reserves 1024 bytes for the other fields of ``wire.Forwarded``.
MAX_PAYLOAD_BYTES = wire.MAX_DATAGRAM_BYTES - 1024


MessageReceived = nodeevents.MessageReceived
ConfigurationChanged = nodeevents.ConfigurationChanged
AnnouncementsChanged = nodeevents.AnnouncementsChanged


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDatagram:
    """Datagram from a caller to a service address."""

    flow: wire.FlowKey
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DatagramRejected:
    """A datagram was rejected before its flow or payload was decoded."""

    reason: reasons.Drop


Event = (
    CallerDatagram
    | MessageReceived
    | ConfigurationChanged
    | AnnouncementsChanged
    | DatagramRejected
)

Action = actions.SendMessage | actions.SendToCaller | actions.CountReason


class EntryCore:
    """Maps datagrams to agents without keeping state per flow."""

    def __init__(self, address: model.Endpoint) -> None:
        """Create a core.

        Args:
            address: UDP address to which agents send responses.
        """
        self._address = address
        self._table = table.RoutingTable()

    @property
    def configuration(self) -> model.Configuration:
        """Return the active configuration."""
        return self._table.configuration

    def handle(self, event: Event, now: datetime.timedelta) -> list[Action]:
        """Process an event and return the resulting actions."""
        match event:
            case CallerDatagram():
                return [self._forward(event)]
            case MessageReceived():
                return [_handle_message(event.message)]
            case ConfigurationChanged():
                self._set_configuration(event.configuration)
            case AnnouncementsChanged():
                self._table.set_announcements(event.announcements)
            case DatagramRejected():
                return [actions.CountReason(event.reason)]
        return []

    def _forward(self, datagram: CallerDatagram) -> Action:
        flow = datagram.flow
        payload = datagram.payload
        version = self._table.configuration.version
        if version == 0:
            return actions.CountReason(reasons.Drop.NO_CONFIGURATION)
        service_table = self._table.find_service(flow.service_address)
        if service_table is None:
            return actions.CountReason(reasons.Drop.UNKNOWN_ADDRESS)
        if (
            len(payload) > MAX_PAYLOAD_BYTES
            or coapheader.find_header_error(payload) is not None
        ):
            return actions.CountReason(reasons.Drop.MALFORMED)
        service = service_table.service.name
        bucket = ranking.compute_bucket(service, flow.caller)
        agents = service_table.find_agents(bucket)
        if not agents:
            return actions.CountReason(reasons.Drop.NO_TARGETS)
        message = wire.Forwarded(
            service=service,
            version=version,
            flow=flow,
            bucket=bucket,
            agents=agents,
            position=0,
            hops=0,
            entry=self._address,
            payload=payload,
        )
        return actions.SendMessage(agents[0], message)

    def _set_configuration(self, configuration: model.Configuration) -> None:
        current = self._table.configuration
        if _sort_key(configuration) > _sort_key(current):
            self._table.set_configuration(configuration)


def _handle_message(message: wire.AnyMessage) -> Action:
    if isinstance(message, wire.Returned):
        return actions.SendToCaller(message.flow, message.payload)
    return actions.CountReason(reasons.Drop.MALFORMED)


def _sort_key(configuration: model.Configuration) -> tuple[int, int]:
    return (configuration.version, configuration.record_revision)
