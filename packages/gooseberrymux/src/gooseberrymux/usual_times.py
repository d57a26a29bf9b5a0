"""How long exchanges of each route usually take, over all upstreams of this owner."""

import threading

from gooseberrymux.latency import LatencySketch, find_bucket
from gooseberrymux.replicas import Usual

HIGH_QUANTILE = 0.95
# Fewer samples say less than the route's latency target.
SAMPLES_NEEDED = 30
# What a route's latency target says on its exchanges before there are samples.
MEDIAN_SHARE = 1 / 6
HIGH_SHARE = 1 / 2.5
ROUTES_LIMIT = 1_024


class UsualTimes:
    """Latency sketches by route."""

    __slots__ = ("_sketches", "_lock")

    def __init__(self):
        self._sketches: dict[str, LatencySketch] = {}
        self._lock = threading.Lock()

    def record(self, *, route: str, duration_ms: float) -> None:
        """Adds the time of an exchange that was replied to."""
        bucket = find_bucket(duration_ms)
        with self._lock:
            sketch = self._sketches.get(route)
            if sketch is None:
                if len(self._sketches) >= ROUTES_LIMIT:
                    # The route that was seen first goes; it refills if in use.
                    del self._sketches[next(iter(self._sketches))]
                sketch = self._sketches[route] = LatencySketch()
            sketch.record(bucket)

    def get(self, *, route: str, target_ms: float) -> Usual:
        """Returns what exchanges of a route take.

        Args:
            route: The route.
            target_ms: Its latency target in milliseconds.
        """
        with self._lock:
            sketch = self._sketches.get(route)
            if sketch is not None and sketch.total >= SAMPLES_NEEDED:
                return Usual(
                    median_ms=sketch.quantile(0.5),
                    high_ms=sketch.quantile(HIGH_QUANTILE),
                )
        return Usual(median_ms=target_ms * MEDIAN_SHARE, high_ms=target_ms * HIGH_SHARE)
