"""Metrics of a process: a counter for each reason, and gauges."""

import prometheus_client

from egretfork import reasons

CATEGORIES: dict[type[reasons.Reason], str] = {
    reasons.Drop: "drop",
    reasons.Refusal: "refusal",
    reasons.Unknown: "unknown",
    reasons.Retry: "retry",
    reasons.ControlRefusal: "control_refusal",
}


class Metrics:
    """Metrics registry of one process.

    Counters of all reasons exist from the start, so that a reason that
    has not occurred yet reads as zero.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._reasons = prometheus_client.Counter(
            "egretfork_reasons",
            "Refusals, drops, retries and unknown outcomes by reason.",
            ("category", "reason"),
            registry=self.registry,
        )
        self._counters = {
            reason: self._reasons.labels(category, reason.value)
            for kind, category in CATEGORIES.items()
            for reason in kind
        }
        self._gauges: dict[str, prometheus_client.Gauge] = {}

    def count(self, reason: reasons.Reason) -> None:
        """Count one occurrence of a reason."""
        self._counters[reason].inc()

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Set ``egretfork_<name>`` to a value."""
        if name not in self._gauges:
            self._gauges[name] = prometheus_client.Gauge(
                f"egretfork_{name}", description, registry=self.registry
            )
        self._gauges[name].set(value)

    def serve(self, host: str, port: int) -> int:
        """Serve the metrics page by HTTP and return the TCP port.

        Raises:
            OSError: the port cannot be opened.
        """
        server, _ = prometheus_client.start_http_server(
            port, addr=host, registry=self.registry
        )
        return int(server.server_port)
