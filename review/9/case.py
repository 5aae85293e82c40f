"""A heartbeat of another writer makes an agent reset live flows."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

import fleet as fleets  # noqa: E402
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("198.18.0.1", 8443)
SERVICE = "hatlog"
FLOW_COUNT = 20
REQUEST_PERIOD_S = 0.5
SETTLE_S = 6.0
WATCH_S = 6.0


async def use_flow(flow: standins.ClientFlow, name: str) -> None:
    """Send requests on one long flow until it ends."""
    if not await flow.connect():
        return
    number = 0
    while not flow.ended.is_set():
        number += 1
        await flow.request(f"{name}-{number}")
        await asyncio.sleep(REQUEST_PERIOD_S)


async def play(record: fleets.Record, fleet: fleets.Fleet) -> bool:
    """Play the case; return whether the rule held."""
    entries = [fleet.add("entry", 11), fleet.add("entry", 12)]
    agents = [fleet.add("agent", 21 + n, SERVICE) for n in range(2)]
    for machine in fleet.machines:
        machine.start()
    endpoints = [
        standins.Endpoint(fleet, machine.host, SERVICE, f"i-{n}")
        for n, machine in enumerate(agents)
    ]
    for endpoint in endpoints:
        await endpoint.start()
    operator = standins.Operator(fleet)
    await asyncio.sleep(1)
    await operator.put(
        standins.build_configuration(2, {ROUTE: SERVICE}, [SERVICE])
    )
    router = standins.Router(fleet, entries)

    async def is_ready() -> bool:
        known = all(endpoint.acknowledged for endpoint in endpoints)
        return known and len(router.ready) == len(entries)

    await fleets.wait_until(is_ready, 15, "the entries did not get ready")
    client = standins.Client(fleet, router, fleet.host(31))
    await client.start()
    flows = [client.open(ROUTE) for _ in range(FLOW_COUNT)]
    users = []
    for number, flow in enumerate(flows):
        users.append(asyncio.create_task(use_flow(flow, f"f{number}")))
        await asyncio.sleep(0.02)
    # Longer than ``connectivityWindowMs``: all machines are in touch.
    await asyncio.sleep(SETTLE_S)
    if not all(flow.opened.is_set() for flow in flows):
        raise fleets.CannotRun("not all flows opened")
    if TROUBLE:
        body = {
            "service": SERVICE,
            "address": f"{fleet.host(91)}:{fleet.app}",
            "concurrency": 3,
            "state": "ready",
            "sequence": 1,
            "born": time.time_ns() // 1_000_000,
        }
        record.write(f"another writer's heartbeat: {standins.dump(body)}")
        status, answer = await fleets.call(
            agents[0].host, fleet.control, "PUT", "/instances/i-other", body
        )
        record.write(f"agent answers it: {status} {answer.decode()}")
    await asyncio.sleep(WATCH_S)
    resets = [flow for flow in flows for _, is_open in flow.resets if is_open]
    record.write(f"open flows reset by the system: {len(resets)}")
    record.write(f"FLOW {'broken' if resets else 'held'}")
    for user in users:
        user.cancel()
    return not resets


async def main() -> int:
    """Run the case and return the exit code."""
    record = fleets.Record(HERE / "record.txt")
    fleet = fleets.Fleet(record)
    try:
        async with asyncio.timeout(100):
            return 0 if await play(record, fleet) else 1
    except (fleets.CannotRun, OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error}")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
