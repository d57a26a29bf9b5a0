"""Observed latency of each service and rank, and the hedge delay taken from it.

Times run from sending a sub-request to its reply, with the wait in the owner's queue.
"""

import array
import dataclasses
import math
import threading

from gooseberrymux.records import Rank
from gooseberrymux.settings import Settings

LOWEST_MS = 0.125
# Buckets grow by a factor of 2 ** (1 / 8), so a quantile is at most 9 % too high.
BUCKETS_PER_DOUBLING = 8
# The last bucket starts at about 65 s, above every default deadline.
BUCKET_COUNT = 19 * BUCKETS_PER_DOUBLING + 1
# Counts are halved at this total, so that the last few thousand samples decide.
WINDOW_SAMPLES = 2_048
# Enough for a median; the shards of one query can give them, so that even the first
# query of an instance is hedged.
INDEX_SAMPLES = 10
# The 0.95 quantile of fewer samples of one service often is a straggler's time.
SERVICE_SAMPLES = 200
# A hedge never waits longer than this many medians. Where stragglers and the work
# that queues behind them make up about the tail beyond the quantile, the quantile
# jumps to a straggler's time and hedges would come too late; the median stays.
MEDIAN_FACTOR = 2.0
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
        quantiles: Quantile by rank of the latency of the same service and rank; 1 for
            no hedges.
        floor_ms: Shortest delay in milliseconds.
    """

    quantiles: dict[Rank, float]
    floor_ms: float


HedgePolicy = NoHedge | QuantileHedge


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HedgeAfter:
    """A sub-request may be hedged once it has taken `delay_ms`."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DelayUnknown:
    """Too few samples yet; the first replies will tell."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NeverHedge:
    """The policy, or the rank's budget, has no hedges."""


HedgePlan = HedgeAfter | DelayUnknown | NeverHedge

# Plans without content, built once.
DELAY_UNKNOWN = DelayUnknown()
NEVER_HEDGE = NeverHedge()


def create_hedge_policy(settings: Settings) -> HedgePolicy:
    """Returns the hedge policy that the settings name.

    A rank whose hedge share is smaller than the tail beyond the quantile hedges at a
    higher quantile, so that its budget goes to the slowest sub-requests.
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

    Not thread-safe: `Latencies` holds its lock around each call.
    """

    __slots__ = ("_counts", "total", "_cached", "_cached_at")

    def __init__(self):
        self._counts = array.array("L", bytes(8 * BUCKET_COUNT))
        self.total = 0
        self._cached: dict[float, float] = {}
        self._cached_at = 0

    def record(self, bucket: int) -> None:
        """Adds a duration by the number of its bucket; see `find_bucket`."""
        self._counts[bucket] += 1
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
    """Sketches by index, service and rank, at most `SKETCH_LIMIT` of them.

    Ranks are kept apart because a flood of one rank lengthens its own queue waits and
    must not lengthen the hedge delay of the others.
    """

    __slots__ = ("_policy", "_sketches", "_lock")

    def __init__(self, *, policy: HedgePolicy):
        self._policy = policy
        self._sketches: dict[tuple[str, str, Rank], LatencySketch] = {}
        self._lock = threading.Lock()

    def record(
        self, *, service_name: str, index: str, rank: Rank, duration_ms: float
    ) -> None:
        """Adds the time in milliseconds from sending a sub-request to its reply."""
        bucket = find_bucket(duration_ms)
        with self._lock:
            self._open_sketch((index, service_name, rank)).record(bucket)
            self._open_sketch((index, "", rank)).record(bucket)

    def plan_hedge(self, *, service_name: str, index: str, rank: Rank) -> HedgePlan:
        """Returns when a sub-request may be hedged.

        Until the service has enough samples, those of its whole index decide: one
        entry may see a service a few times a second only, and the shards of an index
        do the same kind of work.
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
                        MEDIAN_FACTOR * sketch.quantile(0.5),
                    )
                    return HedgeAfter(delay_ms=max(floor_ms, delay_ms))

    def _find_sketch(
        self, service_name: str, index: str, rank: Rank
    ) -> LatencySketch | None:
        own = self._sketches.get((index, service_name, rank))
        if own is not None and own.total >= SERVICE_SAMPLES:
            return own
        shared = self._sketches.get((index, "", rank))
        if shared is not None and shared.total >= INDEX_SAMPLES:
            return shared
        return None

    def _open_sketch(self, key: tuple[str, str, Rank]) -> LatencySketch:
        sketch = self._sketches.get(key)
        if sketch is None:
            if len(self._sketches) >= SKETCH_LIMIT:
                # The sketch that was opened first goes; it refills if in use.
                del self._sketches[next(iter(self._sketches))]
            sketch = self._sketches[key] = LatencySketch()
        return sketch

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
