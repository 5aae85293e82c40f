"""Tests of the gossip service over UDP sockets on loopback."""

import asyncio
import random
import unittest

from egretfork import clock
from egretfork.gossip import messages
from egretfork.gossip import settings
from egretfork.gossip import shell
from egretfork import metrics
from egretfork import model

WAIT_SECONDS = 20


def make_announcement(address: model.Endpoint) -> model.TargetAnnouncement:
    return model.TargetAnnouncement(
        service="hatlog",
        agent="agent-1",
        incarnation=100,
        sequence=1,
        address=address,
        availability_zone="luzon-a",
        state=model.TargetState.READY,
    )


class Process:
    """Gossip service that records the newest values of its callbacks."""

    def __init__(self, name, role, seeds, service="") -> None:
        self.configuration = model.Configuration()
        self.announcements = ()
        self.service = shell.GossipService(
            name=name,
            availability_zone="luzon-a",
            host="127.0.0.1",
            incarnation=100,
            role=role,
            gossip_settings=settings.GossipSettings(seeds=seeds),
            time_source=clock.MonotonicClock(),
            registry=metrics.Metrics(),
            generator=random.Random(name),
            on_configuration=self.use_configuration,
            on_announcements=self.use_announcements,
            service=service,
        )

    def use_configuration(self, configuration) -> None:
        self.configuration = configuration

    def use_announcements(self, announcements) -> None:
        self.announcements = announcements


async def wait_for(condition) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.02)


class ShellTest(unittest.IsolatedAsyncioTestCase):
    """Guards against sockets or callbacks that are not wired up."""

    async def asyncSetUp(self) -> None:
        self.processes = []

    async def asyncTearDown(self) -> None:
        for process in reversed(self.processes):
            await process.service.stop()

    async def start(self, name, role, service="") -> Process:
        seeds = tuple(
            str(process.service.address) for process in self.processes[:3]
        )
        process = Process(name, role, seeds, service)
        await process.service.start()
        self.processes.append(process)
        return process

    async def test_reaches_all_processes(self) -> None:
        control = await self.start("control-1", messages.Role.CONTROL)
        entries = [
            await self.start(f"entry-{number}", messages.Role.ENTRY)
            for number in range(3)
        ]
        agent = await self.start("agent-1", messages.Role.AGENT, "hatlog")
        services = tuple(
            model.Service(
                name=name, addresses=("127.0.0.1:5683",), targets=("*",)
            )
            for name in ("certdesk", "hatlog")
        )
        control.service.publish(
            model.Configuration(version=1, services=services)
        )
        agent.service.announce(make_announcement(agent.service.address))
        nodes = [control, *entries]
        await wait_for(
            lambda: all(p.configuration.services == services for p in nodes)
        )
        await wait_for(lambda: agent.configuration.version == 1)
        self.assertEqual(agent.configuration.services, services[1:])
        await wait_for(lambda: all(len(p.announcements) == 1 for p in nodes))
        await wait_for(
            lambda: [
                item.version
                for item in control.service.list_confirmed_versions()
            ]
            == [1, 1, 1, 1]
        )
