"""Daemon runtime: logging, metrics, supervisor tree and exit codes."""

import asyncio
import logging
import signal
import sys
import typing

import mode

from egretfork import logs
from egretfork import metrics

LOGGER = logging.getLogger(__name__)

EXIT_CRASH = 1
EXIT_USAGE = 2


class CommonSettings(typing.Protocol):
    """Settings that every daemon needs to start."""

    @property
    def name(self) -> str:
        """Return the name of the process."""

    @property
    def host(self) -> str:
        """Return the IPv4 address of the process."""

    @property
    def metrics_port(self) -> int:
        """Return the TCP port of the metrics page, 0 to disable it."""

    @property
    def log_level(self) -> str:
        """Return the minimum log level."""


class Daemon(mode.Service):
    """Root of the supervisor tree of one daemon.

    Serves the metrics page and starts the given services in order. They stop
    in reverse order on SIGTERM or SIGINT.
    """

    def __init__(
        self,
        common: CommonSettings,
        registry: metrics.Metrics,
        services: tuple[mode.Service, ...],
    ) -> None:
        super().__init__()
        self._common = common
        self._registry = registry
        self._services = services

    async def on_first_start(self) -> None:
        """Serve metrics and start the services.

        Raises:
            OSError: the metrics port cannot be opened.
        """
        if self._common.metrics_port:
            self._registry.serve(self._common.host, self._common.metrics_port)
        for service in self._services:
            await self.add_runtime_dependency(service)


def run(
    program: str,
    common: CommonSettings,
    registry: metrics.Metrics,
    services: tuple[mode.Service, ...],
) -> None:
    """Run services until a signal arrives, then exit the process.

    Raises:
        SystemExit: always; 0 after a clean stop, 1 after a crash.
    """
    logs.configure(program, common.name, common.log_level)
    supervise(Daemon(common, registry, services))


def supervise(root: mode.Service) -> None:
    """Run a supervisor tree until a signal arrives, then exit the process.

    Raises:
        SystemExit: always; 0 after a clean stop, 1 after a crash.
    """
    sys.exit(asyncio.run(_supervise(root)))


async def _supervise(root: mode.Service) -> int:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    try:
        await root.start()
        await _wait(stop_requested, root)
        await root.stop()
    except Exception:
        LOGGER.exception("daemon_failed", extra={"step": "supervise"})
        return EXIT_CRASH
    if root.crashed:
        LOGGER.error(
            "daemon_crashed",
            exc_info=root.crash_reason,
            extra={"step": "supervise"},
        )
        return EXIT_CRASH
    return 0


async def _wait(stop_requested: asyncio.Event, root: mode.Service) -> None:
    """Wait until a signal arrives or the root service stops."""
    tasks = (
        asyncio.create_task(stop_requested.wait()),
        asyncio.create_task(root.wait_until_stopped()),
    )
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()
