"""Heartbeats of another writer have a number of another type."""

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

ROUNDS = 4
ROUND_S = 5.0
RESTART_DELAY_S = 0.3
# Of seven machines in use; RULES.md counts a tenth, but two at least.
MACHINES = 2
ENDS = 3


async def play_case(log: record.Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    owner = deployment.Deployment(log, 1, ["blue", "blue", "blue"])
    try:
        return await _play(owner, log, trouble)
    finally:
        owner.close()


async def _play(
    owner: deployment.Deployment, log: record.Record, trouble: bool
) -> list[str]:
    owner.start()
    for number, agent in enumerate(owner.agents):
        endpoint = ends.Endpoint(
            owner, agent.host, agent.service, f"i-{number}"
        )
        await endpoint.start()
    route = packets.Address(owner.service_host, 8443)
    await owner.put_configuration(
        ends.build_configuration(3, {route: "blue"}, ["blue"])
    )
    await owner.wait_until_ready([owner.entries[0].host])
    exits = dict.fromkeys((agent.name for agent in owner.agents), 0)
    watching = [
        asyncio.create_task(_restart_when_ended(agent, exits, log))
        for agent in owner.agents
    ]
    client = ends.Client(owner, ends.Router(owner), owner.client_hosts[0])
    await client.start()
    traffic = asyncio.create_task(_send_requests(client, route))
    for _ in range(ROUNDS):
        await asyncio.sleep(ROUND_S)
        if trouble:
            for agent in owner.agents[:MACHINES]:
                await _send_foreign_heartbeat(owner, agent.host, log)
    await asyncio.sleep(ROUND_S)
    for task in (*watching, traffic):
        task.cancel()
    ended = [name for name, count in exits.items() if count >= ENDS]
    log.write("ends", **exits)
    if len(ended) < MACHINES:
        return []
    return [
        f"Fault: the process of {name} ended by itself {exits[name]} times"
        for name in ended
    ]


async def _restart_when_ended(
    agent: deployment.Machine, exits: dict[str, int], log: record.Record
) -> None:
    """Start a process that has ended again, as the platform does."""
    while True:
        code = await agent.wait_for_exit()
        exits[agent.name] += 1
        log.write("process_ended", machine=agent.name, code=code)
        await asyncio.sleep(RESTART_DELAY_S)
        agent.start()


async def _send_foreign_heartbeat(
    owner: deployment.Deployment, host: str, log: record.Record
) -> None:
    """Send what another writer wrote: a float where milliseconds belong."""
    body = {
        "service": "blue",
        "address": f"{host}:{owner.ports.app}",
        "zone": "zone-a",
        "version": "v1",
        "concurrency": 2,
        "state": "ready",
        "warmupRemainingMs": sys.float_info.max,
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
    log.write("foreign_heartbeat", to=host, status=status)


async def _send_requests(client: ends.Client, route: packets.Address) -> None:
    number = 0
    while True:
        number += 1
        flow = await client.open_flow(route, 20_000 + number)
        if flow is not None:
            await client.request(flow, f"a-{number}", close=True)
            await client.finish(flow)
        await asyncio.sleep(0.05)


if __name__ == "__main__":
    play.run(play_case, FOLDER)
