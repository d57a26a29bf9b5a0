"""Rate limit of a cold upstream at its owner, and the ramp once it is warm."""

from gooseberrymux.rate_limits import RateLimit

# Once an upstream is warm, its limit doubles with each of these steps and then ends.
# Without a ramp, all requests that went to other upstreams would return to it at once.
RAMP_STEP_MS = 250.0
RAMP_STEPS = 4
RAMP_FACTOR = 2.0


class ColdLimit:
    """Limit of the requests to one upstream while it is cold.

    Bursts are no larger than one request, so that two owners which overlap for a moment
    stay within the tolerance that is granted beside the rate.

    Not thread-safe: the owner holds its lock around each call. Times are monotonic
    milliseconds.
    """

    __slots__ = ("_limit", "_cold_rate_per_s", "_warm_since_ms")

    def __init__(self, *, rate_per_s: float, now_ms: float):
        self._limit = RateLimit(rate_per_s=rate_per_s, now_ms=now_ms, burst_ms=0.0)
        self._cold_rate_per_s = rate_per_s
        self._warm_since_ms: float | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the upstream is still cold; False during the ramp."""
        return self._warm_since_ms is None

    @property
    def allowed_per_s(self) -> float:
        """Requests a second that the upstream gets."""
        return self._limit.allowed_per_s

    def keep_cold(self, rate_per_s: float, now_ms: float) -> None:
        """Applies the rate of a cold upstream; ends the ramp if it is cold again."""
        self._warm_since_ms = None
        self._cold_rate_per_s = rate_per_s
        self._limit.set_rate(rate_per_s, now_ms)

    def warm_up(self, now_ms: float) -> bool:
        """Raises the limit of an upstream that is warm; returns False once it ends."""
        if self._warm_since_ms is None:
            self._warm_since_ms = now_ms
        step = int((now_ms - self._warm_since_ms) / RAMP_STEP_MS) + 1
        self._limit.set_rate(self._cold_rate_per_s * RAMP_FACTOR**step, now_ms)
        return step <= RAMP_STEPS

    def get_wait_ms(self, now_ms: float) -> float:
        """Returns the time in milliseconds until a request may be sent; 0 for now."""
        return self._limit.get_wait_ms(now_ms)

    def record_send(self, now_ms: float) -> None:
        """Counts a request that is sent."""
        self._limit.record_send(now_ms)
