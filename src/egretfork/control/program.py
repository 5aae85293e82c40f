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
        data_folder: folder of the log, vote and snapshot.
        gossip: dissemination; without it configurations stay on the VM.
    """

    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    data_folder: str
    gossip: gossip_settings.GossipSettings | None = None

    def __post_init__(self) -> None:
        """Check the address of the process."""
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
    """Keeps configurations on this VM; used where no gossip runs."""

    def publish(self, configuration: model.Configuration) -> None:
        """Do nothing."""

    def publish_routing(self, newest: routing.Routing) -> None:
        """Do nothing."""

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return nothing: there are no nodes."""
        return ()

    def drop(self, node: str) -> None:
        """Do nothing."""


class GossipDissemination:
    """Dissemination by the gossip service."""

    def __init__(self, service: gossip.GossipService) -> None:
        self._service = service

    def publish(self, configuration: model.Configuration) -> None:
        """Spread a configuration that is committed."""
        self._service.publish(configuration)

    def publish_routing(self, newest: routing.Routing) -> None:
        """Do nothing: gossip spreads the services of the own interface."""

    def list_confirmations(self) -> tuple[commands.NodeVersion, ...]:
        """Return the version that each entry surely has in force."""
        return tuple(
            commands.NodeVersion(item.name, item.version)
            for item in self._service.confirmed_versions()
            if item.role is messages.Role.ENTRY
        )

    def drop(self, node: str) -> None:
        """Stop spreading to an entry that is gone for good."""
        self._service.forget(node)


def build(
    common: ControlSettings, registry: metrics.Metrics
) -> tuple[mode.Service, ...]:
    """Read the data folder and connect the parts.

    Raises:
        records.DamageError: a file is missing or damaged.
        OSError: the folder is in use or cannot be read.
    """
    files.lock_folder(common.folder)
    stored = storage.Storage(files.LocalFileSystem(common.folder))
    control_core = build_core(common.name, stored)
    spread = build_gossip(
        common,
        registry,
        lambda announcements: control.update_announcements(announcements),
    )
    control = shell.ControlService(
        address=common.address,
        control_core=control_core,
        files=stored,
        dissemination=(
            GossipDissemination(spread) if spread else NoDissemination()
        ),
        time=clock.MonotonicClock(),
        registry=registry,
    )
    return (spread, control) if spread else (control,)


def build_core(name: str, stored: storage.Storage) -> core.ControlCore:
    """Create the decisions of a process from its data folder.

    Raises:
        records.DamageError: a file is missing or damaged.
        OSError: a file cannot be read.
    """
    loaded = stored.load()
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
    common: ControlSettings,
    registry: metrics.Metrics,
    on_announcements: gossip.AnnouncementsCallback,
) -> gossip.GossipService | None:
    """Create the dissemination service if the settings name one."""
    if common.gossip is None:
        return None
    return gossip.GossipService(
        name=common.name,
        availability_zone=common.availability_zone,
        host=common.host,
        incarnation=clock.read_wall_clock_ms(),
        role=messages.Role.CONTROL,
        options=common.gossip,
        time_source=clock.MonotonicClock(),
        registry=registry,
        generator=random.Random(),
        on_configuration=lambda configuration: None,
        on_announcements=on_announcements,
    )


def initialise(common: ControlSettings, *, first: bool) -> str:
    """Create the files of a new member and return its identity.

    Raises:
        OSError: the folder holds a member, is in use or cannot be written.
    """
    created = not common.folder.exists()
    common.folder.mkdir(parents=True, exist_ok=True)
    if created:
        files.LocalFileSystem(common.folder.parent).sync_folder()
    lock = files.lock_folder(common.folder)
    identity = secrets.token_hex(IDENTITY_BYTES)
    member = entries.Member(identity, common.name, common.address, voter=True)
    stored = storage.Storage(files.LocalFileSystem(common.folder))
    stored.initialise(
        storage.StoredIdentity(identity, common.name),
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
    common = settings.load(settings_file, ControlSettings)
    if isinstance(common, reasons.Failure):
        click.echo(str(common), err=True)
        sys.exit(runtime.EXIT_USAGE)
    context.obj = common
    if check:
        click.echo(f"{settings_file} is valid")
    elif context.invoked_subcommand is None:
        run(common)


def run(common: ControlSettings) -> None:
    """Run until a signal arrives, then exit the process."""
    logs.configure(PROGRAM, common.name, common.log_level)
    registry = metrics.Metrics()
    try:
        services = build(common, registry)
    except (records.DamageError, OSError) as error:
        click.echo(f"start from {common.folder} failed: {error}", err=True)
        sys.exit(1)
    runtime.run(PROGRAM, common, registry, services)


@main.command("init")
@click.option(
    "--first/--learner",
    "first",
    required=True,
    default=None,
    help="Start a new group, or wait to be added to an existing one.",
)
@click.pass_obj
def initialise_folder(common: ControlSettings, first: bool) -> None:
    """Initialise the data folder of a new member.

    A folder that was lost is initialised with --learner; the member then
    joins under a new identity.
    """
    try:
        identity = initialise(common, first=first)
    except OSError as error:
        click.echo(f"init of {common.folder} failed: {error}", err=True)
        sys.exit(1)
    click.echo(identity)


if __name__ == "__main__":
    main()
