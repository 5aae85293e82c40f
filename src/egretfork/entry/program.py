"""Command ``egretfork-entry`` and its composition root."""

import asyncio
import functools
import pathlib
import random
import sys
import typing

import click
import mode
import msgspec

import egretfork
from egretfork import clock
from egretfork.entry import ingress
from egretfork.entry import shell
from egretfork.gossip import messages
from egretfork.gossip import settings as gossip_settings
from egretfork.gossip import shell as gossip
from egretfork import metrics
from egretfork import model
from egretfork import reasons
from egretfork import runtime
from egretfork import settings


class ProxySettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    tag_field="mode",
    tag="proxy",
):
    """Datagrams arrive with a PROXY protocol version 2 header.

    Attributes:
        listen: UDP address to which the fabric sends datagrams.
        fabric: destination of responses until the first datagram arrives;
            afterwards they go to the latest sender.
        senders: IPv4 addresses from which headers are accepted; empty for
            all.
    """

    listen: str
    fabric: str | None = None
    senders: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Validate the addresses."""
        settings.check_endpoint(self.listen, "ingress.listen")
        for index, host in enumerate(self.senders):
            settings.check_host(host, f"ingress.senders[{index}]")
        if self.fabric is not None:
            settings.check_endpoint(self.fabric, "ingress.fabric")


class DirectSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    tag_field="mode",
    tag="direct",
):
    """Datagrams arrive on the service addresses themselves.

    Attributes:
        listen: UDP addresses to bind; ``0.0.0.0`` binds all addresses of
            the VM.
    """

    listen: typing.Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]

    def __post_init__(self) -> None:
        """Validate the addresses."""
        for index, address in enumerate(self.listen):
            settings.check_endpoint(address, f"ingress.listen[{index}]")


class EntrySettings(settings.Settings, frozen=True, kw_only=True):
    """Settings of one entry.

    Attributes:
        port: UDP port on ``host`` to which agents send responses.
        ingress: how callers' datagrams arrive.
        gossip: dissemination of configurations and announcements.
        stop_delay_s: seconds for which a stopping entry still forwards
            datagrams; by then the fabric should no longer send it any.
    """

    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    ingress: ProxySettings | DirectSettings
    gossip: gossip_settings.GossipSettings
    stop_delay_s: typing.Annotated[float, msgspec.Meta(ge=0, le=60)] = 1.0

    def __post_init__(self) -> None:
        """Validate the address of the process."""
        settings.check_endpoint(f"{self.host}:{self.port}", "host")


def build_ingress(
    ingress_settings: ProxySettings | DirectSettings, handler: ingress.Handler
) -> ingress.Ingress:
    """Create the ingress selected by the settings."""
    match ingress_settings:
        case ProxySettings():
            return ingress.ProxyIngress(
                model.parse_endpoint(ingress_settings.listen),
                handler,
                (
                    model.parse_endpoint(ingress_settings.fabric)
                    if ingress_settings.fabric
                    else None
                ),
                frozenset(ingress_settings.senders),
            )
        case DirectSettings():
            return ingress.DirectIngress(
                tuple(map(model.parse_endpoint, ingress_settings.listen)),
                handler,
            )


def build_services(
    entry_settings: EntrySettings,
    build_source: shell.SourceFactory,
    registry: metrics.Metrics,
) -> tuple[mode.Service, ...]:
    """Create the services of the entry daemon."""
    entry = shell.EntryService(
        model.Endpoint(entry_settings.host, entry_settings.port),
        functools.partial(build_ingress, entry_settings.ingress),
        build_source,
        registry,
        clock.MonotonicClock(),
        functools.partial(asyncio.sleep, entry_settings.stop_delay_s),
    )
    return (entry,)


def build_source(
    entry_settings: EntrySettings,
    registry: metrics.Metrics,
    on_configuration: gossip.ConfigurationCallback,
    on_announcements: gossip.AnnouncementsCallback,
) -> gossip.GossipService:
    """Create the gossip service of an entry."""
    return gossip.GossipService(
        name=entry_settings.name,
        availability_zone=entry_settings.availability_zone,
        host=entry_settings.host,
        incarnation=clock.read_wall_clock_ms(),
        role=messages.Role.ENTRY,
        gossip_settings=entry_settings.gossip,
        time_source=clock.MonotonicClock(),
        registry=registry,
        generator=random.Random(),
        on_configuration=on_configuration,
        on_announcements=on_announcements,
    )


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="YAML settings file.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(egretfork.__version__)
def main(path: pathlib.Path, check: bool) -> None:
    """Forward callers' datagrams to agents.

    Exit codes: 0 after a clean stop, 1 after a crash, 2 for settings that
    are not valid.
    """
    entry_settings = settings.load(path, EntrySettings)
    if isinstance(entry_settings, reasons.Failure):
        click.echo(str(entry_settings), err=True)
        sys.exit(runtime.EXIT_USAGE)
    if check:
        click.echo(f"{path}: settings are valid")
        return
    registry = metrics.Metrics()
    source = functools.partial(build_source, entry_settings, registry)
    services = build_services(entry_settings, source, registry)
    runtime.run("egretfork-entry", entry_settings, registry, services)


if __name__ == "__main__":
    main()
