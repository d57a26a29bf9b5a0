"""Latency estimates for each route, over all upstreams that this instance owns."""

import threading

from gooseberrymux.latency import LatencySketch, find_bucket
from gooseberrymux.replicas import LatencyEstimate

P95_QUANTILE = 0.95
# With fewer samples the route's latency target gives the better estimate.
MIN_SAMPLES = 30
# Median and 95th percentile as shares of the route's latency target, used until there
# are enough samples.
TARGET_MEDIAN_SHARE = 1 / 6
TARGET_P95_SHARE = 1 / 2.5
ROUTE_LIMIT = 1_024


class RouteLatencies:
    """Thread-safe latency sketches, one for each route."""

    __slots__ = ("_sketches", "_lock")

    def __init__(self):
        self._sketches: dict[str, LatencySketch] = {}
        self._lock = threading.Lock()

    def record(self, *, route: str, duration_ms: float) -> None:
        """Adds the duration of an exchange that got a reply below status 500."""
        bucket = find_bucket(duration_ms)
        with self._lock:
            sketch = self._sketches.get(route)
            if sketch is None:
                if len(self._sketches) >= ROUTE_LIMIT:
                    # Evicts the oldest sketch; a route still in use gets a new one.
                    del self._sketches[next(iter(self._sketches))]
                sketch = self._sketches[route] = LatencySketch()
            sketch.record(bucket)

    def estimate(self, *, route: str, target_ms: float) -> LatencyEstimate:
        """Estimates the duration of one exchange on a route.

        Args:
            route: Name of the route.
            target_ms: The route's latency target, used until there are enough samples.
        """
        with self._lock:
            sketch = self._sketches.get(route)
            if sketch is not None and sketch.total >= MIN_SAMPLES:
                return LatencyEstimate(
                    median_ms=sketch.quantile(0.5),
                    p95_ms=sketch.quantile(P95_QUANTILE),
                )
        return LatencyEstimate(
            median_ms=target_ms * TARGET_MEDIAN_SHARE,
            p95_ms=target_ms * TARGET_P95_SHARE,
        )
