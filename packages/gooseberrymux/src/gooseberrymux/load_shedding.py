"""Decides which requests a service refuses while its upstreams limit their rate.

A fan-out needs nearly all of its services. If each of them refused requests at random,
hardly any fan-out would be complete. So services refuse the same requests: each request
has a fixed place between 0 and 1 that follows from its id, and a service that can take
a share of its requests takes those whose place lies below the share.
"""

import math
import zlib

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.records import Rank
from gooseberrymux.schedule import (
    RANKS,
    SchedulingPolicy,
    Strict,
    StrictWithFloors,
    Weighted,
)

# Arrival rates are averages over about this time.
ARRIVAL_WINDOW_MS = 2_000.0
# Part of the capacity that is given out. Arrivals are uneven, and hedges and retries
# need some of it; at the full capacity the queue would grow until all are late.
LOAD_LIMIT = 0.9
PLACE_COUNT = 1 << 32


class ArrivalRate:
    """Exponentially weighted average of a rate of arrivals. Not thread-safe."""

    __slots__ = ("_weight", "_updated_ms")

    def __init__(self):
        self._weight = 0.0
        self._updated_ms = 0.0

    def record(self, now_ms: float) -> None:
        """Counts one arrival, at a monotonic time in milliseconds."""
        self._weight = self._decay(now_ms) + 1.0
        self._updated_ms = now_ms

    def get_per_s(self, now_ms: float) -> float:
        """Returns the arrivals a second."""
        return self._decay(now_ms) * MS_PER_S / ARRIVAL_WINDOW_MS

    def _decay(self, now_ms: float) -> float:
        return self._weight * math.exp((self._updated_ms - now_ms) / ARRIVAL_WINDOW_MS)


class LoadShedder:
    """Knows the arrivals of each rank and which of them fit into a capacity.

    Not thread-safe: the pool that owns it holds its lock around each call.

    Args:
        policy: Gives the shares of the capacity that lower ranks are guaranteed.
    """

    __slots__ = ("_floors", "_arrivals")

    def __init__(self, *, policy: SchedulingPolicy):
        self._floors = get_floors(policy)
        self._arrivals = {rank: ArrivalRate() for rank in RANKS}

    def record_arrival(self, rank: Rank, now_ms: float) -> None:
        """Counts the arrival of a request, whether it is refused or not."""
        self._arrivals[rank].record(now_ms)

    def is_shed(
        self, *, request_id: str, rank: Rank, capacity_per_s: float, now_ms: float
    ) -> bool:
        """Returns whether a request is refused.

        Args:
            request_id: The caller's id of the request.
            rank: Its rank.
            capacity_per_s: Requests a second that the upstreams take together.
            now_ms: Monotonic time in milliseconds.
        """
        arrivals = {
            rank: arrival.get_per_s(now_ms) for rank, arrival in self._arrivals.items()
        }
        shares = divide_capacity(
            capacity_per_s * LOAD_LIMIT, arrivals=arrivals, floors=self._floors
        )
        return compute_place(request_id) >= shares[rank]


def divide_capacity(
    capacity: float, *, arrivals: dict[Rank, float], floors: dict[Rank, float]
) -> dict[Rank, float]:
    """Returns the share of each rank's arrivals that fits into a capacity, 0 to 1.

    The most urgent rank goes first; each lower rank keeps its floor.

    Args:
        capacity: Requests a second.
        arrivals: Requests a second that arrive, by rank.
        floors: Share of the capacity that a rank is guaranteed if it needs it.
    """
    guaranteed = {rank: min(arrivals[rank], floors[rank] * capacity) for rank in RANKS}
    reserved = sum(guaranteed.values())
    left = capacity
    shares = {}
    for rank in RANKS:
        reserved -= guaranteed[rank]
        granted = min(arrivals[rank], max(guaranteed[rank], left - reserved))
        left -= granted
        shares[rank] = granted / arrivals[rank] if arrivals[rank] > 0 else 1.0
    return shares


def compute_place(request_id: str) -> float:
    """Returns the fixed place of a request, from 0 to below 1."""
    return zlib.crc32(request_id.encode()) / PLACE_COUNT


def get_floors(policy: SchedulingPolicy) -> dict[Rank, float]:
    """Returns the share of a busy service that a policy guarantees each rank."""
    match policy:
        case Strict():
            return dict.fromkeys(RANKS, 0.0)
        case Weighted(weights=weights):
            total = sum(weights.values())
            return {rank: weights[rank] / total for rank in RANKS}
        case StrictWithFloors(floors=floors):
            return floors
