"""A heartbeat of another writer names a service that does not exist."""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import ends  # noqa: E402
import packets  # noqa: E402
import play  # noqa: E402
import record  # noqa: E402

CLIENT_COUNT = 6
PAUSE_S = 0.5
REQUESTS_PER_FLOW = 16


async def play_case(log: record.Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    owner = deployment.Deployment(log, 1, ["blue", "blue"])
    try:
        return await _play(owner, log, trouble)
    finally:
        owner.close()


async def _play(
    owner: deployment.Deployment, log: record.Record, trouble: bool
) -> list[str]:
    owner.start()
    endpoints = [
        ends.Endpoint(owner, agent.host, agent.service, f"i-{number}", slots=3)
        for number, agent in enumerate(owner.agents)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    route = packets.Address(owner.service_host, 8443)
    await owner.put_configuration(
        ends.build_configuration(3, {route: "blue"}, ["blue"])
    )
    await owner.wait_until_ready([owner.entries[0].host])
    client = ends.Client(owner, ends.Router(owner), owner.client_hosts[0])
    await client.start()
    traffic = [
        asyncio.create_task(_use_flow(client, route, 20_000 + number))
        for number in range(CLIENT_COUNT)
    ]
    await asyncio.sleep(3.0)
    if trouble:
        await _send_foreign_heartbeat(owner, log)
    flows = await asyncio.gather(*traffic)
    return [
        f"FLOW: flow {flow.name[0]}>{flow.name[1]} was reset by the system"
        " while its endpoint lived"
        for flow in flows
        if flow is not None and flow.reset_by == "system"
    ]


async def _send_foreign_heartbeat(
    owner: deployment.Deployment, log: record.Record
) -> None:
    """Send what another writer wrote: its service is not configured."""
    host = owner.agents[0].host
    body = {
        "service": "not-configured",
        "address": f"{host}:{owner.ports.app}",
        "zone": "zone-a",
        "version": "v1",
        "concurrency": 2,
        "state": "ready",
        "warmupRemainingMs": 0,
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    status, _, _ = await asyncio.to_thread(
        deployment.send_http,
        host,
        owner.ports.control,
        "PUT",
        "/instances/i-foreign",
        json.dumps(body).encode(),
    )
    log.write("foreign_heartbeat", status=status)


async def _use_flow(
    client: ends.Client, route: packets.Address, port: int
) -> ends.ClientFlow | None:
    flow = await client.open_flow(route, port)
    if flow is None:
        return None
    for number in range(REQUESTS_PER_FLOW):
        if await client.request(flow, f"a-{port}-{number}") is None:
            return flow
        await asyncio.sleep(PAUSE_S)
    await client.finish(flow)
    return flow


if __name__ == "__main__":
    play.run(play_case, FOLDER)
