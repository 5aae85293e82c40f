"""Commands that list and change control members and forget dead nodes."""

import collections.abc
import sys
import time
import typing

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

RETRY_INTERVAL_S = 0.5


class QuerySender(typing.Protocol):
    """Session with control."""

    def send_query(
        self, build: collections.abc.Callable[[int], api.Query]
    ) -> session.Result:
        """Send a query to the leader and return its result."""


@click.group()
def members() -> None:
    """List and change control members; forget dead nodes."""


@members.command("list")
@click.pass_obj
def list_members(opts: options.Options) -> None:
    """List the control members known to the first reachable member."""
    replies = (session.read_status(member) for member in opts.members)
    found = next(
        (reply for reply in replies if isinstance(reply, api.StatusRead)), None
    )
    if found is None:
        click.echo("no control member is reachable", err=True)
        sys.exit(output.Exit.UNKNOWN)
    text = "\n".join(output.describe_member(item) for item in found.members)
    output.print_result(found.members, text, as_json=opts.as_json)


def print_member_change(
    opts: options.Options, result: session.Result, query_command: str
) -> None:
    """Print the new members, or print the failure and exit."""
    if not isinstance(result, api.MembersChanged):
        output.exit_with_failure(
            result,
            query_command=opts.build_command(query_command),
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
    help="Make it a voter once it has caught up.",
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
    result = send_until_settled(
        opts.session,
        lambda number: api.AddMember(number, new),
        frozenset({reasons.ControlRefusal.MEMBERS_CHANGING}),
    )
    print_member_change(opts, result, "members list")
    if and_promote:
        print_member_change(opts, promote_caught_up(opts, new), "members list")


def promote_caught_up(
    opts: options.Options, new: entries.Member
) -> session.Result:
    """Promote a learner, retrying while it is still catching up."""
    return send_until_settled(
        opts.session,
        lambda number: api.PromoteMember(number, new.identity),
        frozenset(
            {
                reasons.ControlRefusal.MEMBER_NOT_CAUGHT_UP,
                reasons.ControlRefusal.MEMBERS_CHANGING,
            }
        ),
    )


def send_until_settled(
    control: QuerySender,
    build: collections.abc.Callable[[int], api.Query],
    transient: frozenset[reasons.ControlRefusal],
) -> session.Result:
    """Send a query again while it is refused for a transient reason.

    Args:
        build: creates the query with the given number.
        transient: reasons that end without the operator's help.
    """
    deadline = time.monotonic() + session.DEFAULT_TIMEOUT.total_seconds()
    while True:
        result = control.send_query(build)
        should_retry = (
            isinstance(result, api.QueryRefused) and result.reason in transient
        )
        if not should_retry or time.monotonic() > deadline:
            return result
        time.sleep(RETRY_INTERVAL_S)


@members.command()
@click.argument("identity")
@click.pass_obj
def promote(opts: options.Options, identity: str) -> None:
    """Promote the learner IDENTITY to a voter."""
    result = opts.session.send_query(
        lambda number: api.PromoteMember(number, identity)
    )
    print_member_change(opts, result, "members list")


@members.command()
@click.argument("identity")
@click.pass_obj
def remove(opts: options.Options, identity: str) -> None:
    """Remove the member IDENTITY permanently."""
    result = opts.session.send_query(
        lambda number: api.RemoveMember(number, identity)
    )
    print_member_change(opts, result, "members list")


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
