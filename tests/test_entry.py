"""Datagrams reach an agent of their service or are dropped and counted."""

import asyncio
import datetime
import socket
import unittest

from click import testing
import hypothesis
from hypothesis import strategies
import mode

from egretfork import actions
from egretfork import clock
from egretfork.entry import core
from egretfork.entry import ingress
from egretfork.entry import program
from egretfork.entry import proxy
from egretfork.entry import shell
from egretfork import metrics
from egretfork import model
from egretfork import pktinfo
from egretfork import reasons
from egretfork import settings
from egretfork import wire

ENTRY = model.Endpoint("127.0.0.1", 6000)
CALLER = model.Endpoint("10.9.0.1", 40000)
SERVICE = model.Endpoint("10.0.0.1", 5683)
FLOW = wire.FlowKey(CALLER, SERVICE)
PING = bytes((0x40, 0x00, 0x00, 0x01))
NAMES = ("certdesk", "hatlog", "mdm-sync")
PORTS = strategies.integers(1, 65535)


def configure(
    version: int, owners: dict[str, tuple[str, ...]]
) -> model.Configuration:
    services = tuple(
        model.Service(name=name, addresses=owned, targets=(f"{name}-*",))
        for name, owned in owners.items()
    )
    return model.Configuration(version=version, services=services)


def announce(
    service: str, agent: str, address: model.Endpoint, incarnation: int = 1
) -> model.TargetAnnouncement:
    return model.TargetAnnouncement(
        service=service,
        agent=agent,
        incarnation=incarnation,
        sequence=1,
        address=address,
        availability_zone="luzon-a",
        state=model.TargetState.READY,
    )


def handle(entry: core.EntryCore, *events: core.Event) -> list[core.Action]:
    results = [entry.handle(event, datetime.timedelta()) for event in events]
    return results[-1]


def build_ready_core(agent: model.Endpoint) -> core.EntryCore:
    entry = core.EntryCore(ENTRY)
    handle(
        entry,
        core.ConfigurationChanged(configure(3, {"hatlog": (str(SERVICE),)})),
        core.AnnouncementsChanged((announce("hatlog", "hatlog-1", agent),)),
    )
    return entry


AGENT = model.Endpoint("10.0.1.1", 7001)


class EntryCoreTest(unittest.TestCase):
    def test_datagram_goes_to_the_agent_of_its_service(self) -> None:
        (action,) = handle(
            build_ready_core(AGENT), core.CallerDatagram(FLOW, PING)
        )
        assert isinstance(action, actions.SendMessage)
        self.assertEqual(action.peer, AGENT)
        message = wire.decode(wire.encode(action.message), "entry")
        assert isinstance(message, wire.Forwarded)
        self.assertEqual(
            (message.service, message.version, message.flow, message.payload),
            ("hatlog", 3, FLOW, PING),
        )
        self.assertEqual((message.agents, message.entry), ((AGENT,), ENTRY))

    def test_each_drop_has_its_reason(self) -> None:
        # Guards against drops that do not appear in the metrics.
        ready = build_ready_core(AGENT)
        empty = core.EntryCore(ENTRY)
        configuration = configure(1, {"hatlog": (str(SERVICE),)})
        without_targets = core.EntryCore(ENTRY)
        handle(without_targets, core.ConfigurationChanged(configuration))
        other = wire.FlowKey(CALLER, model.Endpoint("10.0.0.9", 5683))
        large = PING[:1] + b"\x01" + bytes(wire.MAX_DATAGRAM_BYTES)
        drop = reasons.Drop
        for entry, flow, payload, reason in (
            (empty, FLOW, PING, drop.NO_CONFIGURATION),
            (without_targets, FLOW, PING, drop.NO_TARGETS),
            (ready, other, PING, drop.UNKNOWN_ADDRESS),
            (ready, FLOW, b"", drop.MALFORMED),
            (ready, FLOW, b"\x49\x01\x00\x01" + bytes(9), drop.MALFORMED),
            (ready, FLOW, b"\x80\x00\x00\x01", drop.MALFORMED),
            (ready, FLOW, large, drop.MALFORMED),
        ):
            result = handle(entry, core.CallerDatagram(flow, payload))
            self.assertEqual(result, [actions.CountReason(reason)])

    def test_only_returned_messages_reach_callers(self) -> None:
        entry = build_ready_core(AGENT)
        returned = core.MessageReceived(AGENT, wire.Returned(FLOW, PING))
        hint = core.MessageReceived(AGENT, wire.OwnerHint(FLOW, AGENT))
        self.assertEqual(
            handle(entry, returned), [actions.SendToCaller(FLOW, PING)]
        )
        self.assertEqual(
            handle(entry, hint),
            [actions.CountReason(reasons.Drop.MALFORMED)],
        )

    def test_older_configuration_is_ignored(self) -> None:
        # Guards against a configuration that reverts to an older version.
        entry = build_ready_core(AGENT)
        handle(entry, core.ConfigurationChanged(configure(2, {})))
        self.assertEqual(entry.configuration.version, 3)

    def test_newer_configuration_moves_a_service(self) -> None:
        # Guards against a service address that stays routed after removal.
        entry = build_ready_core(AGENT)
        moved = model.Endpoint("10.0.0.2", 5683)
        newer = configure(4, {"hatlog": (str(moved),)})
        handle(entry, core.ConfigurationChanged(newer))
        for address, kind in (
            (SERVICE, actions.CountReason),
            (moved, actions.SendMessage),
        ):
            datagram = core.CallerDatagram(wire.FlowKey(CALLER, address), PING)
            self.assertIsInstance(handle(entry, datagram)[0], kind)

    @hypothesis.given(strategies.data())
    @hypothesis.settings(max_examples=200)
    def test_agent_of_another_service_never_gets_a_datagram(
        self, data: strategies.DataObject
    ) -> None:
        # Guards against misrouting when an entry combines configurations and
        # announcements of different ages.
        hosts = [f"10.0.0.{number}:5683" for number in range(1, 5)]
        owners = {
            host: data.draw(strategies.sampled_from(NAMES)) for host in hosts
        }
        entry = core.EntryCore(ENTRY)
        agents = [model.Endpoint("10.0.1.1", 7000 + n) for n in range(6)]
        # Each incarnation of an agent serves one service. A later incarnation
        # on the same address may serve another.
        services_by_process = {
            (agent, incarnation): data.draw(strategies.sampled_from(NAMES))
            for agent in agents
            for incarnation in (1, 2)
        }
        known: dict[model.Endpoint, int] = {}
        for _ in range(data.draw(strategies.integers(1, 12))):
            version = data.draw(strategies.integers(1, 5))
            declared_hosts = data.draw(
                strategies.sets(strategies.sampled_from(hosts))
            )
            declared = {
                name: tuple(
                    host for host in declared_hosts if owners[host] == name
                )
                for name in NAMES
            }
            handle(
                entry,
                core.ConfigurationChanged(
                    configure(
                        version, {n: a for n, a in declared.items() if a}
                    )
                ),
            )
            seen = data.draw(
                strategies.lists(
                    strategies.sampled_from(sorted(services_by_process))
                )
            )
            announcements = tuple(
                announce(
                    services_by_process[key],
                    f"{services_by_process[key]}-{key[0].port}",
                    key[0],
                    key[1],
                )
                for key in seen
            )
            known = dict(sorted(seen))
            handle(entry, core.AnnouncementsChanged(announcements))
            for host in hosts:
                flow = wire.FlowKey(CALLER, model.parse_endpoint(host))
                (action,) = handle(entry, core.CallerDatagram(flow, PING))
                if isinstance(action, actions.SendMessage):
                    assert isinstance(action.message, wire.Forwarded)
                    self.assertEqual(action.message.service, owners[host])
                    for agent in action.message.agents:
                        served = services_by_process[agent, known[agent]]
                        self.assertEqual(served, owners[host])


def encode(payload: bytes) -> bytes:
    encoded = proxy.encode(FLOW, payload)
    assert isinstance(encoded, bytes)
    return encoded


class ProxyTest(unittest.TestCase):
    @hypothesis.given(
        strategies.ip_addresses(v=4), PORTS, PORTS, strategies.binary()
    )
    def test_header_round_trip(
        self, host: object, source: int, port: int, payload: bytes
    ) -> None:
        flow = wire.FlowKey(
            model.Endpoint(str(host), source), model.Endpoint("10.0.0.1", port)
        )
        encoded = proxy.encode(flow, payload)
        assert isinstance(encoded, bytes)
        self.assertEqual(proxy.decode(encoded, "peer"), (flow, payload))

    @hypothesis.given(
        strategies.integers(0, proxy.PREFIX.size - 1),
        strategies.integers(1, 255),
        strategies.integers(0, proxy.HEADER_BYTES - 1),
        strategies.binary(max_size=60),
    )
    def test_malformed_header_is_reported(
        self, position: int, change: int, length: int, random_bytes: bytes
    ) -> None:
        # Guards against a flow that is decoded from a malformed header.
        intact = encode(b"")
        damaged = bytearray(intact)
        damaged[position] ^= change
        portless = intact[:-2] + bytes(2)
        for data in (bytes(damaged), intact[:length], random_bytes, portless):
            result = proxy.decode(data, "peer")
            self.assertIsInstance(result, reasons.Failure)

    def test_type_length_values_are_skipped(self) -> None:
        extended = bytearray(encode(b"\x04\x00\x01xrest"))
        extended[15] += 4
        self.assertEqual(proxy.decode(bytes(extended), "p"), (FLOW, b"rest"))

    def test_address_that_does_not_fit_is_reported(self) -> None:
        # Guards against an exception caused by an agent's message.
        for address in (("x", 1), ("10.0.0", 1), ("10.0.0.1", 65536)):
            flow = wire.FlowKey(model.Endpoint(*address), SERVICE)
            self.assertIsInstance(proxy.encode(flow, b""), reasons.Failure)


class SettingsTest(unittest.TestCase):
    def test_invalid_settings_name_the_problem(self) -> None:
        common = "{name: e1, availability_zone: a, host: 127.0.0.1, port: 6, "
        for text, detail in (
            ("ingress: {mode: proxy, listen: x}}", "ingress.listen"),
            ("ingress: {mode: direct, listen: []}}", "length >= 1"),
            ("ingress: {mode: other}}", "other"),
            ("ingress: {mode: proxy, listen: 127.0.0.1:7}, a: 1}", "`a`"),
        ):
            result = settings.parse(
                common + text, program.EntrySettings, program.pathlib.Path("f")
            )
            assert isinstance(result, reasons.Failure)
            self.assertIn(detail, result.detail)


class CommandTest(unittest.TestCase):
    def test_check_reports_by_exit_code(self) -> None:
        # Guards against restarting a daemon with invalid settings.
        text = (
            "{name: e1, availability_zone: a, host: 127.0.0.1, port: 6,"
            " gossip: {}, ingress: {mode: direct, listen: [%s]}}"
        )
        runner = testing.CliRunner()
        with runner.isolated_filesystem():
            path = program.pathlib.Path("entry.yaml")
            for listen, code in (("0.0.0.0:5683", 0), ("localhost:5683", 2)):
                path.write_text(text % listen)
                arguments = ["--settings", str(path), "--check"]
                result = runner.invoke(program.main, arguments)
                self.assertEqual(result.exit_code, code, result.output)


class FakeSource(mode.Service):
    """Configuration source that calls back once, when it starts."""

    def __init__(
        self,
        on_configuration: object,
        on_announcements: object,
        service: model.Endpoint,
        agent: model.Endpoint,
    ) -> None:
        super().__init__()
        self._core_callbacks = (on_configuration, on_announcements)
        self._service = service
        self._agent = agent

    async def on_start(self) -> None:
        """Pass on one configuration and one announcement."""
        on_configuration, on_announcements = self._core_callbacks
        assert callable(on_configuration) and callable(on_announcements)
        on_configuration(configure(1, {"hatlog": (str(self._service),)}))
        on_announcements((announce("hatlog", "hatlog-1", self._agent),))


def open_socket(host: str = "127.0.0.1") -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((host, 0))
    opened.settimeout(10)
    return opened


def find_free_endpoint(host: str = "127.0.0.1") -> model.Endpoint:
    with open_socket(host) as opened:
        return model.Endpoint(*opened.getsockname())


class ShellTest(unittest.IsolatedAsyncioTestCase):
    async def start_entry(
        self, service: model.Endpoint, build: shell.IngressFactory
    ) -> None:
        """Start an entry between a caller socket and an agent socket."""
        self.agent, self.caller = open_socket(), open_socket()
        self.addCleanup(self.agent.close)
        self.addCleanup(self.caller.close)
        self.registry = metrics.Metrics()
        self.may_stop = asyncio.Event()
        agent_address = model.Endpoint(*self.agent.getsockname())

        async def wait() -> None:
            await self.may_stop.wait()

        self.entry = shell.EntryService(
            find_free_endpoint(),
            build,
            lambda on_configuration, on_announcements: FakeSource(
                on_configuration, on_announcements, service, agent_address
            ),
            self.registry,
            clock.MonotonicClock(),
            wait,
        )
        await self.entry.start()
        self.addAsyncCleanup(self.stop_entry)

    async def stop_entry(self) -> None:
        self.may_stop.set()
        await self.entry.stop()

    async def exchange(
        self, data: bytes, destination: model.Endpoint
    ) -> tuple[wire.Forwarded, bytes, tuple[str, int]]:
        """Send a datagram through the entry and return the response."""
        self.caller.sendto(data, destination_of(destination))
        received = await asyncio.to_thread(self.agent.recv, 65535)
        message = wire.decode(received, "entry")
        assert isinstance(message, wire.Forwarded)
        answer = wire.encode(wire.Returned(message.flow, b"answer"))
        self.agent.sendto(answer, destination_of(message.entry))
        reply = await asyncio.to_thread(self.caller.recvfrom, 65535)
        return message, *reply

    def count(self, reason: reasons.Drop) -> float | None:
        return self.registry.registry.get_sample_value(
            "egretfork_reasons_total", {"category": "drop", "reason": reason}
        )

    async def test_answers_go_to_the_sender_of_the_proxy_header(self) -> None:
        listen = find_free_endpoint()
        await self.start_entry(
            SERVICE, lambda handler: ingress.ProxyIngress(listen, handler)
        )
        self.caller.sendto(b"damage", destination_of(listen))
        message, reply, source = await self.exchange(encode(PING), listen)
        self.assertEqual(message.flow, FLOW)
        self.assertEqual(proxy.decode(reply, "entry"), (FLOW, b"answer"))
        self.assertEqual(source, destination_of(listen))
        self.assertEqual(self.count(reasons.Drop.MALFORMED), 1)

    async def test_header_of_an_unknown_sender_is_dropped(self) -> None:
        # Guards against a caller that redirects all responses to itself.
        listen = find_free_endpoint()
        known = frozenset(("127.0.0.1",))
        await self.start_entry(
            SERVICE,
            lambda handler: ingress.ProxyIngress(
                listen, handler, senders=known
            ),
        )
        with open_socket("127.0.0.9") as untrusted_sender:
            untrusted_sender.sendto(encode(PING), destination_of(listen))
        await self.exchange(encode(PING), listen)
        self.assertEqual(self.count(reasons.Drop.UNTRUSTED_SENDER), 1)

    async def test_direct_answer_leaves_from_the_service_address(
        self,
    ) -> None:
        # Guards against responses from an address that callers do not expect.
        service = find_free_endpoint("127.0.0.7")
        listen = model.Endpoint(pktinfo.WILDCARD, service.port)
        await self.start_entry(
            service, lambda handler: ingress.DirectIngress((listen,), handler)
        )
        message, reply, source = await self.exchange(PING, service)
        caller = model.Endpoint(*self.caller.getsockname())
        self.assertEqual(message.flow, wire.FlowKey(caller, service))
        self.assertEqual(reply, b"answer")
        self.assertEqual(source, destination_of(service))

    async def test_stopping_entry_forwards_pending_answers(self) -> None:
        # Guards against responses that are lost when an entry stops.
        listen = find_free_endpoint()
        await self.start_entry(
            SERVICE, lambda handler: ingress.ProxyIngress(listen, handler)
        )
        stopping = asyncio.create_task(self.entry.stop())
        while not self.entry.should_stop:
            await asyncio.sleep(0)
        _, reply, _ = await self.exchange(encode(PING), listen)
        self.assertEqual(proxy.decode(reply, "entry"), (FLOW, b"answer"))
        self.may_stop.set()
        await stopping


def destination_of(endpoint: model.Endpoint) -> tuple[str, int]:
    return (endpoint.host, endpoint.port)


if __name__ == "__main__":
    unittest.main()
