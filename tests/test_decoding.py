"""Data that decoders cannot read is a failure, not an exception."""

import itertools
import unittest
import zlib

import msgspec

from egretfork.control import api
from egretfork import decoding
from egretfork.gossip import deltas
from egretfork.gossip import messages as gossip_messages
from egretfork import model
from egretfork.passthrough import directory
from egretfork.passthrough import messages
from egretfork.passthrough import packets
from egretfork import reasons
from egretfork import wire

NESTED = b"\x91" * 100_000
FLOW = packets.FlowKey(1, 2, 3, 4)
AGENT = model.Endpoint("10.0.0.1", 7720)
TOO_LARGE = 2**63


class DecodingTest(unittest.TestCase):
    """Guards against processes that end on data from other writers."""

    def test_nested_too_deeply(self) -> None:
        packed = zlib.compress(NESTED)
        for name, result in (
            ("node", messages.decode(b"\x93\x08" + NESTED, "peer")),
            ("query", api.decode_incoming(NESTED, "peer")),
            ("reply", api.decode_reply(NESTED, "peer")),
            ("gossip", gossip_messages.decode(NESTED, "peer")),
            ("batch", gossip_messages.unpack_batch(packed)),
            ("delta", deltas.unpack(packed)),
            ("wire", wire.decode(NESTED, "peer")),
        ):
            with self.subTest(name):
                self.assertIsInstance(result, reasons.Failure)
        with self.assertRaises(ValueError):
            directory.unpack_routing(packed)

    def test_nested_in_an_added_field(self) -> None:
        # Fields after the known ones are skipped.
        message = messages.Roster(b"")
        data = messages.encode(message)
        nested = bytes([data[0] + 1]) + data[1:] + NESTED
        self.assertIsInstance(messages.decode(nested, ""), reasons.Failure)

    def test_numbers_out_of_range(self) -> None:
        announcement = messages.Announcement(
            "agent", "zone", 1, 1, "mail", messages.TargetState.READY
        )
        for message in (
            messages.PacketDelivery("mail", b"x", max_wait_ms=1),
            messages.FlowQuery(FLOW),
            messages.RegisterFlow(FLOW, AGENT),
            messages.LocateRequest(FLOW, 1, (), b"", b""),
            messages.Directory(1, 1, (AGENT,)),
            messages.RoutingChunk(1, 1, 1, b""),
            messages.JoinRequest("m-1", "control", AGENT),
            announcement,
        ):
            fields = msgspec.to_builtins(message)
            for changed in list_changed(fields):
                with self.subTest(changed):
                    data = msgspec.msgpack.encode(changed)
                    result = messages.decode(data, "peer")
                    self.assertIsInstance(result, reasons.Failure)

    def test_numbers_in_range(self) -> None:
        message = messages.Announcement(
            "agent",
            "zone",
            decoding.MAX_NUMBER,
            decoding.MAX_NUMBER,
            "mail",
            messages.TargetState.READY,
            decoding.MAX_COUNT,
            warmup_ms=decoding.MAX_COUNT,
        )
        decoded = messages.decode(messages.encode(message), "peer")
        self.assertEqual(decoded, message)


def list_changed(fields: list[object]) -> list[list[object]]:
    """Return copies in which one number, also of a nested list, is changed.

    The first field is the tag of the message.
    """
    changed: list[list[object]] = []
    for index, value in itertools.islice(enumerate(fields), 1, None):
        replacements: list[object] = []
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            replacements = [TOO_LARGE, -TOO_LARGE]
        elif isinstance(value, list):
            replacements = list(list_changed([None, *value]))
            replacements = [item[1:] for item in replacements]
        for replacement in replacements:
            changed.append(
                [*fields[:index], replacement, *fields[index + 1 :]]
            )
    return changed


if __name__ == "__main__":
    unittest.main()
