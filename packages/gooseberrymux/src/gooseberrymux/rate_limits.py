"""Rate limit that an upstream names, kept by the owner of the upstream."""

import dataclasses

from gooseberrymux.clock import MS_PER_S

# Tokens that a bucket holds at most, as the time in which they accrue. The limit is in
# requests a second, so an upstream may get those of one second at once.
BURST_MS = 1_000.0
# An upstream that takes nothing still gets a request from time to time, as only a reply
# can end its limit.
MIN_RATE_PER_S = 0.5
# Tokens accrue in floating point; a bucket that lacks less than this is full enough.
TOKEN_TOLERANCE = 1e-6
# A limited upstream gets one log line for each period, however many requests it gets.
REPORT_PERIOD_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LimitReport:
    """What a limited upstream was sent since the report before.

    Attributes:
        rate_per_s: The limit, in requests a second.
        sends: Requests sent, hedges and retries included.
        period_ms: Length of the time in milliseconds.
    """

    rate_per_s: float
    sends: int
    period_ms: float


class RateLimit:
    """Token bucket for the requests to one upstream that names a limit.

    The bucket starts empty: until the reply that named the limit, the upstream got
    requests without one.

    Not thread-safe: the owner holds its lock around each call. Times are monotonic
    milliseconds.

    Args:
        rate_per_s: Requests a second that the upstream takes.
        now_ms: The current time.
        burst_ms: Tokens that the bucket holds at most, as the time in which they
            accrue; it always holds one.
    """

    __slots__ = (
        "_rate_per_s",
        "_burst_ms",
        "_tokens",
        "_refilled_ms",
        "_sends",
        "_reported_ms",
    )

    def __init__(self, *, rate_per_s: float, now_ms: float, burst_ms: float = BURST_MS):
        self._rate_per_s = rate_per_s
        self._burst_ms = burst_ms
        self._tokens = 0.0
        self._refilled_ms = now_ms
        self._sends = 0
        self._reported_ms = now_ms

    @property
    def rate_per_s(self) -> float:
        """Requests a second that the upstream takes from all instances."""
        return self._rate_per_s

    @property
    def allowed_per_s(self) -> float:
        """Requests a second that the upstream gets."""
        return max(MIN_RATE_PER_S, self._rate_per_s)

    def set_rate(self, rate_per_s: float, now_ms: float) -> None:
        """Replaces the limit; tokens accrue at the new rate from now on."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._tokens = min(self._tokens, self._capacity)

    def get_wait_ms(self, now_ms: float) -> float:
        """Returns the time in milliseconds until a request may be sent; 0 for now."""
        self._refill(now_ms)
        missing = 1.0 - self._tokens
        if missing <= TOKEN_TOLERANCE:
            return 0.0
        return missing * MS_PER_S / self.allowed_per_s

    def record_send(self, now_ms: float) -> None:
        """Takes the token of a request that is sent."""
        self._refill(now_ms)
        self._tokens -= 1.0
        self._sends += 1

    def take_report(self, now_ms: float) -> LimitReport | None:
        """Returns a report and starts the next one, or None before it is due."""
        period_ms = now_ms - self._reported_ms
        if period_ms < REPORT_PERIOD_MS:
            return None
        report = LimitReport(
            rate_per_s=self._rate_per_s, sends=self._sends, period_ms=period_ms
        )
        self._sends, self._reported_ms = 0, now_ms
        return report

    @property
    def _capacity(self) -> float:
        return max(1.0, self.allowed_per_s * self._burst_ms / MS_PER_S)

    def _refill(self, now_ms: float) -> None:
        accrued = (now_ms - self._refilled_ms) / MS_PER_S * self.allowed_per_s
        self._tokens = min(self._capacity, self._tokens + accrued)
        self._refilled_ms = now_ms
