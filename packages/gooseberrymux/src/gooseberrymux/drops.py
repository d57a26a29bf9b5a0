"""Counts dropped peer messages and logs them without flooding the log."""

import threading

from gooseberrymux import journal, metrics
from gooseberrymux.clock import Clock

LOG_PERIOD_MS = 1_000.0
# Bounds the memory that a sender of garbage under changing names can take.
SOURCES_LIMIT = 256


class DropRecorder:
    """Counts every drop; logs at most one line a second for each reason and peer."""

    __slots__ = ("_clock", "_lock", "_logged", "_counts")

    def __init__(self, *, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._logged: dict[tuple[str, str], tuple[float, int]] = {}
        self._counts: dict[str, int] = {}

    def record(self, *, reason: str, step: str, peer: str, detail: str = "") -> bool:
        """Counts one drop.

        Returns:
            Whether a line was logged; it says how many were passed over before it.
        """
        metrics.dropped_total.inc({"reason": reason})
        now_ms = self._clock.now_ms()
        with self._lock:
            self._counts[reason] = self._counts.get(reason, 0) + 1
            if len(self._logged) >= SOURCES_LIMIT:
                self._forget_old(now_ms)
            known = (reason, peer) in self._logged
            if not known and len(self._logged) >= SOURCES_LIMIT:
                return False
            logged_ms, passed_over = self._logged.get((reason, peer), (None, 0))
            if logged_ms is not None and now_ms - logged_ms < LOG_PERIOD_MS:
                self._logged[reason, peer] = (logged_ms, passed_over + 1)
                return False
            self._logged[reason, peer] = (now_ms, 0)
        journal.record_event(
            "peers.dropped",
            reason=reason,
            step=step,
            peer=peer,
            detail=detail,
            passed_over=passed_over,
        )
        return True

    def describe(self) -> dict[str, int]:
        """Returns the number of drops by reason."""
        with self._lock:
            return dict(self._counts)

    def _forget_old(self, now_ms: float) -> None:
        self._logged = {
            key: (logged_ms, passed_over)
            for key, (logged_ms, passed_over) in self._logged.items()
            if now_ms - logged_ms < LOG_PERIOD_MS
        }
