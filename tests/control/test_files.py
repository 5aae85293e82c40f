"""Local file system: which files and folders are synced."""

import os
import pathlib
import stat
import tempfile
import unittest
from unittest import mock

from egretfork.control import files
from egretfork.control import storage


class LocalFileSystemTest(unittest.TestCase):
    """Guards against file names that are lost in a power failure."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.system = files.LocalFileSystem(self.folder)
        self.synced: list[str] = []

    def record_sync(self, file: int) -> None:
        """Record the type of a synced file instead of syncing it."""
        is_folder = stat.S_ISDIR(os.fstat(file).st_mode)
        self.synced.append("folder" if is_folder else "file")

    def test_the_folder_is_synced(self) -> None:
        with mock.patch("os.fsync", self.record_sync):
            self.system.sync_folder()
        self.assertEqual(self.synced, ["folder"])

    def test_a_new_member_is_synced_by_name_and_content(self) -> None:
        with mock.patch("os.fsync", self.record_sync):
            storage.Storage(self.system).initialise(
                storage.StoredIdentity("id", "name"), ()
            )
        self.assertEqual(self.synced[-2:], ["file", "folder"])

    def test_a_removed_file_does_not_exist(self) -> None:
        self.system.write("one", b"1")
        self.system.remove("one")
        self.system.remove("one")
        self.assertIsNone(self.system.read("one"))


if __name__ == "__main__":
    unittest.main()
