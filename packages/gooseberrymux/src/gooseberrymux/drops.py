"""Counts dropped peer messages and refused callers; logs them at a limited rate."""

import threading

from gooseberrymux import journal, metrics
from gooseberrymux.clock import Clock

LOG_PERIOD_MS = 1_000.0
# Pairs of reason and peer that are tracked at a time; bounds the memory that a sender
# of invalid frames under changing names can use.
SOURCES_LIMIT = 256


class DropRecorder:
    """Counts every drop; logs at most one line a second for each reason and peer.

    While `SOURCES_LIMIT` pairs of reason and peer were logged within the last second,
    drops of other pairs are counted and not logged.
    """

    __slots__ = ("_clock", "_event", "_lock", "_last_lines", "_counts")

    def __init__(self, *, clock: Clock, event: str = "peers.dropped"):
        self._clock = clock
        self._event = event
        self._lock = threading.Lock()
        self._last_lines: dict[tuple[str, str], tuple[float, int]] = {}
        self._counts: dict[str, int] = {}

    def record(self, *, reason: str, step: str, peer: str, detail: str = "") -> bool:
        """Counts one drop and logs it, unless a line for its source was just logged.

        Returns:
            Whether a line was logged. The line's `passed_over` is the number of drops
            of this reason and peer that were not logged since the previous line.
        """
        metrics.dropped_total.inc({"reason": reason})
        now_ms = self._clock.now_ms()
        with self._lock:
            self._counts[reason] = self._counts.get(reason, 0) + 1
            if len(self._last_lines) >= SOURCES_LIMIT:
                self._remove_expired(now_ms)
            is_tracked = (reason, peer) in self._last_lines
            if not is_tracked and len(self._last_lines) >= SOURCES_LIMIT:
                return False
            logged_ms, passed_over = self._last_lines.get((reason, peer), (None, 0))
            if logged_ms is not None and now_ms - logged_ms < LOG_PERIOD_MS:
                self._last_lines[reason, peer] = (logged_ms, passed_over + 1)
                return False
            self._last_lines[reason, peer] = (now_ms, 0)
        journal.record_event(
            self._event,
            reason=reason,
            step=step,
            peer=peer,
            detail=detail,
            passed_over=passed_over,
        )
        return True

    def describe(self) -> dict[str, int]:
        """Returns the number of drops since the start, by reason."""
        with self._lock:
            return dict(self._counts)

    def _remove_expired(self, now_ms: float) -> None:
        self._last_lines = {
            key: (logged_ms, passed_over)
            for key, (logged_ms, passed_over) in self._last_lines.items()
            if now_ms - logged_ms < LOG_PERIOD_MS
        }
