"""Log lines are rate-limited and writing them never blocks."""

import json
import logging
import os
import unittest

from egretfork import logs


class RateLimitedHandlerTest(unittest.TestCase):
    """Guards against a process that blocks on the reader of its logs."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.now = 0.0
        self.handler = logs.RateLimitedHandler(
            writer, lines_per_s=10, read_clock=lambda: self.now
        )
        self.handler.setFormatter(logs.JsonFormatter("p", "n"))

    def write(self, count: int, level: int = logging.INFO) -> None:
        """Emit ``count`` records."""
        for number in range(count):
            record = logging.LogRecord(
                "test", level, "", 0, f"event_{number}", (), None
            )
            self.handler.emit(record)

    def read(self) -> list[str]:
        """Return the lines written since the last call."""
        return os.read(self.reader, 1 << 20).decode().splitlines()

    def test_lines_above_the_rate_are_dropped_and_counted(self) -> None:
        self.write(450)
        self.assertEqual(len(self.read()), 400)
        self.now = 1.0
        self.write(1)
        line = json.loads(self.read()[0])
        self.assertIn("lines_left_out=50", line["detail"])

    def test_warnings_are_always_written(self) -> None:
        self.write(410)
        self.read()
        self.write(1, logging.WARNING)
        self.assertEqual(len(self.read()), 1)

    def test_full_pipe_does_not_block(self) -> None:
        self.now = 1e9
        for _ in range(100):
            self.now += 1000
            self.write(400)
        self.assertTrue(self.read())


if __name__ == "__main__":
    unittest.main()
