"""Heads of packets against the platform's published example."""

import unittest

import hypothesis
from hypothesis import strategies

from tests import platform  # noqa: F401  (adds the adapter to the path)

from egretfork_platform import heads

from egretfork.passthrough import packets
from egretfork import reasons

SYN = bytes.fromhex(
    "0000112233440000000000000000644000070" "1bbc61200019c41a1b2c3d58000"
)
RESET = bytes.fromhex(
    "0000000000000000000000000000c61200019c41644000070" "1bb000000000100"
)
FLOW = packets.FlowKey(0x64400007, 40001, 0xC6120001, 443)
CODEC = heads.HeadCodec()


def build(flags: int, data: bytes = b"", echo: int = 0) -> bytes:
    """Return a packet of a client."""
    return (
        heads.HEAD.pack(
            len(data),
            5,
            9,
            echo,
            FLOW.client_host,
            FLOW.service_port,
            FLOW.service_host,
            FLOW.client_port,
            0x01020304,
            flags,
            0,
        )
        + data
    )


def read(data: bytes) -> packets.Packet:
    """Read a packet of a client that is well-formed."""
    packet = CODEC.read_from_caller(data)
    assert isinstance(packet, packets.Packet)
    return packet


class HeadTest(unittest.TestCase):
    """Guards against heads that are read or written differently."""

    def test_example_of_a_first_packet(self) -> None:
        packet = read(SYN)
        self.assertEqual(packet.flow, FLOW)
        self.assertTrue(packet.opens)
        self.assertEqual(packet.payload_bytes, 0)

    def test_example_of_a_reset(self) -> None:
        self.assertEqual(CODEC.build_reset(FLOW, 0), RESET)

    def test_kinds(self) -> None:
        for flags, field in (
            (heads.SYN, "opens"),
            (heads.SYN | heads.ACK, "accepts"),
            (heads.FIN | heads.ACK, "finishes"),
            (heads.RST, "resets"),
        ):
            with self.subTest(field=field):
                self.assertTrue(getattr(read(build(flags)), field))

    def test_answer_of_an_endpoint_has_the_same_flow(self) -> None:
        packet = CODEC.read_from_target(RESET)
        assert isinstance(packet, packets.Packet)
        self.assertEqual(packet.flow, FLOW)

    def test_returned_packet(self) -> None:
        original = build(heads.ACK, b"abc")
        tagged = CODEC.write_tag(original, 77)
        returned = bytearray(tagged)
        returned[heads.FLAGS_OFFSET] |= heads.BOUNCED
        packet = CODEC.read_from_target(bytes(returned))
        assert isinstance(packet, packets.Packet)
        self.assertTrue(packet.returned)
        self.assertEqual(packet.flow, FLOW)
        self.assertEqual(packet.tag, 77)
        self.assertEqual(CODEC.restore(packet.data), original)

    def test_a_client_returns_nothing(self) -> None:
        failure = CODEC.read_from_caller(build(heads.BOUNCED))
        self.assertIsInstance(failure, reasons.Failure)

    @hypothesis.given(strategies.binary(max_size=1300))
    def test_any_bytes(self, data: bytes) -> None:
        for method in (CODEC.read_from_caller, CODEC.read_from_target):
            packet = method(data)
            if isinstance(packet, reasons.Failure):
                self.assertEqual(packet.reason, reasons.Drop.MALFORMED)
            else:
                size = len(data) - heads.HEAD.size
                self.assertEqual(packet.payload_bytes, size)

    @hypothesis.given(
        strategies.integers(0, 0xFFFFFFFF), strategies.binary(max_size=1200)
    )
    def test_a_tag_changes_nothing_else(self, tag: int, data: bytes) -> None:
        original = build(heads.ACK, data)
        tagged = CODEC.write_tag(original, tag)
        self.assertEqual(read(tagged).tag, tag)
        self.assertEqual(CODEC.restore(tagged), original)


if __name__ == "__main__":
    unittest.main()
