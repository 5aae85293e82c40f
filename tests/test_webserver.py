"""The HTTP server handles complete requests and rejects invalid ones."""

import asyncio
import unittest

from egretfork import model
from egretfork import webserver

HOST = "127.0.0.1"


async def echo(request: webserver.Request) -> webserver.Response:
    """Return the body or the method of the request."""
    if request.path == "/fail":
        raise RuntimeError("handler failed")
    if request.path == "/elsewhere":
        return webserver.Response(307, location="http://192.0.2.1/x")
    return webserver.Response(200, request.body or request.method.encode())


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against handling requests that were not read completely."""

    async def asyncSetUp(self) -> None:
        self.service = webserver.WebService(model.Endpoint(HOST, 0), echo)
        await self.service.start()
        self.addAsyncCleanup(self.service.stop)

    async def exchange(self, *parts: bytes) -> bytes:
        """Send the parts and read until the server closes the connection."""
        port = self.service.port
        reader, writer = await asyncio.open_connection(HOST, port)
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0)
        writer.write_eof()
        answer = await reader.read()
        writer.close()
        return answer

    async def test_two_requests_on_one_connection(self) -> None:
        answer = await self.exchange(
            b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
            b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        self.assertEqual(answer.count(b"HTTP/1.1 200"), 2)
        self.assertIn(b"abc", answer)

    async def test_body_in_several_reads(self) -> None:
        head = b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
        answer = await self.exchange(head, b"abc", b"def")
        self.assertTrue(answer.endswith(b"abcdef"))

    async def test_truncated_body_is_not_handled(self) -> None:
        head = b"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
        answer = await self.exchange(head, b"abc")
        self.assertNotIn(b"HTTP/1.1 200", answer)

    async def test_invalid_request_is_answered_with_400(self) -> None:
        answer = await self.exchange(b"\x00\x01\x02\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400"))

    async def test_body_above_the_limit_is_answered_with_413(self) -> None:
        size = webserver.MAX_BODY_BYTES + 1
        head = f"PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n"
        answer = await self.exchange(head.encode(), bytes(size))
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"))

    async def test_handler_exception_is_answered_with_500(self) -> None:
        with self.assertLogs("egretfork.webserver", "ERROR"):
            answer = await self.exchange(
                b"GET /fail HTTP/1.1\r\nHost: x\r\n\r\n"
            )
        self.assertTrue(answer.startswith(b"HTTP/1.1 500"))

    async def test_redirect_has_a_location(self) -> None:
        answer = await self.exchange(
            b"GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n"
        )
        self.assertIn(b"location: http://192.0.2.1/x", answer.lower())


if __name__ == "__main__":
    unittest.main()
