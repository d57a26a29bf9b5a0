"""Retry and hedge budgets: additional sends as a limited share of first sends."""

import collections
import threading

from gooseberrymux.records import Rank
from gooseberrymux.settings import RanksSettings

# Hedges and retries of a rank together are limited to this share of its first
# sub-requests (docs/design.md 1.3), also if the two configured shares add up to more.
EXTRA_SHARE_LIMIT = 0.1
# Capacity of a bucket, and its initial content if its share is not 0. This lets an
# instance with little traffic retry the shards of one query.
BURST_TOKENS = 10.0


class TokenBucket:
    """A token bucket that is refilled by events instead of by time.

    Each deposit adds `share` tokens, up to `BURST_TOKENS`.

    Not thread-safe: `Budgets` holds its lock around each call.
    """

    __slots__ = ("_share", "tokens")

    def __init__(self, *, share: float):
        self._share = share
        self.tokens = BURST_TOKENS if share > 0 else 0.0

    def deposit(self) -> None:
        """Adds the share of a token that one event earns."""
        self.tokens = min(BURST_TOKENS, self.tokens + self._share)

    def withdraw(self) -> None:
        """Removes one token; the caller has checked that there is one."""
        self.tokens -= 1.0


class RankBudget:
    """Token buckets of one rank: retries, hedges, and both together."""

    __slots__ = ("retries", "hedges", "extra")

    def __init__(self, *, retry_share: float, hedge_share: float):
        self.retries = TokenBucket(share=retry_share)
        self.hedges = TokenBucket(share=hedge_share)
        self.extra = TokenBucket(
            share=min(EXTRA_SHARE_LIMIT, retry_share + hedge_share)
        )


class Budgets:
    """Retry and hedge budgets of this instance, separate for each rank.

    Thread-safe.
    """

    __slots__ = ("_rank_budgets", "_lock")

    def __init__(self, *, settings: RanksSettings):
        self._rank_budgets = {
            rank: RankBudget(
                retry_share=getattr(settings, rank.value).retry_share,
                hedge_share=getattr(settings, rank.value).hedge_share,
            )
            for rank in Rank
        }
        self._lock = threading.Lock()

    def record_first_send(self, rank: Rank) -> None:
        """Adds to the budgets of a rank for the first send of one sub-request."""
        budget = self._rank_budgets[rank]
        with self._lock:
            budget.retries.deposit()
            budget.hedges.deposit()
            budget.extra.deposit()

    def try_acquire_retry(self, rank: Rank) -> bool:
        """Withdraws a token for a retry; returns False if the budget is used up."""
        return self._try_acquire(
            self._rank_budgets[rank].retries, self._rank_budgets[rank].extra
        )

    def try_acquire_hedge(self, rank: Rank) -> bool:
        """Withdraws a token for a hedge; returns False if the budget is used up."""
        return self._try_acquire(
            self._rank_budgets[rank].hedges, self._rank_budgets[rank].extra
        )

    def _try_acquire(self, own: TokenBucket, extra: TokenBucket) -> bool:
        with self._lock:
            if own.tokens < 1.0 or extra.tokens < 1.0:
                return False
            own.withdraw()
            extra.withdraw()
            return True


class SlidingWindowBudget:
    """Limits the extra sends (retries and hedges) to one service in a sliding window.

    In any window of `window_ms` the extra sends are at most `share` times the first
    sends plus `slack`. Each owner counts only its own sends: the shares of several
    owners add up to the share of all sends, and the slack of each owner is its part of
    the total slack.

    Not thread-safe: the pool that owns the budget holds its lock around each call.
    """

    __slots__ = ("_share", "_slack", "_window_ms", "_first_sends_ms", "_extra_sends_ms")

    def __init__(self, *, share: float, slack: float, window_ms: float):
        self._share = share
        self._slack = slack
        self._window_ms = window_ms
        self._first_sends_ms: collections.deque[float] = collections.deque()
        self._extra_sends_ms: collections.deque[float] = collections.deque()

    def record_first_send(self, now_ms: float) -> None:
        """Records the first send of a request."""
        self._first_sends_ms.append(now_ms)

    def try_acquire_extra(self, now_ms: float) -> bool:
        """Records an extra send; returns False, without recording, if none is left."""
        if not self.has_extra(now_ms):
            return False
        self._extra_sends_ms.append(now_ms)
        return True

    def has_extra(self, now_ms: float) -> bool:
        """Returns whether an extra send is left."""
        self._drop_before(now_ms - self._window_ms)
        allowed = self._share * len(self._first_sends_ms) + self._slack
        return len(self._extra_sends_ms) + 1 <= allowed

    def _drop_before(self, before_ms: float) -> None:
        for times in (self._first_sends_ms, self._extra_sends_ms):
            while times and times[0] < before_ms:
                times.popleft()
