"""Malformed CoAP datagrams give a failure and never raise."""

import unittest
import uuid

import hypothesis
from hypothesis import strategies

from aiocoap.numbers import codes
from aiocoap.numbers import types

import aiocoap

from egretfork import coap
from egretfork import reasons


def build_request(
    code: codes.Code = codes.POST, key: bytes = b""
) -> aiocoap.Message:
    message = aiocoap.Message(
        mtype=types.CON,
        mid=7,
        code=code,
        token=b"tk",
        uri_path=("checkins",),
        payload=b"x",
    )
    if key:
        coap.set_opaque_option(message, coap.REQUEST_KEY, key)
    return message


KEY = uuid.UUID("01890a5d-ac96-774b-bcce-b302099a8057").bytes


class DecodeTest(unittest.TestCase):
    def test_token_length_over_eight_is_a_format_error(self) -> None:
        # Guards against aiocoap accepting token lengths 9 to 15.
        data = bytes((0x49, 0x01, 0, 1)) + bytes(9)
        self.assertIsInstance(coap.decode(data, "a"), reasons.Failure)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_decode_or_fail_with_a_reason(self, data: bytes) -> None:
        # Guards against an exception that ends the receiving task.
        result = coap.decode(data, "peer")
        if isinstance(result, reasons.Failure):
            self.assertEqual(result.reason, reasons.Drop.MALFORMED)
            return
        if coap.classify(result) is coap.MessageKind.REQUEST:
            coap.read_request_info(result, "peer")

    @hypothesis.given(
        strategies.integers(min_value=0, max_value=40),
        strategies.integers(min_value=0, max_value=255),
    )
    def test_message_with_one_changed_byte_decodes_or_fails(
        self, position: int, value: int
    ) -> None:
        data = bytearray(coap.encode(build_request(key=KEY)))
        data[position % len(data)] = value
        result = coap.decode(bytes(data), "peer")
        if isinstance(result, aiocoap.Message):
            coap.encode(
                coap.copy_with_header(result, types.CON, 1, result.token)
            )


class RequestInfoTest(unittest.TestCase):
    def test_key_time_is_read_from_uuid_version_7_only(self) -> None:
        self.assertEqual(coap.read_key_time_ms(KEY), 0x01890A5DAC96)
        self.assertIsNone(coap.read_key_time_ms(uuid.uuid4().bytes))

    def test_post_is_not_idempotent_and_carries_its_key(self) -> None:
        message = build_request(key=KEY)
        coap.set_uint_option(message, coap.DEADLINE_MS, 1500)
        decoded = coap.decode(coap.encode(message), "peer")
        assert isinstance(decoded, aiocoap.Message)
        info = coap.read_request_info(decoded, "peer")
        assert isinstance(info, coap.RequestInfo)
        self.assertFalse(info.idempotent)
        self.assertEqual(info.key, KEY)
        assert info.deadline is not None
        self.assertEqual(info.deadline.total_seconds(), 1.5)

    def test_unknown_critical_option_is_rejected(self) -> None:
        # RFC 7252 section 5.4.1: such a request must not be processed.
        message = build_request()
        coap.set_opaque_option(
            message, coap.optionnumbers.OptionNumber(9001), b""
        )
        decoded = coap.decode(coap.encode(message), "peer")
        assert isinstance(decoded, aiocoap.Message)
        info = coap.read_request_info(decoded, "peer")
        self.assertIsInstance(info, reasons.Failure)


if __name__ == "__main__":
    unittest.main()
