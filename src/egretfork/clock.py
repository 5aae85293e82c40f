"""Clocks for shells; cores receive the current time as an argument."""

import collections.abc
import datetime
import time
import typing

MILLISECOND = datetime.timedelta(milliseconds=1)


class Clock(typing.Protocol):
    """Monotonic clock.

    Times are ``datetime.timedelta`` values since an arbitrary origin that
    stays fixed while the process runs.
    """

    def now(self) -> datetime.timedelta:
        """Return the current time."""


class MonotonicClock:
    """Monotonic clock of the operating system."""

    def now(self) -> datetime.timedelta:
        """Return the time since an arbitrary origin."""
        return datetime.timedelta(microseconds=time.monotonic_ns() // 1000)


class BootClock:
    """Monotonic clock that includes time while the VM was suspended."""

    def now(self) -> datetime.timedelta:
        """Return the time since the VM booted."""
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return datetime.timedelta(microseconds=boot_ns // 1000)


class ManualClock:
    """Clock for tests and replay that is advanced explicitly."""

    def __init__(self) -> None:
        self._now = datetime.timedelta()

    def now(self) -> datetime.timedelta:
        """Return the current time."""
        return self._now

    def advance(self, step: datetime.timedelta) -> None:
        """Move the clock forward by ``step``."""
        if step < datetime.timedelta():
            raise ValueError(f"cannot move the clock back by {-step}")
        self._now += step


def read_wall_clock_ms() -> int:
    """Return the wall clock time as milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


class LatestWallClock:
    """Wall clock that does not follow when it is set back.

    It shows the latest time that the wall clock can show now by any of its
    settings seen so far. The age of a timestamp of this VM is therefore never
    too small.
    """

    def __init__(
        self,
        time_source: Clock,
        read_ms: collections.abc.Callable[[], int] = read_wall_clock_ms,
    ) -> None:
        self._time_source = time_source
        self._read_ms = read_ms
        self._origin_ms = 0
        self.read_ms()

    def read_ms(self) -> int:
        """Return the latest time in ms since the Unix epoch."""
        elapsed_ms = self._time_source.now() // MILLISECOND
        origin_ms = self._read_ms() - elapsed_ms
        self._origin_ms = max(self._origin_ms, origin_ms)
        return self._origin_ms + elapsed_ms
