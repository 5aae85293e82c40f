"""Numbers that messages can carry, and errors of their decoders.

Decoders check the ranges, so that a number from outside the process cannot
fail later, in a calculation or in the encoder of another message.
"""

import typing

import msgspec

MAX_NUMBER = 2**63 - 1
MAX_COUNT = 2**31 - 1

Number = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Time of a wall clock, which may be set to before 1970.
Timestamp = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = typing.Annotated[int, msgspec.Meta(gt=0, le=MAX_COUNT)]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Load = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
# IPv4 address.
HostNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=2**32 - 1)]
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=2**16 - 1)]

# Raised by decoders of ``msgspec`` for data that cannot be read. Deeply nested
# data exceeds the recursion limit, also in fields that are ignored.
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
