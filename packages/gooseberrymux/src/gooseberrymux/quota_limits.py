"""Limits of a quota, and the token bucket that keeps them.

Times are those of `Clock.boot_ms`, as a bucket must not miss the time in which the
machine was suspended.
"""

import dataclasses
import math

from gooseberrymux.clock import MS_PER_S

# Parts of the tolerance requests. Together with the fraction by which a capacity of at
# least 1 exceeds a small burst they stay below 1: see docs/design/quotas.md.
ADVANCE_PART = 0.25
RESERVE_PART = 0.125
HELD_PART = 0.15
# Longest time that a refused caller is told to wait. Callers wait for their answer for
# 0.3 to 2.5 s in all, so a longer time would mean that they give up.
RETRY_LIMIT_MS = 1_000.0
# Tokens accrue in floating point; a bucket that lacks less than this has a token.
TOKEN_TOLERANCE = 1e-6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """By how much the requests in a window may exceed a quota.

    Attributes:
        window_ms: Length of the window.
        share: Excess as a share of `rate x window + burst`.
        requests: Excess in requests, in addition to the share.
    """

    window_ms: float
    share: float
    requests: float

    @property
    def lapse_ms(self) -> float:
        """Time for which a token lasts that is not held for long."""
        return self.window_ms * self.share / 2

    def compute_capacity(self, burst: float) -> float:
        """Returns the capacity of an owner's bucket, in tokens."""
        return max(1.0, burst) + ADVANCE_PART * self.requests

    @property
    def reserve_capacity(self) -> float:
        """Capacity of a reserve, in tokens, which also accrue in each window."""
        return RESERVE_PART * self.requests

    @property
    def held_limit(self) -> float:
        """Tokens of one workspace that entries may hold for long."""
        return HELD_PART * self.requests


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaLimit:
    """Limit of one workspace in one generation of the configuration."""

    rate_per_s: float
    burst: float
    generation: int


class QuotaBucket:
    """Token bucket that is empty at first. Not thread-safe."""

    __slots__ = ("_rate_per_s", "_capacity", "_tokens", "_refilled_ms")

    def __init__(self, *, rate_per_s: float, capacity: float, since_ms: float):
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = 0.0
        self._refilled_ms = since_ms

    def set_limit(self, *, rate_per_s: float, capacity: float, now_ms: float) -> None:
        """Replaces the limit; tokens above a lower capacity are discarded."""
        self._refill(now_ms)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def restart(self, now_ms: float) -> None:
        """Empties the bucket."""
        self._tokens = 0.0
        self._refilled_ms = now_ms

    def take(self, wanted: int, now_ms: float, *, floor: float = 0.0) -> int:
        """Takes up to `wanted` whole tokens, leaving `floor`; returns their number."""
        self._refill(now_ms)
        available = math.floor(self._tokens - floor + TOKEN_TOLERANCE)
        taken = max(0, min(wanted, available))
        self._tokens -= taken
        return taken

    def get_wait_ms(self, now_ms: float) -> float:
        """Returns the time until the bucket has a token; infinite if it never will."""
        self._refill(now_ms)
        missing = max(0.0, 1.0 - self._tokens)
        if missing and (self._capacity < 1.0 or not self._rate_per_s):
            return math.inf
        return missing * MS_PER_S / self._rate_per_s if missing else 0.0

    @property
    def capacity(self) -> float:
        """Greatest number of tokens in the bucket."""
        return self._capacity

    def is_full(self, now_ms: float) -> bool:
        """Returns whether no more tokens accrue."""
        self._refill(now_ms)
        return self._tokens >= self._capacity

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._refilled_ms)
        accrued = elapsed_ms / MS_PER_S * self._rate_per_s
        self._tokens = min(self._capacity, self._tokens + accrued)
        self._refilled_ms = max(now_ms, self._refilled_ms)
