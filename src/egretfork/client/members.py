"""Commands that list and change control members and forget nodes."""

import sys
import time

import click

from egretfork.client import options
from egretfork.client import output
from egretfork.client import session
from egretfork import clock
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import entries
from egretfork import model
from egretfork import reasons

CATCH_UP_PAUSE_S = 0.5


@click.group()
def members() -> None:
    """List and change control members; forget dead nodes."""


@members.command("list")
@click.pass_obj
def list_members(opts: options.Options) -> None:
    """List the control members as the first reachable one knows them."""
    replies = (session.read_status(member) for member in opts.members)
    found = next(
        (reply for reply in replies if isinstance(reply, api.StatusRead)), None
    )
    if found is None:
        click.echo("no control member was reached", err=True)
        sys.exit(output.Exit.UNKNOWN)
    text = "\n".join(output.describe_member(item) for item in found.members)
    output.print_result(found.members, text, as_json=opts.as_json)


def change_members(
    opts: options.Options, result: session.Result, find_out: str
) -> None:
    """Print the result of a change of members or exit."""
    if not isinstance(result, api.MembersChanged):
        output.finish_failure(
            result,
            find_out=opts.build_command(find_out),
            as_json=opts.as_json,
        )
    text = "\n".join(output.describe_member(item) for item in result.members)
    output.print_result(result.members, text, as_json=opts.as_json)


@members.command()
@click.argument("address", type=options.EndpointType())
@click.option(
    "--promote/--learner",
    "and_promote",
    default=False,
    help="Give it a vote once it has caught up.",
)
@click.pass_obj
def add(
    opts: options.Options, address: model.Endpoint, and_promote: bool
) -> None:
    """Add the running control process at ADDRESS as a learner."""
    found = session.read_status(address)
    if isinstance(found, reasons.Failure):
        click.echo(str(found), err=True)
        sys.exit(output.Exit.REFUSED)
    new = entries.Member(found.identity, found.name, address, voter=False)
    result = opts.session.send_query(lambda number: api.AddMember(number, new))
    change_members(opts, result, "members list")
    if and_promote:
        change_members(opts, promote_caught_up(opts, new), "members list")


def promote_caught_up(
    opts: options.Options, new: entries.Member
) -> session.Result:
    """Promote a learner; try again while it is still catching up."""
    deadline = time.monotonic() + session.DEFAULT_TIMEOUT.total_seconds()
    while True:
        result = opts.session.send_query(
            lambda number: api.PromoteMember(number, new.identity)
        )
        waits = isinstance(result, api.QueryRefused) and result.reason in (
            reasons.ControlRefusal.MEMBER_NOT_CAUGHT_UP,
            reasons.ControlRefusal.MEMBERS_CHANGING,
        )
        if not waits or time.monotonic() > deadline:
            return result
        time.sleep(CATCH_UP_PAUSE_S)


@members.command()
@click.argument("identity")
@click.pass_obj
def promote(opts: options.Options, identity: str) -> None:
    """Give the learner IDENTITY a vote."""
    result = opts.session.send_query(
        lambda number: api.PromoteMember(number, identity)
    )
    change_members(opts, result, "members list")


@members.command()
@click.argument("identity")
@click.pass_obj
def remove(opts: options.Options, identity: str) -> None:
    """Remove the member IDENTITY for good."""
    result = opts.session.send_query(
        lambda number: api.RemoveMember(number, identity)
    )
    change_members(opts, result, "members list")


@members.command()
@click.argument("node")
@options.REQUEST
@click.pass_obj
def forget(opts: options.Options, node: str, request_id: str | None) -> None:
    """Stop waiting for the dead entry or agent NODE."""
    command = commands.ForgetNode(
        request_id=options.choose_request_id(request_id),
        author=opts.author,
        submitted_ms=clock.read_wall_clock_ms(),
        node=node,
    )
    options.submit(opts, command)
