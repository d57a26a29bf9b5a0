"""How much work the upstreams of one service take, and which requests exceed it."""

from gooseberrymux.clock import MS_PER_S
from gooseberrymux.load_shedding import LoadShedder
from gooseberrymux.pending_requests import PendingRequest
from gooseberrymux.replica_set import ReplicaSet
from gooseberrymux.schedule import SchedulingPolicy

# Lower bound of the exchanges that run at a time, to divide by.
MIN_PARALLEL = 0.01
MIN_MEDIAN_MS = 1.0


class ServiceCapacity:
    """Capacity of a service's usable upstreams, with the rate limits that they name.

    Not thread-safe: the pool that owns it holds its lock around each call.

    Args:
        replicas: The upstreams.
        policy: Gives the shares of the capacity that lower ranks are guaranteed.
    """

    __slots__ = ("_replicas", "_shedder", "_median_ms")

    def __init__(self, *, replicas: ReplicaSet, policy: SchedulingPolicy):
        self._replicas = replicas
        self._shedder = LoadShedder(policy=policy)
        # Usual duration of an exchange of the latest request.
        self._median_ms = MIN_MEDIAN_MS

    def record_arrival(self, request: PendingRequest, now_ms: float) -> None:
        """Counts the arrival of a request, whether it is refused or not."""
        self._median_ms = max(MIN_MEDIAN_MS, request.latency.median_ms)
        self._shedder.record_arrival(request.call.rank, now_ms)

    def count_parallel(self, now_ms: float) -> float:
        """Returns how many exchanges run at a time on average; above 0."""
        parallel = self._replicas.count_parallel(self._median_ms, now_ms)
        return max(MIN_PARALLEL, parallel)

    def is_exceeded_by(self, request: PendingRequest, now_ms: float) -> bool:
        """Returns whether a request exceeds what rate-limited upstreams take."""
        if not self._replicas.is_rate_limited(now_ms):
            return False
        parallel = self._replicas.count_parallel(self._median_ms, now_ms)
        return self._shedder.is_shed(
            request_id=request.call.request_id,
            rank=request.call.rank,
            capacity_per_s=parallel * MS_PER_S / self._median_ms,
            now_ms=now_ms,
        )
