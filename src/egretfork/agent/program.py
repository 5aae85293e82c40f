"""Entry point of ``egretfork-agent``: settings and services."""

import datetime
import pathlib
import random
import typing

import click

import mode

import msgspec

import egretfork
from egretfork.agent import core
from egretfork.agent import shell
from egretfork.agent import status as status_module
from egretfork import clock as clock_module
from egretfork.gossip import messages
from egretfork.gossip import settings as gossip_settings
from egretfork.gossip import shell as gossip_shell
from egretfork import metrics
from egretfork import model
from egretfork import reasons
from egretfork import runtime
from egretfork import settings as settings_module

MILLISECOND = datetime.timedelta(milliseconds=1)


class AgentSettings(settings_module.Settings, frozen=True, kw_only=True):
    """Settings of the agent.

    Attributes:
        service: name of the service that the target belongs to.
        port: UDP port on ``host`` for entries and other agents.
        target_port: UDP port on ``host`` for the target, which registers
            there (RFC 9176).
        target: ``host:port`` of the target's CoAP server; empty to use the
            address from which the target registers.
        weight: relative share of new flows.
        stop_timeout_s: time limit for finishing work at a planned stop.
        gossip: settings of the gossip service, which distributes
            configurations and announcements.
    """

    service: settings_module.Name
    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    target_port: settings_module.Port = 0
    target: str = ""
    weight: typing.Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    stop_timeout_s: typing.Annotated[float, msgspec.Meta(ge=0, le=3600)] = 30.0
    gossip: gossip_settings.GossipSettings

    def __post_init__(self) -> None:
        """Check the endpoints.

        Raises:
            ValueError: names the field and the expected form.
        """
        settings_module.check_endpoint(f"{self.host}:{self.port}", "host")
        if self.target:
            settings_module.check_endpoint(self.target, "target")


def build_status(settings: AgentSettings) -> status_module.AgentStatus:
    """Build the initial status of a new incarnation of the agent."""
    incarnation = clock_module.read_wall_clock_ms()
    return status_module.AgentStatus(
        identity=model.AgentIdentity(settings.name, incarnation),
        address=model.Endpoint(settings.host, settings.port),
        service_name=settings.service,
        availability_zone=settings.availability_zone,
        weight=settings.weight,
    )


def build_services(
    settings: AgentSettings, registry: metrics.Metrics
) -> tuple[mode.Service, ...]:
    """Build the services of the agent in start order."""
    status = build_status(settings)
    time_source = clock_module.MonotonicClock()
    generator = random.Random(status.identity.incarnation)
    wall_clock_zero_ms = (
        status.identity.incarnation - time_source.now() // MILLISECOND
    )
    target = model.parse_endpoint(settings.target) if settings.target else None
    agent = shell.AgentService(
        core.AgentCore(status, target, generator, wall_clock_zero_ms),
        status,
        time_source,
        registry,
        model.Endpoint(settings.host, settings.target_port),
        datetime.timedelta(seconds=settings.stop_timeout_s),
    )
    gossip_service = gossip_shell.GossipService(
        name=settings.name,
        availability_zone=settings.availability_zone,
        host=settings.host,
        incarnation=status.identity.incarnation,
        role=messages.Role.AGENT,
        gossip_settings=settings.gossip,
        time_source=time_source,
        registry=registry,
        generator=generator,
        on_configuration=agent.on_configuration,
        on_announcements=agent.on_announcements,
        service=settings.service,
    )
    agent.set_announcer(gossip_service)
    # Services stop in reverse order, so that gossip still distributes the
    # announcements of the agent while it drains.
    return (gossip_service, agent)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path, dir_okay=False),
    required=True,
    help="YAML settings file.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(egretfork.__version__)
def main(path: pathlib.Path, check: bool) -> None:
    """Serve the flows and requests of one target."""
    settings = settings_module.load(path, AgentSettings)
    if isinstance(settings, reasons.Failure):
        click.echo(str(settings), err=True)
        raise SystemExit(runtime.EXIT_USAGE)
    if check:
        click.echo(f"{path}: settings are valid")
        return
    registry = metrics.Metrics()
    services = build_services(settings, registry)
    runtime.run("egretfork-agent", settings, registry, services)


if __name__ == "__main__":
    main()
