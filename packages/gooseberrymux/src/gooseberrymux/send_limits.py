"""What one upstream allows its owner to send.

The signals of its replies say so, and whether it is cold.
"""

from gooseberrymux import journal, metrics
from gooseberrymux.clock import MS_PER_S
from gooseberrymux.cold_limits import ColdLimit
from gooseberrymux.rate_limits import RateLimit
from gooseberrymux.records import UpstreamRecord
from gooseberrymux.upstream_signals import UpstreamSignals


class SendLimits:
    """Rate limits and pause of one upstream; the lowest limit counts.

    Not thread-safe: the owner holds its lock around each call. Times are monotonic
    milliseconds.

    Attributes:
        rate_limit: The limit that the upstream names, or None if it names none.
        cold_limit: The limit while it is cold and shortly after, or None.
    """

    __slots__ = ("rate_limit", "cold_limit", "_paused_until_ms")

    def __init__(self):
        self.rate_limit: RateLimit | None = None
        self.cold_limit: ColdLimit | None = None
        self._paused_until_ms = float("-inf")

    def get_pause_ms(self, now_ms: float) -> float:
        """Returns for how many milliseconds the upstream still wants no request."""
        return max(0.0, self._paused_until_ms - now_ms)

    def get_rate_wait_ms(self, now_ms: float) -> float:
        """Returns for how many milliseconds a rate limit forbids a send."""
        wait_ms = self.rate_limit.get_wait_ms(now_ms) if self.rate_limit else 0.0
        if self.cold_limit is not None:
            wait_ms = max(wait_ms, self.cold_limit.get_wait_ms(now_ms))
        return wait_ms

    def waits_as_cold(self, now_ms: float) -> bool:
        """Returns whether the limit of a cold upstream forbids a send now."""
        return self.cold_limit is not None and self.cold_limit.get_wait_ms(now_ms) > 0.0

    def is_limited(self) -> bool:
        """Returns whether a rate limit is in force."""
        return self.rate_limit is not None or self.cold_limit is not None

    def get_wait_ms(self, now_ms: float) -> float:
        """Returns after how many milliseconds a request may be sent; 0 for now."""
        return max(self.get_pause_ms(now_ms), self.get_rate_wait_ms(now_ms))

    def count_parallel(self, slots: int, median_ms: float) -> float:
        """Returns how many exchanges the upstream runs at a time on average.

        Args:
            slots: Exchanges that it runs at a time without a limit.
            median_ms: Usual duration of an exchange.
        """
        parallel = float(slots)
        for limit in (self.rate_limit, self.cold_limit):
            if limit is not None:
                parallel = min(parallel, limit.allowed_per_s * median_ms / MS_PER_S)
        return parallel

    def record_send(self, now_ms: float) -> None:
        """Counts a request that is sent towards the rate limits."""
        if self.rate_limit is not None:
            self.rate_limit.record_send(now_ms)
        if self.cold_limit is not None:
            self.cold_limit.record_send(now_ms)

    def set_cold(
        self, rate_per_s: float | None, *, record: UpstreamRecord, now_ms: float
    ) -> None:
        """Applies whether the upstream is cold and logs when that changes.

        Args:
            rate_per_s: Requests a second that it takes while cold; None if it is warm.
            record: The upstream.
            now_ms: Monotonic time in milliseconds.
        """
        limit = self.cold_limit
        was_cold = limit is not None and limit.is_cold
        if rate_per_s is not None and limit is not None:
            limit.keep_cold(rate_per_s, now_ms)
        elif rate_per_s is not None:
            self.cold_limit = ColdLimit(rate_per_s=rate_per_s, now_ms=now_ms)
        elif limit is not None and not limit.warm_up(now_ms):
            self.cold_limit = None
        if was_cold != (rate_per_s is not None):
            state = "warm" if was_cold else "cold"
            metrics.cold_changes_total.inc({"state": state})
            journal.record_event(
                f"upstream.{state}",
                upstream=record.name,
                epoch=record.epoch,
                listed_cold=record.cold,
                rate_per_s=rate_per_s,
            )

    def apply(
        self, signals: UpstreamSignals, *, record: UpstreamRecord, now_ms: float
    ) -> None:
        """Applies the signals of a reply and logs what they change.

        A reply that names no rate limit ends it; a pause lasts until its own end.
        """
        self._apply_rate(signals.rate_limit_per_s, record, now_ms)
        if signals.pause_ms > 0.0:
            # Replies to requests that were sent before may arrive in any order.
            until_ms = max(self._paused_until_ms, now_ms + signals.pause_ms)
            self._paused_until_ms = until_ms
            journal.record_event(
                "upstream.paused",
                upstream=record.name,
                epoch=record.epoch,
                pause_ms=signals.pause_ms,
            )

    def _apply_rate(
        self, rate_per_s: float | None, record: UpstreamRecord, now_ms: float
    ) -> None:
        before = self.rate_limit.rate_per_s if self.rate_limit else None
        if rate_per_s is None:
            self.rate_limit = None
        elif self.rate_limit is None:
            self.rate_limit = RateLimit(rate_per_s=rate_per_s, now_ms=now_ms)
        else:
            self.rate_limit.set_rate(rate_per_s, now_ms)
        if rate_per_s != before:
            journal.record_event(
                "upstream.rate_limit",
                upstream=record.name,
                epoch=record.epoch,
                before=before,
                rate_per_s=rate_per_s,
            )
        if self.rate_limit and (report := self.rate_limit.take_report(now_ms)):
            journal.record_event(
                "upstream.limited",
                upstream=record.name,
                rate_per_s=report.rate_per_s,
                sends=report.sends,
                period_ms=round(report.period_ms),
            )
