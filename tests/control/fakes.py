"""Fake disk that loses unsynced writes in a crash."""

import errno
import random


class FakeFile:
    """Written content and synced content of a file."""

    def __init__(self) -> None:
        self.content = b""
        self.synced = b""


class FakeFileSystem:
    """In-memory folder whose unsynced changes a crash may undo.

    Attributes:
        failures: number of upcoming operations that fail.
        sync_works: False disables syncs, to check the tests themselves.
    """

    def __init__(self) -> None:
        self._current: dict[str, FakeFile] = {}
        self._synced: dict[str, FakeFile] = {}
        self.failures = 0
        self.sync_works = True
        self._remaining_successes: int | None = None

    def fail_after(self, successes: int) -> None:
        """Let all operations fail after a number of successful ones."""
        self._remaining_successes = successes

    def read(self, name: str) -> bytes | None:
        file = self._current.get(name)
        return file.content if file else None

    def append(self, name: str, data: bytes) -> None:
        file = self._current.setdefault(name, FakeFile())
        if self._consume_failure():
            file.content += data[: len(data) // 2]
            raise OSError(errno.ENOSPC, "no space left on the fake disk")
        file.content += data

    def write(self, name: str, data: bytes) -> None:
        self._current[name] = FakeFile()
        self.append(name, data)

    def truncate(self, name: str, size: int) -> None:
        file = self._current[name]
        file.content = file.content[:size]

    def rename(self, name: str, new_name: str) -> None:
        self._current[new_name] = self._current.pop(name)

    def sync(self, name: str) -> None:
        if self._consume_failure():
            raise OSError(errno.EIO, "sync of the fake disk failed")
        if self.sync_works:
            self._current[name].synced = self._current[name].content

    def sync_folder(self) -> None:
        if self._consume_failure():
            raise OSError(errno.EIO, "sync of the fake disk failed")
        if self.sync_works:
            self._synced = dict(self._current)

    def _consume_failure(self) -> bool:
        if self._remaining_successes is not None:
            self._remaining_successes -= 1
            if self._remaining_successes < 0:
                self._remaining_successes = None
                self.failures = 1000
        if not self.failures:
            return False
        self.failures -= 1
        return True

    def crash(self, rng: random.Random) -> None:
        """Lose a random part of the unsynced changes."""
        self._remaining_successes = None
        names = sorted(self._current.keys() | self._synced.keys())
        kept = (
            (name, rng.choice([self._current, self._synced]).get(name))
            for name in names
        )
        self._current = {name: file for name, file in kept if file}
        for file in self._current.values():
            file.content = _drop_unsynced_tail(file, rng)
            file.synced = file.content
        self._synced = dict(self._current)

    def corrupt_byte(self, name: str, position: int, mask: int) -> None:
        """Flip bits in one byte of a file."""
        file = self._current[name]
        damaged = bytearray(file.content)
        damaged[position] ^= mask
        file.content = file.synced = bytes(damaged)

    def copy(self) -> "FakeFileSystem":
        """Return an image of the current content, all synced."""
        image = FakeFileSystem()
        for name, file in self._current.items():
            image.append(name, file.content)
            image.sync(name)
        image.sync_folder()
        return image


def _drop_unsynced_tail(file: FakeFile, rng: random.Random) -> bytes:
    if not file.content.startswith(file.synced):
        return rng.choice([file.content, file.synced])
    unsynced = len(file.content) - len(file.synced)
    kept = rng.randint(0, unsynced)
    return file.content[: len(file.synced) + kept]
