"""A node is restarted soon after an endpoint was added beside it."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import ends  # noqa: E402
import packets  # noqa: E402
import play  # noqa: E402
import record  # noqa: E402

CLIENT_COUNT = 24
NODE_FIRST_S = 1.5
STOP_AFTER_S = 0.5
OPEN_FLOWS = 4
RESTART_DELAY_S = 0.1
PAUSE_S = 2.5
REQUESTS_PER_FLOW = 4


class CountingEndpoint(ends.Endpoint):
    """Endpoint whose first heartbeat has the sequence 0."""

    async def start(self, *, heartbeats: bool = True) -> None:
        """Open the sockets and begin to send heartbeats."""
        self.sequence = -1
        await super().start(heartbeats=heartbeats)


async def play_case(log: record.Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    owner = deployment.Deployment(log, 1, ["blue"] * 5)
    try:
        return await _play(owner, log, trouble)
    finally:
        owner.close()


async def _play(
    owner: deployment.Deployment, log: record.Record, trouble: bool
) -> list[str]:
    node = owner.agents[-1]
    owner.start(without=(node,))
    for number, agent in enumerate(owner.agents[:-1]):
        endpoint = CountingEndpoint(
            owner, agent.host, "blue", f"i-{number}", slots=3
        )
        await endpoint.start()
    route = packets.Address(owner.service_host, 8443)
    await owner.put_configuration(
        ends.build_configuration(3, {route: "blue"}, ["blue"])
    )
    await owner.wait_until_ready([owner.entries[0].host])
    client = ends.Client(owner, ends.Router(owner), owner.client_hosts[0])
    await client.start()
    await asyncio.sleep(3.0)
    # An endpoint is added, and its machine with it.
    node.start()
    await asyncio.sleep(NODE_FIRST_S)
    added = CountingEndpoint(owner, node.host, "blue", "i-added", slots=3)
    await added.start()
    traffic = [
        asyncio.create_task(_use_flow(client, route, 20_000 + number, number))
        for number in range(CLIENT_COUNT)
    ]
    # Until some flows are open at the new endpoint, 0.5 s at most.
    stop_at = log.now() + STOP_AFTER_S
    while len(added.run) < OPEN_FLOWS and log.now() < stop_at:
        await asyncio.sleep(0.01)
    if trouble:
        node.send_signal(signal.SIGTERM)
        await node.wait_for_exit()
        await asyncio.sleep(RESTART_DELAY_S)
        node.start()
    flows = await asyncio.gather(*traffic)
    return [
        f"FLOW: flow {flow.name[0]}>{flow.name[1]} was reset by the system"
        " while its endpoint lived"
        for flow in flows
        if flow is not None and flow.reset_by == "system"
    ]


async def _use_flow(
    client: ends.Client, route: packets.Address, port: int, number: int
) -> ends.ClientFlow | None:
    await asyncio.sleep(number * 0.015)
    flow = await client.open_flow(route, port)
    if flow is None:
        return None
    for count in range(REQUESTS_PER_FLOW):
        if await client.request(flow, f"a-{port}-{count}") is None:
            return flow
        await asyncio.sleep(PAUSE_S)
    await client.finish(flow)
    return flow


if __name__ == "__main__":
    play.run(play_case, FOLDER)
