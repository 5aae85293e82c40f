"""Stand-ins of endpoints, clients, routers and operators (PROTOCOL.md)."""

import asyncio
import dataclasses
import itertools
import json
import random
import time

import fleet as fleets
import packets

RETRANSMIT_S = 0.2
MAX_RETRANSMIT_S = 1.6
SYN_COPIES_S = (0.2, 0.6)
OPEN_LIMIT_S = 1.4


@dataclasses.dataclass
class HeldFlow:
    """A flow at an endpoint."""

    client: tuple[str, int]
    route: tuple[str, int]
    seq: int
    next_client_seq: int
    open: bool = False
    next_seq: int = 0
    unacknowledged: bytes | None = None
    retransmission: asyncio.Task[None] | None = None
    last_reply: bytes = b""
    finished: bool = False


class Endpoint(asyncio.DatagramProtocol):
    """An endpoint beside an agent: flows, health check and heartbeats.

    Attributes:
        runs: requests that it has run, as (id, route, time).
        opened: opening packets that it took, as (flow, copy, time taken).
    """

    def __init__(
        self,
        fleet: fleets.Fleet,
        host: str,
        service: str,
        identifier: str,
        work_s: float = 0.02,
    ) -> None:
        self._fleet = fleet
        fleet.standins.append(self)
        self.host = host
        self.service = service
        self.identifier = identifier
        self.born = time.time_ns() // 1_000_000
        self._work_s = work_s
        self._sequence = 0
        self._flows: dict[tuple[str, int, str, int], HeldFlow] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self.runs: list[tuple[str, tuple[str, int], float]] = []
        self.opened: list[tuple[tuple[str, int], int, float]] = []
        self.forged = 0
        self.acknowledged = 0

    async def start(self, *, heartbeats: bool = True) -> None:
        """Bind the address and start to send heartbeats."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self._fleet.app)
        )
        self._server = await asyncio.start_server(
            self._serve_health, self.host, self._fleet.app, reuse_address=True
        )
        self._fleet.record.write(
            f"endpoint {self.identifier} of {self.service} starts at"
            f" {self.host}:{self._fleet.app}"
        )
        if heartbeats:
            self._spawn(self._beat())

    def crash(self) -> None:
        """End without a word; all flows are lost."""
        for task in list(self._tasks):
            task.cancel()
        for flow in self._flows.values():
            if flow.retransmission is not None:
                flow.retransmission.cancel()
        if self._transport is not None:
            self._transport.abort()
        if self._server is not None:
            self._server.close()
        self._fleet.record.write(f"endpoint {self.identifier} crashes")

    def _spawn(self, work) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Heartbeats

    def build_heartbeat(self) -> dict[str, object]:
        """Return the body of the next heartbeat."""
        self._sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self._fleet.app}",
            "zone": "zone-a",
            "version": "v1",
            "concurrency": 3,
            "state": "ready",
            "warmupRemainingMs": 0,
            "sequence": self._sequence,
            "born": self.born,
        }

    async def _beat(self) -> None:
        while True:
            body = self.build_heartbeat()
            status, _ = await fleets.call(
                self.host,
                self._fleet.control,
                "PUT",
                f"/instances/{self.identifier}",
                body,
            )
            self._fleet.record.write(
                f"endpoint {self.identifier} heartbeat"
                f" {body['sequence']}: {status}"
            )
            if 200 <= status < 300:
                self.acknowledged += 1
                await asyncio.sleep(fleets.HEARTBEAT_INTERVAL_S)
            else:
                await asyncio.sleep(0.1)

    async def _serve_health(self, reader, writer) -> None:
        try:
            async with asyncio.timeout(2):
                await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # Packets

    def datagram_received(self, data: bytes, addr) -> None:
        """Process a packet that the agent delivered."""
        packet = packets.parse(data)
        if not packets.is_genuine(data):
            self.forged += 1
            self._fleet.record.write(
                f"endpoint {self.identifier} got a packet nobody wrote so"
            )
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self._flows.get(key)
        if packet.flags & packets.SYN:
            self._accept(packet, key, flow)
        elif flow is None or (not flow.open and packet.ack != flow.seq + 1):
            self._send(packets.bounce(data))
        else:
            self._process(packet, flow)

    def _send(self, raw: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(raw, (self.host, self._fleet.outbound))

    def _accept(self, packet, key, flow) -> None:
        if flow is None:
            flow = HeldFlow(
                key[:2],
                key[2:],
                random.randrange(1 << 30),
                packet.seq + 1,
            )
            flow.next_seq = flow.seq + 1
            self._flows[key] = flow
            self.opened.append((key[:2], packet.ack, time.monotonic()))
            self._fleet.record.write(
                f"endpoint {self.identifier} of {self.service} takes the"
                f" opening packet {key[0]}:{key[1]}>{key[2]}:{key[3]}"
                f" copy {packet.ack}"
            )
        self._send(
            packets.build(
                flow.route,
                flow.client,
                packets.SYN | packets.ACK,
                flow.seq,
                packet.seq + 1,
            )
        )

    def _process(self, packet, flow: HeldFlow) -> None:
        flow.open = True
        if packet.flags & packets.RST:
            self._stop_retransmission(flow)
            return
        if packet.ack >= flow.next_seq:
            self._stop_retransmission(flow)
        if packet.data:
            if packet.seq == flow.next_client_seq and not flow.finished:
                flow.next_client_seq += len(packet.data)
                self._spawn(self._run(packet.data, flow))
            self._acknowledge(flow)
        if packet.flags & packets.FIN:
            flow.finished = True
            flow.next_client_seq = packet.seq + len(packet.data) + 1
            self._send(
                packets.build(
                    flow.route,
                    flow.client,
                    packets.FIN | packets.ACK,
                    flow.next_seq,
                    flow.next_client_seq,
                )
            )

    def _acknowledge(self, flow: HeldFlow) -> None:
        self._send(
            packets.build(
                flow.route,
                flow.client,
                packets.ACK,
                flow.next_seq,
                flow.next_client_seq,
            )
        )

    def _stop_retransmission(self, flow: HeldFlow) -> None:
        if flow.retransmission is not None:
            flow.retransmission.cancel()
            flow.retransmission = None

    async def _run(self, request: bytes, flow: HeldFlow) -> None:
        identifier = find_header(request, b"x-egretfork-request-attempt-id")
        self.runs.append((identifier, flow.route, time.monotonic()))
        self._fleet.record.write(
            f"endpoint {self.identifier} of {self.service} runs request"
            f" {identifier} of flow {flow.client[0]}:{flow.client[1]}"
            f">{flow.route[0]}:{flow.route[1]}"
        )
        await asyncio.sleep(self._work_s)
        body = f"answer to {identifier} by {self.identifier}".encode()
        answer = (
            b"HTTP/1.1 200 OK\r\nX-Egretfork-Server-Signature: s\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        ) + body
        raw = packets.build(
            flow.route,
            flow.client,
            packets.ACK,
            flow.next_seq,
            flow.next_client_seq,
            answer,
        )
        flow.next_seq += len(answer)
        flow.retransmission = self._spawn(self._retransmit(raw))

    async def _retransmit(self, raw: bytes) -> None:
        pause = RETRANSMIT_S
        for _ in range(9):
            self._send(raw)
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_RETRANSMIT_S)


def find_header(request: bytes, name: bytes) -> str:
    """Return the value of a header field."""
    for line in request.split(b"\r\n"):
        field, _, value = line.partition(b":")
        if field.lower() == name:
            return value.strip().decode()
    return ""


class Router:
    """The platform's routers: readiness checks, hash ``mod`` of flows."""

    def __init__(self, fleet: fleets.Fleet, entries: list) -> None:
        self._fleet = fleet
        self._entries = entries
        self._misses = dict.fromkeys((e.host for e in entries), 2)
        self._task = asyncio.create_task(self._check())

    @property
    def ready(self) -> list[str]:
        """Return the entries in rotation."""
        return [host for host, misses in self._misses.items() if misses < 2]

    def choose(self, *key: object) -> tuple[str, int]:
        """Return the entry to which a packet of a flow goes."""
        hosts = self.ready
        if 2 * len(hosts) < len(self._misses):
            hosts = list(self._misses)
        number = hash(key) % len(hosts)
        return hosts[number], self._fleet.datagram

    async def _check(self) -> None:
        while True:
            for host in self._misses:
                status, _ = await fleets.call(
                    host, self._fleet.readiness, "GET", "/readiness", None, 0.4
                )
                misses = 0 if status == 200 else self._misses[host] + 1
                self._misses[host] = misses
            await asyncio.sleep(0.5)


class Client(asyncio.DatagramProtocol):
    """A client machine; its flows differ by their port."""

    def __init__(self, fleet: fleets.Fleet, router: Router, host: str) -> None:
        self.fleet = fleet
        self.router = router
        self.host = host
        self._ports = itertools.count(1024)
        self._flows: dict[int, "ClientFlow"] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind the address."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.host, self.fleet.datagram)
        )

    def datagram_received(self, data: bytes, addr) -> None:
        """Process a packet from an endpoint or a reset of the system."""
        packet = packets.parse(data)
        flow = self._flows.get(packet.dport)
        if flow is not None:
            flow.receive(packet, data)

    def send(self, raw: bytes, port: int, route: tuple[str, int]) -> None:
        """Send a packet through the router."""
        if self._transport is not None:
            entry = self.router.choose(self.host, port, *route)
            self._transport.sendto(raw, entry)

    def open(self, route: tuple[str, int]) -> "ClientFlow":
        """Return a new flow from a new port."""
        flow = ClientFlow(self, next(self._ports), route)
        self._flows[flow.port] = flow
        return flow


class ClientFlow:
    """A flow of a client.

    Attributes:
        sent: times at which the opening packet and its copies were sent.
        resets: resets that arrived, as (time, whether the flow was open).
    """

    def __init__(
        self, client: Client, port: int, route: tuple[str, int]
    ) -> None:
        self._client = client
        self.port = port
        self.route = route
        self._seq = random.randrange(1 << 30)
        self._ack = 0
        self.opened = asyncio.Event()
        self.ended = asyncio.Event()
        self._answer: asyncio.Future[bytes] | None = None
        self._change = asyncio.Event()
        self.sent: list[float] = []
        self.resets: list[tuple[float, bool]] = []

    @property
    def name(self) -> str:
        """Return the flow's addresses."""
        return (
            f"{self._client.host}:{self.port}"
            f">{self.route[0]}:{self.route[1]}"
        )

    def receive(self, packet, raw: bytes) -> None:
        """Process a packet of the flow."""
        record = self._client.fleet.record
        if packet.flags & packets.RST:
            if packet.sum == 0:
                in_window = (
                    not self.opened.is_set()
                    or abs(packet.seq - self._ack) <= 76_800
                )
                if not in_window:
                    return
                self.resets.append((time.monotonic(), self.opened.is_set()))
                record.write(
                    f"client flow {self.name} gets a reset of the system,"
                    f" open={self.opened.is_set()}"
                )
            self.ended.set()
            self._change.set()
            return
        if not packets.is_genuine(raw):
            record.write(f"client flow {self.name} got a forged packet")
            return
        if packet.flags & packets.SYN:
            if not self.opened.is_set():
                self._ack = packet.seq + 1
                self._seq += 1
                self.opened.set()
                self._change.set()
            self._send(packets.ACK)
            return
        if packet.data and packet.seq == self._ack:
            self._ack += len(packet.data)
            if self._answer is not None and not self._answer.done():
                self._answer.set_result(packet.data)
        if packet.data:
            self._send(packets.ACK)

    def _send(self, flags: int, data: bytes = b"", seq: int = -1) -> None:
        raw = packets.build(
            (self._client.host, self.port),
            self.route,
            flags,
            self._seq if seq < 0 else seq,
            self._ack,
            data,
        )
        self._client.send(raw, self.port, self.route)

    async def connect(self) -> bool:
        """Open the flow; return whether it opened."""
        began = time.monotonic()
        for copy, at in enumerate((0.0, *SYN_COPIES_S)):
            await self._wait(began + at - time.monotonic())
            if self.opened.is_set() or self.ended.is_set():
                break
            self.sent.append(time.monotonic())
            self._client.fleet.record.write(
                f"client flow {self.name} sends opening packet copy {copy}"
            )
            raw = packets.build(
                (self._client.host, self.port),
                self.route,
                packets.SYN,
                self._seq,
                copy,
            )
            self._client.send(raw, self.port, self.route)
        await self._wait(began + OPEN_LIMIT_S - time.monotonic())
        return self.opened.is_set() and not self.ended.is_set()

    async def _wait(self, seconds: float) -> None:
        if seconds <= 0:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._change.wait()
        except TimeoutError:
            pass

    async def request(self, identifier: str, deadline_s: float = 1.5) -> bytes:
        """Send a request; return the answer, empty if there is none."""
        data = (
            f"GET / HTTP/1.1\r\nHost: x\r\n"
            f"X-Egretfork-Request-Attempt-Id: {identifier}\r\n\r\n"
        ).encode()
        seq = self._seq
        self._seq += len(data)
        self._answer = asyncio.get_running_loop().create_future()
        self._client.fleet.record.write(
            f"client flow {self.name} sends request {identifier}"
        )
        end = time.monotonic() + deadline_s
        pause = RETRANSMIT_S
        answer = b""
        while time.monotonic() < end and not self.ended.is_set():
            self._send(packets.ACK, data, seq)
            try:
                async with asyncio.timeout(
                    min(pause, max(end - time.monotonic(), 0.01))
                ):
                    answer = await asyncio.shield(self._answer)
                    break
            except TimeoutError:
                pause = min(2 * pause, MAX_RETRANSMIT_S)
        status = answer.partition(b"\r\n")[0].decode() or "none"
        self._client.fleet.record.write(
            f"client flow {self.name} request {identifier}: {status}"
        )
        return answer

    def close(self) -> None:
        """Close the flow."""
        if not self.ended.is_set():
            self._send(packets.FIN | packets.ACK)


class Operator:
    """Sends configurations to the machines that serve ``control``."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet

    async def put(self, body: dict[str, object]) -> float:
        """Send a configuration until it is acknowledged; return the time."""
        hosts = itertools.cycle(core.host for core in self._fleet.cores)
        target = None
        for _ in range(60):
            host, port = target or (next(hosts), self._fleet.control)
            target = None
            status, answer = await fleets.call(
                host, port, "PUT", "/configuration", body
            )
            target = self._find_redirect(status, answer)
            if status == 200:
                self._fleet.record.write(
                    f"operator: version {body['version']} acknowledged"
                )
                return time.monotonic()
            if target is None:
                await asyncio.sleep(0.1)
        raise fleets.CannotRun("no configuration was acknowledged")

    async def read(self) -> int | None:
        """Ask every machine once; return the version if one answers."""
        for core in self._fleet.cores:
            target: tuple[str, int] | None = (core.host, self._fleet.control)
            for _ in range(3):
                if target is None:
                    break
                status, answer = await fleets.call(
                    *target, "GET", "/configuration"
                )
                if status == 200:
                    return int(json.loads(answer)["version"])
                target = self._find_redirect(status, answer)
        return None

    def _find_redirect(
        self, status: int, answer: bytes
    ) -> tuple[str, int] | None:
        """Return the address that a 307 names."""
        if status != 307:
            return None
        host, _, port = answer.decode().partition(":")
        return (host, int(port)) if port else None


def build_configuration(
    version: int, routes: dict[tuple[str, int], str], services: list[str]
) -> dict[str, object]:
    """Return a configuration that leads each route to one service."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}-{port}",
                "host": host,
                "pathPrefix": f"/{port}/",
                "kind": "unsafe",
                "timeoutMs": 1500,
                "targetLatencyMs": 180,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
            for (host, port), service in routes.items()
        ],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 2000,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def dump(value: object) -> str:
    """Return a value as one line."""
    return json.dumps(value, default=str)
