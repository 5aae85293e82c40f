"""Disk that loses unsynced writes, for tests."""

import errno
import random


class FakeFile:
    """Content as written and as it is known to be on the disk."""

    def __init__(self) -> None:
        self.content = b""
        self.synced = b""


class FakeFileSystem:
    """Folder in memory whose unsynced changes a crash may undo.

    Attributes:
        failures: number of the next operations that fail.
        sync_works: false to remove the effect of syncs, as a check of
            the tests themselves.
    """

    def __init__(self) -> None:
        self._current: dict[str, FakeFile] = {}
        self._synced: dict[str, FakeFile] = {}
        self.failures = 0
        self.sync_works = True
        self._successes: int | None = None

    def fail_after(self, successes: int) -> None:
        """Let all operations fail after a number of them."""
        self._successes = successes

    def read(self, name: str) -> bytes | None:
        file = self._current.get(name)
        return file.content if file else None

    def append(self, name: str, data: bytes) -> None:
        file = self._current.setdefault(name, FakeFile())
        if self._take_failure():
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
        if self._take_failure():
            raise OSError(errno.EIO, "sync of the fake disk failed")
        if self.sync_works:
            self._current[name].synced = self._current[name].content

    def sync_folder(self) -> None:
        if self._take_failure():
            raise OSError(errno.EIO, "sync of the fake disk failed")
        if self.sync_works:
            self._synced = dict(self._current)

    def _take_failure(self) -> bool:
        if self._successes is not None:
            self._successes -= 1
            if self._successes < 0:
                self._successes = None
                self.failures = 1000
        if not self.failures:
            return False
        self.failures -= 1
        return True

    def crash(self, generator: random.Random) -> None:
        """Lose a random part of what was not synced."""
        self._successes = None
        names = sorted(self._current.keys() | self._synced.keys())
        kept = (
            (name, generator.choice([self._current, self._synced]).get(name))
            for name in names
        )
        self._current = {name: file for name, file in kept if file}
        for file in self._current.values():
            file.content = _lose_tail(file, generator)
            file.synced = file.content
        self._synced = dict(self._current)

    def flip(self, name: str, position: int, mask: int) -> None:
        """Damage one byte of a file."""
        file = self._current[name]
        damaged = bytearray(file.content)
        damaged[position] ^= mask
        file.content = file.synced = bytes(damaged)

    def copy(self) -> "FakeFileSystem":
        """Return an image of the disk."""
        image = FakeFileSystem()
        for name, file in self._current.items():
            image.append(name, file.content)
            image.sync(name)
        image.sync_folder()
        return image


def _lose_tail(file: FakeFile, generator: random.Random) -> bytes:
    if not file.content.startswith(file.synced):
        return generator.choice([file.content, file.synced])
    unsynced = len(file.content) - len(file.synced)
    kept = generator.randint(0, unsynced)
    return file.content[: len(file.synced) + kept]
