"""Simulated fabric: distributes callers' datagrams over the entries.

Binds the service addresses on loopback and forwards each datagram, with a
PROXY protocol v2 header, to an entry chosen at random. Datagrams from an
entry are sent to the caller from the service address. The list of entries
is read again periodically, so entries can be added and removed at run time.
Datagrams to an entry that is down but still listed are lost.
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

ENTRIES_POLL_INTERVAL_S = 0.2

DatagramHandler = collections.abc.Callable[[bytes, model.Endpoint], None]


class _HandlerProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to a handler."""

    def __init__(self, handler: DatagramHandler) -> None:
        self._handler = handler

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Call the handler with the datagram and its sender."""
        self._handler(data, model.Endpoint(*addr))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors from the port of an entry that is down."""


async def open_socket(
    address: model.Endpoint, handler: DatagramHandler
) -> asyncio.DatagramTransport:
    """Bind a UDP socket."""
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _HandlerProtocol(handler),
        local_addr=(address.host, address.port),
    )
    return transport


class Fabric:
    """Forwards datagrams between service addresses and entries."""

    def __init__(
        self, generator: random.Random, entries_file: pathlib.Path
    ) -> None:
        self._generator = generator
        self._entries_file = entries_file
        self._entries: tuple[model.Endpoint, ...] = ()
        self._service_transports: dict[
            model.Endpoint, asyncio.DatagramTransport
        ] = {}
        self._entry_transport: asyncio.DatagramTransport | None = None

    async def open(
        self,
        listen: model.Endpoint,
        services: collections.abc.Iterable[model.Endpoint],
    ) -> None:
        """Bind the socket for the entries and the service addresses."""
        self.load_entries()
        self._entry_transport = await open_socket(
            listen, self._return_to_caller
        )
        for service in services:
            forward = functools.partial(self.forward, service)
            self._service_transports[service] = await open_socket(
                service, forward
            )

    def load_entries(self) -> None:
        """Load the list of entries, one ``host:port`` per line.

        If the file is missing or incomplete, the previous list is kept.
        """
        try:
            lines = self._entries_file.read_text(encoding="utf-8").split()
            entries = tuple(map(model.parse_endpoint, lines))
        except (OSError, ValueError) as error:
            click.echo(f"cannot read the list of entries: {error}", err=True)
            return
        self._entries = entries

    def forward(
        self, service: model.Endpoint, data: bytes, caller: model.Endpoint
    ) -> None:
        """Forward a caller's datagram to an entry chosen at random."""
        if not self._entries or self._entry_transport is None:
            return
        entry = self._generator.choice(self._entries)
        datagram = proxy.encode(wire.FlowKey(caller, service), data)
        if not isinstance(datagram, reasons.Failure):
            self._entry_transport.sendto(datagram, (entry.host, entry.port))

    def _return_to_caller(self, data: bytes, entry: model.Endpoint) -> None:
        decoded = proxy.decode(data, str(entry))
        if isinstance(decoded, reasons.Failure):
            return
        flow, payload = decoded
        transport = self._service_transports.get(flow.service_address)
        if transport is not None:
            transport.sendto(payload, (flow.caller.host, flow.caller.port))

    def close(self) -> None:
        """Close all sockets."""
        for transport in self._service_transports.values():
            transport.close()
        if self._entry_transport is not None:
            self._entry_transport.close()


async def serve(
    fabric: Fabric,
    listen: model.Endpoint,
    services: tuple[model.Endpoint, ...],
) -> None:
    """Run the fabric until SIGTERM."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    await fabric.open(listen, services)
    while not stop_requested.is_set():
        try:
            await asyncio.wait_for(
                stop_requested.wait(), ENTRIES_POLL_INTERVAL_S
            )
        except TimeoutError:
            fabric.load_entries()
    fabric.close()


@click.command()
@click.option(
    "--listen",
    required=True,
    help="Address of the socket for the entries, host:port.",
)
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
    help="List of entries, one host:port per line.",
)
@click.option(
    "--seed", default=1, help="Random seed for the choice of entries."
)
def main(
    listen: str,
    services: tuple[str, ...],
    entries_file: pathlib.Path,
    seed: int,
) -> None:
    """Forward datagrams between callers and entries until SIGTERM."""
    asyncio.run(
        serve(
            Fabric(random.Random(seed), entries_file),
            model.parse_endpoint(listen),
            tuple(map(model.parse_endpoint, services)),
        )
    )


if __name__ == "__main__":
    main()
