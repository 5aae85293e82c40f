"""Command ``egretfork-control``: composition root of a control process."""

import os
import pathlib
import random
import secrets
import sys
import typing

import click
import msgspec

import egretfork
from egretfork import clock
from egretfork.control import core
from egretfork.control import entries
from egretfork.control import files
from egretfork.control import raft
from egretfork.control import records
from egretfork.control import shell
from egretfork.control import storage
from egretfork import metrics
from egretfork import model
from egretfork import reasons
from egretfork import runtime
from egretfork import settings

PROGRAM = "egretfork-control"
IDENTITY_BYTES = 8


class ControlSettings(settings.Settings, frozen=True, kw_only=True):
    """Settings of a control process.

    Attributes:
        port: TCP port on ``host`` for members and clients.
        data_folder: folder of the log, vote and snapshot.
    """

    port: typing.Annotated[int, msgspec.Meta(ge=1, le=65535)]
    data_folder: str

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


def build(common: ControlSettings) -> shell.ControlService:
    """Read the data folder and connect the parts.

    Raises:
        records.DamageError: a file is missing or damaged.
        OSError: the folder is in use or cannot be read.
    """
    files.lock_folder(common.folder)
    stored = storage.Storage(files.LocalFileSystem(common.folder))
    loaded = stored.load()
    time = clock.MonotonicClock()
    consensus = raft.Raft(
        identity=loaded.identity,
        vote=loaded.vote,
        held=loaded.log,
        sequence=loaded.sequence,
        seed=random.Random(secrets.randbits(64)),
        now=time.now(),
    )
    return shell.ControlService(
        address=common.address,
        decisions=core.ControlCore(common.name, consensus),
        files=stored,
        dissemination=NoDissemination(),
        time=time,
        registry=metrics.Metrics(),
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
    try:
        service = build(common)
    except (records.DamageError, OSError) as error:
        click.echo(f"start from {common.folder} failed: {error}", err=True)
        sys.exit(1)
    runtime.run(PROGRAM, common, service.registry, (service,))


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
