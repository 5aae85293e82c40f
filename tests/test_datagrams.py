"""A datagram that cannot be handled or sent does not stop a socket."""

import asyncio
import logging
import socket
import unittest
from unittest import mock

from egretfork import datagrams
from egretfork import model

LOOPBACK = model.Endpoint("127.0.0.1", 0)


class DatagramServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_failures_leave_the_socket_open(self) -> None:
        # Guards against a socket that stops receiving after one handler error.
        received: list[bytes] = []
        done = asyncio.Event()

        def handle(data: bytes, peer: model.Endpoint) -> None:
            received.append(data)
            if len(received) == 2 * datagrams.MAX_READ_BATCH:
                done.set()
            if data == b"0":
                raise OSError("handler")

        service = datagrams.DatagramService(LOOPBACK, handle)
        service.send(b"before start", LOOPBACK)
        await service.start()
        self.addAsyncCleanup(service.stop)
        logging.disable(logging.ERROR)
        self.addCleanup(logging.disable, logging.NOTSET)
        service.send(b"", model.Endpoint("127.0.0.1", 70_000))
        # Guards against an error, or a wait for a resolver, that stops the
        # tick which sends to an address from a message.
        with mock.patch.object(socket, "getaddrinfo") as resolve:
            for host in ("name", "", "*", "a\x00b", "\ud800"):
                service.send(b"", model.Endpoint(host, 7720))
            resolve.assert_not_called()
        service.send(bytes(datagrams.MAX_UDP_BYTES + 1), service.address)
        expected = [
            str(number).encode()
            for number in range(2 * datagrams.MAX_READ_BATCH)
        ]
        for data in expected:
            service.send(data, service.address)
        await asyncio.wait_for(done.wait(), 20)
        self.assertEqual(received, expected)

    async def test_paused_service_leaves_datagrams_in_the_socket(self) -> None:
        received: list[bytes] = []
        done = asyncio.Event()

        def handle(data: bytes, peer: model.Endpoint) -> None:
            received.append(data)
            done.set()

        service = datagrams.DatagramService(LOOPBACK, handle, paused=True)
        await service.start()
        self.addAsyncCleanup(service.stop)
        service.send(b"early", service.address)
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual(received, [])
        service.resume()
        service.resume()
        await asyncio.wait_for(done.wait(), 20)
        self.assertEqual(received, [b"early"])


if __name__ == "__main__":
    unittest.main()
