"""Validation of the CoAP message header (RFC 7252, section 3).

The module does not import the codec. Entries decode no options, so they need
not keep the codec in memory.
"""

HEADER_BYTES = 4
VERSION = 1
MAX_TOKEN_BYTES = 8


def find_header_error(data: bytes) -> str | None:
    """Check version, token and length without decoding the options.

    Returns:
        A description of the error, ``None`` if the header is valid.
    """
    if len(data) < HEADER_BYTES:
        return "shorter than the CoAP header"
    if data[0] >> 6 != VERSION:
        return "not CoAP version 1"
    token_bytes = data[0] & 0x0F
    # aiocoap accepts token lengths 9 to 15, which RFC 7252 section 3
    # defines as a message format error.
    if token_bytes > MAX_TOKEN_BYTES:
        return "token length is greater than 8"
    if len(data) < HEADER_BYTES + token_bytes:
        return "token is truncated"
    if data[1] == 0 and len(data) != HEADER_BYTES:
        return "Empty message has data after the header"
    return None
