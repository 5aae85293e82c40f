"""The first configuration has the version 0."""

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import deployment  # noqa: E402
import ends  # noqa: E402
import packets  # noqa: E402
import play  # noqa: E402
import record  # noqa: E402

# The operator asks for longer than `connectivityWindowMs`.
READ_S = 12.0


async def play_case(log: record.Record, trouble: bool) -> list[str]:
    """Play the case; return how the rule was broken."""
    owner = deployment.Deployment(log, 1, ["blue", "blue"])
    try:
        return await _play(owner, log, 0 if trouble else 1)
    finally:
        owner.close()


async def _play(
    owner: deployment.Deployment, log: record.Record, version: int
) -> list[str]:
    owner.start()
    for number, agent in enumerate(owner.agents):
        endpoint = ends.Endpoint(
            owner, agent.host, agent.service, f"i-{number}"
        )
        await endpoint.start()
    route = packets.Address(owner.service_host, 8443)
    configuration = ends.build_configuration(
        version, {route: "blue"}, ["blue"]
    )
    acknowledged_at = await owner.put_configuration(configuration)
    log.write("acknowledged", version=version)
    client = ends.Client(owner, ends.Router(owner), owner.client_hosts[0])
    await client.start()
    read = None
    number = 0
    while read is None and log.now() < acknowledged_at + READ_S:
        number += 1
        flow = await client.open_flow(route, 20_000 + number)
        if flow is not None:
            await client.request(flow, f"a-{number}", close=True)
            await client.finish(flow)
        read = await _read_configuration(owner, log)
    if read == configuration:
        return []
    return [
        f"CONFIG: version {version} was acknowledged, and {READ_S:.0f} s later"
        f" the configuration that is read back is {read}"
    ]


async def _read_configuration(
    owner: deployment.Deployment, log: record.Record
) -> object:
    for control in owner.controls:
        host = control.host
        status, body, location = await asyncio.to_thread(
            deployment.send_http,
            host,
            owner.ports.control,
            "GET",
            "/configuration",
        )
        log.write("read", host=host, status=status, location=location)
        if status == 200:
            return json.loads(body)
    return None


if __name__ == "__main__":
    play.run(play_case, FOLDER)
