"""Measurements of dissemination in virtual time."""

import gc
import json
import statistics
import typing

import click
import msgspec

from egretfork.bench import network
from egretfork.bench import population
from egretfork.gossip import events
from egretfork.gossip import messages
from egretfork import model

Figures = dict[str, typing.Any]

WARM_UP_SECONDS = 20
REST_SECONDS = 15
CHANGE_LIMIT_SECONDS = 60


def change(
    configuration: model.Configuration, count: int = 1
) -> model.Configuration:
    """Return the next version, with ``count`` services changed."""
    services = tuple(
        (
            msgspec.structs.replace(item, slots=item.slots % 8 + 1)
            if index < count
            else item
        )
        for index, item in enumerate(configuration.services)
    )
    return msgspec.structs.replace(
        configuration, version=configuration.version + 1, services=services
    )


def summarize_traffic(
    processes: list[network.Process], seconds: float
) -> Figures:
    """Return bytes a second, headers included, over processes."""
    living = [process for process in processes if process.alive]
    return {
        "mean_sent": round(
            statistics.fmean(item.sent.total for item in living) / seconds
        ),
        "mean_received": round(
            statistics.fmean(item.received.total for item in living) / seconds
        ),
        "highest_mean_both": round(
            max(item.both.total for item in living) / seconds
        ),
        "peak_second_sent": max(item.sent.peak for item in living),
        "peak_second_received": max(item.received.peak for item in living),
        "peak_second_both": max(item.both.peak for item in living),
        "cpu_percent_of_core": round(
            statistics.fmean(item.cpu_seconds for item in living)
            / seconds
            * 100,
            3,
        ),
    }


class Bench:
    """One population and the measurements on it."""

    def __init__(self, size: population.Size, seed: int) -> None:
        self.size = size
        self.people = population.Population(size, seed)
        self.network = self.people.network
        self.configuration = self.people.configuration

    def start(self) -> None:
        """Start all processes and wait until they are at rest."""
        self.people.start_nodes()
        self.people.start_agents()
        for process, announcement in zip(
            self.people.agents, self.people.announcements, strict=True
        ):
            self.network.handle(process, events.Announce(announcement))
        self.network.run(WARM_UP_SECONDS)

    def measure(self, seconds: float) -> Figures:
        """Return the traffic of nodes over some seconds."""
        self.network.reset_traffic()
        self.network.run(seconds)
        return {
            "nodes": summarize_traffic(self.people.nodes, seconds),
            "agents": summarize_traffic(self.people.agents, seconds),
        }

    def measure_change(self, count: int = 1) -> Figures:
        """Publish a change at a control VM; measure until all have it."""
        self.network.reset_traffic()
        self.configuration = change(self.configuration, count)
        publisher = next(item for item in self.people.nodes if item.alive)
        start_us = self.network.now_us
        self.network.handle(publisher, events.Publish(self.configuration))
        everyone = [*self.people.nodes, *self.people.agents]
        self.network.run_until(
            lambda: self._all_have(everyone), CHANGE_LIMIT_SECONDS
        )
        confirmed = self._measure_confirmed(publisher, start_us)
        self.network.run(max(0.0, 15 - confirmed))
        window = (self.network.now_us - start_us) / network.SECOND_US
        return {
            "seconds_nodes": self._last_use(self.people.nodes, start_us),
            "seconds_agents": self._last_use(self.people.agents, start_us),
            "complete": self._all_have(everyone),
            "seconds_confirmed": confirmed,
            "traffic": summarize_traffic(self.people.nodes, window),
        }

    def _all_have(self, processes: list[network.Process]) -> bool:
        wanted = messages.Order(
            self.configuration.version, self.configuration.record_revision
        )
        return all(
            item.core.order == wanted for item in processes if item.alive
        )

    def _last_use(
        self, processes: list[network.Process], start_us: int
    ) -> float:
        last_us = max(item.used_at_us for item in processes if item.alive)
        return (last_us - start_us) / network.SECOND_US

    def _measure_confirmed(
        self, publisher: network.Process, start_us: int
    ) -> float:
        """Return when the publisher knows that all living nodes have it."""
        living = {item.name for item in self.people.nodes if item.alive}
        version = self.configuration.version

        def is_confirmed() -> bool:
            versions = publisher.core.list_versions()  # type: ignore
            return all(
                confirmed == version
                for record, confirmed in versions
                if record.name in living
            )

        self.network.run_until(is_confirmed, CHANGE_LIMIT_SECONDS)
        return (self.network.now_us - start_us) / network.SECOND_US


def measure_size(size: population.Size, seed: int) -> Figures:
    """Return all figures of one size."""
    bench = Bench(size, seed)
    bench.start()
    figures: Figures = {"size": vars(size)}
    figures["rest"] = bench.measure(REST_SECONDS)
    figures["change"] = bench.measure_change()
    return figures


@click.command()
@click.option("--nodes", type=int, help="only the size with so many nodes")
@click.option("--seed", type=int, default=1, show_default=True)
def command(nodes: int | None, seed: int) -> None:
    """Measure dissemination of configuration and announcements."""
    # The millions of lasting objects of all nodes together would make
    # each collection slow; reference counts free the rest.
    gc.disable()
    for size in population.SIZES:
        if nodes is None or size.nodes == nodes:
            click.echo(json.dumps(measure_size(size, seed), indent=2))
