"""Starts and stops the processes of a demo or test run."""

import dataclasses
import itertools
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing

PAGE_KIB = 4
STOP_TIMEOUT_S = 8
NON_EPHEMERAL_PORTS = range(15_000, 32_000)


@dataclasses.dataclass(slots=True)
class Process:
    """A started process.

    Attributes:
        exit_expected: the process does not count as crashed when it exits.
    """

    role: str
    name: str
    popen: subprocess.Popen[bytes]
    exit_expected: bool = False


class ProcessGroup:
    """Processes of one run; stops all of them on exit.

    Args:
        folder: folder of the files ``NAME.log``, to which the processes
            write standard output and standard error.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self.processes: dict[str, Process] = {}
        self.peak_rss_kib: dict[str, int] = {}

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop_all()

    def start(self, role: str, name: str, *arguments: str) -> Process:
        """Start ``python -m ARGUMENT...`` with output to a log file."""
        with (self._folder / f"{name}.log").open("ab") as log:
            popen = subprocess.Popen(
                (sys.executable, "-m", *arguments),
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        process = Process(role, name, popen)
        self.processes[name] = process
        return process

    def kill(self, name: str) -> None:
        """Send SIGKILL to a process and wait for it to exit."""
        process = self.processes[name]
        process.exit_expected = True
        process.popen.kill()
        process.popen.wait()

    def terminate(self, name: str, timeout_s: float) -> int:
        """Send SIGTERM to a process and return its exit code.

        Raises:
            subprocess.TimeoutExpired: the process did not exit in time.
        """
        process = self.processes[name]
        process.exit_expected = True
        process.popen.terminate()
        return process.popen.wait(timeout_s)

    def find_crashed(self) -> list[str]:
        """Return the names of processes that exited unexpectedly."""
        return [
            process.name
            for process in self.processes.values()
            if not process.exit_expected and process.popen.poll() is not None
        ]

    def measure_rss(self) -> dict[str, int]:
        """Sample resident memory; return the peak in KiB by role."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                rss = _read_rss_kib(process.popen.pid)
                previous_peak = self.peak_rss_kib.get(process.role, 0)
                self.peak_rss_kib[process.role] = max(previous_peak, rss)
        return dict(self.peak_rss_kib)

    def stop_all(self) -> list[str]:
        """Send SIGTERM to all processes, and SIGKILL after a timeout.

        Returns the names of the processes that were killed.
        """
        running = [
            process
            for process in self.processes.values()
            if process.popen.poll() is None
        ]
        for process in running:
            process.exit_expected = True
            process.popen.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        return [
            process.name
            for process in running
            if not _wait_or_kill(process.popen, deadline)
        ]


def _wait_or_kill(popen: subprocess.Popen[bytes], deadline: float) -> bool:
    try:
        popen.wait(max(deadline - time.monotonic(), 0.1))
    except subprocess.TimeoutExpired:
        popen.kill()
        popen.wait()
        return False
    return True


def _read_rss_kib(process_id: int) -> int:
    try:
        text = pathlib.Path(f"/proc/{process_id}/statm").read_text()
    except OSError:
        return 0
    return int(text.split()[1]) * PAGE_KIB


def find_free_ports(count: int, kind: socket.SocketKind) -> list[int]:
    """Return distinct ports that are currently free on loopback.

    The ports are below the kernel's ephemeral port range. Otherwise an
    outgoing connection of another process can take the port of a process
    that is being restarted.
    """
    candidates = random.SystemRandom().sample(
        NON_EPHEMERAL_PORTS, len(NON_EPHEMERAL_PORTS)
    )
    free = (port for port in candidates if _is_free(port, kind))
    return list(itertools.islice(free, count))


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def poll_until(
    condition: typing.Callable[[], bool],
    timeout_s: float,
    interval_s: float = 0.1,
) -> bool:
    """Poll a condition; return whether it became true in time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(interval_s)
    return condition()
