"""Tests of clocks."""

import datetime
import unittest

from egretfork import clock

SECOND = datetime.timedelta(seconds=1)


class LatestWallClockTest(unittest.TestCase):
    """Guards against ages that are too small after the clock was set."""

    def setUp(self) -> None:
        self.time_source = clock.ManualClock()
        self.shown_ms = 50_000
        self.wall_clock = clock.LatestWallClock(
            self.time_source, lambda: self.shown_ms
        )

    def test_clock_that_is_set_back(self) -> None:
        self.time_source.advance(SECOND)
        self.shown_ms = 46_000
        self.assertEqual(self.wall_clock.read_ms(), 51_000)

    def test_clock_that_is_set_forward_and_back(self) -> None:
        self.shown_ms = 58_000
        self.assertEqual(self.wall_clock.read_ms(), 58_000)
        self.time_source.advance(SECOND)
        self.shown_ms = 51_000
        self.assertEqual(self.wall_clock.read_ms(), 59_000)


if __name__ == "__main__":
    unittest.main()
