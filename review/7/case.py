"""A late heartbeat of an ended endpoint leads flows to another service."""

import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

import fleet as fleets  # noqa: E402
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PULL_ROUTE = ("198.18.0.1", 8443)
BUNDLE_ROUTE = ("198.18.0.2", 8443)
PULL = "hatlog"
BUNDLE = "certdesk"
CRASH_AFTER_S = 0.5
# ``reuseAfterS`` is 2: the address is free again after that time.
REUSE_AFTER_S = 2.5
HEAL_AFTER_START_S = 0.03
WATCH_S = 4.0
FLOW_PERIOD_S = 0.02


async def send_flows(
    client: standins.Client, route: tuple[str, int], name: str
) -> None:
    """Open a flow with one request again and again."""
    number = 0
    tasks: set[asyncio.Task[None]] = set()
    while True:
        number += 1
        task = asyncio.create_task(
            send_flow(client, route, f"{name}-{number}")
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(FLOW_PERIOD_S)


async def send_flow(
    client: standins.Client, route: tuple[str, int], identifier: str
) -> None:
    """Open a flow, send one request and close it."""
    flow = client.open(route)
    if await flow.connect():
        await flow.request(identifier)
        flow.close()


async def hold_heartbeat(
    fleet: fleets.Fleet,
    endpoint: standins.Endpoint,
    healed: asyncio.Event,
) -> None:
    """Deliver an endpoint's heartbeat once its link works again."""
    body = endpoint.build_heartbeat()
    fleet.record.write(
        f"endpoint {endpoint.identifier} sends heartbeat:"
        f" {standins.dump(body)}"
    )
    if TROUBLE:
        fleet.record.write("the link of the endpoint is partitioned")
        await healed.wait()
        fleet.record.write("the partition heals; the heartbeat arrives")
    status, _ = await fleets.call(
        endpoint.host,
        fleet.control,
        "PUT",
        f"/instances/{endpoint.identifier}",
        body,
    )
    fleet.record.write(f"agent answers the heartbeat: {status}")


async def play(record: fleets.Record, fleet: fleets.Fleet) -> bool:
    """Play the case; return whether the rule held."""
    entries = [fleet.add("entry", 11), fleet.add("entry", 12)]
    steady = fleet.add("agent", 21, PULL)
    bundle = fleet.add("agent", 22, BUNDLE)
    for machine in fleet.machines:
        machine.start()
    first = standins.Endpoint(fleet, steady.host, PULL, "i-steady")
    second = standins.Endpoint(fleet, bundle.host, BUNDLE, "i-bundle")
    await first.start()
    await second.start()
    operator = standins.Operator(fleet)
    routes = {PULL_ROUTE: PULL, BUNDLE_ROUTE: BUNDLE}
    await asyncio.sleep(1)
    await operator.put(standins.build_configuration(2, routes, [PULL, BUNDLE]))
    router = standins.Router(fleet, entries)

    async def is_ready() -> bool:
        known = first.acknowledged and second.acknowledged
        return bool(known) and len(router.ready) == len(entries)

    await fleets.wait_until(is_ready, 15, "the entries did not get ready")
    client = standins.Client(fleet, router, fleet.host(31))
    await client.start()
    traffic = asyncio.create_task(send_flows(client, PULL_ROUTE, "pull"))
    await asyncio.sleep(5)
    if not first.runs:
        raise fleets.CannotRun("nothing was served")

    # A machine is added with an endpoint of the first service.
    added = fleet.add("agent", 23, PULL)
    added.start()

    async def is_listening() -> bool:
        # The agent of the new machine answers before its endpoint starts.
        status, _ = await fleets.call(
            added.host, fleet.control, "GET", "/instances/none"
        )
        return status != 0

    await fleets.wait_until(is_listening, 10, "the new agent did not start")
    # The agent looks at its settings once a second, at any phase.
    await asyncio.sleep(1 + random.random())
    ended = standins.Endpoint(fleet, added.host, PULL, "i-ended")
    await ended.start(heartbeats=False)
    healed = asyncio.Event()
    late = asyncio.create_task(hold_heartbeat(fleet, ended, healed))
    await asyncio.sleep(CRASH_AFTER_S)
    ended.crash()
    await asyncio.sleep(REUSE_AFTER_S)

    # Its address goes to an endpoint of the other service. The settings
    # change without a signal.
    added.service = BUNDLE
    added.write_settings()
    record.write(f"settings of {added.name} now name {BUNDLE}")
    reused = standins.Endpoint(fleet, added.host, BUNDLE, "i-reused")
    await reused.start()
    await asyncio.sleep(HEAL_AFTER_START_S)
    healed.set()
    await asyncio.sleep(WATCH_S)
    traffic.cancel()
    await late
    if not reused.acknowledged:
        raise fleets.CannotRun("the heartbeat of the new endpoint failed")
    foreign = [run for run in reused.runs if run[1] == PULL_ROUTE]
    foreign += [run for run in second.runs if run[1] == PULL_ROUTE]
    record.write(
        f"requests of route {PULL_ROUTE} run by {BUNDLE}: {len(foreign)};"
        f" run by {PULL}: {len(first.runs) + len(ended.runs)}"
    )
    record.write(f"ROUTE {'broken' if foreign else 'held'}")
    return not foreign


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
