"""Benchmarks of the entry: packet path and routing table."""

import asyncio
import collections.abc
import contextlib
import datetime
import functools
import gc
import itertools
import random
import socket
import statistics
import time
import tracemalloc
import typing

import click
import mode
import msgspec

from egretfork import actions
from egretfork import clock
from egretfork.entry import core
from egretfork.entry import ingress
from egretfork.entry import proxy
from egretfork.entry import shell
from egretfork import metrics
from egretfork import model
from egretfork import pktinfo
from egretfork.routing import ranking
from egretfork.routing import table
from egretfork import wire

SERVICES = 650
TARGETS = 2_700
FLOW_COUNTS = (1_000, 10_000, 100_000, 300_000)
BATCH_PACKETS = 2_000
BURST_PACKETS = 64
MAX_RECEIVE_BYTES = 2_048
REPETITIONS = 11
SAMPLE_STEP = 10
SEED = 1
SERVICE_PORT = 5683
PAYLOAD = b"\x48\x01\x00\x01" + bytes(range(8)) + b"\xb4feed\xff" + bytes(64)
ENTRY_ADDRESS = model.Endpoint("10.255.0.1", 6000)
ANY_PORT = model.Endpoint("127.0.0.1", 0)
ZERO_TIME = datetime.timedelta()

Item = typing.TypeVar("Item")


class PacketResult(msgspec.Struct, frozen=True):
    """Packet path of one entry at one number of flows, without sockets.

    The packet path consists of decoding the PROXY header, routing by the
    core, and encoding the message to the agent.

    Attributes:
        flows: number of flows; each packet belongs to a random one.
        packets_per_s: packets per second on one CPU core.
        packet_us: median time per packet.
        decision_us: median time per packet in ``EntryCore.handle``.
        growth: time per packet relative to the smallest number of flows
            in the same round, as the median over all rounds.
        bytes_per_flow: memory that the entry core allocates per flow.
    """

    flows: int
    packets_per_s: int
    packet_us: float
    decision_us: float
    growth: float
    bytes_per_flow: float


class TableResult(msgspec.Struct, frozen=True):
    """Routing table at the design size.

    Attributes:
        services: declared services.
        targets: announced targets.
        build_ms: time to set the configuration and the announcements.
        build_bytes: memory of the table after that.
        change_ms: time to replace the announcements when one target
            changed.
        first_list_us: mean time to compute the agent list of a bucket.
        list_us: mean time to read the cached list.
        full_ms: time to compute the lists of all buckets of all services,
            extrapolated from a tenth of the services.
        full_bytes: memory after that, extrapolated likewise.
    """

    services: int
    targets: int
    build_ms: float
    build_bytes: int
    change_ms: float
    first_list_us: float
    list_us: float
    full_ms: float
    full_bytes: int


class SocketResult(msgspec.Struct, frozen=True):
    """Packet path of one entry from ingress to agent, with sockets.

    Attributes:
        flows: number of flows; each packet belongs to a random one.
        packet_us: median CPU time per packet, in bursts of
            ``BURST_PACKETS``.
        packets_per_s: packets per second on one CPU core.
    """

    flows: int
    packet_us: float
    packets_per_s: int


class EntryResult(msgspec.Struct, frozen=True):
    """Results of all benchmarks of the entry."""

    packets: tuple[PacketResult, ...]
    sockets: SocketResult
    table: TableResult


def build_configuration(services: int) -> model.Configuration:
    """Build a configuration of services with one address each."""
    return model.Configuration(
        version=1,
        services=tuple(
            model.Service(
                name=_build_service_name(number),
                addresses=(str(_build_service_address(number)),),
                targets=(f"{_build_service_name(number)}-*",),
            )
            for number in range(services)
        ),
    )


def build_announcements(
    services: int, targets: int
) -> tuple[model.TargetAnnouncement, ...]:
    """Build announcements of targets, evenly spread over the services."""
    return tuple(
        model.TargetAnnouncement(
            service=_build_service_name(number % services),
            agent=(
                f"{_build_service_name(number % services)}"
                f"-{number // services}"
            ),
            incarnation=1_700_000_000_000 + number,
            sequence=1,
            address=model.Endpoint(
                f"10.2.{number // 250}.{number % 250 + 1}", 7000
            ),
            availability_zone="luzon-a",
            state=model.TargetState.READY,
        )
        for number in range(targets)
    )


def _build_service_name(number: int) -> str:
    return f"service-{number:03}"


def _build_service_address(number: int) -> model.Endpoint:
    host = f"10.1.{number // 250}.{number % 250 + 1}"
    return model.Endpoint(host, SERVICE_PORT)


def measure_packets(
    flow_counts: tuple[int, ...] = FLOW_COUNTS,
    rounds: int = 15,
    services: int = SERVICES,
    targets: int = TARGETS,
) -> tuple[PacketResult, ...]:
    """Measure the packet path at each number of flows.

    The rounds are interleaved, so that other load on the machine affects
    all numbers of flows alike.
    """
    benchmarks = [
        _PacketBenchmark(flows, random.Random(SEED), services, targets)
        for flows in flow_counts
    ]
    for _, benchmark in itertools.product(range(rounds), benchmarks):
        benchmark.measure_batch()
    reference_us = benchmarks[0].packet_us
    return tuple(
        PacketResult(
            flows=benchmark.flows,
            packets_per_s=round(1e6 / statistics.median(benchmark.packet_us)),
            packet_us=round(statistics.median(benchmark.packet_us), 2),
            decision_us=round(statistics.median(benchmark.decision_us), 2),
            growth=round(
                statistics.median(
                    own_us / base_us
                    for own_us, base_us in zip(
                        benchmark.packet_us, reference_us, strict=True
                    )
                ),
                3,
            ),
            bytes_per_flow=round(benchmark.bytes_gained / benchmark.flows, 2),
        )
        for benchmark in benchmarks
    )


class _PacketBenchmark:
    """Entry core with open flows, and the times of its packets."""

    def __init__(
        self,
        flows: int,
        generator: random.Random,
        services: int,
        targets: int,
    ) -> None:
        self.flows = flows
        self.packet_us: list[float] = []
        self.decision_us: list[float] = []
        self._generator = generator
        self._services = [
            socket.inet_aton(_build_service_address(number).host)
            for number in range(services)
        ]
        self._core = core.EntryCore(ENTRY_ADDRESS)
        for event in (
            core.ConfigurationChanged(build_configuration(services)),
            core.AnnouncementsChanged(build_announcements(services, targets)),
        ):
            self._core.handle(event, ZERO_TIME)
        self.bytes_gained = measure_allocated_bytes(self._open_flows)

    def measure_batch(self) -> None:
        """Measure a batch of packets of randomly chosen flows."""
        batch = self.build_packets(BATCH_PACKETS)
        self.packet_us.append(_time_each(self._handle_packet, batch))
        events = [self._decode_packet(packet) for packet in batch]
        self.decision_us.append(_time_each(self._handle_datagram, events))

    def build_packets(self, count: int) -> list[bytes]:
        """Build packets of randomly chosen flows."""
        numbers = self._generator.choices(range(self.flows), k=count)
        return [self._build_packet(number) for number in numbers]

    def _open_flows(self) -> None:
        for number in range(self.flows):
            self._handle_packet(self._build_packet(number))

    def _build_packet(self, number: int) -> bytes:
        caller, port = divmod(number, 50_000)
        addresses = proxy.ADDRESSES.pack(
            (0x0A090000 + caller).to_bytes(4, "big"),
            self._services[number % len(self._services)],
            port + 1024,
            SERVICE_PORT,
        )
        return proxy.UDP4_PREFIX + addresses + PAYLOAD

    def _decode_packet(self, packet: bytes) -> core.CallerDatagram:
        result = proxy.decode(packet, "fabric")
        assert isinstance(result, tuple)
        return core.CallerDatagram(*result)

    def _handle_datagram(self, event: core.CallerDatagram) -> core.Action:
        return self._core.handle(event, ZERO_TIME)[0]

    def _handle_packet(self, packet: bytes) -> bytes:
        action = self._handle_datagram(self._decode_packet(packet))
        assert isinstance(action, actions.SendMessage)
        return wire.encode(action.message)


def _time_each(
    function: collections.abc.Callable[[Item], object], items: list[Item]
) -> float:
    start = time.perf_counter()
    for item in items:
        function(item)
    return (time.perf_counter() - start) / len(items) * 1e6


class _StaticStateSource(mode.Service):
    """Source of a fixed configuration and of agents that share a port."""

    def __init__(
        self,
        port: int,
        on_configuration: collections.abc.Callable[
            [model.Configuration], None
        ],
        on_announcements: collections.abc.Callable[
            [tuple[model.TargetAnnouncement, ...]], None
        ],
    ) -> None:
        super().__init__()
        self._port = port
        self._on_configuration = on_configuration
        self._on_announcements = on_announcements

    async def on_start(self) -> None:
        """Report the configuration and the announcements once."""
        self._on_configuration(build_configuration(SERVICES))
        self._on_announcements(
            tuple(
                msgspec.structs.replace(
                    item, address=self._build_agent_address(number)
                )
                for number, item in enumerate(
                    build_announcements(SERVICES, TARGETS)
                )
            )
        )

    def _build_agent_address(self, number: int) -> model.Endpoint:
        host = f"127.2.{number // 250}.{number % 250 + 1}"
        return model.Endpoint(host, self._port)


async def measure_sockets(
    flows: int = FLOW_COUNTS[0], bursts: int = 300
) -> SocketResult:
    """Measure the packet path with sockets on the loopback interface."""
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agent_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agent_socket.bind((pktinfo.WILDCARD, 0))
    agent_socket.setblocking(False)
    ingresses: list[ingress.ProxyIngress] = []

    def build_ingress(handler: ingress.Handler) -> ingress.Ingress:
        ingresses.append(ingress.ProxyIngress(ANY_PORT, handler))
        return ingresses[0]

    entry = shell.EntryService(
        ANY_PORT,
        build_ingress,
        functools.partial(_StaticStateSource, agent_socket.getsockname()[1]),
        metrics.Metrics(),
        clock.MonotonicClock(),
        functools.partial(asyncio.sleep, 0),
    )
    await entry.start()
    benchmark = _PacketBenchmark(flows, random.Random(SEED), SERVICES, TARGETS)
    times = []
    for _ in range(bursts):
        for packet in benchmark.build_packets(BURST_PACKETS):
            caller.sendto(packet, _get_socket_address(ingresses[0].address))
        times.append(await _time_burst(agent_socket))
    await entry.stop()
    caller.close()
    agent_socket.close()
    packet_us = statistics.median(times)
    return SocketResult(flows, round(packet_us, 2), round(1e6 / packet_us))


async def _time_burst(agent_socket: socket.socket) -> float:
    """Return the CPU time per packet while a burst is forwarded."""
    received_count = 0
    elapsed_s = 0.0
    while received_count < BURST_PACKETS:
        start = time.process_time()
        await asyncio.sleep(0)
        elapsed_s += time.process_time() - start
        with contextlib.suppress(BlockingIOError):
            while agent_socket.recv(MAX_RECEIVE_BYTES):
                received_count += 1
    return elapsed_s / BURST_PACKETS * 1e6


def _get_socket_address(endpoint: model.Endpoint) -> tuple[str, int]:
    """Convert an endpoint to a socket address."""
    return (endpoint.host, endpoint.port)


def measure_table(
    services: int = SERVICES, targets: int = TARGETS
) -> TableResult:
    """Measure build, update and complete evaluation of a routing table."""
    configuration = build_configuration(services)
    announcements = build_announcements(services, targets)
    changed = (
        msgspec.structs.replace(
            announcements[0], state=model.TargetState.DRAINING, sequence=2
        ),
        *announcements[1:],
    )
    routing_table = table.RoutingTable()
    build_bytes = measure_allocated_bytes(
        lambda: _fill_table(routing_table, configuration, announcements)
    )
    build_ms = statistics.median(
        _time_ms(
            lambda: _fill_table(
                table.RoutingTable(), configuration, announcements
            )
        )
        for _ in range(REPETITIONS)
    )
    change_ms = statistics.median(
        _time_ms(lambda: routing_table.set_announcements(content))
        for content in (changed, announcements) * REPETITIONS
    )
    sample = _select_services(routing_table, configuration)
    list_bytes = measure_allocated_bytes(lambda: _list_all_buckets(sample))
    list_ms = _time_ms(lambda: _list_all_buckets(sample))
    routing_table = table.RoutingTable()
    _fill_table(routing_table, configuration, announcements)
    sample = _select_services(routing_table, configuration)
    first_ms = _time_ms(lambda: _list_all_buckets(sample))
    lists = len(sample) * ranking.BUCKET_COUNT
    return TableResult(
        services=services,
        targets=targets,
        build_ms=round(build_ms, 2),
        build_bytes=build_bytes,
        change_ms=round(change_ms, 2),
        first_list_us=round(first_ms / lists * 1e3, 2),
        list_us=round(list_ms / lists * 1e3, 2),
        full_ms=round(first_ms * SAMPLE_STEP),
        full_bytes=build_bytes + list_bytes * SAMPLE_STEP,
    )


def _fill_table(
    routing_table: table.RoutingTable,
    configuration: model.Configuration,
    announcements: tuple[model.TargetAnnouncement, ...],
) -> None:
    routing_table.set_configuration(configuration)
    routing_table.set_announcements(announcements)


def _select_services(
    routing_table: table.RoutingTable, configuration: model.Configuration
) -> list[table.ServiceTable]:
    found = (
        routing_table.find_service_by_name(service.name)
        for service in configuration.services[::SAMPLE_STEP]
    )
    return [service for service in found if service is not None]


def _list_all_buckets(services: list[table.ServiceTable]) -> None:
    for service, bucket in itertools.product(
        services, range(ranking.BUCKET_COUNT)
    ):
        service.find_agents(bucket)


def _time_ms(function: collections.abc.Callable[[], None]) -> float:
    start = time.perf_counter()
    function()
    return (time.perf_counter() - start) * 1e3


def measure_allocated_bytes(
    function: collections.abc.Callable[[], None],
) -> int:
    """Return the bytes that a call leaves allocated."""
    gc.collect()
    tracemalloc.start()
    function()
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes


@click.command()
@click.option("--rounds", default=15, show_default=True, help="Repetitions.")
def command(rounds: int) -> None:
    """Measure the packet path and the routing table of an entry."""
    result = EntryResult(
        measure_packets(rounds=rounds),
        asyncio.run(measure_sockets()),
        measure_table(),
    )
    click.echo(msgspec.json.format(msgspec.json.encode(result)).decode())
