"""Tests packet headers against the platform's published examples."""

import unittest

import hypothesis
from hypothesis import strategies

from tests import platform  # noqa: F401  (adds the adapter to the path)

from egretfork_platform import headers

from egretfork.passthrough import packets
from egretfork import reasons

SYN = bytes.fromhex(
    "0000112233440000000000000000644000070" "1bbc61200019c41a1b2c3d58000"
)
RESET = bytes.fromhex(
    "0000000000000000000000000000c61200019c41644000070" "1bb000000000100"
)
FLOW = packets.FlowKey(0x64400007, 40001, 0xC6120001, 443)
CODEC = headers.HeaderCodec()


def build_client_packet(flags: int, data: bytes = b"", echo: int = 0) -> bytes:
    """Return a packet from a client."""
    return (
        headers.HEADER.pack(
            len(data),
            5,
            9,
            echo,
            FLOW.caller_host,
            FLOW.service_port,
            FLOW.service_host,
            FLOW.caller_port,
            0x01020304,
            flags,
            0,
        )
        + data
    )


def parse_client_packet(data: bytes) -> packets.Packet:
    """Parse a well-formed packet from a client."""
    packet = CODEC.read_from_caller(data)
    assert isinstance(packet, packets.Packet)
    return packet


class HeaderTest(unittest.TestCase):
    """Guards against headers that differ from the platform's layout."""

    def test_example_of_a_first_packet(self) -> None:
        packet = parse_client_packet(SYN)
        self.assertEqual(packet.flow, FLOW)
        self.assertTrue(packet.opens)
        self.assertEqual(packet.payload_bytes, 0)

    def test_example_of_a_reset(self) -> None:
        self.assertEqual(CODEC.build_reset(FLOW, 0), RESET)

    def test_flags(self) -> None:
        for flags, field in (
            (headers.SYN, "opens"),
            (headers.SYN | headers.ACK, "accepts"),
            (headers.FIN | headers.ACK, "finishes"),
            (headers.RST, "resets"),
        ):
            with self.subTest(field=field):
                self.assertTrue(
                    getattr(
                        parse_client_packet(build_client_packet(flags)), field
                    )
                )

    def test_response_of_endpoint_has_same_flow(self) -> None:
        packet = CODEC.read_from_target(RESET)
        assert isinstance(packet, packets.Packet)
        self.assertEqual(packet.flow, FLOW)

    def test_returned_packet(self) -> None:
        original = build_client_packet(headers.ACK, b"abc")
        tagged = CODEC.write_tag(original, 77)
        returned = bytearray(tagged)
        returned[headers.FLAGS_OFFSET] |= headers.BOUNCED
        packet = CODEC.read_from_target(bytes(returned))
        assert isinstance(packet, packets.Packet)
        self.assertTrue(packet.returned)
        self.assertEqual(packet.flow, FLOW)
        self.assertEqual(packet.tag, 77)
        self.assertEqual(CODEC.restore_original(packet.data), original)

    def test_bounced_flag_from_client_is_rejected(self) -> None:
        failure = CODEC.read_from_caller(build_client_packet(headers.BOUNCED))
        self.assertIsInstance(failure, reasons.Failure)

    @hypothesis.given(strategies.binary(max_size=1300))
    def test_arbitrary_bytes(self, data: bytes) -> None:
        for method in (CODEC.read_from_caller, CODEC.read_from_target):
            packet = method(data)
            if isinstance(packet, reasons.Failure):
                self.assertEqual(packet.reason, reasons.Drop.MALFORMED)
            else:
                size = len(data) - headers.HEADER.size
                self.assertEqual(packet.payload_bytes, size)

    @hypothesis.given(
        strategies.integers(0, 0xFFFFFFFF), strategies.binary(max_size=1200)
    )
    def test_tag_changes_only_echo(self, tag: int, data: bytes) -> None:
        original = build_client_packet(headers.ACK, data)
        tagged = CODEC.write_tag(original, tag)
        self.assertEqual(parse_client_packet(tagged).tag, tag)
        self.assertEqual(CODEC.restore_original(tagged), original)


if __name__ == "__main__":
    unittest.main()
