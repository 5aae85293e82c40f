"""Output and exit codes of the command-line client."""

import datetime
import enum
import sys
import typing

import click
import msgspec

from egretfork.client import session
from egretfork.control import api
from egretfork.control import commands
from egretfork.control import entries
from egretfork import model
from egretfork import reasons


class Exit(enum.IntEnum):
    """Exit codes of the client."""

    SUCCESS = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3


def print_result(result: object, text: str, *, as_json: bool) -> None:
    """Print a result as JSON or as text."""
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
    else:
        click.echo(text)


def exit_with_outcome(
    outcome: commands.Outcome, *, as_json: bool
) -> typing.NoReturn:
    """Print the outcome of a command and exit with its code."""
    print_result(outcome, describe_outcome(outcome), as_json=as_json)
    accepted = outcome.kind is commands.OutcomeKind.ACCEPTED
    sys.exit(Exit.SUCCESS if accepted else Exit.REFUSED)


def describe_outcome(outcome: commands.Outcome) -> str:
    """Return a one-line description of the outcome of a command."""
    submitted_at = datetime.datetime.fromtimestamp(
        outcome.submitted_ms / 1000, tz=datetime.timezone.utc
    ).isoformat(timespec="seconds")
    origin = f"{outcome.action} by {outcome.author} at {submitted_at}"
    request = f"request {outcome.request_id}"
    if outcome.kind is commands.OutcomeKind.ACCEPTED:
        return f"accepted at version {outcome.version} ({origin}, {request})"
    return f"refused: {outcome.reason}: {outcome.detail} ({origin}, {request})"


def exit_with_failure(
    result: session.Result, *, query_command: str, as_json: bool
) -> typing.NoReturn:
    """Print why there is no outcome and exit with the matching code.

    Args:
        query_command: command line that shows the outcome of the request.
    """
    match result:
        case session.NoResult(session.Certainty.UNKNOWN, failure):
            text = (
                f"outcome unknown: {failure}; check it with: {query_command}"
            )
            code = Exit.UNKNOWN
        case session.NoResult(_, failure):
            text = f"refused, not done: {failure}"
            code = Exit.REFUSED
        case api.QueryRefused():
            text = f"refused: {result.reason}: {result.detail}"
            code = Exit.REFUSED
        case _:
            text = f"unexpected reply {type(result).__name__}"
            code = Exit.UNKNOWN
    print_result({"error": text, "exit": code}, text, as_json=as_json)
    sys.exit(code)


def describe_status(
    member: model.Endpoint, reply: api.StatusRead | reasons.Failure
) -> str:
    """Return the status of one control member as text."""
    if isinstance(reply, reasons.Failure):
        return str(reply)
    detail = f" ({reply.detail})" if reply.detail else ""
    lines = [
        f"{member} {reply.name} {reply.identity}: {reply.status}{detail},"
        f" {reply.role} in term {reply.term}, version {reply.version},"
        f" committed {reply.commit_index} of {reply.last_index},"
        f" {reply.known_nodes} nodes known"
    ]
    if reply.behind_count:
        lines.append(
            f"  {reply.behind_count} nodes have not confirmed version"
            f" {reply.version} ({', '.join(reply.behind_nodes)})"
        )
    lines.extend(
        f"  address {item.quarantined.address} released by"
        f" {item.quarantined.service} in version {item.quarantined.version}:"
        f" {item.waiting_count} nodes have not confirmed"
        f" ({', '.join(item.waiting_nodes)})"
        for item in reply.quarantine
    )
    return "\n".join(lines)


def describe_member(member: entries.Member) -> str:
    """Return a one-line description of a member."""
    voting_role = "voter" if member.voter else "learner"
    return f"{member.identity} {member.name} {member.address} {voting_role}"
