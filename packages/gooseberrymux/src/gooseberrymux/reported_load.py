"""Load that one upstream reports in its replies, and how long it counts."""

from gooseberrymux.upstream_health import LATENCY_HALF_LIFE_MS, LATENCY_WEIGHT
from gooseberrymux.upstream_signals import ReportedLoad

# A report counts fully when it arrives and no more after this time. The processing time
# changes many times a second, and what waits there drains in a few exchanges.
REPORT_AGE_MS = 400.0
USUAL_PERCENT = 100.0
# Reported values are limited to this range, so that a wrong one neither attracts all
# traffic nor keeps it away for longer than `REPORT_AGE_MS`.
MIN_PERCENT, MAX_PERCENT = 25.0, 1_000.0
MAX_FOREIGN = 1_000.0


class LoadReports:
    """The latest report of one upstream, beside the owner's own evidence.

    Not thread-safe: the owner holds its lock around each call. Times are monotonic
    milliseconds.
    """

    __slots__ = ("_load", "_foreign", "_reported_ms", "_percent", "_average_percent")

    def __init__(self):
        self._load: ReportedLoad | None = None
        self._foreign = 0.0
        self._reported_ms = float("-inf")
        self._percent: float | None = None
        # Average over the exchanges from which the owner's evidence comes.
        self._average_percent = USUAL_PERCENT

    def apply(self, load: ReportedLoad, *, own_count: int, now_ms: float) -> None:
        """Takes in the report of a reply.

        Args:
            load: The report.
            own_count: Exchanges of this owner there, with the one that has ended, as
                the report may count it.
            now_ms: Monotonic time in milliseconds.
        """
        self._average_percent = self._compute_average(now_ms)
        self._load = load
        foreign = load.running + load.waiting - own_count
        self._foreign = min(MAX_FOREIGN, max(0.0, foreign))
        self._reported_ms = now_ms
        self._percent = load.percent
        if load.percent is not None:
            self._percent = min(MAX_PERCENT, max(MIN_PERCENT, load.percent))
            self._average_percent += LATENCY_WEIGHT * (
                self._percent - self._average_percent
            )

    def count_foreign(self, now_ms: float) -> float:
        """Returns how many requests are there that this owner did not send."""
        return self._foreign * self._get_weight(now_ms)

    def estimate_duration(
        self, duration: float, *, own_count: int, now_ms: float
    ) -> float:
        """Returns the expected duration of an exchange that starts now.

        Args:
            duration: The expectation from the owner's own evidence, in any unit.
            own_count: Exchanges of this owner there.
            now_ms: Monotonic time in milliseconds.
        """
        weight = self._get_weight(now_ms)
        if self._load is None or not weight:
            return duration
        if self._percent is not None:
            # The evidence contains the average of what the upstream reported with the
            # same replies, so only the change against that counts.
            change = self._percent / self._compute_average(now_ms) - 1.0
            duration *= 1.0 + weight * change
        # The exchanges of this owner count in `Replica.estimate_cost`.
        slots = max(1.0, self._load.slots)
        foreign = weight * self._foreign
        ahead = min(foreign, max(0.0, own_count + foreign + 1.0 - slots))
        return duration * (1.0 + ahead / slots)

    def _get_weight(self, now_ms: float) -> float:
        return max(0.0, 1.0 - (now_ms - self._reported_ms) / REPORT_AGE_MS)

    def _compute_average(self, now_ms: float) -> float:
        """Returns the average, which fades as the owner's evidence does."""
        age_ms = now_ms - self._reported_ms
        kept = 0.5 ** (age_ms / LATENCY_HALF_LIFE_MS)
        return USUAL_PERCENT + (self._average_percent - USUAL_PERCENT) * kept
