"""Command ``egretfork-control``: composition root of a control process."""

import logging
import os
import pathlib
import random
import secrets
import sys
import typing

import click
import mode
import msgspec

import egretfork
from egretfork import clock
from egretfork.control import commands
from egretfork.control import core
from egretfork.control import entries
from egretfork.control import files
from egretfork.control import raft
from egretfork.control import records
from egretfork.control import shell
from egretfork.control import storage
from egretfork.gossip import messages
from egretfork.gossip import settings as gossip_settings
from egretfork.gossip import shell as gossip
from egretfork import logs
from egretfork import metrics
from egretfork import model
from egretfork.passthrough import routing
from egretfork import reasons
from egretfork import runtime
from egretfork import settings

LOGGER = logging.getLogger(__name__)

PROGRAM = "egretfork-control"
IDENTITY_BYTES = 8


class ControlSettings(settings.Settings, frozen=True, kw_only=True):
    """Settings of a control process.

    Attributes:
        port: TCP port on ``host`` for members and clients.
        data_folder: folder of the log, vote and snapshot files.
        gossip: settings of the gossip service. Without them, configurations
            are not disseminated to other VMs.
    """

    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    data_folder: str
    gossip: gossip_settings.GossipSettings | None = None

    def __post_init__(self) -> None:
        """Validate the address of the process."""
        settings.check_endpoint(f"{self.host}:{self.port}", "host")

    @property
    def address(self) -> model.Endpoint:
        """Return the TCP address of the process."""
        return model.Endpoint(self.host, self.port)

    @property
    def folder(self) -> pathlib.Path:
        """Return the data folder."""
        return pathlib.Path(self.data_folder)


class NoDissemination:
    """Null implementation, used if no gossip service is configured."""

    def publish(self, configuration: model.Configuration) -> None:
        """Do nothing."""

    def publish_routing(self, newest: routing.Routing) -> None:
        """Do nothing."""

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return an empty tuple, since there are no nodes."""
        return ()

    def forget(self, node: str) -> None:
        """Do nothing."""


class GossipDissemination:
    """Dissemination by the gossip service."""

    def __init__(self, service: gossip.GossipService) -> None:
        self._service = service

    def publish(self, configuration: model.Configuration) -> None:
        """Disseminate a committed configuration."""
        self._service.publish(configuration)

    def publish_routing(self, newest: routing.Routing) -> None:
        """Do nothing: gossip carries services but no routings."""

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return the version that each entry has confirmed."""
        return tuple(
            commands.NodeVersion(item.name, item.version)
            for item in self._service.list_confirmed_versions()
            if item.role is messages.Role.ENTRY
        )

    def forget(self, node: str) -> None:
        """Stop the dissemination to an entry removed by an operator."""
        self._service.forget(node)


def build(
    control_settings: ControlSettings, registry: metrics.Metrics
) -> tuple[mode.Service, ...]:
    """Load the data folder and assemble the services of the process.

    Raises:
        records.CorruptionError: a file is missing or damaged.
        OSError: the folder is in use or cannot be read.
    """
    files.lock_folder(control_settings.folder)
    member_storage = storage.Storage(
        files.LocalFileSystem(control_settings.folder)
    )
    control_core = build_core(control_settings.name, member_storage)
    gossip_service = build_gossip(
        control_settings,
        registry,
        lambda announcements: control.update_announcements(announcements),
    )
    control = shell.ControlService(
        address=control_settings.address,
        control_core=control_core,
        member_storage=member_storage,
        dissemination=(
            GossipDissemination(gossip_service)
            if gossip_service
            else NoDissemination()
        ),
        time_source=clock.MonotonicClock(),
        registry=registry,
    )
    return (gossip_service, control) if gossip_service else (control,)


def build_core(name: str, member_storage: storage.Storage) -> core.ControlCore:
    """Create the core of a process from its data folder.

    Raises:
        records.CorruptionError: a file is missing or damaged.
        OSError: a file cannot be read.
    """
    loaded = member_storage.load()
    if loaded.torn_bytes:
        LOGGER.warning(
            "torn_record_removed",
            extra={"step": "load", "detail": f"{loaded.torn_bytes} bytes"},
        )
    consensus = raft.Raft(
        identity=loaded.identity,
        vote=loaded.vote,
        initial_log=loaded.log,
        sequence=loaded.sequence,
        peer_sequences=loaded.peer_sequences,
        generator=random.Random(secrets.randbits(64)),
        now=clock.MonotonicClock().now(),
        commit_index=loaded.commit_index,
    )
    return core.ControlCore(name, consensus)


def build_gossip(
    control_settings: ControlSettings,
    registry: metrics.Metrics,
    on_announcements: gossip.AnnouncementsCallback,
) -> gossip.GossipService | None:
    """Create the gossip service if it is configured."""
    if control_settings.gossip is None:
        return None
    return gossip.GossipService(
        name=control_settings.name,
        availability_zone=control_settings.availability_zone,
        host=control_settings.host,
        incarnation=clock.read_wall_clock_ms(),
        role=messages.Role.CONTROL,
        gossip_settings=control_settings.gossip,
        time_source=clock.MonotonicClock(),
        registry=registry,
        generator=random.Random(),
        on_configuration=lambda configuration: None,
        on_announcements=on_announcements,
    )


def initialise(control_settings: ControlSettings, *, first: bool) -> str:
    """Create the files of a new member and return its identity.

    Raises:
        OSError: the folder is already initialised, in use or not writable.
    """
    created = not control_settings.folder.exists()
    control_settings.folder.mkdir(parents=True, exist_ok=True)
    if created:
        files.LocalFileSystem(control_settings.folder.parent).sync_folder()
    lock = files.lock_folder(control_settings.folder)
    identity = secrets.token_hex(IDENTITY_BYTES)
    member = entries.Member(
        identity, control_settings.name, control_settings.address, voter=True
    )
    member_storage = storage.Storage(
        files.LocalFileSystem(control_settings.folder)
    )
    member_storage.initialise(
        storage.StoredIdentity(identity, control_settings.name),
        (member,) if first else (),
    )
    os.close(lock)
    return identity


@click.group(invoke_without_command=True)
@click.version_option(egretfork.__version__)
@click.option(
    "--settings",
    "settings_file",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="YAML settings file of this process.",
)
@click.option(
    "--check", is_flag=True, help="Check the settings file and exit."
)
@click.pass_context
def main(
    context: click.Context, settings_file: pathlib.Path, check: bool
) -> None:
    """Run a control process, or initialise its data folder."""
    control_settings = settings.load(settings_file, ControlSettings)
    if isinstance(control_settings, reasons.Failure):
        click.echo(str(control_settings), err=True)
        sys.exit(runtime.EXIT_USAGE)
    context.obj = control_settings
    if check:
        click.echo(f"{settings_file} is valid")
    elif context.invoked_subcommand is None:
        run(control_settings)


def run(control_settings: ControlSettings) -> None:
    """Run until the process receives a signal, then exit."""
    logs.configure(PROGRAM, control_settings.name, control_settings.log_level)
    registry = metrics.Metrics()
    try:
        services = build(control_settings, registry)
    except (records.CorruptionError, OSError) as error:
        click.echo(
            f"start from {control_settings.folder} failed: {error}", err=True
        )
        sys.exit(1)
    runtime.run(PROGRAM, control_settings, registry, services)


@main.command("init")
@click.option(
    "--first/--learner",
    "first",
    required=True,
    default=None,
    help="Start a new group, or wait to be added to an existing one.",
)
@click.pass_obj
def initialise_folder(control_settings: ControlSettings, first: bool) -> None:
    """Initialise the data folder of a new member.

    A folder that was lost is initialised with --learner; the member then
    joins under a new identity.
    """
    try:
        identity = initialise(control_settings, first=first)
    except OSError as error:
        click.echo(
            f"init of {control_settings.folder} failed: {error}", err=True
        )
        sys.exit(1)
    click.echo(identity)


if __name__ == "__main__":
    main()
