"""Start of a daemon: logs, metrics, supervisor tree and exit code."""

import mode

from egretfork import logs
from egretfork import metrics
from egretfork import settings

EXIT_USAGE = 2


class Daemon(mode.Service):
    """Root of the supervisor tree of one daemon.

    Serves the metrics page and runs the services given, in order; stops
    them in reverse order on SIGTERM or SIGINT.
    """

    def __init__(
        self,
        common: settings.Settings,
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
    common: settings.Settings,
    registry: metrics.Metrics,
    services: tuple[mode.Service, ...],
) -> None:
    """Run services until a signal arrives, then exit the process.

    Raises:
        SystemExit: always; 0 after a clean stop, 1 after a crash.
    """
    logs.configure(program, common.name, common.log_level)
    worker = mode.Worker(
        Daemon(common, registry, services),
        redirect_stdouts=False,
        override_logging=False,
    )
    worker.execute_from_commandline()
