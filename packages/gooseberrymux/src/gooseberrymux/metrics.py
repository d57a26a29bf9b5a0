"""Metrics of one instance, rendered in the Prometheus text format."""

import threading
from collections.abc import Callable

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

LATENCY_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class BufferedCounter:
    """Counts in a plain table and adds to a counter of the library when rendered.

    The library checks the labels at each increment, which costs more than the rest of
    the accounting for a request that is sent for each shard. Thread-safe.

    Args:
        counter: The counter that is rendered.
        labels: Names of its labels.
    """

    __slots__ = ("_counter", "_labels", "_counts", "_lock")

    def __init__(self, *, counter: Counter, labels: tuple[str, ...]):
        self._counter = counter
        self._labels = labels
        self._counts: dict[tuple[str, ...], int] = {}
        self._lock = threading.Lock()

    def increment(self, *values: str) -> None:
        """Counts one event.

        Args:
            values: Values of the labels, in their order.
        """
        with self._lock:
            self._counts[values] = self._counts.get(values, 0) + 1

    def flush(self) -> None:
        """Adds what was counted since the last call to the library's counter."""
        with self._lock:
            counts, self._counts = self._counts, {}
            for values, count in counts.items():
                self._counter.add(dict(zip(self._labels, values, strict=True)), count)


class SampledGauge:
    """A gauge whose values are read when the metrics are rendered.

    Args:
        gauge: The gauge that is rendered.
        label: Name of its label.
    """

    __slots__ = ("_gauge", "_label", "_read")

    def __init__(self, *, gauge: Gauge, label: str):
        self._gauge = gauge
        self._label = label
        self._read: Callable[[], dict[str, float]] = dict

    def read_from(self, read: Callable[[], dict[str, float]]) -> None:
        """Sets the function that returns the values by label."""
        self._read = read

    def sample(self) -> None:
        """Reads the present values into the library's gauge."""
        for label, value in self._read().items():
            self._gauge.set({self._label: label}, value)


requests_total = Counter(
    "gooseberrymux_requests_total", "Caller requests by kind, rank and outcome."
)
request_ms = Histogram(
    "gooseberrymux_request_ms",
    "Time to answer a caller's request in milliseconds, by kind and rank.",
    buckets=LATENCY_BUCKETS_MS,
)
subrequests_total = Counter(
    "gooseberrymux_subrequests_total",
    "Sub-requests by cause (first, hedge, retry) and outcome.",
)
dropped_total = Counter(
    "gooseberrymux_dropped_total", "Messages and replies dropped, by reason."
)
queue_length = Gauge(
    "gooseberrymux_queue_length", "Sub-requests queued at this owner, by rank."
)
platform_calls_total = Counter(
    "gooseberrymux_platform_calls_total",
    "Calls to the platform by kind and outcome; a watch counts as one.",
)
generation = Gauge(
    "gooseberrymux_generation", "Generation in force of each replicated document."
)
proof_age_ms = SampledGauge(
    gauge=Gauge(
        "gooseberrymux_document_proof_age_ms",
        "Age in milliseconds of the latest proof that the documents of a prefix are "
        "current.",
    ),
    label="prefix",
)
members = Gauge("gooseberrymux_members", "Known instances by state.")
peers_lost_total = Counter(
    "gooseberrymux_peers_lost_total", "Losses of a link with calls, by reason."
)
peer_resets_total = Counter(
    "gooseberrymux_peer_resets_total",
    "Messages of this instance that a restarted peer rejected at once.",
)
peer_bytes_total = Counter(
    "gooseberrymux_peer_bytes_total", "Bytes of peer frames, by direction."
)
probes_total = Counter(
    "gooseberrymux_probes_total", "Probes by kind (direct, indirect) and result."
)
leaving_upstreams = Gauge(
    "gooseberrymux_leaving_upstreams", "Upstreams with a leaving notice."
)
callers_left_total = Counter(
    "gooseberrymux_callers_left_total", "Callers that left before their answer."
)
callers_shed_total = Counter(
    "gooseberrymux_callers_shed_total",
    "Callers' connections refused or closed for lack of room, by listener, action and "
    "reason.",
)
forwards_total = Counter(
    "gooseberrymux_forwards_total", "Forwarded requests by route, rank and status."
)
forward_ms = Histogram(
    "gooseberrymux_forward_ms",
    "Time to answer a forwarded request in milliseconds, by rank.",
    buckets=LATENCY_BUCKETS_MS,
)
call_delay_ms = Histogram(
    "gooseberrymux_call_delay_ms",
    "Time in milliseconds by which calls to this owner were delayed under way.",
    buckets=LATENCY_BUCKETS_MS,
)
sends_total = BufferedCounter(
    counter=Counter(
        "gooseberrymux_sends_total",
        "Forwarded requests sent to upstreams, by cause (first, hedge, retry) and "
        "outcome.",
    ),
    labels=("cause", "outcome"),
)
upstream_connections_total = Counter(
    "gooseberrymux_upstream_connections_total", "Connections opened to upstreams."
)
faults_total = Counter("gooseberrymux_faults_total", "Faults by step.")
log_lines_dropped_total = Counter(
    "gooseberrymux_log_lines_dropped_total", "Log lines that were not written."
)


def render_metrics(accept: str) -> tuple[bytes, dict[str, str]]:
    """Returns body and headers of a scrape response.

    Args:
        accept: The `Accept` header of the scrape; empty selects the default format.
    """
    sends_total.flush()
    proof_age_ms.sample()
    return render(REGISTRY, [accept] if accept else [])
