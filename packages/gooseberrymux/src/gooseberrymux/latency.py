"""Observed latency of each service and rank, and the hedge delay taken from it."""

import array
import dataclasses
import math
import threading

from gooseberrymux.records import Rank
from gooseberrymux.settings import PolicySettings

LOWEST_MS = 0.125
# Buckets grow by a factor of 2 ** (1 / 8), so a quantile is at most 9 % too high.
BUCKETS_PER_DOUBLING = 8
# The last bucket starts at about 65 s, above every default deadline.
BUCKET_COUNT = 19 * BUCKETS_PER_DOUBLING + 1
# Counts are halved at this total, so that the last few thousand samples decide.
WINDOW_SAMPLES = 2_048
# Below this count a high quantile is mostly chance.
MINIMUM_SAMPLES = 20
# A quantile costs a scan of the buckets; one scan serves this many records.
QUANTILE_REFRESH_SAMPLES = 16
# 3 ranks of 1,000 services take about 2 MB.
SKETCH_LIMIT = 3_072


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoHedge:
    """Sub-requests are never hedged."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuantileHedge:
    """A hedge goes out when a quantile of the observed latency has passed.

    Attributes:
        quantile: Quantile of the latency of the same service and rank.
        floor_ms: Shortest delay in milliseconds.
    """

    quantile: float
    floor_ms: float


HedgePolicy = NoHedge | QuantileHedge


def create_hedge_policy(settings: PolicySettings) -> HedgePolicy:
    """Returns the hedge policy that the settings name."""
    if not settings.hedge:
        return NoHedge()
    return QuantileHedge(
        quantile=settings.hedge_quantile, floor_ms=settings.hedge_floor_ms
    )


class LatencySketch:
    """Decaying histogram of durations with logarithmic buckets.

    Not thread-safe: `Latencies` holds its lock around each call.
    """

    __slots__ = ("_counts", "total", "_cached", "_cached_at")

    def __init__(self):
        self._counts = array.array("L", bytes(8 * BUCKET_COUNT))
        self.total = 0
        self._cached: dict[float, float] = {}
        self._cached_at = 0

    def record(self, duration_ms: float) -> None:
        """Adds a duration in milliseconds."""
        self._counts[find_bucket(duration_ms)] += 1
        self.total += 1
        self._cached_at += 1
        if self.total >= WINDOW_SAMPLES:
            for number, count in enumerate(self._counts):
                self._counts[number] = count // 2
            self.total = sum(self._counts)

    def quantile(self, quantile: float) -> float:
        """Returns a quantile in milliseconds, rounded up to its bucket's end.

        It may be up to `QUANTILE_REFRESH_SAMPLES` records old.
        """
        if self._cached_at >= QUANTILE_REFRESH_SAMPLES:
            self._cached.clear()
            self._cached_at = 0
        if quantile not in self._cached:
            self._cached[quantile] = self._compute_quantile(quantile)
        return self._cached[quantile]

    def _compute_quantile(self, quantile: float) -> float:
        wanted = max(1, math.ceil(quantile * self.total))
        seen = 0
        for number, count in enumerate(self._counts):
            seen += count
            if seen >= wanted:
                return get_bucket_end(number)
        return get_bucket_end(BUCKET_COUNT - 1)


class Latencies:
    """Sketches by service and rank, at most `SKETCH_LIMIT` of them.

    Ranks are kept apart because a flood of one rank lengthens its own queue waits and
    must not lengthen the hedge delay of the others.
    """

    __slots__ = ("_policy", "_sketches", "_lock")

    def __init__(self, *, policy: HedgePolicy):
        self._policy = policy
        self._sketches: dict[tuple[str, Rank], LatencySketch] = {}
        self._lock = threading.Lock()

    def record(self, *, service_name: str, rank: Rank, duration_ms: float) -> None:
        """Adds the time in milliseconds from sending a sub-request to its reply."""
        key = (service_name, rank)
        with self._lock:
            sketch = self._sketches.get(key)
            if sketch is None:
                if len(self._sketches) >= SKETCH_LIMIT:
                    # The sketch that was opened first goes; it refills if in use.
                    del self._sketches[next(iter(self._sketches))]
                sketch = self._sketches[key] = LatencySketch()
            sketch.record(duration_ms)

    def find_hedge_delay_ms(self, *, service_name: str, rank: Rank) -> float | None:
        """Returns the hedge delay in milliseconds, or None for no hedge."""
        match self._policy:
            case NoHedge():
                return None
            case QuantileHedge(quantile=quantile, floor_ms=floor_ms):
                with self._lock:
                    sketch = self._sketches.get((service_name, rank))
                    if sketch is None or sketch.total < MINIMUM_SAMPLES:
                        return None
                    return max(floor_ms, sketch.quantile(quantile))

    def count_sketches(self) -> int:
        """Returns how many sketches are held."""
        return len(self._sketches)


def find_bucket(duration_ms: float) -> int:
    """Returns the number of the bucket that holds a duration."""
    if duration_ms <= LOWEST_MS:
        return 0
    number = math.ceil(math.log2(duration_ms / LOWEST_MS) * BUCKETS_PER_DOUBLING)
    return min(number, BUCKET_COUNT - 1)


def get_bucket_end(number: int) -> float:
    """Returns the longest duration, in milliseconds, of a bucket."""
    return LOWEST_MS * 2 ** (number / BUCKETS_PER_DOUBLING)
