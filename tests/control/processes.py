"""Runs control processes and the client on loopback for tests."""

import collections.abc
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from click import testing
import msgspec

from egretfork.client import program
from egretfork.client import session
from egretfork.control import program as control
from egretfork import model
from egretfork import reasons
from egretfork import settings
from egretfork.standins import processes as standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLES = ROOT / "examples"

# Number of polls after which waiting for a condition fails.
MAX_POLLS = 600
POLL_PAUSE_S = 0.1


def poll(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        time.sleep(POLL_PAUSE_S)
    raise AssertionError("the expected state was not reached")


def pick_port() -> int:
    """Return a TCP port that was free when checked."""
    return standins.find_free_ports(1, socket.SOCK_STREAM)[0]


class Member:
    """A control process with its settings and data folder."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self.address = f"127.0.0.1:{pick_port()}"
        self.data = folder / name
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._settings.write_text(
            f"name: {name}\navailability_zone: zone-a\nhost: 127.0.0.1\n"
            f"port: {self.address.rpartition(':')[2]}\n"
            f"data_folder: {self.data}\n"
        )

    def run_command(self, *arguments: str) -> str:
        """Run a subcommand of the program and return its output."""
        return subprocess.run(
            [*self._build_command(), *arguments],
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()

    def initialise_learner(self) -> None:
        """Create the data folder of a learner without starting it."""
        control_settings = settings.load(
            self._settings, control.ControlSettings
        )
        assert isinstance(
            control_settings, control.ControlSettings
        ), control_settings
        control.initialise(control_settings, first=False)

    def _build_command(self) -> list[str]:
        module = "egretfork.control.program"
        settings_path = str(self._settings)
        return [sys.executable, "-m", module, "--settings", settings_path]

    def start(self) -> None:
        """Start the process in the background."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._build_command(), stdout=log, stderr=log
            )

    def is_responding(self) -> bool:
        """Return whether the process responds; fail if it has exited."""
        assert self._process is not None
        assert self._process.poll() is None, self.read_log()
        address = model.parse_endpoint(self.address)
        return not isinstance(session.read_status(address), reasons.Failure)

    def stop(self, stop_signal: signal.Signals = signal.SIGKILL) -> int:
        """Stop the process with a signal and return its exit code."""
        if self._process is None:
            return 0
        self._process.send_signal(stop_signal)
        code = self._process.wait()
        self._process = None
        return code

    def read_log(self) -> str:
        """Return the output of the process."""
        return self._log.read_text()


class ProcessTest(unittest.TestCase):
    """Test with a group of three control processes."""

    def setUp(self) -> None:
        """Start a group of one and add two members."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.members = [self.add_member(f"control-{i}") for i in range(3)]
        first, second, third = self.members
        first.run_command("init", "--first")
        second.initialise_learner()
        third.initialise_learner()
        for member in self.members:
            member.start()
        for member in self.members:
            poll(member.is_responding)
        for member in (second, third):
            result = self.run_client(
                "members", "add", member.address, "--promote"
            )
            self.assertEqual(result.exit_code, 0, result.stdout)

    def add_member(self, name: str) -> Member:
        """Prepare a process that is stopped after the test."""
        member = Member(self.folder, name)
        self.addCleanup(member.stop)
        return member

    def run_client(self, *arguments: str) -> testing.Result:
        """Run the client against all members."""
        pairs = (("--control", member.address) for member in self.members)
        options = [part for pair in pairs for part in pair]
        return testing.CliRunner().invoke(
            program.main, ["--json", *options, *arguments]
        )

    def read_version(self) -> int:
        """Return the latest version according to the leader, -1 if unknown."""
        result = self.run_client("show")
        if result.exit_code:
            return -1
        shown = msgspec.json.decode(result.stdout)
        return int(shown["configuration"]["version"])
