"""Retransmission of confirmable messages (RFC 7252, section 4.2)."""

import dataclasses
import datetime
import heapq
import itertools
import typing

KeyType = typing.TypeVar("KeyType", bound=typing.Hashable)

MAX_RETRANSMITS = 4
BACKOFF_FACTOR = 2


@dataclasses.dataclass(slots=True)
class Transmission:
    """A confirmable message that is not acknowledged yet.

    Attributes:
        payload: encoded message.
        due: time of the next retransmission.
        interval: time between the last transmission and the next.
        sent: number of transmissions so far.
    """

    payload: bytes
    due: datetime.timedelta
    interval: datetime.timedelta
    sent: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class DueTransmission(typing.Generic[KeyType]):
    """A message whose acknowledgement did not arrive in time.

    Attributes:
        key: key passed to ``add``.
        payload: encoded message.
        sent: number of earlier transmissions.
        expired: no retransmission is left and the message is removed.
    """

    key: KeyType
    payload: bytes
    sent: int
    expired: bool


class RetransmissionQueue(typing.Generic[KeyType]):
    """Messages that wait for an acknowledgement, with retransmission."""

    def __init__(self, timeout: datetime.timedelta) -> None:
        self._timeout = timeout
        self._unacknowledged: dict[KeyType, Transmission] = {}
        self._schedule: list[tuple[datetime.timedelta, int, KeyType]] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._unacknowledged)

    def __contains__(self, key: KeyType) -> bool:
        return key in self._unacknowledged

    def add(
        self, key: KeyType, payload: bytes, now: datetime.timedelta
    ) -> None:
        """Add a message that has just been sent."""
        due = now + self._timeout
        self._unacknowledged[key] = Transmission(payload, due, self._timeout)
        self._push(due, key)

    def remove(self, key: KeyType) -> bool:
        """Remove a message; return whether it was unacknowledged."""
        return self._unacknowledged.pop(key, None) is not None

    def take_due(
        self, now: datetime.timedelta
    ) -> list[DueTransmission[KeyType]]:
        """Return the messages to retransmit and those that expired."""
        due = []
        while self._schedule and self._schedule[0][0] <= now:
            due_time, _, key = heapq.heappop(self._schedule)
            transmission = self._unacknowledged.get(key)
            if transmission is not None and transmission.due == due_time:
                due.append(self._reschedule(key, transmission, now))
        return due

    def _reschedule(
        self, key: KeyType, transmission: Transmission, now: datetime.timedelta
    ) -> DueTransmission[KeyType]:
        expired = transmission.sent > MAX_RETRANSMITS
        result = DueTransmission(
            key, transmission.payload, transmission.sent, expired
        )
        if expired:
            del self._unacknowledged[key]
            return result
        transmission.sent += 1
        transmission.interval *= BACKOFF_FACTOR
        transmission.due = now + transmission.interval
        self._push(transmission.due, key)
        return result

    def _push(self, due: datetime.timedelta, key: KeyType) -> None:
        heapq.heappush(self._schedule, (due, next(self._numbers), key))
