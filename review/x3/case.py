"""An entry is restarted while a client uses a port again."""

import asyncio
import collections.abc
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

FLOW_COUNT = 24
PAUSE_S = 0.4
# Ports rest for longer than `idleTimeoutMs` after their flows have closed.
REST_S = 16.0


async def play_case(log: record.Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    owner = deployment.Deployment(log, 2, ["blue"] * 4)
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
    await owner.wait_until_ready([entry.host for entry in owner.entries])
    router = ends.Router(owner)
    checks = asyncio.create_task(router.check_readiness())
    client = ends.Client(owner, router, owner.client_hosts[0])
    await client.start()

    # The second entry is stopped and started in turn (roll_term); while it is
    # away, all flows pass the first.
    second = owner.entries[1]
    if trouble:
        await _restart(second, router, during=_use_short(client, route))
    else:
        await _use_short(client, route)
    await asyncio.sleep(REST_S)
    # The same ports again, for flows that stay open.
    used = [
        asyncio.create_task(_use_long(client, route, 20_000 + number))
        for number in range(FLOW_COUNT)
    ]
    await asyncio.sleep(3.0)
    if trouble:
        await _restart(second, router, during=asyncio.sleep(3.0))
    flows = await asyncio.gather(*used)
    checks.cancel()
    return [
        line
        for flow in flows
        if flow is not None
        for line in _check_flow(flow, endpoints)
    ]


def _check_flow(
    flow: ends.ClientFlow, endpoints: list[ends.Endpoint]
) -> list[str]:
    """Return a break if a flow was reset, but not by its endpoint."""
    prefix = f"long-{flow.name[0].port}-"
    own = [
        endpoint
        for endpoint in endpoints
        if any(attempt.startswith(prefix) for _, attempt, _ in endpoint.run)
    ]
    senders = [
        endpoint
        for endpoint in endpoints
        if any(name == flow.name for _, name in endpoint.resets_sent)
    ]
    if not flow.reset_by or len(own) != 1 or own[0] in senders:
        return []
    names = [endpoint.identifier for endpoint in senders] or ["the system"]
    return [
        f"FLOW: flow {flow.name[0]}>{flow.name[1]} of {own[0].identifier} got"
        f" a reset of {names[0]}"
    ]


async def _restart(
    entry: deployment.Machine,
    router: ends.Router,
    during: collections.abc.Awaitable[None],
) -> None:
    """Stop an entry, and start it again after some work."""
    entry.send_signal(signal.SIGTERM)
    await entry.wait_for_exit()
    while entry.host in router.rotation:
        await asyncio.sleep(0.05)
    await during
    entry.start()
    while entry.host not in router.rotation:
        await asyncio.sleep(0.05)


async def _use_short(client: ends.Client, route: packets.Address) -> None:
    for number in range(FLOW_COUNT):
        flow = await client.open_flow(route, 20_000 + number)
        if flow is not None:
            await client.request(flow, f"short-{number}", close=True)
            await client.finish(flow)


async def _use_long(
    client: ends.Client, route: packets.Address, port: int
) -> ends.ClientFlow | None:
    await asyncio.sleep((port % 24) * 0.05)
    flow = await client.open_flow(route, port)
    if flow is None:
        return None
    for number in range(30):
        if await client.request(flow, f"long-{port}-{number}") is None:
            return flow
        await asyncio.sleep(PAUSE_S)
    await client.finish(flow)
    return flow


if __name__ == "__main__":
    play.run(play_case, FOLDER)
