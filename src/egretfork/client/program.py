"""Command ``egretforkctl``: configuration and status for operators.

Exit codes: 0 accepted or success, 1 refused, 2 usage or bad file,
3 outcome unknown.
"""

import dataclasses
import datetime
import getpass
import pathlib
import sys

import click
import msgspec

import egretfork
from egretfork.client import members
from egretfork.client import options
from egretfork.client import output
from egretfork.client import session
from egretfork import clock
from egretfork.control import api
from egretfork.control import commands
from egretfork import document
from egretfork import model
from egretfork import reasons


@click.group()
@click.version_option(egretfork.__version__)
@click.option(
    "--control",
    "members",
    type=options.EndpointType(),
    multiple=True,
    envvar="EGRETFORK_CONTROL",
    help="Address of a control member; may be repeated.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option(
    "--author",
    default=getpass.getuser,
    show_default="user name",
    help="Name recorded with a change.",
)
@click.option(
    "--timeout",
    "timeout_s",
    default=session.DEFAULT_TIMEOUT.total_seconds(),
    show_default=True,
    type=click.FloatRange(min=0.1),
    help="Seconds after which a query without a result ends.",
)
@click.pass_context
def main(
    context: click.Context,
    members: tuple[model.Endpoint, ...],
    as_json: bool,
    author: str,
    timeout_s: float,
) -> None:
    """Declare services and show the state of egretfork.

    Exit codes: 0 accepted or success, 1 refused, 2 usage or bad file, 3
    outcome unknown.
    """
    timeout = datetime.timedelta(seconds=timeout_s)
    context.obj = options.Options(members, as_json, author, timeout)


def load_document(file: pathlib.Path) -> document.Document:
    """Load a configuration file, or print the error and exit."""
    loaded = document.load(file)
    if isinstance(loaded, reasons.Failure):
        click.echo(str(loaded), err=True)
        sys.exit(output.Exit.USAGE)
    return loaded


FILE = click.argument("file", type=click.Path(path_type=pathlib.Path))


@main.command()
@FILE
@click.pass_obj
def check(opts: options.Options, file: pathlib.Path) -> None:
    """Validate a configuration file without sending it."""
    loaded = load_document(file)
    text = f"{file} is valid: {len(loaded.services)} services"
    output.print_result(loaded, text, as_json=opts.as_json)


@main.command()
@FILE
@click.pass_obj
def diff(opts: options.Options, file: pathlib.Path) -> None:
    """Show the differences between the newest version and a file."""
    loaded = load_document(file)
    shown = read_newest_version(opts)
    changes = document.compare(shown.configuration.services, loaded.services)
    lines = [document.describe(change) for change in changes]
    text = "\n".join(lines) or "no changes"
    report = {
        "base": shown.configuration.version,
        "changes": [
            {"kind": type(change).__name__, **dataclasses.asdict(change)}
            for change in changes
        ],
    }
    output.print_result(report, text, as_json=opts.as_json)


def read_newest_version(opts: options.Options) -> api.Shown:
    """Read the newest version, or print the failure and exit."""
    result = opts.session.send_query(api.Show)
    if isinstance(result, api.Shown):
        return result
    output.exit_with_failure(
        result,
        query_command=opts.build_command("show"),
        as_json=opts.as_json,
    )


@main.command()
@FILE
@click.option(
    "--base",
    type=click.IntRange(min=0),
    help="Version the file is based on; the newest one if not given.",
)
@options.REQUEST
@click.pass_obj
def apply(
    opts: options.Options,
    file: pathlib.Path,
    base: int | None,
    request_id: str | None,
) -> None:
    """Apply a configuration file atomically."""
    loaded = load_document(file)
    if base is None:
        base = read_newest_version(opts).configuration.version
    command = commands.Apply(
        request_id=options.choose_request_id(request_id),
        base_version=base,
        author=opts.author,
        submitted_ms=clock.read_wall_clock_ms(),
        services=loaded.services,
    )
    options.submit(opts, command)


@main.command()
@click.pass_obj
def show(opts: options.Options) -> None:
    """Show the newest configuration."""
    shown = read_newest_version(opts)
    newest = shown.configuration
    text = msgspec.yaml.encode(
        {
            "version": newest.version,
            "author": shown.author,
            "record_revision": newest.record_revision,
            "drained_agents": newest.drained_agents,
            "services": newest.services,
        }
    ).decode()
    output.print_result(shown, text.rstrip(), as_json=opts.as_json)


@main.command()
@click.option("--request", "request_id", default="", help="Only this request.")
@click.pass_obj
def history(opts: options.Options, request_id: str) -> None:
    """Show the latest outcomes, or the outcome of one request."""
    result = opts.session.send_query(
        lambda number: api.History(number, request_id)
    )
    if not isinstance(result, api.HistoryRead):
        output.exit_with_failure(
            result,
            query_command=opts.build_command("history"),
            as_json=opts.as_json,
        )
    if request_id and result.outcomes:
        output.exit_with_outcome(result.outcomes[0], as_json=opts.as_json)
    lines = [output.describe_outcome(item) for item in result.outcomes]
    not_found_message = (
        f"request {request_id} is not known; resend it to get its outcome"
    )
    text = "\n".join(lines) or (
        not_found_message if request_id else "no changes yet"
    )
    output.print_result(result, text, as_json=opts.as_json)
    sys.exit(output.Exit.UNKNOWN if request_id else output.Exit.SUCCESS)


@main.command()
@click.pass_obj
def status(opts: options.Options) -> None:
    """Show the status of each control member given by --control."""
    if not opts.members:
        raise click.UsageError("--control is required for this command")
    replies = [session.read_status(member) for member in opts.members]
    text = "\n".join(
        output.describe_status(member, reply)
        for member, reply in zip(opts.members, replies, strict=True)
    )
    report = [
        str(reply) if isinstance(reply, reasons.Failure) else reply
        for reply in replies
    ]
    output.print_result(report, text, as_json=opts.as_json)
    reached = any(isinstance(reply, api.StatusRead) for reply in replies)
    sys.exit(output.Exit.SUCCESS if reached else output.Exit.UNKNOWN)


@main.command()
@click.argument("agent")
@click.option("--cancel", is_flag=True, help="Cancel the drain.")
@options.REQUEST
@click.pass_obj
def drain(
    opts: options.Options, agent: str, cancel: bool, request_id: str | None
) -> None:
    """Mark an agent as draining, so that it hands over its flows."""
    command = commands.Drain(
        request_id=options.choose_request_id(request_id),
        author=opts.author,
        submitted_ms=clock.read_wall_clock_ms(),
        agent=agent,
        cancel=cancel,
    )
    options.submit(opts, command)


main.add_command(members.members)

if __name__ == "__main__":
    main()
