"""Metrics of a process: reason counters, gauges and latency histograms."""

import bisect
import collections.abc
import datetime
import enum
import functools
import itertools
import typing

from egretfork import reasons

if typing.TYPE_CHECKING:
    import prometheus_client

CATEGORIES: dict[type[reasons.Reason], str] = {
    reasons.Drop: "drop",
    reasons.Refusal: "refusal",
    reasons.UnknownOutcome: "unknown",
    reasons.Retry: "retry",
    reasons.ControlRefusal: "control_refusal",
}


class Latency(enum.StrEnum):
    """Measured latencies."""

    FLOW_OPENING = "flow_opening"
    FIRST_ANSWER = "first_answer"


LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)
LATENCY_DESCRIPTIONS: dict[Latency, str] = {
    Latency.FLOW_OPENING: "Time from the offer of a flow to its opening.",
    Latency.FIRST_ANSWER: "Time from a request to the start of its answer.",
}


class Metrics:
    """Metrics of one process.

    The counters of all reasons exist from the start, so that a reason that
    has not occurred yet is exported as zero.
    """

    def __init__(self) -> None:
        self._counts = {reason: 0 for kind in CATEGORIES for reason in kind}
        self._gauges: dict[str, tuple[str, float]] = {}
        self._bucket_counts = {
            kind: [0] * (len(LATENCY_BUCKETS_S) + 1) for kind in Latency
        }
        self._duration_sums_s = dict.fromkeys(Latency, 0.0)

    @functools.cached_property
    def registry(self) -> "prometheus_client.CollectorRegistry":
        """Return the registry of the metrics page.

        The import is deferred because the library and its HTTP server take
        about 3 MB, which a process without a metrics page saves.
        """
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return registry

    def count(self, reason: reasons.Reason) -> None:
        """Increment the counter of a reason."""
        self._counts[reason] += 1

    def set_gauge(self, name: str, description: str, value: float) -> None:
        """Set ``egretfork_<name>`` to a value."""
        self._gauges[name] = (description, value)

    def observe(self, kind: Latency, duration: datetime.timedelta) -> None:
        """Add a duration to a latency histogram."""
        seconds = duration.total_seconds()
        bucket = bisect.bisect_left(LATENCY_BUCKETS_S, seconds)
        self._bucket_counts[kind][bucket] += 1
        self._duration_sums_s[kind] += seconds

    def render(self) -> bytes:
        """Return the metrics page as text."""
        import prometheus_client

        return prometheus_client.generate_latest(self.registry)

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
        """Yield the current values for the registry."""
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
        # The page is served from another thread while gauges may be added.
        for name, (description, value) in self._gauges.copy().items():
            yield core.GaugeMetricFamily(
                f"egretfork_{name}", description, value
            )
        for kind, counts in self._bucket_counts.items():
            yield core.HistogramMetricFamily(
                f"egretfork_{kind}_seconds",
                LATENCY_DESCRIPTIONS[kind],
                buckets=_cumulate_buckets(counts),
                sum_value=self._duration_sums_s[kind],
            )


def _cumulate_buckets(counts: list[int]) -> list[tuple[str, float]]:
    """Return cumulative bucket counts by upper bound."""
    bounds = [str(bound) for bound in LATENCY_BUCKETS_S] + ["+Inf"]
    sums = itertools.accumulate(counts)
    return [
        (bound, float(total))
        for bound, total in zip(bounds, sums, strict=True)
    ]
