"""File system access to the data folder, replaceable in tests."""

import collections.abc
import contextlib
import fcntl
import os
import pathlib
import typing


class FileSystem(typing.Protocol):
    """Files of one folder. A write is durable only after a sync.

    All methods raise ``OSError`` when the operation fails.
    """

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create it if it does not exist."""

    def write(self, name: str, data: bytes) -> None:
        """Replace the content of a file; create it if it does not exist."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a number of bytes."""

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing an existing file of the new name."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""

    def sync_folder(self) -> None:
        """Make file creations and renames durable."""


class LocalFileSystem:
    """Files of a folder in the local file system."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, None if it does not exist."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create it if it does not exist."""
        with self._open(name, os.O_WRONLY | os.O_CREAT | os.O_APPEND) as file:
            _write_all(file, data)

    def write(self, name: str, data: bytes) -> None:
        """Replace the content of a file; create it if it does not exist."""
        with self._open(name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC) as file:
            _write_all(file, data)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a number of bytes."""
        os.truncate(self._folder / name, size)

    def rename(self, name: str, new_name: str) -> None:
        """Rename a file, replacing an existing file of the new name."""
        os.replace(self._folder / name, self._folder / new_name)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        (self._folder / name).unlink(missing_ok=True)

    def sync(self, name: str) -> None:
        """Make the content of a file durable."""
        with self._open(name, os.O_RDWR) as file:
            os.fsync(file)

    def sync_folder(self) -> None:
        """Make file creations and renames durable."""
        with self._open("", os.O_RDONLY | os.O_DIRECTORY) as file:
            os.fsync(file)

    @contextlib.contextmanager
    def _open(self, name: str, flags: int) -> collections.abc.Iterator[int]:
        path = self._folder / name
        file = os.open(path, flags | os.O_CLOEXEC, 0o640)
        try:
            yield file
        finally:
            os.close(file)


def _write_all(file: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def lock_folder(folder: pathlib.Path) -> int:
    """Lock a data folder for this process until the process ends.

    Returns:
        Descriptor of the lock file; closing it releases the lock.

    Raises:
        OSError: another process holds the lock.
    """
    file = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC)
    fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    return file
