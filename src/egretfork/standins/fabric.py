"""Stand-in of the fabric: sprays callers' datagrams over the entries.

Binds the service addresses on loopback, hands each datagram to an entry
chosen at random in PROXY protocol v2 form, and returns what entries send
back to the caller from the service address. The file of entries is read
again when it changes, so entries can be added and removed; a dead entry
that is still listed loses the datagrams sent to it.
"""

import asyncio
import collections.abc
import functools
import pathlib
import random
import signal

import click

from egretfork.entry import proxy
from egretfork import model
from egretfork import reasons
from egretfork import wire

ENTRIES_POLL_S = 0.2

Handler = collections.abc.Callable[[bytes, model.Endpoint], None]


class _Socket(asyncio.DatagramProtocol):
    """UDP socket that passes datagrams to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand over one datagram."""
        self._handler(data, model.Endpoint(*addr))

    def error_received(self, exc: Exception) -> None:
        """Ignore the closed port of a dead entry."""


async def open_socket(
    address: model.Endpoint, handler: Handler
) -> asyncio.DatagramTransport:
    """Bind a UDP socket on loopback."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _Socket(handler), local_addr=(address.host, address.port)
    )
    return transport


class Fabric:
    """Connects service addresses with entries."""

    def __init__(self, rng: random.Random, entries_file: pathlib.Path) -> None:
        self._rng = rng
        self._entries_file = entries_file
        self._entries: tuple[model.Endpoint, ...] = ()
        self._callers: dict[model.Endpoint, asyncio.DatagramTransport] = {}
        self._towards_entries: asyncio.DatagramTransport | None = None

    async def open(
        self,
        listen: model.Endpoint,
        services: collections.abc.Iterable[model.Endpoint],
    ) -> None:
        """Bind the socket towards entries and the service addresses."""
        self.read_entries()
        self._towards_entries = await open_socket(listen, self._return)
        for service in services:
            spray = functools.partial(self.spray, service)
            self._callers[service] = await open_socket(service, spray)

    def read_entries(self) -> None:
        """Read the entries, one ``host:port`` a line.

        A file that is missing or half written changes nothing.
        """
        try:
            lines = self._entries_file.read_text(encoding="utf-8").split()
            entries = tuple(map(model.parse_endpoint, lines))
        except (OSError, ValueError) as error:
            click.echo(f"entries not read: {error}", err=True)
            return
        self._entries = entries

    def spray(
        self, service: model.Endpoint, data: bytes, caller: model.Endpoint
    ) -> None:
        """Hand a caller's datagram to an entry chosen at random."""
        if not self._entries or self._towards_entries is None:
            return
        entry = self._rng.choice(self._entries)
        datagram = proxy.encode(wire.FlowKey(caller, service), data)
        if not isinstance(datagram, reasons.Failure):
            self._towards_entries.sendto(datagram, (entry.host, entry.port))

    def _return(self, data: bytes, entry: model.Endpoint) -> None:
        decoded = proxy.decode(data, str(entry))
        if isinstance(decoded, reasons.Failure):
            return
        flow, payload = decoded
        transport = self._callers.get(flow.service_address)
        if transport is not None:
            transport.sendto(payload, (flow.caller.host, flow.caller.port))

    def close(self) -> None:
        """Close all sockets."""
        for transport in self._callers.values():
            transport.close()
        if self._towards_entries is not None:
            self._towards_entries.close()


async def serve(
    fabric: Fabric,
    listen: model.Endpoint,
    services: tuple[model.Endpoint, ...],
) -> None:
    """Run the fabric until SIGTERM."""
    stopped = asyncio.Event()
    running = asyncio.get_running_loop()
    running.add_signal_handler(signal.SIGTERM, stopped.set)
    await fabric.open(listen, services)
    while not stopped.is_set():
        try:
            await asyncio.wait_for(stopped.wait(), ENTRIES_POLL_S)
        except TimeoutError:
            fabric.read_entries()
    fabric.close()


@click.command()
@click.option("--listen", required=True, help="Address towards entries.")
@click.option(
    "--service",
    "services",
    multiple=True,
    required=True,
    help="Service address, host:port; may be repeated.",
)
@click.option(
    "--entries",
    "entries_file",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="File with one entry, host:port, a line.",
)
@click.option("--seed", default=1, help="Seed of the choice of entries.")
def main(
    listen: str,
    services: tuple[str, ...],
    entries_file: pathlib.Path,
    seed: int,
) -> None:
    """Spray datagrams over entries until SIGTERM."""
    asyncio.run(
        serve(
            Fabric(random.Random(seed), entries_file),
            model.parse_endpoint(listen),
            tuple(map(model.parse_endpoint, services)),
        )
    )


if __name__ == "__main__":
    main()
