"""Rate limit that an upstream names, and the requests that its owner sends there."""

import dataclasses

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
    """The limit of one upstream, from the reply that first named it.

    Not thread-safe: the owner holds its lock around each call.

    Attributes:
        rate_per_s: Requests a second that the upstream takes from all instances.
    """

    __slots__ = ("rate_per_s", "_sends", "_reported_ms")

    def __init__(self, *, rate_per_s: float, now_ms: float):
        self.rate_per_s = rate_per_s
        self._sends = 0
        self._reported_ms = now_ms

    def record_send(self) -> None:
        """Counts a request that is sent."""
        self._sends += 1

    def take_report(self, now_ms: float) -> LimitReport | None:
        """Returns a report and starts the next one, or None before it is due."""
        period_ms = now_ms - self._reported_ms
        if period_ms < REPORT_PERIOD_MS:
            return None
        report = LimitReport(
            rate_per_s=self.rate_per_s, sends=self._sends, period_ms=period_ms
        )
        self._sends, self._reported_ms = 0, now_ms
        return report
