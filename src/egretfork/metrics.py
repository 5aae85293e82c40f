"""Metrics of a process: a counter for each reason, and gauges."""

import collections.abc
import functools
import typing

from egretfork import reasons

if typing.TYPE_CHECKING:
    import prometheus_client

CATEGORIES: dict[type[reasons.Reason], str] = {
    reasons.Drop: "drop",
    reasons.Refusal: "refusal",
    reasons.Unknown: "unknown",
    reasons.Retry: "retry",
    reasons.ControlRefusal: "control_refusal",
}


class Metrics:
    """Metrics of one process.

    Counters of all reasons exist from the start, so that a reason that
    has not occurred yet reads as zero.
    """

    def __init__(self) -> None:
        self._counts = {reason: 0 for kind in CATEGORIES for reason in kind}
        self._gauges: dict[str, tuple[str, float]] = {}

    @functools.cached_property
    def registry(self) -> "prometheus_client.CollectorRegistry":
        """Return the registry of the metrics page.

        The library and its HTTP server cost about 3 MB, which a process
        without a metrics page does not pay.
        """
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return registry

    def count(self, reason: reasons.Reason) -> None:
        """Count one occurrence of a reason."""
        self._counts[reason] += 1

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Set ``egretfork_<name>`` to a value."""
        self._gauges[name] = (description, value)

    def serve(self, host: str, port: int) -> int:
        """Serve the metrics page by HTTP and return the TCP port.

        Raises:
            OSError: the port cannot be opened.
        """
        import prometheus_client

        server, _ = prometheus_client.start_http_server(
            port, addr=host, registry=self.registry
        )
        return int(server.server_port)

    def collect(self) -> collections.abc.Iterator["prometheus_client.Metric"]:
        """Return the present values to the registry."""
        from prometheus_client import core

        counter = core.CounterMetricFamily(
            "egretfork_reasons",
            "Refusals, drops, retries and unknown outcomes by reason.",
            labels=("category", "reason"),
        )
        for reason, count in self._counts.items():
            category = CATEGORIES[type(reason)]
            counter.add_metric((category, reason.value), count)
        yield counter
        # The page is served by a thread; gauges may be added meanwhile.
        for name, (description, value) in self._gauges.copy().items():
            yield core.GaugeMetricFamily(
                f"egretfork_{name}", description, value
            )
