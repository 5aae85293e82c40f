"""A control VM that was away while three others were repaired.

It comes back with its disk, and does not take part any more. The loss of two
disks, which the deployment tolerates, then ends the group.
"""

import json
import os
import pathlib
import sys
import time
import traceback

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common3"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# With 2, enough voters that the fifth machine knows are left, and it comes back.
REPAIRS = int(os.environ.get("REPAIRS", "3"))
CATCH_UP_S = 4.0
RECOVERY_S = 12.0
# Time after the return of a machine until the next one is lost.
REPAIR_S = CATCH_UP_S + 1.0


def put_version(deployment: standins.Deployment, version: int) -> bool:
    """Send a version; return whether it was acknowledged."""
    body = json.dumps(standins.build_configuration(deployment, version))
    status = deployment.put(body.encode(), 10)
    deployment.record.write(f"version {version} -> {status}")
    return status == 200


def read_version(deployment: standins.Deployment, within_s: float) -> int:
    """Read the version; 0 if no machine answers with one."""
    held = deployment.read(within_s)
    version = int(json.loads(held)["version"]) if held is not None else 0
    deployment.record.write(f"read back: {version or 'nothing'}")
    return version


def lose_disks(nodes: list[standins.Node]) -> None:
    """End processes, empty their disks and start them again."""
    for node in nodes:
        node.end()
    for node in nodes:
        node.wipe()
    time.sleep(0.5)
    for node in nodes:
        node.start()


def log_states(deployment: standins.Deployment) -> None:
    """Record what each control process answers to a read."""
    for node in deployment.controls:
        status, _, _ = standins.call(
            node.host, deployment.control_port, "GET", "/configuration"
        )
        deployment.record.write(f"GET at {node.host} -> {status or 'nothing'}")


def main() -> int:
    record = standins.Record(FOLDER)
    deployment = standins.Deployment(record, 1, 1, tolerated=2)
    first, second, third, fourth, away = deployment.controls
    try:
        deployment.start()
        if not put_version(deployment, 3):
            return 2
        # The processes that were no seeds have become voters by then.
        time.sleep(6)
        if TROUBLE:
            away.end()
        version = 3
        for node in (first, second, third)[:REPAIRS]:
            lose_disks([node])
            time.sleep(REPAIR_S)
            version += 2
            if not put_version(deployment, version):
                return 2
        if TROUBLE:
            away.start()
        time.sleep(2 * CATCH_UP_S)
        log_states(deployment)
        version += 2
        if not put_version(deployment, version):
            return 2
        record.write("two machines lose their disks")
        lose_disks([first, fourth])
        held = read_version(deployment, 2 * RECOVERY_S)
        log_states(deployment)
        if held == version:
            return 0
        record.write(
            f"LOST: version {version} was acknowledged and does not come"
            f" within {2 * RECOVERY_S} s after the machines are back"
        )
        return 1
    finally:
        deployment.end()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except Exception:
        # Exit code 1 stands for a broken rule only.
        traceback.print_exc()
        sys.exit(2)
