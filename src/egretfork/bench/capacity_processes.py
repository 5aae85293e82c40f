"""Resident memory of idle daemons."""

import pathlib
import socket
import tempfile
import time

import msgspec

from egretfork.agent import program as agent_program
from egretfork.bench import control
from egretfork.control import program as control_program
from egretfork.entry import program as entry_program
from egretfork.gossip import settings as gossip_settings
from egretfork import settings
from egretfork.standins import processes

HOST = "127.0.0.1"
SETTLE_SECONDS = 3.0
MB_PER_KIB = 1.024e-3


def measure_daemon(role: str, has_metrics: bool) -> float:
    """Start one daemon and return its resident memory in MB.

    Raises:
        RuntimeError: the daemon exited early.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        daemon_settings = _build_settings(role, folder, has_metrics)
        path = folder / "settings.yaml"
        path.write_bytes(msgspec.yaml.encode(daemon_settings))
        if isinstance(daemon_settings, control_program.ControlSettings):
            control_program.initialise(daemon_settings, first=True)
        with processes.ProcessGroup(folder) as group:
            module = f"egretfork.{role}.program"
            started = group.start(role, role, module, "--settings", str(path))
            time.sleep(SETTLE_SECONDS)
            if group.find_crashed():
                raise RuntimeError((folder / f"{role}.log").read_text())
            return control.read_resident_kib(started.popen) * MB_PER_KIB


def _build_settings(
    role: str, folder: pathlib.Path, has_metrics: bool
) -> settings.Settings:
    ports = processes.find_free_ports(3, socket.SOCK_DGRAM)
    tcp_ports = processes.find_free_ports(2, socket.SOCK_STREAM)
    metrics_port = tcp_ports[0] if has_metrics else 0
    if role == "entry":
        return entry_program.EntrySettings(
            name=role,
            availability_zone="zone-a",
            host=HOST,
            metrics_port=metrics_port,
            port=ports[0],
            ingress=entry_program.ProxySettings(listen=f"{HOST}:{ports[1]}"),
            gossip=gossip_settings.GossipSettings(),
        )
    if role == "agent":
        return agent_program.AgentSettings(
            name=role,
            availability_zone="zone-a",
            host=HOST,
            metrics_port=metrics_port,
            service="bench",
            port=ports[0],
            target=f"{HOST}:{ports[1]}",
            gossip=gossip_settings.GossipSettings(),
        )
    return control_program.ControlSettings(
        name=role,
        availability_zone="zone-a",
        host=HOST,
        metrics_port=metrics_port,
        port=tcp_ports[1],
        data_folder=str(folder / "data"),
        gossip=gossip_settings.GossipSettings(),
    )
