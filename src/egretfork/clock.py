"""Clocks for shells; cores receive the current time as an argument."""

import datetime
import time
import typing


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
