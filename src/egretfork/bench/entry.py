"""Measurements of the entry: packet path by number of flows, and table."""

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
ENTRY = model.Endpoint("10.255.0.1", 6000)
ANY_PORT = model.Endpoint("127.0.0.1", 0)
NO_TIME = datetime.timedelta()

Item = typing.TypeVar("Item")


class PacketResult(msgspec.Struct, frozen=True):
    """Packet path of one entry at one number of flows.

    A packet is decoded from its PROXY header, decided and encoded for the
    agent; sockets are not part of it.

    Attributes:
        flows: flows whose packets were mixed at random.
        packets_per_s: packets that one core handles in a second.
        packet_us: median time of a packet.
        decision_us: median time that the core takes of it.
        growth: median over all rounds of the time of a packet divided by
            that at the smallest number of flows in the same round.
        bytes_per_flow: memory of the core gained by the flows.
    """

    flows: int
    packets_per_s: int
    packet_us: float
    decision_us: float
    growth: float
    bytes_per_flow: float


class TableResult(msgspec.Struct, frozen=True):
    """Routing table at the size of the design.

    Attributes:
        services: declared services.
        targets: announced targets.
        build_ms: configuration and announcements put in force.
        build_bytes: memory after that.
        change_ms: announcements replaced with one target changed.
        first_list_us: mean time to compute the list of a bucket.
        list_us: mean time to read it again.
        full_ms: time to compute the lists of all buckets of all services,
            scaled up from a tenth of the services.
        full_bytes: memory after that, scaled up likewise.
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
    """Packet path of one entry with its sockets, from ingress to agent.

    Attributes:
        flows: flows whose packets were mixed at random.
        packet_us: median process time of a packet, in bursts of
            ``BURST_PACKETS``.
        packets_per_s: packets that one core carries in a second.
    """

    flows: int
    packet_us: float
    packets_per_s: int


class EntryResult(msgspec.Struct, frozen=True):
    """All figures of the entry."""

    packets: tuple[PacketResult, ...]
    sockets: SocketResult
    table: TableResult


def build_configuration(services: int) -> model.Configuration:
    """Build services with one address each."""
    return model.Configuration(
        version=1,
        services=tuple(
            model.Service(
                name=_name_service(number),
                addresses=(str(_place_service(number)),),
                targets=(f"{_name_service(number)}-*",),
            )
            for number in range(services)
        ),
    )


def build_announcements(
    services: int, targets: int
) -> tuple[model.TargetAnnouncement, ...]:
    """Build targets that are spread evenly over the services."""
    return tuple(
        model.TargetAnnouncement(
            service=_name_service(number % services),
            agent=f"{_name_service(number % services)}-{number // services}",
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


def _name_service(number: int) -> str:
    return f"service-{number:03}"


def _place_service(number: int) -> model.Endpoint:
    host = f"10.1.{number // 250}.{number % 250 + 1}"
    return model.Endpoint(host, SERVICE_PORT)


def measure_packets(
    flow_counts: tuple[int, ...] = FLOW_COUNTS,
    rounds: int = 15,
    services: int = SERVICES,
    targets: int = TARGETS,
) -> tuple[PacketResult, ...]:
    """Measure the packet path at each number of flows.

    The numbers of flows take turns in each round, so that other load on
    the machine falls on all of them.
    """
    runs = [
        _Run(flows, random.Random(SEED), services, targets)
        for flows in flow_counts
    ]
    for _, run in itertools.product(range(rounds), runs):
        run.measure_batch()
    first = runs[0].packet_us
    return tuple(
        PacketResult(
            flows=run.flows,
            packets_per_s=round(1e6 / statistics.median(run.packet_us)),
            packet_us=round(statistics.median(run.packet_us), 2),
            decision_us=round(statistics.median(run.decision_us), 2),
            growth=round(
                statistics.median(
                    mine / base
                    for mine, base in zip(run.packet_us, first, strict=True)
                ),
                3,
            ),
            bytes_per_flow=round(run.bytes_gained / run.flows, 2),
        )
        for run in runs
    )


class _Run:
    """One entry core with a number of flows and its measured batches."""

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
        self._random = generator
        self._services = [
            socket.inet_aton(_place_service(number).host)
            for number in range(services)
        ]
        self._core = core.EntryCore(ENTRY)
        for event in (
            core.ConfigurationChanged(build_configuration(services)),
            core.AnnouncementsChanged(build_announcements(services, targets)),
        ):
            self._core.handle(event, NO_TIME)
        self.bytes_gained = measure_bytes(self._open_flows)

    def measure_batch(self) -> None:
        """Time packets of flows that are drawn at random."""
        batch = self.build_packets(BATCH_PACKETS)
        self.packet_us.append(_time_each(self._handle_packet, batch))
        events = [self._decode_packet(packet) for packet in batch]
        self.decision_us.append(_time_each(self._decide, events))

    def build_packets(self, count: int) -> list[bytes]:
        """Build packets of flows that are drawn at random."""
        numbers = self._random.choices(range(self.flows), k=count)
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

    def _decide(self, event: core.CallerDatagram) -> core.Action:
        return self._core.handle(event, NO_TIME)[0]

    def _handle_packet(self, packet: bytes) -> bytes:
        action = self._decide(self._decode_packet(packet))
        assert isinstance(action, actions.SendMessage)
        return wire.encode(action.message)


def _time_each(
    function: collections.abc.Callable[[Item], object], items: list[Item]
) -> float:
    start = time.perf_counter()
    for item in items:
        function(item)
    return (time.perf_counter() - start) / len(items) * 1e6


class _FixedSource(mode.Service):
    """Delivers one configuration; all agents listen on one port."""

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
        """Call back once."""
        self._on_configuration(build_configuration(SERVICES))
        self._on_announcements(
            tuple(
                msgspec.structs.replace(
                    item, address=self._place_agent(number)
                )
                for number, item in enumerate(
                    build_announcements(SERVICES, TARGETS)
                )
            )
        )

    def _place_agent(self, number: int) -> model.Endpoint:
        host = f"127.2.{number // 250}.{number % 250 + 1}"
        return model.Endpoint(host, self._port)


async def measure_sockets(
    flows: int = FLOW_COUNTS[0], bursts: int = 300
) -> SocketResult:
    """Measure an entry with its sockets on loopback."""
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agents = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    agents.bind((pktinfo.WILDCARD, 0))
    agents.setblocking(False)
    faces: list[ingress.ProxyIngress] = []

    def build_ingress(handler: ingress.Handler) -> ingress.Ingress:
        faces.append(ingress.ProxyIngress(ANY_PORT, handler))
        return faces[0]

    entry = shell.EntryService(
        ANY_PORT,
        build_ingress,
        functools.partial(_FixedSource, agents.getsockname()[1]),
        metrics.Metrics(),
        clock.MonotonicClock(),
        functools.partial(asyncio.sleep, 0),
    )
    await entry.start()
    run = _Run(flows, random.Random(SEED), SERVICES, TARGETS)
    times = []
    for _ in range(bursts):
        for packet in run.build_packets(BURST_PACKETS):
            caller.sendto(packet, _get_socket_address(faces[0].address))
        times.append(await _time_burst(agents))
    await entry.stop()
    caller.close()
    agents.close()
    packet_us = statistics.median(times)
    return SocketResult(flows, round(packet_us, 2), round(1e6 / packet_us))


async def _time_burst(agents: socket.socket) -> float:
    """Return the process time of a packet until a burst has arrived."""
    arrived = 0
    spent = 0.0
    while arrived < BURST_PACKETS:
        start = time.process_time()
        await asyncio.sleep(0)
        spent += time.process_time() - start
        with contextlib.suppress(BlockingIOError):
            while agents.recv(MAX_RECEIVE_BYTES):
                arrived += 1
    return spent / BURST_PACKETS * 1e6


def _get_socket_address(endpoint: model.Endpoint) -> tuple[str, int]:
    """Return an endpoint as a socket address."""
    return (endpoint.host, endpoint.port)


def measure_table(
    services: int = SERVICES, targets: int = TARGETS
) -> TableResult:
    """Measure build, change and complete computation of a table."""
    configuration = build_configuration(services)
    announcements = build_announcements(services, targets)
    changed = (
        msgspec.structs.replace(
            announcements[0], state=model.TargetState.DRAINING, sequence=2
        ),
        *announcements[1:],
    )
    view = table.RoutingTable()
    build_bytes = measure_bytes(
        lambda: _build(view, configuration, announcements)
    )
    build_ms = statistics.median(
        _time_ms(
            lambda: _build(table.RoutingTable(), configuration, announcements)
        )
        for _ in range(REPETITIONS)
    )
    change_ms = statistics.median(
        _time_ms(lambda: view.set_announcements(content))
        for content in (changed, announcements) * REPETITIONS
    )
    sample = _find_sample(view, configuration)
    list_bytes = measure_bytes(lambda: _read_lists(sample))
    list_ms = _time_ms(lambda: _read_lists(sample))
    view = table.RoutingTable()
    _build(view, configuration, announcements)
    sample = _find_sample(view, configuration)
    first_ms = _time_ms(lambda: _read_lists(sample))
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


def _build(
    view: table.RoutingTable,
    configuration: model.Configuration,
    announcements: tuple[model.TargetAnnouncement, ...],
) -> None:
    view.set_configuration(configuration)
    view.set_announcements(announcements)


def _find_sample(
    view: table.RoutingTable, configuration: model.Configuration
) -> list[table.ServiceTable]:
    found = (
        view.find_service_by_name(service.name)
        for service in configuration.services[::SAMPLE_STEP]
    )
    return [service for service in found if service is not None]


def _read_lists(services: list[table.ServiceTable]) -> None:
    for service, bucket in itertools.product(
        services, range(ranking.BUCKET_COUNT)
    ):
        service.find_agents(bucket)


def _time_ms(function: collections.abc.Callable[[], None]) -> float:
    start = time.perf_counter()
    function()
    return (time.perf_counter() - start) * 1e3


def measure_bytes(function: collections.abc.Callable[[], None]) -> int:
    """Return the bytes that stay allocated after a call."""
    gc.collect()
    tracemalloc.start()
    function()
    gc.collect()
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return kept


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
