"""Copies of an opening packet follow a configuration that is out of force."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

import fleet as fleets  # noqa: E402
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("198.18.0.1", 8443)
OLD = "hatlog"
NEW = "certdesk"
OLD_COUNT = 3
ROUNDS = 4
ROLLBACK_SLACK_S = 0.25
RESTART_DELAY_S = 0.3
FLOW_PERIOD_S = 0.015
BURST_S = 0.9


async def send_flow(
    client: standins.Client, identifier: str, flows: list
) -> None:
    """Open a flow, send one request and close it."""
    flow = client.open(ROUTE)
    flows.append(flow)
    if await flow.connect():
        await flow.request(identifier)
        flow.close()


async def restart(machine: fleets.Machine) -> None:
    """Kill a process; the platform starts it again after a short delay."""
    machine.end(signal.SIGKILL)
    await asyncio.sleep(RESTART_DELAY_S)
    machine.start()


def find_regressions(
    record: fleets.Record,
    client: standins.Client,
    flows: list,
    old: list[standins.Endpoint],
    new: list[standins.Endpoint],
) -> int:
    """Count requests that an entry handled as only an older version allows.

    Of each entry, the first opening packet that an endpoint of the new
    service took shows that the entry knows the new version.
    """
    by_port = {flow.port: flow for flow in flows}
    effect_at: dict[str, float] = {}
    for endpoint in new:
        for (_, port), _, taken_at in endpoint.opened:
            if port in by_port:
                entry = client.router.choose(client.host, port, *ROUTE)[0]
                earlier = effect_at.get(entry, taken_at)
                effect_at[entry] = min(earlier, taken_at)
    count = 0
    for endpoint in old:
        for (_, port), copy, _ in endpoint.opened:
            flow = by_port.get(port)
            if flow is None:
                continue
            entry = client.router.choose(client.host, port, *ROUTE)[0]
            seen = effect_at.get(entry)
            late_s = flow.sent[copy] - seen if seen is not None else 0.0
            if late_s > ROLLBACK_SLACK_S:
                count += 1
                record.write(
                    f"flow {flow.name}: copy {copy} sent {late_s:.3f} s after"
                    f" {NEW} saw the new version through {entry}, taken by"
                    f" {endpoint.identifier} of {OLD}"
                )
    return count


async def play(record: fleets.Record, fleet: fleets.Fleet) -> bool:
    """Play the case; return whether the rule held."""
    entries = [fleet.add("entry", 11), fleet.add("entry", 12)]
    agents = [fleet.add("agent", 21 + n, OLD) for n in range(OLD_COUNT)]
    others = [fleet.add("agent", 41 + n, NEW) for n in range(2)]
    for machine in fleet.machines:
        machine.start()
    old = [
        standins.Endpoint(fleet, machine.host, OLD, f"i-old-{n}")
        for n, machine in enumerate(agents)
    ]
    new = [
        standins.Endpoint(fleet, machine.host, NEW, f"i-new-{n}")
        for n, machine in enumerate(others)
    ]
    for endpoint in (*old, *new):
        await endpoint.start()
    operator = standins.Operator(fleet)
    await asyncio.sleep(1)
    await operator.put(
        standins.build_configuration(2, {ROUTE: OLD}, [OLD, NEW])
    )
    router = standins.Router(fleet, entries)

    async def is_ready() -> bool:
        known = all(endpoint.acknowledged for endpoint in (*old, *new))
        return known and len(router.ready) == len(entries)

    await fleets.wait_until(is_ready, 15, "the entries did not get ready")
    client = standins.Client(fleet, router, fleet.host(31))
    await client.start()
    await asyncio.sleep(4)
    total = 0
    for number in range(ROUNDS):
        version = 3 + 2 * number
        flows: list[standins.ClientFlow] = []
        killed = agents[:2] if TROUBLE else []
        restarts = [asyncio.create_task(restart(item)) for item in killed]
        await asyncio.sleep(0)
        change = asyncio.create_task(
            operator.put(
                standins.build_configuration(version, {ROUTE: NEW}, [OLD, NEW])
            )
        )
        tasks = []
        for index in range(int(BURST_S / FLOW_PERIOD_S)):
            tasks.append(
                asyncio.create_task(
                    send_flow(client, f"r{number}-{index}", flows)
                )
            )
            await asyncio.sleep(FLOW_PERIOD_S)
        await asyncio.gather(*tasks, *restarts, change)
        await asyncio.sleep(1)
        if not any(endpoint.opened for endpoint in new):
            raise fleets.CannotRun("the new version had no effect")
        total += find_regressions(record, client, flows, old, new)
        # Back to the first service, and quiet for the next round.
        await operator.put(
            standins.build_configuration(version + 1, {ROUTE: OLD}, [OLD, NEW])
        )
        await asyncio.sleep(6)
    record.write(f"requests handled as only an older version allows: {total}")
    record.write(f"CONFIG {'broken' if total else 'held'}")
    return not total


async def main() -> int:
    """Run the case and return the exit code."""
    record = fleets.Record(HERE / "record.txt")
    fleet = fleets.Fleet(record)
    try:
        async with asyncio.timeout(110):
            return 0 if await play(record, fleet) else 1
    except (fleets.CannotRun, OSError, TimeoutError) as error:
        record.write(f"the case could not run: {error}")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
