"""Metrics of one instance, rendered in the Prometheus text format."""

import threading
from collections.abc import Callable

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, render

# Label values for workspaces; each makes a few time series on each instance.
MAX_WORKSPACE_LABELS = 200
OTHER_LABEL = "other"
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


class BoundedLabel:
    """Label whose values come from configurations: bounds their number, escapes them.

    Time series are kept until the end of the process, so values that are no longer in
    use count too. Thread-safe.

    Args:
        max_values: Number of values that are kept apart; further ones are counted as
            `OTHER_LABEL`.
    """

    __slots__ = ("_max_values", "_escaped_values", "_lock")

    def __init__(self, *, max_values: int):
        self._max_values = max_values
        self._escaped_values: dict[str, str] = {}
        self._lock = threading.Lock()

    def limit(self, value: str) -> str:
        """Returns the value as it is rendered, or `OTHER_LABEL` above the limit."""
        escaped = self._escaped_values.get(value)
        if escaped is not None:
            return escaped
        with self._lock:
            if len(self._escaped_values) >= self._max_values:
                return OTHER_LABEL
            # The library writes values as they are; a quote would spoil the page.
            escaped = value.replace("\\", "\\\\").replace('"', '\\"')
            self._escaped_values[value] = escaped
            return escaped


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
evacuated_domains = Gauge(
    "gooseberrymux_evacuated_domains",
    "Failure domains whose evacuation is in force on this instance.",
)
cold_changes_total = Counter(
    "gooseberrymux_cold_changes_total",
    "Changes of upstreams between cold and warm, by state; only where a rate limits "
    "cold ones.",
)
early_replies_total = Counter(
    "gooseberrymux_early_replies_total",
    "Replies of upstreams that came before their request was written.",
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
key_refusals_total = Counter(
    "gooseberrymux_key_refusals_total",
    "Forwarded requests refused because they did not carry exactly one valid API key.",
)
workspace_label = BoundedLabel(max_values=MAX_WORKSPACE_LABELS)
workspace_requests_total = BufferedCounter(
    counter=Counter(
        "gooseberrymux_workspace_requests_total",
        "Forwarded requests of each workspace by outcome (answered, failed, refused, "
        "left).",
    ),
    labels=("workspace", "outcome"),
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
domain_sends_total = BufferedCounter(
    counter=Counter(
        "gooseberrymux_domain_sends_total",
        "Forwarded requests sent to upstreams, by failure domain (home or remote, seen "
        "from this owner) and cause.",
    ),
    labels=("domain", "cause"),
)
spillover_share = SampledGauge(
    gauge=Gauge(
        "gooseberrymux_spillover_share",
        "Share of a service's requests that may leave this owner's failure domain.",
    ),
    label="service",
)
upstream_connections_total = Counter(
    "gooseberrymux_upstream_connections_total", "Connections opened to upstreams."
)
quota_requests_total = Counter(
    "gooseberrymux_quota_requests_total",
    "Requests of workspaces with a quota by outcome (held: a token was held; granted: "
    "the first member asked granted one; granted_late: a later one did; refused).",
)
quota_grants_total = Counter(
    "gooseberrymux_quota_grants_total",
    "Requests for tokens that other instances sent to this one, by kind (awaited: a "
    "caller waits; ahead) and result.",
)
quota_wait_ms = Histogram(
    "gooseberrymux_quota_wait_ms",
    "Time in milliseconds that requests waited for a token, where none was held.",
    buckets=LATENCY_BUCKETS_MS,
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
    workspace_requests_total.flush()
    domain_sends_total.flush()
    proof_age_ms.sample()
    spillover_share.sample()
    return render(REGISTRY, [accept] if accept else [])
