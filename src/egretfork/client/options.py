"""Options and arguments shared by the client commands."""

import dataclasses
import datetime
import uuid

import click

from egretfork.client import output
from egretfork.client import session
from egretfork.control import api
from egretfork.control import commands
from egretfork import model


class EndpointType(click.ParamType[model.Endpoint]):
    """``HOST:PORT`` with an IPv4 host."""

    name = "host:port"

    def convert(
        self,
        value: object,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> model.Endpoint:
        """Parse the value of an option or argument."""
        if isinstance(value, model.Endpoint):
            return value
        try:
            return model.parse_endpoint(str(value))
        except ValueError as error:
            self.fail(str(error), param, ctx)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options shared by all commands."""

    members: tuple[model.Endpoint, ...]
    as_json: bool
    author: str
    timeout: datetime.timedelta

    @property
    def session(self) -> session.Session:
        """Create a session with the control members."""
        if not self.members:
            raise click.UsageError("--control is required for this command")
        return session.Session(self.members, self.timeout)

    def build_command(self, arguments: str) -> str:
        """Return a command line that addresses the same control members."""
        controls = " ".join(f"--control {item}" for item in self.members)
        return f"egretforkctl {controls} {arguments}"


REQUEST = click.option(
    "--request",
    "request_id",
    help="Request ID; pass the same one to resend a request.",
)


def choose_request_id(request_id: str | None) -> str:
    """Return the request ID; generate and print one if it is not given."""
    if request_id:
        return request_id
    generated = str(uuid.uuid4())
    click.echo(f"request {generated}", err=True)
    return generated


def submit(opts: Options, command: commands.OperatorCommand) -> None:
    """Send a command, print its outcome and exit."""
    result = opts.session.send_query(
        lambda number: api.Submit(number, command)
    )
    if isinstance(result, api.Concluded):
        output.exit_with_outcome(result.outcome, as_json=opts.as_json)
    query_command = opts.build_command(
        f"history --request {command.request_id}"
    )
    output.exit_with_failure(
        result, query_command=query_command, as_json=opts.as_json
    )
