"""Record of what was sent, answered and run in one play of a case."""

import pathlib
import time


class Record:
    """Writes lines with the seconds since the start of the play."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the play."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **details: object) -> None:
        """Write one event."""
        text = " ".join(f"{name}={value}" for name, value in details.items())
        self._file.write(f"{self.now():9.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()
