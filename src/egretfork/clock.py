"""Source of time for shells; cores receive instants as arguments."""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Monotonic clock.

    An instant is a ``datetime.timedelta`` since an arbitrary start that is
    fixed for the life of the process.
    """

    def now(self) -> datetime.timedelta:
        """Return the current instant."""


class MonotonicClock:
    """Clock of the operating system that never goes back."""

    def now(self) -> datetime.timedelta:
        """Return the time since an arbitrary start."""
        return datetime.timedelta(microseconds=time.monotonic_ns() // 1000)


class BootClock:
    """Monotonic clock that also counts the time a VM was suspended."""

    def now(self) -> datetime.timedelta:
        """Return the time since the VM started."""
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return datetime.timedelta(microseconds=boot_ns // 1000)


class ManualClock:
    """Clock for tests and replay that moves only when told to."""

    def __init__(self) -> None:
        self._now = datetime.timedelta()

    def now(self) -> datetime.timedelta:
        """Return the instant last set."""
        return self._now

    def advance(self, step: datetime.timedelta) -> None:
        """Move the clock forward by ``step``."""
        if step < datetime.timedelta():
            raise ValueError(f"clock cannot go back by {-step}")
        self._now += step


def read_wall_clock_ms() -> int:
    """Return milliseconds since the Unix epoch, used for incarnations."""
    return time.time_ns() // 1_000_000
