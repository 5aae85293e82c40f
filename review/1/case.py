"""A late heartbeat of a crashed endpoint, whose address is used again."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import ends  # noqa: E402
import packets  # noqa: E402
import play  # noqa: E402
import record  # noqa: E402

# Seconds after the last heartbeat of the endpoint that crashes. TCP sends
# unacknowledged bytes again 0.2, 0.6, 1.4 and 3.0 s after they were sent, and
# an unanswered SYN after 1.0 s.
CRASH_AT_S = 0.3
START_AT_S = 2.7
CUT_UNTIL_S = 2.9
HEARTBEAT_ARRIVES_AT_S = 3.0
REQUESTS_PER_S = 40
# One endpoint of six is cut off, crashes and is replaced.
SERVICES = ["first"] * 4 + ["second"] * 2


class Link:
    """Link between an endpoint and the node on its machine.

    While it is cut, datagrams are lost, new connections get no answer, and
    the bytes of open connections wait.
    """

    def __init__(self, owner: deployment.Deployment, host: str) -> None:
        self._owner = owner
        self._host = host
        self.is_cut = False
        self.heartbeat_arrives = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        """Return the address to which the endpoint sends heartbeats."""
        self._server = await asyncio.start_server(self._forward, self._host, 0)
        return self._server.sockets[0].getsockname()[:2]

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            size = next(
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length")
            )
            body = await reader.readexactly(size)
            if self.is_cut:
                if b"/instances/i-first" not in head:
                    # This connection was opened during the cut.
                    return
                await self.heartbeat_arrives.wait()
                self._owner.record.write("late_heartbeat_arrives")
            answer_reader, node = await asyncio.open_connection(
                self._host, self._owner.ports.control
            )
            node.write(head + body)
            answer = await answer_reader.readuntil(b"\r\n\r\n")
            writer.write(answer + await answer_reader.read(2))
            node.close()
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if not self.is_cut:
                writer.close()


class LinkedEndpoint(ends.Endpoint):
    """Endpoint whose datagrams pass a link."""

    link: Link

    def _on_datagram(self, datagram: bytes) -> None:
        if not self.link.is_cut:
            super()._on_datagram(datagram)

    def _send_raw(self, datagram: bytes) -> None:
        if not self.link.is_cut:
            super()._send_raw(datagram)


async def play_case(log: record.Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    owner = deployment.Deployment(log, 1, SERVICES)
    try:
        return await _play(owner, log, trouble)
    finally:
        owner.close()


async def _play(
    owner: deployment.Deployment, log: record.Record, trouble: bool
) -> list[str]:
    owner.start()
    host = owner.agents[0].host
    link = Link(owner, host)
    first = LinkedEndpoint(owner, host, "first", "i-first", slots=3)
    first.link = link
    first.heartbeat_address = await link.start()
    others = [
        ends.Endpoint(owner, agent.host, agent.service, f"i-{number}", slots=3)
        for number, agent in enumerate(owner.agents)
        if agent.host != host
    ]
    for endpoint in (*others, first):
        await endpoint.start(heartbeats=endpoint is not first)
    beating = asyncio.create_task(_send_heartbeats(first))
    routes = {
        packets.Address(owner.service_host, 8443): "first",
        packets.Address(owner.service_host, 9443): "second",
    }
    await owner.put_configuration(
        ends.build_configuration(3, routes, ["first", "second"])
    )
    await owner.wait_until_ready([owner.entries[0].host])
    router = ends.Router(owner)
    client = ends.Client(owner, router, owner.client_hosts[0])
    await client.start()
    traffic = asyncio.create_task(_send_requests(client, list(routes)))
    await asyncio.sleep(4.0)
    beating.cancel()

    # The last heartbeat of the first endpoint.
    began_at = log.now()
    link.is_cut = trouble
    log.write("last_heartbeat", cut=int(trouble))
    last = asyncio.create_task(first.send_heartbeat())
    await _wait_until(log, began_at + CRASH_AT_S)
    first.crash()
    placeholder = None
    if trouble:
        # The address is out of reach during the cut, so it refuses nothing.
        placeholder = await asyncio.start_server(
            lambda reader, writer: writer.close(), host, owner.ports.app
        )
    await _wait_until(log, began_at + START_AT_S)
    if placeholder is not None:
        placeholder.close()
        await placeholder.wait_closed()
    owner.agents[0].service = "second"
    owner.agents[0].write_settings()
    successor = LinkedEndpoint(owner, host, "second", "i-successor", slots=3)
    successor.link = link
    successor.heartbeat_address = first.heartbeat_address
    await successor.start()
    await _wait_until(log, began_at + CUT_UNTIL_S)
    link.is_cut = False
    log.write("link_joined")
    await _wait_until(log, began_at + HEARTBEAT_ARRIVES_AT_S)
    link.heartbeat_arrives.set()
    await asyncio.sleep(4.0)
    traffic.cancel()
    await asyncio.gather(last, traffic, return_exceptions=True)
    return [
        f"ROUTE: request {attempt} for {route}, which is of service"
        f" {routes[route]} only, was run by {endpoint.identifier} of service"
        f" {endpoint.service}"
        for endpoint in (successor, *others)
        for _, attempt, route in endpoint.run
        if routes[route] != endpoint.service
    ]


async def _send_heartbeats(endpoint: ends.Endpoint) -> None:
    while True:
        await endpoint.send_heartbeat()
        await asyncio.sleep(1.1)


async def _send_requests(
    client: ends.Client, routes: list[packets.Address]
) -> None:
    running: set[asyncio.Task[None]] = set()
    number = 0
    try:
        while True:
            number += 1
            route = routes[number % 3 == 0]
            task = asyncio.create_task(_send_request(client, route, number))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)
    finally:
        for task in running:
            task.cancel()


async def _send_request(
    client: ends.Client, route: packets.Address, number: int
) -> None:
    flow = await client.open_flow(route, 20_000 + number)
    if flow is not None:
        await client.request(flow, f"a-{number}")
        await client.finish(flow)


async def _wait_until(log: record.Record, moment: float) -> None:
    await asyncio.sleep(max(moment - log.now(), 0))


if __name__ == "__main__":
    play.run(play_case, FOLDER)
