"""Starts and ends processes of a demo or test run by their ids."""

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
STATIC_PORTS = range(15_000, 32_000)


@dataclasses.dataclass(slots=True)
class Process:
    """One started process."""

    role: str
    name: str
    popen: subprocess.Popen[bytes]
    stopped: bool = False


class ProcessGroup:
    """Processes of one run; ends all of them on exit.

    Args:
        folder: standard output and error go to ``NAME.log`` here.
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
        """Start ``python -m MODULE ARGUMENT...`` and log to a file."""
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
        """End a process at once, as a crash does."""
        process = self.processes[name]
        process.stopped = True
        process.popen.kill()
        process.popen.wait()

    def terminate(self, name: str, timeout_s: float) -> int:
        """Ask a process to stop and return its exit code.

        Raises:
            subprocess.TimeoutExpired: it did not stop in time.
        """
        process = self.processes[name]
        process.stopped = True
        process.popen.terminate()
        return process.popen.wait(timeout_s)

    def find_crashed(self) -> list[str]:
        """Return the names of processes that ended unasked."""
        return [
            process.name
            for process in self.processes.values()
            if not process.stopped and process.popen.poll() is not None
        ]

    def measure(self) -> dict[str, int]:
        """Return the largest resident memory in KiB by role."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                rss = _read_rss_kib(process.popen.pid)
                known = self.peak_rss_kib.get(process.role, 0)
                self.peak_rss_kib[process.role] = max(known, rss)
        return dict(self.peak_rss_kib)

    def stop_all(self) -> list[str]:
        """Stop all processes; return those that had to be killed."""
        running = [
            process
            for process in self.processes.values()
            if process.popen.poll() is None
        ]
        for process in running:
            process.stopped = True
            process.popen.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        return [
            process.name
            for process in running
            if not _wait_until(process.popen, deadline)
        ]


def _wait_until(popen: subprocess.Popen[bytes], deadline: float) -> bool:
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
    """Return distinct ports that are free on loopback now.

    The ports are below the range from which the kernel takes the ports of
    outgoing connections. Otherwise a connection of another process can
    take the port of a process that is being restarted.
    """
    candidates = random.SystemRandom().sample(STATIC_PORTS, len(STATIC_PORTS))
    free = (port for port in candidates if _is_free(port, kind))
    return list(itertools.islice(free, count))


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def wait_for(
    check: typing.Callable[[], bool], timeout_s: float, step_s: float = 0.1
) -> bool:
    """Poll until ``check`` is true; return whether it became true."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if check():
            return True
        time.sleep(step_s)
    return check()
