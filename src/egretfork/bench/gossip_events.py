"""Failures and restarts in a simulated cluster, and their detection."""

import collections.abc
import typing

import msgspec

from egretfork.bench import network
from egretfork.bench import simulated_cluster
from egretfork.gossip import events
from egretfork.gossip import messages
from egretfork import model

Results = dict[str, typing.Any]
Condition = collections.abc.Callable[[], bool]

EVENT_TIMEOUT_SECONDS = 90
RACK_VMS = 10


def restart_target(
    cluster: simulated_cluster.SimulatedCluster, index: int
) -> str:
    """Restart one agent without its state; return its name."""
    cluster.restart_count += 1
    announcement = msgspec.structs.replace(
        cluster.announcements[index],
        incarnation=cluster.announcements[index].incarnation
        + cluster.restart_count,
    )
    process = cluster.start_agent(announcement)
    cluster.agents[index] = process
    cluster.network.handle(process, events.Announce(announcement))
    return announcement.agent


def list_rack(
    cluster: simulated_cluster.SimulatedCluster,
) -> list[network.Process]:
    """Return 10 VMs of one availability zone: 2 entries and 8 agents."""
    zone = simulated_cluster.ZONES[1]
    nodes = [
        item
        for item in cluster.nodes[simulated_cluster.CONTROL_COUNT :]
        if item.zone == zone and item.alive
    ]
    agents = [item for item in cluster.agents if item.zone == zone]
    return nodes[:2] + agents[: RACK_VMS - 2]


def list_zone(
    cluster: simulated_cluster.SimulatedCluster, zone: str
) -> list[network.Process]:
    """Return all running processes of an availability zone."""
    return [
        item
        for item in (*cluster.nodes, *cluster.agents)
        if item.zone == zone and item.alive
    ]


def kill(processes: collections.abc.Iterable[network.Process]) -> set[str]:
    """Crash processes; return their names."""
    stopped = list(processes)
    for process in stopped:
        process.alive = False
    return {process.name for process in stopped}


def all_nodes_see_suspect(
    cluster: simulated_cluster.SimulatedCluster,
    names: collections.abc.Container[str],
) -> Condition:
    """Return a condition: all running nodes see the targets as suspect."""
    return lambda: all(
        item.state is model.TargetState.SUSPECT
        for process in cluster.nodes
        if process.alive
        for item in process.announcements
        if item.agent in names
    )


def all_nodes_see_ready(
    cluster: simulated_cluster.SimulatedCluster,
    names: collections.abc.Container[str] | None = None,
) -> Condition:
    """Return a condition: all running nodes see the targets as ready."""
    running = {item.name for item in cluster.agents if item.alive}
    wanted = {name for name in running if names is None or name in names}

    def check() -> bool:
        return all(
            wanted
            <= {
                item.agent
                for item in process.announcements
                if item.state is model.TargetState.READY
            }
            for process in cluster.nodes
            if process.alive
        )

    return check


def all_nodes_know_incarnation(
    cluster: simulated_cluster.SimulatedCluster, name: str, incarnation: int
) -> Condition:
    """Return a condition: all running nodes know the new incarnation."""
    return lambda: all(
        any(
            item.agent == name and item.incarnation == incarnation
            for item in process.announcements
        )
        for process in cluster.nodes
        if process.alive
    )


def has_complete_state(
    cluster: simulated_cluster.SimulatedCluster, process: network.Process
) -> Condition:
    """Return a condition: a node has the configuration and all targets."""
    revision = messages.ConfigurationRevision(
        cluster.configuration.version, cluster.configuration.record_revision
    )
    names = {item.name for item in cluster.agents if item.alive}
    return lambda: (
        process.core.revision >= revision
        and names <= {item.agent for item in process.announcements}
    )
