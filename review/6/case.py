"""Two disks are lost right after a planned replacement of a core machine."""

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
SERVICE = "hatlog"
ROUTE = ("198.18.0.1", 8443)
# ``catchUpS`` is 4: the successor is no longer new after that time.
SUCCESSOR_LEAD_S = float(os.environ.get("LEAD", "6"))
WIPE_AFTER_S = float(os.environ.get("AFTER", "0.2"))
DOWN_S = 1.0
# ``recoveryS`` is 12.
READ_FOR_S = 24.0


def build(version: int) -> dict[str, object]:
    """Return a configuration."""
    return standins.build_configuration(version, {ROUTE: SERVICE}, [SERVICE])


async def play(record: fleets.Record, fleet: fleets.Fleet) -> bool:
    """Play the case; return whether the rule held."""
    entry = fleet.add("entry", 11)
    agent = fleet.add("agent", 21, SERVICE)
    for machine in fleet.machines:
        machine.start()
    endpoint = standins.Endpoint(fleet, agent.host, SERVICE, "i-0")
    await endpoint.start()
    operator = standins.Operator(fleet)
    await asyncio.sleep(1)
    await operator.put(build(2))
    router = standins.Router(fleet, [entry])

    async def is_ready() -> bool:
        return bool(endpoint.acknowledged and router.ready)

    await fleets.wait_until(is_ready, 15, "the entry did not get ready")
    await asyncio.sleep(8)
    await operator.put(build(5))

    # A planned replacement: the new machine first, then SIGTERM.
    successor = fleet.add("control", 6)
    successor.start()
    await asyncio.sleep(SUCCESSOR_LEAD_S)
    leaving = fleet.cores[4]
    await asyncio.to_thread(leaving.end, signal.SIGTERM)
    fleet.cores[4] = successor
    await asyncio.sleep(WIPE_AFTER_S)
    await operator.put(build(9))
    if TROUBLE:
        wiped = fleet.cores[:2]
        for machine in wiped:
            machine.end(signal.SIGKILL)
            machine.wipe()
        await asyncio.sleep(DOWN_S)
        for machine in wiped:
            machine.start()
    else:
        await asyncio.sleep(DOWN_S)
    end = time.monotonic() + READ_FOR_S
    version = None
    while time.monotonic() < end and version is None:
        version = await operator.read()
        record.write(f"operator reads the configuration: {version}")
        await asyncio.sleep(0.5)
    record.write(
        f"CONFIG {'held' if version == 9 else 'broken'}: version 9 was"
        f" acknowledged, read back: {version}"
    )
    return version == 9


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
