"""Latency histograms by service and rank, and the hedge delays computed from them.

Latency is the time from sending a sub-request to its reply and includes the wait in the
owner's queue.
"""

import array
import dataclasses
import math
import threading

from gooseberrymux.records import Rank
from gooseberrymux.settings import Settings

# The first bucket holds all durations up to this one.
FIRST_BUCKET_END_MS = 0.125
# Buckets grow by a factor of 2 ** (1 / 8), so a quantile is at most 9 % too high.
BUCKETS_PER_DOUBLING = 8
# The last bucket starts at about 65 s, above every default deadline.
BUCKET_COUNT = 19 * BUCKETS_PER_DOUBLING + 1
# All counts are halved when their total reaches this, so that the last few thousand
# samples dominate.
DECAY_SAMPLES = 2_048
# Enough for a median. The shards of a single query can supply these samples, so that
# even the first query of an instance is hedged.
MIN_INDEX_SAMPLES = 10
# With fewer samples of one service, the 0.95 quantile is often a straggler's time.
MIN_SERVICE_SAMPLES = 200
# A hedge never waits longer than this many medians. If stragglers and the sub-requests
# queued behind them are about as frequent as the tail beyond the quantile, the quantile
# jumps to a straggler's time and hedges would be sent too late; the median is stable.
MAX_DELAY_MEDIANS = 2.0
# Computing a quantile scans all buckets, so the result is reused until this many
# samples were added.
QUANTILE_REFRESH_SAMPLES = 16
# Sketches for 3 ranks of 1,000 services take about 2 MB.
SKETCH_LIMIT = 3_072


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NoHedge:
    """Sub-requests are never hedged."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuantileHedge:
    """A hedge is sent once a quantile of the observed latency has passed.

    Attributes:
        quantiles: For each rank, which quantile of the latency of the same service and
            rank is the hedge delay; 1 for no hedges.
        floor_ms: Shortest hedge delay in milliseconds.
    """

    quantiles: dict[Rank, float]
    floor_ms: float


HedgePolicy = NoHedge | QuantileHedge


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeAfter:
    """A sub-request may be hedged `delay_ms` milliseconds after it was sent."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelayUnknown:
    """There are too few samples to compute a hedge delay; ask again after replies."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NeverHedge:
    """Hedges are disabled by the policy, or the rank's hedge budget is 0."""


HedgePlan = HedgeAfter | DelayUnknown | NeverHedge

# Shared instances of the plans that have no fields.
DELAY_UNKNOWN = DelayUnknown()
NEVER_HEDGE = NeverHedge()


def create_hedge_policy(settings: Settings) -> HedgePolicy:
    """Returns the hedge policy for the settings.

    If a rank's hedge share is smaller than the tail beyond the configured quantile, the
    rank hedges at a higher quantile, so that its budget goes to the slowest
    sub-requests.
    """
    policy = settings.policy
    if not policy.hedge:
        return NoHedge()
    shares = {rank: getattr(settings.ranks, rank.value).hedge_share for rank in Rank}
    return QuantileHedge(
        quantiles={
            rank: max(policy.hedge_quantile, 1.0 - share)
            for rank, share in shares.items()
        },
        floor_ms=policy.hedge_floor_ms,
    )


class LatencySketch:
    """Decaying histogram of durations with logarithmic buckets.

    Not thread-safe: callers hold a lock around each call.

    Attributes:
        total: Number of samples in the buckets; decays with them.
    """

    __slots__ = ("_counts", "total", "_quantile_cache", "_records_since_scan")

    def __init__(self):
        self._counts = array.array("L", bytes(8 * BUCKET_COUNT))
        self.total = 0
        self._quantile_cache: dict[float, float] = {}
        self._records_since_scan = 0

    def record(self, bucket: int) -> None:
        """Adds a sample to a bucket, numbered as by `find_bucket`."""
        self._counts[bucket] += 1
        self.total += 1
        self._records_since_scan += 1
        if self.total >= DECAY_SAMPLES:
            for number, count in enumerate(self._counts):
                self._counts[number] = count // 2
            self.total = sum(self._counts)

    def quantile(self, quantile: float) -> float:
        """Returns a quantile in milliseconds, rounded up to its bucket's end.

        The result is cached and may lack the last samples, fewer than
        `QUANTILE_REFRESH_SAMPLES`.
        """
        if self._records_since_scan >= QUANTILE_REFRESH_SAMPLES:
            self._quantile_cache.clear()
            self._records_since_scan = 0
        if quantile not in self._quantile_cache:
            self._quantile_cache[quantile] = self._compute_quantile(quantile)
        return self._quantile_cache[quantile]

    def _compute_quantile(self, quantile: float) -> float:
        target_count = max(1, math.ceil(quantile * self.total))
        cumulative_count = 0
        for number, count in enumerate(self._counts):
            cumulative_count += count
            if cumulative_count >= target_count:
                return compute_bucket_end_ms(number)
        return compute_bucket_end_ms(BUCKET_COUNT - 1)


class Latencies:
    """Latency sketches by index, service and rank, at most `SKETCH_LIMIT`; thread-safe.

    Each rank has its own sketches: a flood of requests of one rank lengthens the queue
    waits of that rank and must not lengthen the hedge delays of the others.
    """

    __slots__ = ("_policy", "_sketches", "_lock")

    def __init__(self, *, policy: HedgePolicy):
        self._policy = policy
        self._sketches: dict[tuple[str, str, Rank], LatencySketch] = {}
        self._lock = threading.Lock()

    def record(
        self, *, service_name: str, index: str, rank: Rank, duration_ms: float
    ) -> None:
        """Records the time in milliseconds from sending a sub-request to its reply."""
        bucket = find_bucket(duration_ms)
        with self._lock:
            self._get_or_create_sketch((index, service_name, rank)).record(bucket)
            self._get_or_create_sketch((index, "", rank)).record(bucket)

    def plan_hedge(self, *, service_name: str, index: str, rank: Rank) -> HedgePlan:
        """Returns when a sub-request may be hedged.

        Until the service has enough samples, the samples of its whole index are used:
        one entry may send a service only a few sub-requests a second, and the shards of
        an index do the same kind of work.
        """
        match self._policy:
            case NoHedge():
                return NEVER_HEDGE
            case QuantileHedge(quantiles=quantiles, floor_ms=floor_ms):
                if quantiles[rank] >= 1.0:
                    return NEVER_HEDGE
                with self._lock:
                    sketch = self._find_sketch(service_name, index, rank)
                    if sketch is None:
                        return DELAY_UNKNOWN
                    delay_ms = min(
                        sketch.quantile(quantiles[rank]),
                        MAX_DELAY_MEDIANS * sketch.quantile(0.5),
                    )
                    return HedgeAfter(delay_ms=max(floor_ms, delay_ms))

    def _find_sketch(
        self, service_name: str, index: str, rank: Rank
    ) -> LatencySketch | None:
        service_sketch = self._sketches.get((index, service_name, rank))
        if service_sketch is not None and service_sketch.total >= MIN_SERVICE_SAMPLES:
            return service_sketch
        index_sketch = self._sketches.get((index, "", rank))
        if index_sketch is not None and index_sketch.total >= MIN_INDEX_SAMPLES:
            return index_sketch
        return None

    def _get_or_create_sketch(self, key: tuple[str, str, Rank]) -> LatencySketch:
        sketch = self._sketches.get(key)
        if sketch is None:
            if len(self._sketches) >= SKETCH_LIMIT:
                # Evicts the oldest sketch; if its service is in use, it refills.
                del self._sketches[next(iter(self._sketches))]
            sketch = self._sketches[key] = LatencySketch()
        return sketch

    def count_sketches(self) -> int:
        """Returns the number of sketches in memory."""
        return len(self._sketches)


def find_bucket(duration_ms: float) -> int:
    """Returns the number of the bucket for a duration in milliseconds."""
    if duration_ms <= FIRST_BUCKET_END_MS:
        return 0
    number = math.ceil(
        math.log2(duration_ms / FIRST_BUCKET_END_MS) * BUCKETS_PER_DOUBLING
    )
    return min(number, BUCKET_COUNT - 1)


def compute_bucket_end_ms(number: int) -> float:
    """Returns the longest duration in milliseconds that a bucket holds."""
    return FIRST_BUCKET_END_MS * 2 ** (number / BUCKETS_PER_DOUBLING)
