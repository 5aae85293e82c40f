"""Clients, endpoints and routers that follow PROTOCOL.md."""

import asyncio
import collections.abc
import dataclasses
import itertools
import json
import random
import time
import zlib

import deployment
import packets
import record

SYN_COPIES_AT_S = (0.2, 0.6)
SYN_LIMIT_S = 1.4
FIRST_RETRANSMISSION_S = 0.2
LONGEST_RETRANSMISSION_S = 1.6
ENDPOINT_RETRANSMISSIONS = 8
HEARTBEAT_TIMEOUT_S = 1.0

FlowName = tuple[packets.Address, packets.Address]


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(
        self, handle: collections.abc.Callable[[bytes], None]
    ) -> None:
        self._handle = handle

    def datagram_received(self, data: bytes, addr: object) -> None:
        self._handle(data)


async def open_datagrams(
    host: str, port: int, handle: collections.abc.Callable[[bytes], None]
) -> asyncio.DatagramTransport:
    """Open a UDP socket."""
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Datagrams(handle), local_addr=(host, port)
    )
    return transport


# Endpoints


@dataclasses.dataclass
class ServedFlow:
    """A flow at an endpoint."""

    isn: int
    client_isn: int
    client_next: int
    sent_next: int
    acknowledged: int
    opened: bool = False
    received: bytes = b""
    request_running: bool = False
    finished: bool = False


class Endpoint:
    """A sound endpoint: flows, requests, health checks and heartbeats.

    Attributes:
        run: requests that it has run, as (time, attempt ID, route address).
        heartbeat_address: where it sends heartbeats; by default the
            ``control`` address of its machine.
    """

    def __init__(
        self,
        owner: deployment.Deployment,
        host: str,
        service: str,
        identifier: str,
        slots: int = 2,
    ) -> None:
        self._owner = owner
        self._record: record.Record = owner.record
        self.host = host
        self.service = service
        self.identifier = identifier
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.run: list[tuple[float, str, packets.Address]] = []
        self.resets_sent: list[tuple[float, FlowName]] = []
        self.heartbeat_address = (host, owner.ports.control)
        self.flows: dict[FlowName, ServedFlow] = {}
        self._ended: set[FlowName] = set()
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, *, heartbeats: bool = True) -> None:
        """Open the sockets and begin to send heartbeats."""
        port = self._owner.ports.app
        self.born_ms = time.time_ns() // 1_000_000
        self._transport = await open_datagrams(
            self.host, port, self._on_datagram
        )
        self._server = await asyncio.start_server(
            self._serve_health, self.host, port, reuse_address=True
        )
        self._record.write(
            "endpoint_started",
            endpoint=self.identifier,
            service=self.service,
            host=self.host,
        )
        if heartbeats:
            self._spawn(self._send_heartbeats())

    def crash(self) -> None:
        """End at once, without a word."""
        self._record.write("endpoint_crashed", endpoint=self.identifier)
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        if self._transport is not None:
            self._transport.abort()
        if self._server is not None:
            self._server.close()
        self.flows.clear()

    def _spawn(
        self, work: collections.abc.Coroutine[object, object, None]
    ) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Heartbeats

    def build_heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{self._owner.ports.app}",
                "zone": "zone-a",
                "version": "v1",
                "concurrency": self._slot_count,
                "state": self.state,
                "warmupRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    async def send_heartbeat(self) -> int:
        """Send one heartbeat; return the status, 0 without an answer."""
        host, port = self.heartbeat_address
        body = self.build_heartbeat()
        sequence = self.sequence
        path = f"/instances/{self.identifier}"
        status, _, _ = await asyncio.to_thread(
            deployment.send_http, host, port, "PUT", path, body
        )
        self._record.write(
            "heartbeat",
            endpoint=self.identifier,
            service=self.service,
            state=self.state,
            sequence=sequence,
            status=status,
        )
        return status

    async def _send_heartbeats(self) -> None:
        interval_s = self._owner.heartbeat_interval_ms / 1000
        while True:
            began_at = time.monotonic()
            status = await self.send_heartbeat()
            if status != 200:
                # Without an acknowledgement the call is made again.
                await asyncio.sleep(0.1)
                continue
            spent = time.monotonic() - began_at
            await asyncio.sleep(max(interval_s - spent, 0.05))

    async def _serve_health(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            line = await reader.readline()
            if line.startswith(b"GET "):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    # Flows

    def _send(self, packet: packets.Packet) -> None:
        self._send_raw(packets.encode(packet))

    def _send_raw(self, datagram: bytes) -> None:
        if self._transport is not None:
            outbound = (self.host, self._owner.ports.outbound)
            self._transport.sendto(datagram, outbound)

    def _on_datagram(self, datagram: bytes) -> None:
        try:
            packet = packets.decode(datagram)
        except ValueError:
            self._record.write("forged_packet", endpoint=self.identifier)
            return
        if not packet.is_intact():
            self._record.write("forged_packet", endpoint=self.identifier)
            return
        name = (packet.src, packet.dst)
        if packet.flags & packets.SYN:
            self._on_opening(name, packet)
            return
        flow = self.flows.get(name)
        if flow is None:
            self._on_unknown(name, packet, datagram)
        elif packet.flags & packets.RST:
            del self.flows[name]
        else:
            self._on_packet(name, flow, packet, datagram)

    def _on_opening(self, name: FlowName, packet: packets.Packet) -> None:
        flow = self.flows.get(name)
        if flow is None or flow.client_isn != packet.seq:
            isn = random.randrange(1 << 32)
            after = (isn + 1) & packets.SEQUENCE_MASK
            flow = ServedFlow(isn, packet.seq, packet.seq + 1, after, isn)
            self.flows[name] = flow
            self._ended.discard(name)
            self._record.write(
                "opening_taken",
                endpoint=self.identifier,
                flow=f"{name[0]}>{name[1]}",
            )
        self._answer(name, flow, packets.SYN | packets.ACK, seq=flow.isn)

    def _on_unknown(
        self, name: FlowName, packet: packets.Packet, datagram: bytes
    ) -> None:
        if name not in self._ended:
            self._send_raw(packets.bounce(datagram))
        elif packet.data:
            self.resets_sent.append((self._record.now(), name))
            self._record.write(
                "endpoint_reset",
                endpoint=self.identifier,
                flow=f"{name[0]}>{name[1]}",
            )
            reset = packets.Packet(name[1], name[0], packets.RST, packet.ack)
            self._send(reset)
        elif packet.flags & packets.FIN:
            answer = packets.Packet(
                name[1], name[0], packets.ACK, packet.ack, packet.seq + 1
            )
            self._send(answer)

    def _on_packet(
        self,
        name: FlowName,
        flow: ServedFlow,
        packet: packets.Packet,
        datagram: bytes,
    ) -> None:
        if not flow.opened:
            if packet.ack != (flow.isn + 1) & packets.SEQUENCE_MASK:
                # The client acknowledged another endpoint's SYN+ACK.
                del self.flows[name]
                self._send_raw(packets.bounce(datagram))
                return
            flow.opened = True
        flow.acknowledged = packet.ack
        in_order = packet.seq == flow.client_next
        if packet.data:
            if in_order:
                flow.client_next = packet.seq + len(packet.data)
                flow.received += packet.data
                self._take_request(name, flow)
            self._answer(name, flow, packets.ACK)
        if packet.flags & packets.FIN:
            flow.client_next = packet.seq + len(packet.data) + 1
            self._answer(name, flow, packets.ACK)
            del self.flows[name]
            self._ended.add(name)

    def _answer(
        self,
        name: FlowName,
        flow: ServedFlow,
        flags: int,
        data: bytes = b"",
        seq: int | None = None,
    ) -> None:
        number = flow.sent_next if seq is None else seq
        self._send(
            packets.Packet(
                name[1], name[0], flags, number, flow.client_next, data
            )
        )

    def _take_request(self, name: FlowName, flow: ServedFlow) -> None:
        if b"\r\n\r\n" not in flow.received:
            return
        head, flow.received = flow.received.split(b"\r\n\r\n", 1)
        headers = dict(
            line.split(": ", 1) for line in head.decode().split("\r\n")[1:]
        )
        self._spawn(self._run(name, flow, headers))

    async def _run(
        self, name: FlowName, flow: ServedFlow, headers: dict[str, str]
    ) -> None:
        attempt = headers["X-Egretfork-Request-Attempt-Id"]
        closes = (
            headers.get("Connection") == "close" or self.state == "draining"
        )
        async with self._slots:
            self.run.append((self._record.now(), attempt, name[1]))
            self._record.write(
                "run",
                attempt=attempt,
                endpoint=self.identifier,
                service=self.service,
                route=name[1],
            )
            await asyncio.sleep(float(headers.get("X-Work-S", "0.02")))
        body = f"{attempt} of {self.service}".encode()
        response = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Egretfork-Server-Signature: {self.identifier}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        flags = packets.ACK | (packets.FIN if closes else 0)
        start = flow.sent_next
        end = (start + len(response) + int(closes)) & packets.SEQUENCE_MASK
        pause = FIRST_RETRANSMISSION_S
        for _ in range(ENDPOINT_RETRANSMISSIONS + 1):
            if self.flows.get(name) is not flow:
                return
            self._answer(name, flow, flags, response, start)
            flow.sent_next = end
            await asyncio.sleep(pause)
            if flow.acknowledged == end:
                return
            pause = min(pause * 2, LONGEST_RETRANSMISSION_S)


# Routers and clients


class Router:
    """Forwards the packets of clients to the entries in rotation."""

    def __init__(self, owner: deployment.Deployment) -> None:
        self._owner = owner
        self.rotation = [entry.host for entry in owner.entries]
        self._misses: dict[str, int] = {}

    def choose(self, packet: packets.Packet) -> str:
        """Return the entry for a packet by a hash of its addresses."""
        text = f"{packet.src} {packet.dst}".encode()
        return self.rotation[zlib.crc32(text) % len(self.rotation)]

    async def check_readiness(self) -> None:
        """Check each entry twice per second; two misses end its rotation."""
        ports = self._owner.ports
        while True:
            checks = (
                asyncio.to_thread(
                    deployment.send_http,
                    entry.host,
                    ports.readiness,
                    "GET",
                    "/readiness",
                )
                for entry in self._owner.entries
            )
            for entry, answer in zip(
                self._owner.entries, await asyncio.gather(*checks), strict=True
            ):
                missed = self._misses.get(entry.host, 0) + 1
                self._misses[entry.host] = 0 if answer[0] == 200 else missed
            in_rotation = [
                entry.host
                for entry in self._owner.entries
                if self._misses[entry.host] < 2
            ]
            in_rotation = in_rotation or [e.host for e in self._owner.entries]
            if in_rotation != self.rotation:
                self._owner.record.write(
                    "rotation", entries=",".join(in_rotation)
                )
                self.rotation = in_rotation
            await asyncio.sleep(0.5)


@dataclasses.dataclass
class ClientFlow:
    """A flow at a client.

    Attributes:
        reset_by: "system" if the reset had ``sum`` 0, else "endpoint".
    """

    name: FlowName
    seq: int
    endpoint_next: int = 0
    opened: bool = False
    reset_by: str = ""
    response: bytes = b""
    endpoint_finished: bool = False
    acknowledged: int = 0
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Client:
    """A sound client on one host."""

    def __init__(
        self, owner: deployment.Deployment, router: Router, host: str
    ) -> None:
        self._owner = owner
        self._record = owner.record
        self._router = router
        self.host = host
        self._flows: dict[FlowName, ClientFlow] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Open the socket on which the host gets packets."""
        port = self._owner.ports.datagram
        self._transport = await open_datagrams(
            self.host, port, self._on_datagram
        )

    def _send(self, packet: packets.Packet) -> None:
        if self._transport is not None:
            entry = (self._router.choose(packet), self._owner.ports.datagram)
            self._transport.sendto(packets.encode(packet), entry)

    async def open_flow(
        self, route: packets.Address, port: int
    ) -> ClientFlow | None:
        """Open a flow; return ``None`` if no endpoint accepts it."""
        source = packets.Address(self.host, port)
        flow = ClientFlow((source, route), random.randrange(1 << 31))
        self._flows[flow.name] = flow
        began_at = time.monotonic()
        times = (0.0, *SYN_COPIES_AT_S)
        limits = (*SYN_COPIES_AT_S, SYN_LIMIT_S)
        for copy, (_, limit) in enumerate(zip(times, limits, strict=True)):
            self._send(
                packets.Packet(source, route, packets.SYN, flow.seq, copy)
            )
            if copy == 0:
                self._record.write("flow_sent", flow=f"{source}>{route}")
            wait = began_at + limit - time.monotonic()
            await self._wait(flow, wait)
            if flow.reset_by:
                break
            if flow.opened:
                flow.seq += 1
                flow.acknowledged = flow.seq
                return flow
        self._record.write(
            "flow_failed",
            flow=f"{source}>{route}",
            reset=flow.reset_by or "no",
        )
        del self._flows[flow.name]
        return None

    async def _wait(self, flow: ClientFlow, duration: float) -> None:
        flow.changed.clear()
        try:
            await asyncio.wait_for(flow.changed.wait(), max(duration, 0.001))
        except TimeoutError:
            pass

    async def request(
        self,
        flow: ClientFlow,
        attempt: str,
        deadline_s: float = 3.0,
        *,
        close: bool = False,
        work_s: float = 0.02,
    ) -> bytes | None:
        """Send a request on a flow; return the response if it is whole."""
        connection = "Connection: close\r\n" if close else ""
        data = (
            f"POST /work HTTP/1.1\r\nHost: {flow.name[1]}\r\n{connection}"
            f"X-Work-S: {work_s}\r\n"
            f"X-Egretfork-Request-Attempt-Id: {attempt}\r\n\r\n"
        ).encode()
        flow.response = b""
        self._record.write(
            "request_sent",
            attempt=attempt,
            flow=f"{flow.name[0]}>{flow.name[1]}",
        )
        source, route = flow.name
        start = flow.seq
        end = start + len(data)
        flow.seq = end
        limit = time.monotonic() + deadline_s
        pause = FIRST_RETRANSMISSION_S
        while time.monotonic() < limit and not flow.reset_by:
            if flow.acknowledged < end:
                self._send(
                    packets.Packet(
                        source,
                        route,
                        packets.ACK,
                        start,
                        flow.endpoint_next,
                        data,
                    )
                )
            until = min(time.monotonic() + pause, limit)
            pause = min(pause * 2, LONGEST_RETRANSMISSION_S)
            while time.monotonic() < until and not flow.reset_by:
                await self._wait(flow, until - time.monotonic())
                if _is_whole(flow.response):
                    self._record.write("answered", attempt=attempt)
                    return flow.response
        self._record.write(
            "not_answered", attempt=attempt, reset=flow.reset_by or "no"
        )
        return None

    async def finish(self, flow: ClientFlow) -> None:
        """Send a FIN and forget the flow once it is acknowledged."""
        source, route = flow.name
        pause = FIRST_RETRANSMISSION_S
        flow.seq += 1
        for _ in range(4):
            self._send(
                packets.Packet(
                    source,
                    route,
                    packets.FIN | packets.ACK,
                    flow.seq - 1,
                    flow.endpoint_next,
                )
            )
            await self._wait(flow, pause)
            if flow.acknowledged >= flow.seq or flow.reset_by:
                break
            pause *= 2
        self._record.write("flow_closed", flow=f"{source}>{route}")
        if self._flows.get(flow.name) is flow:
            del self._flows[flow.name]

    def _on_datagram(self, datagram: bytes) -> None:
        packet = packets.decode(datagram)
        flow = self._flows.get((packet.dst, packet.src))
        if flow is None:
            return
        if packet.flags & packets.RST:
            if packet.checksum and not packet.is_intact():
                self._record.write("forged_packet", client=self.host)
                return
            flow.reset_by = "endpoint" if packet.checksum else "system"
            self._record.write(
                "reset",
                flow=f"{flow.name[0]}>{flow.name[1]}",
                by=flow.reset_by,
                opened=flow.opened,
            )
            flow.changed.set()
            return
        if not packet.is_intact():
            self._record.write("forged_packet", client=self.host)
            return
        if packet.flags & packets.SYN:
            if not flow.opened:
                flow.opened = True
                flow.endpoint_next = (packet.seq + 1) & packets.SEQUENCE_MASK
                flow.changed.set()
            return
        if not flow.opened:
            return
        flow.acknowledged = max(flow.acknowledged, packet.ack)
        size = len(packet.data) + bool(packet.flags & packets.FIN)
        if size and packet.seq == flow.endpoint_next:
            flow.endpoint_next = (packet.seq + size) & packets.SEQUENCE_MASK
            flow.response += packet.data
            flow.endpoint_finished |= bool(packet.flags & packets.FIN)
        if size:
            source, route = flow.name
            self._send(
                packets.Packet(
                    source, route, packets.ACK, flow.seq, flow.endpoint_next
                )
            )
        flow.changed.set()


def _is_whole(response: bytes) -> bool:
    head, separator, body = response.partition(b"\r\n\r\n")
    if not separator:
        return False
    length = next(
        int(line.split(b": ")[1])
        for line in head.split(b"\r\n")
        if line.startswith(b"Content-Length")
    )
    return len(body) >= length


def build_configuration(
    version: int, routes: dict[packets.Address, str], services: list[str]
) -> dict[str, object]:
    """Return a configuration as PROTOCOL.md shows it."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": address.host,
                "pathPrefix": f"/{address.port}/",
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 200,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
            }
            for number, (address, service) in zip(
                itertools.count(), routes.items()
            )
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
